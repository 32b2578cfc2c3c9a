//! Confirmation of the leadership by rounds of messages, and reads that rest on it (ReadIndex, Raft
//! dissertation §6.4).
//!
//! A leader of an older term does not know that it has been replaced. But if a majority answered a round in
//! its term, no later leader had been elected when the round began: a later leader's majority meets
//! that one in a voter that has the higher term and would not have answered.

use super::leader_state::PendingRead;
use super::{Effect, Raft, ReadToken, Role};
use std::time::Instant;

impl Raft {
    /// Requests a read of the applied state that sees everything acknowledged before now. Answered by
    /// [`Effect::ReadReady`] or [`Effect::ReadFailed`].
    pub fn read(&mut self, now: Instant, token: ReadToken) {
        if self.role != Role::Leader {
            self.effects.push(Effect::ReadFailed(token));
            return;
        }
        self.begin_round(now);
        self.leader_state.pending_reads.push(PendingRead { round: self.leader_state.round, token });
        self.complete_ready_reads();
    }

    /// Whether this daemon may act as the leader towards others: a majority has answered a round begun
    /// within the confirmation window, and an entry of this term is committed, so that everything
    /// committed in earlier terms is known to be (Raft §8).
    pub fn is_confirmed_leader(&self, now: Instant) -> bool {
        let window = self.parameters.confirmation_window;
        self.role == Role::Leader
            && self.has_committed_in_term()
            && self.leader_state.confirmed_at.is_some_and(|at| now < at + window)
    }

    /// Whether an entry of this leader's term is committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.commit_index >= self.leader_state.first_index
    }

    /// Confirms the newest round that a majority of each set of voters has answered, and measures the
    /// broadcast time (Raft Refloated §4.3) by it.
    pub(super) fn confirm_answered_rounds(&mut self, now: Instant) {
        let answered_round = |id| {
            if id == self.me.id { self.leader_state.round } else { self.leader_state.answered_round(id) }
        };
        let round = self.log.electorate().quorum_value(0, answered_round);
        if round <= self.leader_state.confirmed_round {
            return;
        }
        if let Some(began_at) = self.leader_state.confirm_round(round) {
            self.broadcast_times.record(now.duration_since(began_at));
        }
        self.complete_ready_reads();
    }

    /// Completes the reads whose round is confirmed, once an entry of this term is committed.
    pub(super) fn complete_ready_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let confirmed_round = self.leader_state.confirmed_round;
        let pending = std::mem::take(&mut self.leader_state.pending_reads);
        let (ready, pending): (Vec<PendingRead>, _) =
            pending.into_iter().partition(|read| read.round <= confirmed_round);
        self.leader_state.pending_reads = pending;
        self.effects.extend(ready.into_iter().map(|read| Effect::ReadReady(read.token)));
    }

    /// Fails all pending reads of a leader that steps down.
    pub(super) fn fail_pending_reads(&mut self) {
        let pending = std::mem::take(&mut self.leader_state.pending_reads);
        self.effects.extend(pending.into_iter().map(|read| Effect::ReadFailed(read.token)));
    }
}
