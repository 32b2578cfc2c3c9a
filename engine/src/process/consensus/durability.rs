//! Writes to disk, and the messages that wait for them.
//!
//! Invariant: a message is sent only after every write that it rests on is durable. Each message is
//! therefore released together with the number of a write ([`Effect::Send`]). Term and vote are on disk
//! before a vote or a response leaves (Raft §5.1, Raft Refloated §2.3.1).

use super::duration_samples::DurationSamples;
use super::effect::{Effect, WriteNumber};
use super::{HardState, Message, MessageBody, Raft, Role, Write};
use crate::version::electorate::Voter;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A write that is not durable yet.
#[derive(Debug)]
struct PendingWrite {
    number: WriteNumber,
    began_at: Instant,
    /// The index up to which the log is durable once this write is.
    last_index: u64,
}

/// Which writes were issued, and how much of the log is durable.
#[derive(Debug)]
pub(super) struct Durability {
    last_write: WriteNumber,
    /// The newest write of term and vote.
    last_hard_state_write: WriteNumber,
    /// Oldest first.
    pending: VecDeque<PendingWrite>,
    /// The index up to which the log here is durable and will not be replaced by a write under way.
    durable_index: u64,
    /// How long recent writes took to become durable.
    write_times: DurationSamples,
}

impl Durability {
    /// The state after a start, when the whole log comes from the disk.
    pub fn new(durable_index: u64) -> Self {
        Durability {
            last_write: 0,
            last_hard_state_write: 0,
            pending: VecDeque::new(),
            durable_index,
            write_times: DurationSamples::default(),
        }
    }

    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub fn write_times(&self) -> &DurationSamples {
        &self.write_times
    }

    /// How long the oldest pending write has been waiting for the disk.
    pub fn oldest_wait(&self, now: Instant) -> Duration {
        self.pending.front().map_or(Duration::ZERO, |write| now.duration_since(write.began_at))
    }

    fn begin_write(&mut self, now: Instant, is_hard_state: bool, last_index: u64) -> WriteNumber {
        self.last_write += 1;
        if is_hard_state {
            self.last_hard_state_write = self.last_write;
        }
        self.pending.push_back(PendingWrite { number: self.last_write, began_at: now, last_index });
        self.last_write
    }

    /// All writes up to this number are durable; the log now ends at `last_index`.
    fn complete_writes(&mut self, now: Instant, number: WriteNumber, last_index: u64) {
        while let Some(write) = self.pending.front()
            && write.number <= number
        {
            self.write_times.record(now.duration_since(write.began_at));
            self.durable_index = write.last_index;
            self.pending.pop_front();
        }
        self.durable_index = self.durable_index.min(last_index);
    }

    /// The entries from this index on were dropped from the log, also those in pending writes.
    pub fn truncate(&mut self, from: u64) {
        self.durable_index = self.durable_index.min(from - 1);
        for write in &mut self.pending {
            write.last_index = write.last_index.min(from - 1);
        }
    }

    /// The write that must be durable before a message is sent.
    fn required_write(&self, body: &MessageBody) -> WriteNumber {
        match body {
            // A vote, or a statement of what is in the log here, rests on all earlier writes.
            MessageBody::RequestVote { .. }
            | MessageBody::VoteResponse { .. }
            | MessageBody::AppendResponse { .. }
            | MessageBody::SnapshotResponse { .. } => self.last_write,
            // A leader's messages rest on its term alone: it counts itself only for what is durable.
            MessageBody::AppendEntries { .. }
            | MessageBody::InstallSnapshot { .. }
            | MessageBody::TimeoutNow
            | MessageBody::LeaveApproved
            | MessageBody::StaleTerm => self.last_hard_state_write,
            // These promise nothing.
            MessageBody::PreVote { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::Join { .. }
            | MessageBody::Leave => 0,
        }
    }
}

impl Raft {
    /// Issues a write of the log as it is now.
    pub(super) fn write(&mut self, write: Write) {
        let number = self.durability.begin_write(self.clock, write.hard_state.is_some(), self.log.last_index());
        self.effects.push(Effect::Write { number, write });
    }

    /// Writes term and vote. If they were written by the effect just before, that write is amended.
    pub(super) fn write_hard_state(&mut self) {
        let hard_state = Some(HardState { term: self.term, vote: self.vote });
        if let Some(Effect::Write { write, .. }) = self.effects.last_mut()
            && write.hard_state.is_some()
        {
            write.hard_state = hard_state;
            return;
        }
        self.write(Write { hard_state, ..Write::default() });
    }

    /// Sends a message once what it rests on is durable.
    pub(super) fn send(&mut self, to: Voter, body: MessageBody) {
        let after = self.durability.required_write(&body);
        let message = Message { from: self.me, to: to.id, term: self.term, body };
        self.effects.push(Effect::Send { to: to.ip, message, after });
    }

    /// All writes up to this number are on disk.
    pub fn on_write_durable(&mut self, now: Instant, number: WriteNumber) {
        self.clock = now;
        self.durability.complete_writes(now, number, self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit_index();
        }
    }

    /// Whether the disk has not completed a write for longer than it may take.
    pub(super) fn is_disk_stalled(&self, now: Instant) -> bool {
        self.durability.oldest_wait(now) > self.parameters.disk_timeout()
    }
}
