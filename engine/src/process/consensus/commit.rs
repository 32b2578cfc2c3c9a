//! The commit index: the only module that changes it, and applies what is committed.
//!
//! It advances in three ways: at a leader by what a quorum holds, at a follower by what the leader says,
//! and with a snapshot from the leader. It never goes back.

use super::{Effect, Raft};
use crate::version::electorate::VoterId;

impl Raft {
    /// The index up to which a voter durably holds this leader's log. The leader counts itself only for
    /// what is on its own disk.
    pub(super) fn durable_match_index(&self, id: VoterId) -> u64 {
        if id == self.me.id { self.durability.durable_index() } else { self.leader_state.match_index(id) }
    }

    /// Commits what a majority of each set of voters, and more voters than the tolerance, hold durably
    /// (Raft §5.3, §6), provided that the last such entry is of this term (Raft §5.4.2): an entry of an
    /// older term on a majority may still be replaced, one of this term may not, nor any before it.
    pub(super) fn advance_commit_index(&mut self) {
        let tolerance = self.parameters.tolerance;
        let index = self.log.electorate().quorum_value(tolerance, |id| self.durable_match_index(id));
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_up_to(index);
            self.complete_ready_reads();
        }
    }

    /// Commits the entries up to an index that is known to be committed, as far as they are in the log
    /// here and match the leader's, and applies them.
    pub(super) fn commit_up_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.last_applied < self.commit_index {
            self.last_applied += 1;
            let Some(entry) = self.log.entry(self.last_applied).cloned() else { break };
            self.bytes_since_snapshot += entry.size();
            self.effects.push(Effect::Apply { index: self.last_applied, entry });
        }
        if self.incoming_snapshot.as_ref().is_some_and(|incoming| incoming.id.index <= self.commit_index) {
            self.incoming_snapshot = None;
        }
    }

    /// A snapshot that ends at this index, beyond the commit index, replaces the applied state.
    pub(super) fn commit_snapshot(&mut self, index: u64) {
        (self.commit_index, self.last_applied) = (index, index);
        self.bytes_since_snapshot = 0;
    }
}
