//! Leadership transfer (Raft dissertation §3.10).

use super::{MessageBody, Raft, Role};
use crate::version::electorate::Voter;
use std::time::Instant;

impl Raft {
    /// Whether this leader gives up its leadership: it shuts down, its disk is stalled, or a committed
    /// change has taken it out of the electorate (Raft §6). It takes no proposals then, so that a voter
    /// catches up with it.
    pub(super) fn is_transferring_leadership(&self, now: Instant) -> bool {
        let removed = || !self.is_voter() && self.commit_index >= self.log.electorate_index();
        self.role == Role::Leader && (self.is_shutting_down() || self.is_disk_stalled(now) || removed())
    }

    /// Asks a voter that holds the whole log to start an election at once. This daemon leads on until that
    /// voter is elected, and asks again with each round.
    pub(super) fn transfer_leadership(&mut self, now: Instant) {
        if !self.is_transferring_leadership(now) {
            return;
        }
        let voters = &self.log.electorate().voters;
        let successor = voters.iter().find(|voter| voter.id != self.me.id && self.can_succeed(now, voter)).copied();
        if let Some(successor) = successor {
            self.send(successor, MessageBody::TimeoutNow);
        }
    }

    /// Whether a voter holds the whole log, responds and does not shut down.
    fn can_succeed(&self, now: Instant, voter: &Voter) -> bool {
        let last_index = self.log.last_index();
        let timeout = self.parameters.peer_timeout();
        self.leader_state.peer_satisfies(voter.id, |peer| {
            peer.match_index >= last_index && peer.leave_requested_at.is_none() && peer.responded_within(now, timeout)
        })
    }
}
