//! Raft, after "Raft Refloated" (§2–4); `docs/raft.md` tells what was kept and what was changed.
//!
//! The caller performs the outputs in order, with one rule that carries the safety: a message names
//! the [`Effect::Write`] that it rests on, and is let out only once that write is durable.

mod duration_samples;
mod election;
mod log;
mod membership_change;
mod message;
mod quorum_contact;
mod replication;
mod snapshot;
mod storage;

pub use message::{Message, MessageBody, SnapshotId};
pub use storage::{Entry, PersistentState, Snapshot, Write};

use crate::version::electorate::{Voter, VoterId};
use duration_samples::{jitter, keep};
use election::BACKOFF_MAX;
use log::Log;
use quorum_contact::QuorumContact;
use replication::LeaderState;
use snapshot::{EncodedSnapshot, IncomingSnapshot};
use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A leader counts as confirmed this long after a round began that a majority answered.
pub const LEADER_CONFIRMATION: Duration = Duration::from_millis(400);

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
pub struct Parameters {
    /// T of the paper: follower timeouts come from U(T, 2T), heartbeats go every T/2.
    pub election_timeout: Duration,
    /// A leader counts as confirmed for this long after a round that a majority answered began.
    pub confirmation_window: Duration,
    /// How many disks may be lost at once: what is committed is on more of them.
    pub tolerance: usize,
    /// Entries that stay in the log behind a snapshot.
    pub retained_entries: u64,
    /// Bytes of one piece of a snapshot on its way.
    pub snapshot_chunk_bytes: usize,
}

impl Parameters {
    /// With the usual tail and pieces.
    pub fn new(t: Duration, confirm: Duration, tolerance: usize) -> Self {
        Parameters {
            election_timeout: t,
            confirmation_window: confirm,
            tolerance,
            retained_entries: 1024,
            snapshot_chunk_bytes: 64 * 1024,
        }
    }
}

pub struct Raft {
    me: Voter,
    parameters: Parameters,
    term: u64,
    vote: Option<VoterId>,
    log: Log,
    commit: u64,
    applied: u64,
    /// Bytes of the entries applied since the last snapshot.
    fresh_bytes: usize,
    /// All that was decided before this moment is applied here; after a start nothing but what the last
    /// snapshot held.
    as_of: Option<Instant>,
    contact: QuorumContact,
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
    leading: LeaderState,
    /// The snapshot as it is sent, once somebody wanted it.
    packed: Option<Rc<EncodedSnapshot>>,
    incoming: Option<IncomingSnapshot>,
    /// This daemon is about to end, since then; when it asks the leader again; and whether it was let go.
    leaving: Option<Instant>,
    leave_due: Option<Instant>,
    left: bool,
    rng: fastrand::Rng,
    out: Vec<Effect>,
}

impl Raft {
    pub fn new(
        now: Instant,
        me: Ipv4Addr,
        parameters: Parameters,
        stored: PersistentState,
        mut rng: fastrand::Rng,
    ) -> Self {
        let due = now + jitter(&mut rng, parameters.election_timeout);
        let (id, term, vote) = (stored.id, stored.term, stored.vote);
        let log = Log::new(stored);
        let covered = log.snapshot.index;
        let mut raft = Raft {
            me: Voter { id, ip: me },
            parameters,
            term,
            vote,
            commit: covered,
            applied: covered,
            fresh_bytes: 0,
            as_of: None,
            contact: QuorumContact::default(),
            durable: log.last_index(),
            log,
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
            leading: LeaderState::default(),
            packed: None,
            incoming: None,
            leaving: None,
            leave_due: None,
            left: false,
            rng,
            out: Vec::new(),
        };
        if covered > 0 {
            raft.out.push(Effect::Restore(raft.log.snapshot.clone()));
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
        self.log.last_index()
    }
    /// The snapshot's index, and how many entries are kept, also from before it.
    pub fn retained_log(&self) -> (u64, usize) {
        (self.log.snapshot.index, self.log.len())
    }
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// When this daemon began to lead.
    pub fn leading_since(&self) -> Option<Instant> {
        (self.role == Role::Leader).then_some(self.leading.since).flatten()
    }

    /// All that was decided before this moment is applied here, by this daemon's own clock and however long
    /// messages were on their way: a leader of which that is true was in contact with a majority after it.
    pub fn last_quorum_contact(&self) -> Option<Instant> {
        let leads = self.role == Role::Leader && self.commit >= self.leading.first;
        self.as_of.max(self.leading.confirmed.filter(|_| leads))
    }

    /// Whether the state here has been current at some moment since the start.
    pub fn has_had_quorum_contact(&self) -> bool {
        self.last_quorum_contact().is_some()
    }

    /// The entry at an index, while it is not compacted away.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.entry(index)
    }

    fn write(&mut self, write: Write) {
        self.writes += 1;
        if write.hard_state.is_some() {
            self.hard_write = self.writes;
        }
        self.writing.push_back((self.writes, self.log.last_index()));
        self.sync_began.push_back((self.writes, self.clock));
        self.out.push(Effect::Write(self.writes, write));
    }

    /// Term and vote; where they were just queued in the same turn, that write is changed instead.
    fn write_hard(&mut self) {
        let hard = Some((self.term, self.vote));
        if let Some(Effect::Write(_, last)) = self.out.last_mut()
            && last.hard_state.is_some()
        {
            last.hard_state = hard;
            return;
        }
        self.write(Write { hard_state: hard, ..Write::default() });
    }

    /// What stood from this index on is not in the log any more, also where it is being written.
    fn not_durable_from(&mut self, index: u64) {
        self.durable = self.durable.min(index - 1);
        for (_, last) in &mut self.writing {
            *last = (*last).min(index - 1);
        }
    }

    fn send(&mut self, to: Voter, body: MessageBody) {
        let after = match body {
            // A vote, or word of what is in the log here, rests on all that was written before.
            MessageBody::RequestVote { .. }
            | MessageBody::VoteResponse { .. }
            | MessageBody::AppendResponse { .. }
            | MessageBody::SnapshotResponse { .. } => self.writes,
            // A leader's messages rest on its term alone: it counts itself only for what is durable.
            MessageBody::AppendEntries { .. }
            | MessageBody::InstallSnapshot { .. }
            | MessageBody::TimeoutNow
            | MessageBody::LeaveApproved => self.hard_write,
            MessageBody::StaleTerm => self.hard_write,
            MessageBody::PreVote { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::Join { .. }
            | MessageBody::Leave => 0,
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
        let due = match self.role {
            Role::Leader => self.leading.beat_due.unwrap_or(self.due),
            _ => self.due,
        };
        self.leave_due.map_or(due, |l| due.min(l))
    }

    pub fn tick(&mut self, now: Instant) {
        self.clock = now;
        if self.leave_due.is_some_and(|d| now >= d) {
            self.ask_to_leave(now);
        }
        if self.role == Role::Leader {
            if self.leading.beat_due.is_none_or(|d| now >= d) {
                self.check_quorum(now);
                if self.role == Role::Leader {
                    self.begin_round(now);
                    self.hand_on(now);
                    self.settle_membership(now);
                }
            }
            return;
        }
        if now < self.due {
            return;
        }
        // One whose disk hangs could not vote for itself either.
        if !self.may_stand() || self.disk_silent(now) > self.parameters.election_timeout * 2 {
            self.due = now + jitter(&mut self.rng, self.parameters.election_timeout) * 2;
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
    pub fn on_write_durable(&mut self, now: Instant, write: u64) {
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
        self.durable = self.durable.min(self.log.last_index());
        if self.role == Role::Leader {
            self.advance();
        }
    }

    pub fn handle_message(&mut self, now: Instant, message: Message) {
        self.clock = now;
        let Message { from, to, term, body } = message;
        if to != self.me.id && !matches!(body, MessageBody::Join { .. }) {
            return;
        }
        // These raise nobody's term.
        match body {
            MessageBody::PreVote { last_index, last_term } => {
                return self.pre_vote_asked(now, from, term, (last_index, last_term));
            }
            MessageBody::PreVoteResponse { granted } => return self.pre_vote_answered(now, from, term, granted),
            MessageBody::Join { voter } => return self.admit(now, from, voter),
            MessageBody::Leave => return self.leave_asked(now, from),
            _ => {}
        }
        if term > self.term {
            let leads = matches!(body, MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. });
            self.follow(now, term, leads.then_some(from));
        }
        match body {
            MessageBody::RequestVote { last_index, last_term } => {
                self.vote_asked(now, from, term, (last_index, last_term))
            }
            MessageBody::VoteResponse { granted } => self.voted(now, from, term, granted),
            MessageBody::AppendEntries { round, prev_index, prev_term, entries, commit, echo, confirmed } => {
                if term < self.term {
                    return self.send(from, MessageBody::StaleTerm);
                }
                self.hear(now, from);
                let contact = self.contact.heard((from.id, term), round, echo, confirmed);
                let (success, index) = self.take(prev_index, prev_term, entries);
                if success {
                    self.commit_to(commit.min(index));
                    if self.commit >= commit && self.log.term_at(self.commit) == Some(self.term) {
                        self.as_of = self.as_of.max(contact);
                    }
                }
                self.answer(from, round, success, index);
            }
            MessageBody::InstallSnapshot { round, of, offset, bytes } => {
                if term < self.term {
                    return self.send(from, MessageBody::StaleTerm);
                }
                self.hear(now, from);
                match self.take_piece(of, offset, &bytes) {
                    Some(offset) => self.send(from, MessageBody::SnapshotResponse { round, of, offset }),
                    None => self.answer(from, round, true, self.commit),
                }
            }
            MessageBody::AppendResponse { round, success, index, nonce } if self.leads(term) => {
                if let Some(peer) = self.leading.peers.get_mut(&from.id) {
                    peer.echo = nonce;
                }
                self.appended(now, from, round, success, index);
            }
            MessageBody::SnapshotResponse { round, of, offset } if self.leads(term) => {
                self.snapshot_taken(now, from, round, of, offset)
            }
            MessageBody::TimeoutNow if term == self.term && self.role == Role::Follower && self.may_stand() => {
                self.election_began = now;
                self.stand(now);
            }
            MessageBody::LeaveApproved if term == self.term => self.left = self.leaving.is_some(),
            _ => {}
        }
    }

    fn answer(&mut self, leader: Voter, round: u64, success: bool, index: u64) {
        let nonce = self.rng.u32(1..);
        self.contact.answers(self.clock, nonce);
        self.send(leader, MessageBody::AppendResponse { round, success, index, nonce });
    }

    fn leads(&self, term: u64) -> bool {
        self.role == Role::Leader && term == self.term
    }

    fn hear(&mut self, now: Instant, leader: Voter) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard_leader = Some(now);
        self.arm_follower(now);
    }
}
