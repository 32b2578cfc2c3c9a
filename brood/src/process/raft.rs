//! Raft, after "Raft Refloated" (§2–4); `docs/raft.md` tells what was kept and what was changed.
//!
//! The caller performs the outputs in order, with one rule that carries the safety: a message names
//! the [`Effect::Write`] that it rests on, and is let out only once that write is durable.

use crate::version::ledger::{Command, Mark};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// An identity is drawn when a disk is first used, so a daemon that lost its disk is another voter.
pub type VoterId = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    pub id: VoterId,
    pub ip: Ipv4Addr,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub mark: Mark,
    pub command: Command,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Voter,
    pub to: VoterId,
    pub term: u64,
    pub body: Body,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be given, without raising anybody's term.
    PreVote {
        last_index: u64,
        last_term: u64,
    },
    PreVoteAnswer {
        granted: bool,
    },
    RequestVote {
        last_index: u64,
        last_term: u64,
    },
    Vote {
        granted: bool,
    },
    AppendEntries {
        round: u64,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    },
    Appended {
        round: u64,
        success: bool,
        index: u64,
    },
    InstallSnapshot {
        round: u64,
        snapshot: Snapshot,
    },
    /// A daemon outside the electorate asks to be sent the log; `voter`: and to be admitted.
    Join {
        voter: bool,
    },
    /// The leader hands its lead on: stand at once.
    Succeed,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<Voter>,
    pub state: Vec<u8>,
}

/// What is on disk.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    pub id: VoterId,
    pub term: u64,
    pub vote: Option<VoterId>,
    pub snapshot: Snapshot,
    /// Entries from `snapshot.index + 1` on.
    pub log: Vec<Entry>,
}

impl Stored {
    /// What a write leaves on disk; false if it does not fit what is there.
    pub fn take(&mut self, write: Write) -> bool {
        if let Some((term, vote)) = write.hard {
            (self.term, self.vote) = (term, vote);
        }
        if let Some(from) = write.truncate {
            self.log.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
        }
        if let Some(snapshot) = write.snapshot {
            let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
            self.log.drain(..covered.min(self.log.len()));
            self.snapshot = snapshot;
        }
        for (index, entry) in write.entries {
            let Some(at) = index.checked_sub(self.snapshot.index + 1).map(|at| at as usize) else { return false };
            if at > self.log.len() {
                return false;
            }
            self.log.truncate(at);
            self.log.push(entry);
        }
        true
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub hard: Option<(u64, Option<VoterId>)>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate: Option<u64>,
    pub entries: Vec<(u64, Entry)>,
    pub snapshot: Option<Snapshot>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// To be made durable; answered by [`Raft::durable`] with the same number.
    Write(u64, Write),
    /// To be let out once the write with this number is durable (0: at once).
    Send(Ipv4Addr, Message, u64),
    /// The snapshot replaces the state machine's state.
    Restore(Snapshot),
    Apply(u64, Entry),
    /// A read asked for with this token may be answered now.
    Readable(u64),
    /// The read's leader is gone; ask again elsewhere.
    Unreadable(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// T of the paper: follower timeouts come from U(T, 2T), heartbeats go every T/2.
    pub t: Duration,
    /// A leader counts as confirmed for this long after a round that a majority answered began.
    pub confirm: Duration,
    /// How many disks may be lost at once: what is committed is on more of them.
    pub tolerance: usize,
}

/// Broadcast times kept for the candidate's timer, and its bounds.
const SAMPLES: usize = 64;
const CANDIDATE_FLOOR: Duration = Duration::from_millis(20);
/// Up to 2^this times the candidate timer after candidacies that failed.
const BACKOFF_MAX: u32 = 4;
/// Entries in one message, and its rough size.
const BATCH_ENTRIES: usize = 64;
const BATCH_BYTES: usize = 512 * 1024;
/// Rounds remembered for confirmation.
const ROUNDS: usize = 64;
/// A voter silent for this long is replaced where somebody stands ready to take its place.
const RETIRE_AFTER: Duration = Duration::from_millis(1500);
/// A newcomer counts as ready while it was heard within this and lacks no more entries than that.
const READY_WITHIN: Duration = Duration::from_millis(500);
const READY_GAP: u64 = 2;
/// Outsiders silent for this long are no longer sent the log; they ask again.
const OUTSIDER_GONE: Duration = Duration::from_secs(10);
/// The electorate does not outgrow this.
const VOTERS_MAX: usize = 9;

#[derive(Debug)]
struct Peer {
    ip: Ipv4Addr,
    /// Sent the log since then.
    since: Instant,
    /// Outside the electorate, it asked to be admitted.
    wants: bool,
    next: u64,
    matched: u64,
    /// Newest round answered.
    round: u64,
    heard: Option<Instant>,
    /// Entries are on their way since then; none more until they are answered or this is old.
    flying: Option<Instant>,
}

#[derive(Debug, Default)]
struct Leading {
    peers: BTreeMap<VoterId, Peer>,
    rounds: VecDeque<(u64, Instant)>,
    round: u64,
    beat_due: Option<Instant>,
    confirmed: Option<Instant>,
    confirmed_round: u64,
    reads: Vec<(u64, u64)>,
    /// Index of this term's first entry.
    first: u64,
    since: Option<Instant>,
}

pub struct Raft {
    me: Voter,
    timing: Timing,
    term: u64,
    vote: Option<VoterId>,
    snapshot: Snapshot,
    log: VecDeque<Entry>,
    /// The newest electorate in the log, committed or not, and where it stands.
    electorate: Vec<Voter>,
    electorate_index: u64,
    commit: u64,
    applied: u64,
    /// What is applied here was current at some moment of this process's life; after a start it is only
    /// what the last snapshot held.
    current: bool,
    durable: u64,
    writes: u64,
    /// The newest write of term and vote.
    hard_write: u64,
    /// Last index written by each write that is under way.
    writing: VecDeque<(u64, u64)>,
    role: Role,
    leader: Option<Voter>,
    due: Instant,
    heard_leader: Option<Instant>,
    pre_votes: BTreeSet<VoterId>,
    /// Votes for this daemon in the current term, also those that come after the candidate's timer.
    votes: BTreeSet<VoterId>,
    backoff: u32,
    election_began: Instant,
    broadcast: VecDeque<Duration>,
    /// How long writes took to be durable, lately; and when those under way began.
    syncs: VecDeque<Duration>,
    sync_began: VecDeque<(u64, Instant)>,
    clock: Instant,
    /// How long elections took that this daemon won.
    pub elections: Vec<Duration>,
    leading: Leading,
    rng: fastrand::Rng,
    out: Vec<Effect>,
}

/// Adds a sample and lets the oldest go.
fn keep(samples: &mut VecDeque<Duration>, sample: Duration) {
    samples.push_back(sample);
    if samples.len() > SAMPLES {
        samples.pop_front();
    }
}

/// µ + 2σ. Tails are long, so the median and the median deviation stand in for mean and deviation.
fn bound(samples: &VecDeque<Duration>) -> Duration {
    let mut sorted: Vec<Duration> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let Some(&median) = sorted.get(sorted.len() / 2) else { return Duration::ZERO };
    let mut apart: Vec<Duration> = sorted.iter().map(|d| d.abs_diff(median)).collect();
    apart.sort_unstable();
    median + 2 * apart[apart.len() / 2].mul_f64(1.4826)
}

fn jitter(rng: &mut fastrand::Rng, base: Duration) -> Duration {
    base + base.mul_f64(rng.f64())
}

impl Raft {
    pub fn new(now: Instant, me: Ipv4Addr, timing: Timing, stored: Stored, mut rng: fastrand::Rng) -> Self {
        let due = now + jitter(&mut rng, timing.t);
        let snapshot = stored.snapshot;
        let last = snapshot.index + stored.log.len() as u64;
        let mut raft = Raft {
            me: Voter { id: stored.id, ip: me },
            timing,
            term: stored.term,
            vote: stored.vote,
            commit: snapshot.index,
            applied: snapshot.index,
            snapshot,
            log: stored.log.into(),
            electorate: Vec::new(),
            electorate_index: 0,
            current: false,
            durable: last,
            writes: 0,
            hard_write: 0,
            writing: VecDeque::new(),
            role: Role::Follower,
            leader: None,
            due,
            heard_leader: None,
            pre_votes: BTreeSet::new(),
            votes: BTreeSet::new(),
            backoff: 0,
            election_began: now,
            broadcast: VecDeque::new(),
            syncs: VecDeque::new(),
            sync_began: VecDeque::new(),
            clock: now,
            elections: Vec::new(),
            leading: Leading::default(),
            rng,
            out: Vec::new(),
        };
        raft.find_electorate();
        if raft.snapshot.index > 0 {
            raft.out.push(Effect::Restore(raft.snapshot.clone()));
        }
        raft
    }

    pub fn me(&self) -> Voter {
        self.me
    }
    pub fn term(&self) -> u64 {
        self.term
    }
    pub fn role(&self) -> Role {
        self.role
    }
    pub fn leader(&self) -> Option<Voter> {
        self.leader
    }
    pub fn commit(&self) -> u64 {
        self.commit
    }
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.log.len() as u64
    }
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// The electorate: the newest in the log, committed or not.
    pub fn voters(&self) -> &[Voter] {
        &self.electorate
    }

    pub fn is_voter(&self) -> bool {
        self.votes_here(self.me.id)
    }

    fn votes_here(&self, id: VoterId) -> bool {
        self.electorate.iter().any(|v| v.id == id)
    }

    /// To be called whenever the log's end or the snapshot changed.
    fn find_electorate(&mut self) {
        let found = self.log.iter().enumerate().rev().find_map(|(at, e)| match &e.command {
            Command::Voters { voters } => Some((self.snapshot.index + 1 + at as u64, voters.clone())),
            _ => None,
        });
        (self.electorate_index, self.electorate) = found.unwrap_or((0, self.snapshot.voters.clone()));
    }

    /// How many voters must hold an entry durably before it counts as committed: a majority, and more
    /// than may be lost at once.
    fn quorum(&self) -> usize {
        (self.electorate.len() / 2).max(self.timing.tolerance) + 1
    }

    /// Whether a majority has answered a round begun within the confirmation span, and an entry of
    /// this term is committed: only then does this daemon act as the leader towards others.
    pub fn confirmed(&self, now: Instant) -> bool {
        self.role == Role::Leader
            && self.commit >= self.leading.first
            && self.leading.confirmed.is_some_and(|t| now < t + self.timing.confirm)
    }

    /// When this daemon began to lead.
    pub fn leading_since(&self) -> Option<Instant> {
        (self.role == Role::Leader).then_some(self.leading.since).flatten()
    }

    /// Whether the state here has been current since the start: a leader has committed an entry of its
    /// own term, and all of what it had committed is applied here.
    pub fn current(&self) -> bool {
        self.current
    }

    /// The entry at an index, while it is not compacted away.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index.checked_sub(self.snapshot.index + 1)? as usize)
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.log.get(at as usize).map(|e| e.term)
    }

    fn last_term(&self) -> u64 {
        self.log.back().map_or(self.snapshot.term, |e| e.term)
    }

    fn write(&mut self, write: Write) {
        self.writes += 1;
        if write.hard.is_some() {
            self.hard_write = self.writes;
        }
        self.writing.push_back((self.writes, self.last_index()));
        self.sync_began.push_back((self.writes, self.clock));
        self.out.push(Effect::Write(self.writes, write));
    }

    /// Term and vote; where they were just queued in the same turn, that write is changed instead.
    fn write_hard(&mut self) {
        let hard = Some((self.term, self.vote));
        if let Some(Effect::Write(_, last)) = self.out.last_mut()
            && last.hard.is_some()
        {
            last.hard = hard;
            return;
        }
        self.write(Write { hard, ..Write::default() });
    }

    fn send(&mut self, to: Voter, body: Body) {
        let after = match body {
            // A vote, or word of what is in the log here, rests on all that was written before.
            Body::RequestVote { .. } | Body::Vote { .. } | Body::Appended { .. } => self.writes,
            // A leader's messages rest on its term alone: it counts itself only for what is durable.
            Body::AppendEntries { .. } | Body::InstallSnapshot { .. } | Body::Succeed => self.hard_write,
            Body::PreVote { .. } | Body::PreVoteAnswer { .. } | Body::Join { .. } => 0,
        };
        let message = Message { from: self.me, to: to.id, term: self.term, body };
        self.out.push(Effect::Send(to.ip, message, after));
    }

    /// How long the oldest write under way has been waiting for the disk.
    fn disk_silent(&self, now: Instant) -> Duration {
        self.sync_began.front().map_or(Duration::ZERO, |(_, began)| now.duration_since(*began))
    }

    /// The next moment at which [`Raft::tick`] has something to do.
    pub fn next_due(&self) -> Instant {
        match self.role {
            Role::Leader => self.leading.beat_due.unwrap_or(self.due),
            _ => self.due,
        }
    }

    pub fn tick(&mut self, now: Instant) {
        self.clock = now;
        if self.role == Role::Leader {
            if self.leading.beat_due.is_none_or(|d| now >= d) {
                self.check_quorum(now);
                self.check_disk(now);
                if self.role == Role::Leader {
                    self.begin_round(now);
                    self.settle_membership(now);
                }
            }
            return;
        }
        if now < self.due {
            return;
        }
        // One whose disk hangs could not vote for itself either.
        if !self.is_voter() || self.disk_silent(now) > self.timing.t * 2 {
            self.due = now + jitter(&mut self.rng, self.timing.t) * 2;
            return;
        }
        match self.role {
            Role::Follower => {
                self.election_began = now;
                self.backoff = 0;
                self.leader = None;
                self.ask_pre_votes(now);
            }
            Role::PreCandidate => self.ask_pre_votes(now),
            Role::Candidate => {
                // Rejected by a majority, or without an answer from one: either way others need time.
                self.backoff = (self.backoff + 1).min(BACKOFF_MAX);
                self.ask_pre_votes(now);
            }
            Role::Leader => {}
        }
    }

    /// The candidate's timer: at least µ + 2σ of the broadcast times measured here. A vote waits for
    /// the disk twice, at the candidate and at the voter, which heartbeats do not, so two writes are
    /// added, measured alike.
    pub fn candidate_timeout(&self) -> Duration {
        if self.broadcast.is_empty() && self.syncs.is_empty() {
            return self.timing.t;
        }
        let measured = bound(&self.broadcast) + 2 * bound(&self.syncs);
        measured.max(CANDIDATE_FLOOR).min(self.timing.t * 2)
    }

    fn arm_candidate(&mut self, now: Instant) {
        let base = self.candidate_timeout() * 2u32.pow(self.backoff);
        self.due = now + jitter(&mut self.rng, base);
    }

    fn others(&self) -> Vec<Voter> {
        self.electorate.iter().copied().filter(|v| v.id != self.me.id).collect()
    }

    fn has_majority(&self, votes: &BTreeSet<VoterId>) -> bool {
        let voters = self.voters();
        voters.iter().filter(|v| votes.contains(&v.id)).count() * 2 > voters.len()
    }

    fn ask_pre_votes(&mut self, now: Instant) {
        self.role = Role::PreCandidate;
        self.arm_candidate(now);
        self.pre_votes = BTreeSet::from([self.me.id]);
        let (last_index, last_term) = (self.last_index(), self.last_term());
        for peer in self.others() {
            self.send(peer, Body::PreVote { last_index, last_term });
        }
        if self.has_majority(&self.pre_votes) {
            self.stand(now);
        }
    }

    fn stand(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.me.id);
        self.votes = BTreeSet::from([self.me.id]);
        self.write_hard();
        self.arm_candidate(now);
        let (last_index, last_term) = (self.last_index(), self.last_term());
        for peer in self.others() {
            self.send(peer, Body::RequestVote { last_index, last_term });
        }
        if self.has_majority(&self.votes) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.elections.push(now.duration_since(self.election_began));
        let next = self.last_index() + 1;
        self.leading = Leading { first: next, since: Some(now), ..Leading::default() };
        for peer in self.others() {
            self.add_peer(now, peer, next);
        }
        // The electorate goes through the log too, so that a voter which missed some of the founders'
        // greetings learns of it from the others.
        let founding = self.electorate_index == 0 && self.snapshot.index == 0;
        let first = if founding { Command::Voters { voters: self.electorate.clone() } } else { Command::Noop };
        self.append(now, Mark::default(), first);
    }

    fn add_peer(&mut self, now: Instant, peer: Voter, next: u64) {
        let fresh =
            Peer { ip: peer.ip, since: now, wants: false, next, matched: 0, round: 0, heard: None, flying: None };
        self.leading.peers.insert(peer.id, fresh);
    }

    fn follow(&mut self, now: Instant, term: u64, leader: Option<Voter>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.votes.clear();
            self.write_hard();
        }
        if self.role == Role::Leader {
            for (token, _) in std::mem::take(&mut self.leading.reads) {
                self.out.push(Effect::Unreadable(token));
            }
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.due = now + jitter(&mut self.rng, self.timing.t);
    }

    /// Takes a proposal; only a leader does.
    pub fn propose(&mut self, now: Instant, mark: Mark, command: Command) -> Option<u64> {
        self.clock = now;
        if self.role != Role::Leader {
            return None;
        }
        Some(self.append(now, mark, command))
    }

    fn append(&mut self, now: Instant, mark: Mark, command: Command) -> u64 {
        let entry = Entry { term: self.term, mark, command };
        self.log.push_back(entry.clone());
        let index = self.last_index();
        if let Command::Voters { voters } = &entry.command {
            (self.electorate_index, self.electorate) = (index, voters.clone());
            for voter in self.others() {
                if !self.leading.peers.contains_key(&voter.id) {
                    self.add_peer(now, voter, index);
                }
            }
        }
        self.write(Write { entries: vec![(index, entry)], ..Write::default() });
        self.begin_round(now);
        index
    }

    /// Asks for proof that this is still the leader; answered by `Readable` or `Unreadable`.
    pub fn read(&mut self, now: Instant, token: u64) {
        if self.role != Role::Leader {
            self.out.push(Effect::Unreadable(token));
            return;
        }
        self.begin_round(now);
        self.leading.reads.push((self.leading.round, token));
        self.settle_reads();
    }

    fn begin_round(&mut self, now: Instant) {
        self.leading.round += 1;
        self.leading.rounds.push_back((self.leading.round, now));
        if self.leading.rounds.len() > ROUNDS {
            self.leading.rounds.pop_front();
        }
        self.leading.beat_due = Some(now + self.timing.t / 2);
        let ids: Vec<VoterId> = self.leading.peers.keys().copied().collect();
        for id in ids {
            self.replicate(now, id, true);
        }
        self.confirm_round(now);
        self.advance(now);
    }

    fn replicate(&mut self, now: Instant, id: VoterId, beat: bool) {
        let round = self.leading.round;
        let t = self.timing.t;
        let Some(peer) = self.leading.peers.get_mut(&id) else { return };
        let to = Voter { id, ip: peer.ip };
        let clear = peer.flying.is_none_or(|since| now.duration_since(since) > t);
        let (next, next_prev) = (peer.next, peer.next - 1);
        if next_prev < self.snapshot.index {
            if clear {
                peer.flying = Some(now);
                let snapshot = self.snapshot.clone();
                self.send(to, Body::InstallSnapshot { round, snapshot });
            } else if beat {
                let body = Body::AppendEntries {
                    round,
                    prev_index: self.snapshot.index,
                    prev_term: self.snapshot.term,
                    entries: Vec::new(),
                    commit: self.commit,
                };
                self.send(to, body);
            }
            return;
        }
        let mut entries = Vec::new();
        if clear {
            let from = (next - self.snapshot.index - 1) as usize;
            let mut bytes = 0;
            for entry in self.log.iter().skip(from).take(BATCH_ENTRIES) {
                bytes += if let Command::Configure { raw, .. } = &entry.command { raw.len() } else { 128 };
                entries.push(entry.clone());
                if bytes > BATCH_BYTES {
                    break;
                }
            }
        }
        if entries.is_empty() && !beat {
            return;
        }
        if !entries.is_empty() {
            peer.flying = Some(now);
        }
        let prev_term = self.term_at(next_prev).unwrap_or(0);
        let body = Body::AppendEntries { round, prev_index: next_prev, prev_term, entries, commit: self.commit };
        self.send(to, body);
    }

    /// A leader that no majority answers steps down (ours).
    fn check_quorum(&mut self, now: Instant) {
        let patience = self.timing.t * 2;
        if self.leading.since.is_some_and(|s| now.duration_since(s) < patience) {
            return;
        }
        let mut heard: BTreeSet<VoterId> = BTreeSet::from([self.me.id]);
        for (id, peer) in &self.leading.peers {
            if peer.heard.is_some_and(|h| now.duration_since(h) < patience) {
                heard.insert(*id);
            }
        }
        if !self.has_majority(&heard) {
            self.follow(now, self.term, None);
        }
    }

    /// A leader whose disk is silent hands the lead on, if the others have what it has (ours).
    fn check_disk(&mut self, now: Instant) {
        if self.role != Role::Leader || self.disk_silent(now) <= self.timing.t * 2 {
            return;
        }
        if self.hand_on() {
            self.follow(now, self.term, None);
        }
    }

    /// Names a successor that holds the whole log; false if there is none.
    fn hand_on(&mut self) -> bool {
        let last = self.last_index();
        let held = |v: &Voter| self.leading.peers.get(&v.id).is_some_and(|p| p.matched >= last);
        let level: Vec<Voter> = self.others().into_iter().filter(|v| held(v)).collect();
        let enough = level.len() * 2 > self.electorate.len();
        if let Some(heir) = level.first().copied().filter(|_| enough) {
            self.send(heir, Body::Succeed);
            return true;
        }
        false
    }

    /// This daemon ends: a leader hands its lead on first.
    pub fn leave(&mut self, now: Instant) {
        if self.role == Role::Leader && self.hand_on() {
            self.follow(now, self.term, None);
            self.due = now + self.timing.t * 20;
        }
    }

    fn confirm_round(&mut self, now: Instant) {
        let voters = &self.electorate;
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|v| {
                if v.id == self.me.id {
                    self.leading.round
                } else {
                    self.leading.peers.get(&v.id).map_or(0, |p| p.round)
                }
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&round) = rounds.get(voters.len() / 2) else { return };
        if round <= self.leading.confirmed_round {
            return;
        }
        self.leading.confirmed_round = round;
        if let Some((_, began)) = self.leading.rounds.iter().find(|(r, _)| *r == round) {
            let began = *began;
            self.leading.confirmed = Some(began);
            keep(&mut self.broadcast, now.duration_since(began));
        }
        self.leading.rounds.retain(|(r, _)| *r > round);
        self.settle_reads();
    }

    fn settle_reads(&mut self) {
        if self.commit < self.leading.first {
            return;
        }
        let confirmed = self.leading.confirmed_round;
        let mut reads = std::mem::take(&mut self.leading.reads);
        reads.retain(|(round, token)| {
            let ready = *round <= confirmed;
            if ready {
                self.out.push(Effect::Readable(*token));
            }
            !ready
        });
        self.leading.reads = reads;
    }

    /// Commits what a majority holds durably, and only by way of an entry of this term.
    fn advance(&mut self, _now: Instant) {
        let voters = &self.electorate;
        let mut held: Vec<u64> =
            voters
                .iter()
                .map(|v| {
                    if v.id == self.me.id {
                        self.durable
                    } else {
                        self.leading.peers.get(&v.id).map_or(0, |p| p.matched)
                    }
                })
                .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = held.get(self.quorum() - 1) else { return };
        if index > self.commit && self.term_at(index) == Some(self.term) {
            self.commit_to(index);
            self.current = true;
            self.settle_reads();
        }
    }

    fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.last_index()));
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log[(self.applied - self.snapshot.index - 1) as usize].clone();
            self.out.push(Effect::Apply(self.applied, entry));
        }
    }

    /// A write is on disk.
    pub fn durable(&mut self, now: Instant, write: u64) {
        self.clock = now;
        while let Some((number, began)) = self.sync_began.front().copied() {
            if number > write {
                break;
            }
            self.sync_began.pop_front();
            keep(&mut self.syncs, now.duration_since(began));
        }
        while let Some((number, last)) = self.writing.front().copied() {
            if number > write {
                break;
            }
            self.writing.pop_front();
            self.durable = last;
        }
        self.durable = self.durable.min(self.last_index());
        if self.role == Role::Leader {
            self.advance(now);
        }
    }

    fn up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    pub fn receive(&mut self, now: Instant, message: Message) {
        self.clock = now;
        let Message { from, to, term, body } = message;
        if to != self.me.id && !matches!(body, Body::Join { .. }) {
            return;
        }
        match body {
            Body::PreVote { last_index, last_term } => {
                // One that still hears its leader does not help to unseat it.
                let content = self.role == Role::Leader
                    || self.heard_leader.is_some_and(|h| now.duration_since(h) < self.timing.t);
                let granted = !content && term >= self.term && self.up_to_date(last_index, last_term);
                self.send(from, Body::PreVoteAnswer { granted });
                if self.role == Role::Leader && !self.votes_here(from.id) {
                    // It was retired while it was away and does not know.
                    self.admit(now, from, true);
                }
                return;
            }
            Body::PreVoteAnswer { granted } => {
                if term > self.term {
                    self.follow(now, term, None);
                } else if self.role == Role::PreCandidate && granted {
                    self.pre_votes.insert(from.id);
                    if self.has_majority(&self.pre_votes) {
                        self.stand(now);
                    }
                }
                return;
            }
            Body::Join { voter } => {
                self.admit(now, from, voter);
                return;
            }
            _ => {}
        }
        if term > self.term {
            let leads = matches!(body, Body::AppendEntries { .. } | Body::InstallSnapshot { .. });
            self.follow(now, term, leads.then_some(from));
        }
        match body {
            Body::RequestVote { last_index, last_term } => {
                let granted = term == self.term
                    && matches!(self.role, Role::Follower | Role::PreCandidate)
                    && self.vote.is_none_or(|v| v == from.id)
                    && self.up_to_date(last_index, last_term);
                if granted {
                    if self.vote.is_none() {
                        self.vote = Some(from.id);
                        self.write_hard();
                    }
                    self.role = Role::Follower;
                    self.due = now + jitter(&mut self.rng, self.timing.t);
                }
                self.send(from, Body::Vote { granted });
            }
            Body::Vote { granted } => {
                let stood = self.vote == Some(self.me.id) && self.votes.contains(&self.me.id);
                if !matches!(self.role, Role::Candidate | Role::PreCandidate) || term != self.term || !stood {
                    return;
                }
                if granted {
                    self.votes.insert(from.id);
                    if self.has_majority(&self.votes) {
                        self.lead(now);
                    }
                }
            }
            Body::AppendEntries { round, prev_index, prev_term, entries, commit } => {
                if term < self.term {
                    self.send(from, Body::Appended { round, success: false, index: 0 });
                    return;
                }
                self.hear(now, from);
                let (success, index) = self.take(prev_index, prev_term, entries);
                if success {
                    self.commit_to(commit.min(index));
                    self.current |= self.commit >= commit && self.term_at(self.commit) == Some(self.term);
                }
                self.send(from, Body::Appended { round, success, index });
            }
            Body::InstallSnapshot { round, snapshot } => {
                if term < self.term {
                    return;
                }
                self.hear(now, from);
                if snapshot.index > self.commit {
                    self.install(snapshot);
                }
                let index = self.commit;
                self.send(from, Body::Appended { round, success: true, index });
            }
            Body::Appended { round, success, index } => self.appended(now, from, term, round, success, index),
            Body::Succeed => {
                if term == self.term && self.role == Role::Follower && self.is_voter() {
                    self.election_began = now;
                    self.stand(now);
                }
            }
            Body::PreVote { .. } | Body::PreVoteAnswer { .. } | Body::Join { .. } => {}
        }
    }

    fn hear(&mut self, now: Instant, leader: Voter) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard_leader = Some(now);
        self.due = now + jitter(&mut self.rng, self.timing.t);
    }

    /// The log check and the append; says whether it fitted and up to where the log agrees, or else
    /// from where to try again.
    fn take(&mut self, prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
        if prev_index < self.snapshot.index {
            // What the snapshot covers is committed here.
            let covered = (self.snapshot.index - prev_index) as usize;
            if entries.len() <= covered {
                return (true, prev_index + entries.len() as u64);
            }
            return self.take(self.snapshot.index, self.snapshot.term, entries[covered..].to_vec());
        }
        match self.term_at(prev_index) {
            Some(t) if t == prev_term => {}
            Some(_) => return (false, self.commit.max(prev_index.saturating_sub(1))),
            None => return (false, self.last_index()),
        }
        let mut write = Write::default();
        let agreed = prev_index + entries.len() as u64;
        for (at, entry) in entries.into_iter().enumerate() {
            let index = prev_index + 1 + at as u64;
            match self.term_at(index) {
                Some(t) if t == entry.term => continue,
                Some(_) => {
                    assert!(index > self.commit, "a committed entry would be dropped");
                    self.log.truncate((index - self.snapshot.index - 1) as usize);
                    self.durable = self.durable.min(index - 1);
                    for (_, last) in &mut self.writing {
                        *last = (*last).min(index - 1);
                    }
                    write.truncate = Some(index);
                }
                None => {}
            }
            self.log.push_back(entry.clone());
            write.entries.push((index, entry));
        }
        if write != Write::default() {
            let touched = |(_, e): &(u64, Entry)| matches!(e.command, Command::Voters { .. });
            if write.truncate.is_some() || write.entries.iter().any(touched) {
                self.find_electorate();
            }
            self.write(write);
        }
        (true, agreed)
    }

    /// Takes a snapshot that is ahead of what is committed here. Entries behind it that fit it stay:
    /// this daemon may have told the leader that it holds them.
    fn install(&mut self, snapshot: Snapshot) {
        let fits = self.term_at(snapshot.index) == Some(snapshot.term);
        if fits {
            self.log.drain(..(snapshot.index - self.snapshot.index) as usize);
        } else {
            self.log.clear();
            self.durable = snapshot.index;
            self.writing.iter_mut().for_each(|(_, last)| *last = snapshot.index);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = snapshot.clone();
        self.find_electorate();
        let truncate = (!fits).then_some(0);
        self.write(Write { truncate, snapshot: Some(snapshot.clone()), ..Write::default() });
        self.out.push(Effect::Restore(snapshot));
    }

    fn appended(&mut self, now: Instant, from: Voter, term: u64, round: u64, success: bool, index: u64) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.last_index();
        let Some(peer) = self.leading.peers.get_mut(&from.id) else { return };
        peer.heard = Some(now);
        peer.round = peer.round.max(round);
        peer.ip = from.ip;
        peer.flying = None;
        if success {
            peer.matched = peer.matched.max(index);
            peer.next = peer.next.max(peer.matched + 1);
        } else {
            peer.next = (index + 1).min(peer.next.saturating_sub(1)).max(peer.matched + 1);
        }
        let more = peer.next <= last;
        self.confirm_round(now);
        self.advance(now);
        if self.role == Role::Leader {
            if more {
                self.replicate(now, from.id, false);
            }
            self.settle_membership(now);
        }
    }

    /// A daemon outside the electorate is sent the log, and may be admitted later.
    fn admit(&mut self, now: Instant, from: Voter, wants: bool) {
        if self.role != Role::Leader || from.id == self.me.id {
            return;
        }
        if !self.leading.peers.contains_key(&from.id) {
            let next = self.last_index() + 1;
            self.add_peer(now, from, next);
            self.replicate(now, from.id, true);
        }
        if let Some(peer) = self.leading.peers.get_mut(&from.id) {
            peer.wants |= wants;
            peer.ip = from.ip;
        }
        self.settle_membership(now);
    }

    /// One step towards the electorate that should be: all that stand ready, in odd numbers, and
    /// nobody who is gone for good. One change at a time, each committed before the next, so that
    /// majorities of consecutive electorates overlap; `docs/raft.md` tells why this is safe.
    fn settle_membership(&mut self, now: Instant) {
        if self.role != Role::Leader || self.commit < self.leading.first || self.commit < self.electorate_index {
            return;
        }
        let voters = self.electorate.clone();
        let votes = |id: &VoterId| voters.iter().any(|v| v.id == *id);
        let silent = |p: &Peer| now.duration_since(p.heard.unwrap_or(p.since));
        self.leading.peers.retain(|id, p| votes(id) || silent(p) < OUTSIDER_GONE);
        let (peers, commit) = (&self.leading.peers, self.commit);
        let outside = || peers.iter().filter(|(id, p)| p.wants && !votes(id));
        let ready: Vec<Voter> = outside()
            .filter(|(_, p)| {
                p.heard.is_some_and(|h| now.duration_since(h) < READY_WITHIN) && p.matched + READY_GAP >= commit
            })
            .map(|(id, p)| Voter { id: *id, ip: p.ip })
            .collect();
        // Two identities at one address: the disk there is new, and the voter that was on it is no more.
        let voter_silence = |v: &Voter| peers.get(&v.id).map_or(Duration::ZERO, &silent);
        let wiped = voters.iter().find(|v| {
            voter_silence(v) > self.timing.t * 2 && outside().any(|(_, p)| p.ip == v.ip && p.heard.is_some())
        });
        let longest = voters
            .iter()
            .filter(|v| v.id != self.me.id)
            .max_by_key(|v| voter_silence(v))
            .filter(|v| voter_silence(v) > RETIRE_AFTER);
        let even = voters.len().is_multiple_of(2);
        let full = voters.len() >= VOTERS_MAX;
        let spare = voters.len() > 2 * self.timing.tolerance + 1;
        let newcomer = ready.iter().find(|r| voters.iter().all(|v| v.ip != r.ip));
        let retired = match (wiped, longest) {
            (Some(old), _) => Some(old),
            (None, Some(old)) if !even && (ready.len() == 1 || (full && !ready.is_empty())) => Some(old),
            (None, Some(old)) if even && ready.is_empty() && spare => Some(old),
            _ => None,
        };
        let next: Vec<Voter> = if let Some(old) = retired {
            voters.iter().copied().filter(|v| v.id != old.id).collect()
        } else if let Some(new) = newcomer.filter(|_| (even || ready.len() > 1) && !full) {
            let mut next = voters.clone();
            next.push(*new);
            next.sort_unstable();
            next
        } else {
            return;
        };
        if let Some(old) = retired.map(|o| o.id) {
            self.leading.peers.remove(&old);
        }
        self.append(now, Mark::default(), Command::Voters { voters: next });
    }

    /// What a daemon outside the electorate sends to be sent the log.
    pub fn join(&mut self, to: Ipv4Addr, voter: bool) {
        self.send(Voter { id: 0, ip: to }, Body::Join { voter });
    }

    /// Replaces the applied part of the log by the state it led to.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.term_at(index) else { return };
        if index == self.snapshot.index {
            return;
        }
        let mut voters = self.snapshot.voters.clone();
        for entry in self.log.drain(..(index - self.snapshot.index) as usize) {
            if let Command::Voters { voters: newer } = entry.command {
                voters = newer;
            }
        }
        self.snapshot = Snapshot { index, term, voters, state };
        self.find_electorate();
        let snapshot = Some(self.snapshot.clone());
        self.write(Write { snapshot, ..Write::default() });
    }

    /// Entries that are applied and could be compacted away.
    pub fn compactable(&self) -> u64 {
        self.applied - self.snapshot.index
    }

    /// The very first electorate, fixed before the first election and written with the identity.
    pub fn found(&mut self, voters: Vec<Voter>) {
        if self.last_index() == 0 && self.snapshot.voters.is_empty() {
            self.snapshot.voters = voters;
            self.find_electorate();
            let snapshot = Some(self.snapshot.clone());
            self.write(Write { snapshot, ..Write::default() });
        }
    }
}

// ---- what the gate and `status` ask of the log ------------------------------------------------

impl Raft {
    /// When the newest round began that a majority answered, for a leader that has committed in its term.
    pub fn confirmed_at(&self) -> Option<Instant> {
        let committed = self.role == Role::Leader && self.commit >= self.leading.first;
        self.leading.confirmed.filter(|_| committed)
    }
}
