//! Raft, after "Raft Refloated" (§2–4); `docs/raft.md` tells what was kept and what was changed.
//!
//! The caller performs the outputs in order, with one rule that carries the safety: a message names
//! the [`Effect::Write`] that it rests on, and is let out only once that write is durable.

mod election;
mod membership;
mod replication;
mod samples;
mod snapshot;
mod stored;
mod wire;

pub use stored::{Entry, Snapshot, Stored, Write};
pub use wire::{Body, Message};

use crate::version::ledger::{Command, Mark};
use election::BACKOFF_MAX;
use replication::{Leading, Peer};
use samples::{jitter, keep};
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
}
