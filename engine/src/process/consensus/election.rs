//! Elections (Raft §5.2, §5.4.1): pre-votes, candidates and votes; and how a leader steps down.
//!
//! Invariants:
//! - One vote a term: `vote` changes only together with a higher `term`, or from none to a candidate, and is
//!   durable before the vote is sent (`durability.rs`). So at most one candidate gets a majority in a term.
//! - Leader completeness: a vote is granted only to a candidate whose log is at least as up to date as
//!   the voter's. A committed entry is on a majority, which meets every majority of votes.

use super::duration_samples::jitter;
use super::leader_state::LeaderState;
use super::log::LogPosition;
use super::{MessageBody, Raft, Role};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Voter, VoterId};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The candidate timeout is at least this long, so that a few fast measurements do not make it useless.
const CANDIDATE_TIMEOUT_MIN: Duration = Duration::from_millis(20);
/// The candidate timeout is at most this many T.
const CANDIDATE_TIMEOUT_MAX_T: u32 = 2;
/// After failed candidacies the candidate timeout is multiplied by up to 2 to this power (Raft Refloated §4.3).
const BACKOFF_EXPONENT_MAX: u32 = 4;
/// With backoff the candidate timeout is still at most this many T, so that votes lost on a bad link are
/// requested again soon after the link has recovered.
const BACKOFF_MAX_T: u32 = 4;
/// A daemon that shuts down waits this many times as long as the others before it starts an election.
const SHUTDOWN_TIMEOUT_FACTOR: u32 = 4;
/// A daemon that may not start an election now considers it again after a timeout longer by this factor.
const INELIGIBLE_TIMEOUT_FACTOR: u32 = 2;

/// The election timer, and the votes for this daemon.
#[derive(Debug)]
pub(super) struct ElectionState {
    /// When a follower or candidate starts a new election.
    pub deadline: Instant,
    /// When the current election began here, with the follower's timeout.
    pub began_at: Instant,
    /// Candidacies that failed since then, as far as they matter for the backoff.
    failed_candidacies: u32,
    /// The voters that would vote for this daemon, itself included.
    pre_votes: BTreeSet<VoterId>,
    /// The votes for this daemon in the current term, including those that come after the candidate timeout.
    votes: BTreeSet<VoterId>,
}

impl ElectionState {
    /// The state of a follower that has just started.
    pub fn new(now: Instant, deadline: Instant) -> Self {
        ElectionState {
            deadline,
            began_at: now,
            failed_candidacies: 0,
            pre_votes: BTreeSet::new(),
            votes: BTreeSet::new(),
        }
    }
}

impl Raft {
    // ---- timers -----------------------------------------------------------------------------

    /// The timeout of a candidate, before backoff and jitter: at least µ + 2σ of the measured broadcast
    /// time (Raft Refloated §4.3). Unlike a heartbeat, a vote waits for two writes, the candidate's and
    /// the voter's, so two write times are added, measured in the same way.
    pub fn candidate_timeout(&self) -> Duration {
        let write_times = self.durability.write_times();
        if self.broadcast_times.is_empty() && write_times.is_empty() {
            return self.parameters.election_timeout;
        }
        let measured = self.broadcast_times.upper_bound() + 2 * write_times.upper_bound();
        measured.max(CANDIDATE_TIMEOUT_MIN).min(self.parameters.election_timeout * CANDIDATE_TIMEOUT_MAX_T)
    }

    fn reset_candidate_timer(&mut self, now: Instant) {
        let backoff = 2u32.pow(self.election.failed_candidacies);
        let limit = self.parameters.election_timeout * BACKOFF_MAX_T;
        let timeout = (self.candidate_timeout() * backoff).min(limit);
        self.election.deadline = now + jitter(&mut self.rng, timeout);
    }

    /// Follower timeouts are drawn from U(T, 2T) (Raft Refloated §4.3).
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let factor = if self.is_shutting_down() { SHUTDOWN_TIMEOUT_FACTOR } else { 1 };
        self.election.deadline = now + jitter(&mut self.rng, self.parameters.election_timeout) * factor;
    }

    /// The election timer has expired at a daemon that does not lead.
    pub(super) fn on_election_timeout(&mut self, now: Instant) {
        // A daemon whose disk is stalled could not even vote for itself.
        if !self.may_campaign() || self.is_disk_stalled(now) {
            let timeout = jitter(&mut self.rng, self.parameters.election_timeout);
            self.election.deadline = now + timeout * INELIGIBLE_TIMEOUT_FACTOR;
            return;
        }
        match self.role {
            Role::Follower => {
                self.election.began_at = now;
                self.election.failed_candidacies = 0;
                self.leader = None;
            }
            // Rejected by a majority, or not answered by one: either way the others need time.
            Role::Candidate => {
                self.election.failed_candidacies = (self.election.failed_candidacies + 1).min(BACKOFF_EXPONENT_MAX);
            }
            Role::PreCandidate | Role::Leader => {}
        }
        self.start_pre_vote(now);
    }

    /// Whether this daemon may be elected: as a voter, or, if the newest electorate leaves it out, until
    /// that is known to be committed. It may be the only one that holds that entry, and the others, whose
    /// votes would be needed, hold less.
    pub(super) fn may_campaign(&self) -> bool {
        let change_may_be_uncommitted = || self.commit_index < self.log.electorate_index();
        self.is_voter() || (change_may_be_uncommitted() && self.log.was_voter(self.me.id))
    }

    // ---- candidates -------------------------------------------------------------------------

    /// A majority of each set of voters, during joint consensus (Raft §6).
    fn has_majority(&self, votes: &BTreeSet<VoterId>) -> bool {
        self.log.electorate().has_majority(|id| votes.contains(&id))
    }

    fn start_pre_vote(&mut self, now: Instant) {
        self.role = Role::PreCandidate;
        self.reset_candidate_timer(now);
        self.election.pre_votes = BTreeSet::from([self.me.id]);
        let LogPosition { index: last_index, term: last_term } = self.log.last_position();
        for peer in self.other_voters() {
            self.send(peer, MessageBody::PreVote { last_index, last_term });
        }
        if self.has_majority(&self.election.pre_votes) {
            self.start_election(now);
        }
    }

    /// Becomes a candidate in the next term (Raft §5.2).
    pub(super) fn start_election(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.me.id);
        self.election.votes = BTreeSet::from([self.me.id]);
        self.write_hard_state();
        self.reset_candidate_timer(now);
        let LogPosition { index: last_index, term: last_term } = self.log.last_position();
        for peer in self.other_voters() {
            self.send(peer, MessageBody::RequestVote { last_index, last_term });
        }
        if self.has_majority(&self.election.votes) {
            self.become_leader(now);
        }
    }

    // ---- transitions ------------------------------------------------------------------------

    /// Appends an entry of the new term at once: only by way of one does the commit index advance
    /// (Raft §5.4.2), which also avoids the livelock of Raft Refloated §4.4.
    fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.election_durations.push(now.duration_since(self.election.began_at));
        let first_index = self.log.last_index() + 1;
        self.leader_state = LeaderState::new(now, first_index);
        for peer in self.other_voters() {
            self.track_peer(now, peer, first_index);
        }
        // The first electorate goes through the log too, so that a voter which missed some of the
        // founders learns it from the others.
        let is_founding = self.log.electorate_index() == 0 && self.log.snapshot().index == 0;
        let electorate = self.log.electorate().clone();
        let first_command = if is_founding { Command::ChangeElectorate { electorate } } else { Command::Noop };
        self.append(now, ProposalId::default(), first_command);
    }

    /// Becomes a follower in this term or a later one.
    pub(super) fn become_follower(&mut self, now: Instant, term: u64, leader: Option<Voter>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.election.votes.clear();
            self.write_hard_state();
        }
        if self.role == Role::Leader {
            self.fail_pending_reads();
            // A late vote must not make it leader of the same term again: responses to rounds of its first
            // leadership would be counted for rounds of the second.
            self.election.votes.clear();
            self.follower_contact_at = self.last_quorum_contact();
            self.leader_state = LeaderState::default();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// A leader that no majority has answered for 2T steps down (Raft dissertation §6.2).
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let timeout = self.parameters.peer_timeout();
        if self.leader_state.elected_at.is_some_and(|at| now.duration_since(at) < timeout) {
            return;
        }
        let responded = |id| self.leader_state.peer_satisfies(id, |peer| peer.responded_within(now, timeout));
        if !self.log.electorate().has_majority(|id| id == self.me.id || responded(id)) {
            self.become_follower(now, self.term, None);
        }
    }

    // ---- messages ---------------------------------------------------------------------------

    pub(super) fn on_pre_vote(&mut self, now: Instant, from: Voter, term: u64, candidate_last: LogPosition) {
        // A daemon that is still in contact with its leader does not help to unseat it.
        let timeout = self.parameters.election_timeout;
        let has_leader =
            self.role == Role::Leader || self.last_leader_contact.is_some_and(|at| now.duration_since(at) < timeout);
        let granted = !has_leader && term >= self.term && self.is_up_to_date(candidate_last);
        self.send(from, MessageBody::PreVoteResponse { granted });
        if self.role == Role::Leader && !self.log.electorate().contains(from.id) {
            // It was taken out of the electorate while it was unreachable and does not know that.
            self.on_join(now, from, true);
        }
    }

    pub(super) fn on_pre_vote_response(&mut self, now: Instant, from: Voter, term: u64, granted: bool) {
        if term > self.term {
            self.become_follower(now, term, None);
        } else if self.role == Role::PreCandidate && granted {
            self.election.pre_votes.insert(from.id);
            if self.has_majority(&self.election.pre_votes) {
                self.start_election(now);
            }
        }
    }

    pub(super) fn on_request_vote(&mut self, now: Instant, from: Voter, term: u64, candidate_last: LogPosition) {
        let granted = term == self.term
            && matches!(self.role, Role::Follower | Role::PreCandidate)
            && self.vote.is_none_or(|vote| vote == from.id)
            && self.is_up_to_date(candidate_last);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from.id);
                self.write_hard_state();
            }
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    /// A vote counts also after the candidate timeout, while this daemon asks for pre-votes again in the
    /// same term.
    pub(super) fn on_vote_response(&mut self, now: Instant, from: Voter, term: u64, granted: bool) {
        let is_candidate = matches!(self.role, Role::Candidate | Role::PreCandidate);
        let voted_for_itself = self.vote == Some(self.me.id) && self.election.votes.contains(&self.me.id);
        if !is_candidate || term != self.term || !voted_for_itself || !granted {
            return;
        }
        self.election.votes.insert(from.id);
        if self.has_majority(&self.election.votes) {
            self.become_leader(now);
        }
    }

    /// The check on votes (Raft §5.4.1): the candidate's log ends at least where this one does.
    fn is_up_to_date(&self, candidate_last: LogPosition) -> bool {
        candidate_last >= self.log.last_position()
    }
}
