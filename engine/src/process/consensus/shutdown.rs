//! Orderly shutdown: a daemon asks to leave the electorate, and ends once the others can spare it.

use super::progress::Progress;
use super::{MessageBody, Raft, Role};
use crate::version::electorate::{Electorate, Voter};
use std::time::Instant;

/// A request to leave counts for this many T; it is repeated meanwhile.
const LEAVE_REQUEST_VALID_T: u32 = 3;
/// A new leader learns within this many T of the learners that could replace a voter.
const NEW_LEADER_T: u32 = 4;

/// The shutdown of this daemon.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    requested: bool,
    /// When to ask the leader again.
    pub next_request_at: Option<Instant>,
    /// The leader agreed.
    approved: bool,
}

impl Raft {
    /// Begins to shut down: a leader takes no more proposals, lets a voter catch up and transfers its
    /// leadership; then, and otherwise, the daemon asks to be taken out of the electorate.
    /// [`Raft::may_shut_down`] tells when it may end.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.clock = now;
        if !self.shutdown.requested {
            self.shutdown.requested = true;
            self.request_leave(now);
        }
    }

    /// Whether this daemon is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.requested
    }

    /// Whether this daemon is shutting down and the others can go on without it as well as they ever will.
    pub fn may_shut_down(&self) -> bool {
        let is_alone = self.other_voters().is_empty();
        let removal_committed = !self.is_voter() && self.commit_index >= self.log.electorate_index();
        let is_removed = removal_committed && self.role != Role::Leader;
        self.is_shutting_down() && (self.shutdown.approved || is_alone || is_removed)
    }

    /// Asks the leader to be let go, or transfers the leadership first.
    pub(super) fn request_leave(&mut self, now: Instant) {
        self.shutdown.next_request_at = Some(now + self.parameters.heartbeat_interval());
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        } else if let Some(leader) = self.leader.filter(|leader| leader.id != self.me.id) {
            self.send(leader, MessageBody::Leave);
        }
    }

    pub(super) fn on_leave_approved(&mut self) {
        self.shutdown.approved = self.is_shutting_down();
    }

    // ---- at the leader ----------------------------------------------------------------------

    /// Whether a peer asked to leave lately.
    pub(super) fn is_leaving(&self, peer: &Progress, now: Instant) -> bool {
        let valid = self.parameters.election_timeout * LEAVE_REQUEST_VALID_T;
        peer.leave_requested_at.is_some_and(|at| now.duration_since(at) < valid)
    }

    /// A voter or learner asks to leave. It may once no change that takes it out is under way or to be
    /// expected, and enough other disks hold what is committed.
    pub(super) fn on_leave(&mut self, now: Instant, from: Voter) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(peer) = self.leader_state.peers.get_mut(&from.id) {
            (peer.leave_requested_at, peer.last_response_at) = (Some(now), Some(now));
        }
        self.advance_membership(now);
        let electorate = self.log.electorate();
        let change_under_way = self.commit_index < self.log.electorate_index() || electorate.is_joint();
        let change_expected = electorate.contains(from.id) && self.is_new_leader(now);
        if !change_under_way && !change_expected && self.can_spare_disk(now, electorate, from) {
            self.send(from, MessageBody::LeaveApproved);
        }
    }

    /// Whether it was elected too lately to know of all learners.
    fn is_new_leader(&self, now: Instant) -> bool {
        let period = self.parameters.election_timeout * NEW_LEADER_T;
        self.leader_state.elected_at.is_none_or(|at| now.duration_since(at) < period)
    }

    /// Whether more disks than the tolerance hold what is committed without this voter's; where fewer
    /// voters than that respond, all of them.
    fn can_spare_disk(&self, now: Instant, electorate: &Electorate, leaving: Voter) -> bool {
        let timeout = self.parameters.peer_timeout();
        let is_live = |voter: &Voter| {
            voter.id == self.me.id
                || self.leader_state.peer_satisfies(voter.id, |peer| peer.responded_within(now, timeout))
        };
        let holds_committed = |voter: &Voter| match voter.id == self.me.id {
            true => self.durability.durable_index() >= self.commit_index,
            false => self.leader_state.peer_satisfies(voter.id, |peer| peer.match_index >= self.commit_index),
        };
        let others: Vec<&Voter> = electorate.voters.iter().filter(|voter| voter.id != leaving.id).collect();
        let live = others.iter().filter(|voter| is_live(voter)).count();
        let copies_needed = (self.parameters.tolerance + 1).min(live);
        others.iter().filter(|voter| holds_committed(voter)).count() >= copies_needed
    }
}
