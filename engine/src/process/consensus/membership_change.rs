//! Membership changes (Raft §6): learners that catch up, and joint consensus.
//!
//! Joint-consensus overlap: a change goes from `C` by way of the joint electorate `(C, C')` to `C'`. Under the
//! joint electorate every decision needs a majority of `C` and one of `C'`, so decisions under neighbours in
//! that chain share a voter. The leader appends a step only when the one before it and an entry of its own
//! term are committed, so at most two neighbours are in use at any time. `docs/raft.md` gives the argument.

use super::progress::Progress;
use super::voter_plan::{Departing, DepartureReason, VoterPlan};
use super::{MessageBody, Raft, Role};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Electorate, Voter, VoterId};
use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A voter silent for longer than this is replaced if a learner is ready to take its place.
const REPLACE_AFTER_SILENCE: Duration = Duration::from_millis(1500);
/// A learner counts as ready, and a voter as present, if it responded within this time.
const RESPONSIVE_WITHIN: Duration = Duration::from_millis(500);
/// The last catch-up round of a ready learner took at most this many T.
const CATCH_UP_ROUND_MAX_T: u32 = 4;
/// The log is no longer sent to a learner that has been silent for this long; it asks again.
const LEARNER_FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// The identity in a join request, whose sender does not know the receiver's.
const UNKNOWN_VOTER: VoterId = 0;

impl Raft {
    /// All voters, including the outgoing ones during a change.
    pub fn voters(&self) -> Vec<Voter> {
        self.log.electorate().all_voters()
    }

    /// The newest electorate in the log, committed or not.
    pub fn electorate(&self) -> &Electorate {
        self.log.electorate()
    }

    /// Whether this daemon is in the newest electorate.
    pub fn is_voter(&self) -> bool {
        self.log.electorate().contains(self.me.id)
    }

    /// All voters but this one.
    pub(super) fn other_voters(&self) -> Vec<Voter> {
        self.voters().into_iter().filter(|voter| voter.id != self.me.id).collect()
    }

    // ---- learners ---------------------------------------------------------------------------

    /// Asks the daemon at an address to send this one the log, if it leads; `voter`: also to be made a voter.
    pub fn request_to_join(&mut self, to: Ipv4Addr, voter: bool) {
        self.send(Voter { id: UNKNOWN_VOTER, ip: to }, MessageBody::Join { voter });
    }

    /// A daemon asks to be sent the log, and perhaps to be made a voter.
    pub(super) fn on_join(&mut self, now: Instant, from: Voter, wants_to_vote: bool) {
        if self.role != Role::Leader || from.id == self.me.id {
            return;
        }
        if !self.leader_state.peers.contains_key(&from.id) {
            self.track_peer(now, from, self.log.last_index() + 1);
            self.replicate(now, from.id, true);
        }
        if let Some(peer) = self.leader_state.peers.get_mut(&from.id) {
            peer.wants_to_vote |= wants_to_vote;
            peer.ip = from.ip;
        }
        self.advance_membership(now);
    }

    // ---- changes ----------------------------------------------------------------------------

    /// Takes one step towards the electorate that there should be, if the last step is committed.
    pub(super) fn advance_membership(&mut self, now: Instant) {
        if !self.may_change_electorate(now) {
            return;
        }
        self.forget_silent_learners(now);
        if let Some(electorate) = self.next_electorate(now) {
            self.append(now, ProposalId::default(), Command::ChangeElectorate { electorate });
        }
    }

    /// The preconditions of a step: a majority follows this leader, the last step and an entry of its term
    /// are committed, and it votes with a working disk.
    fn may_change_electorate(&self, now: Instant) -> bool {
        self.is_confirmed_leader(now)
            && self.commit_index >= self.log.electorate_index()
            && self.is_voter()
            && !self.is_disk_stalled(now)
    }

    fn forget_silent_learners(&mut self, now: Instant) {
        let electorate = self.log.electorate();
        let is_kept = |id, peer: &Progress| electorate.contains(id) || peer.silence(now) < LEARNER_FORGOTTEN_AFTER;
        self.leader_state.peers.retain(|id, peer| is_kept(*id, peer));
    }

    /// The next step: out of a joint electorate to its new voters, or into one if the voters should change.
    fn next_electorate(&self, now: Instant) -> Option<Electorate> {
        let electorate = self.log.electorate();
        if electorate.is_joint() {
            return Some(Electorate::new(electorate.voters.clone()));
        }
        let voters = self.planned_voters(now);
        (voters != electorate.voters).then(|| electorate.joint_with(voters))
    }

    /// The voters that there should be. Each departing voter is replaced by a ready learner; more
    /// learners are added, and departing voters that are not needed removed, while the size stays odd.
    fn planned_voters(&self, now: Instant) -> Vec<Voter> {
        let mut plan = VoterPlan {
            voters: self.log.electorate().voters.clone(),
            ready: self.ready_learners(now),
            departing: self.departing_voters(now),
        };
        plan.replace_departing();
        let all_voters_present = self.are_all_voters_present(now, &plan.ready);
        plan.grow(all_voters_present);
        plan.shrink(2 * self.parameters.tolerance + 1);
        plan.into_voters()
    }

    /// The peers that are no voters and asked to become voters.
    fn candidates_to_join(&self) -> impl Iterator<Item = (VoterId, &Progress)> {
        let voters = &self.log.electorate().voters;
        let peers = self.leader_state.peers.iter().map(|(id, peer)| (*id, peer));
        peers.filter(|(id, peer)| peer.wants_to_vote && voters.iter().all(|voter| voter.id != *id))
    }

    /// The learners that respond, stay and have caught up.
    fn ready_learners(&self, now: Instant) -> Vec<Voter> {
        let round_max = self.parameters.election_timeout * CATCH_UP_ROUND_MAX_T;
        let last_index = self.log.last_index();
        let has_caught_up = |peer: &Progress| peer.match_index >= last_index || peer.catch_up.is_short(now, round_max);
        let is_ready = |peer: &Progress| {
            peer.responded_within(now, RESPONSIVE_WITHIN) && !self.is_leaving(peer, now) && has_caught_up(peer)
        };
        let ready = self.candidates_to_join().filter(|(_, peer)| is_ready(peer));
        ready.map(|(id, peer)| peer.voter(id)).collect()
    }

    /// The voters that should be replaced: the surest case first, and among equals the longest silent first.
    fn departing_voters(&self, now: Instant) -> Vec<Voter> {
        let mut departing: Vec<Departing> = Vec::new();
        for voter in self.log.electorate().voters.iter().filter(|voter| voter.id != self.me.id) {
            let Some(peer) = self.leader_state.peers.get(&voter.id) else { continue };
            if let Some(reason) = self.departure_reason(now, voter, peer) {
                departing.push(Departing { reason, silence: Reverse(peer.silence(now)), voter: *voter });
            }
        }
        departing.sort_unstable();
        departing.into_iter().map(|departing| departing.voter).collect()
    }

    fn departure_reason(&self, now: Instant, voter: &Voter, peer: &Progress) -> Option<DepartureReason> {
        let silence = peer.silence(now);
        // A second identity at its address means that the disk there is new and the old voter is no more.
        let has_successor =
            || self.candidates_to_join().any(|(_, other)| other.ip == voter.ip && other.last_response_at.is_some());
        if silence > self.parameters.peer_timeout() && has_successor() {
            Some(DepartureReason::DiskReplaced)
        } else if self.is_leaving(peer, now) {
            Some(DepartureReason::ShuttingDown)
        } else if silence > REPLACE_AFTER_SILENCE {
            Some(DepartureReason::Silent)
        } else {
            None
        }
    }

    /// Whether every voter responds, and has answered a round begun after these learners asked to join.
    /// Two more voters raise the majority by one, so none may be missing then, nor one whose successor is
    /// among the learners.
    fn are_all_voters_present(&self, now: Instant, learners: &[Voter]) -> bool {
        let tracked = learners.iter().filter_map(|learner| self.leader_state.peers.get(&learner.id));
        let joined_in_round = tracked.map(|peer| peer.tracked_since_round).max().unwrap_or(0);
        let is_present =
            |peer: &Progress| peer.answered_round > joined_in_round && peer.silence(now) < RESPONSIVE_WITHIN;
        let mut voters = self.log.electorate().voters.iter();
        voters.all(|voter| voter.id == self.me.id || self.leader_state.peer_satisfies(voter.id, is_present))
    }
}
