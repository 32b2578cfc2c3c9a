//! Elections: pre-votes, candidates, votes, and how a lead ends.

use super::duration_samples::{bound, jitter};
use super::replication::LeaderState;
use super::{MessageBody, Raft, Role};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Voter, VoterId};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// TimingBounds of the candidate's timer.
const CANDIDATE_FLOOR: Duration = Duration::from_millis(20);
/// Up to 2^this times the candidate timer after candidacies that failed, but no more than so many T: votes that
/// were lost on a bad link are asked for again soon after it is well.
pub(super) const BACKOFF_MAX: u32 = 4;
const BACKOFF_T: u32 = 4;
/// One that is about to end stands so many times later than the others.
const LEAVER_LATER: u32 = 4;

impl Raft {
    /// The candidate's timer: at least µ + 2σ of the broadcast times measured here. A vote waits for
    /// the disk twice, at the candidate and at the voter, which heartbeats do not, so two writes are
    /// added, measured alike.
    pub fn candidate_timeout(&self) -> Duration {
        if self.broadcast.is_empty() && self.syncs.is_empty() {
            return self.parameters.election_timeout;
        }
        let measured = bound(&self.broadcast) + 2 * bound(&self.syncs);
        measured.max(CANDIDATE_FLOOR).min(self.parameters.election_timeout * 2)
    }

    fn arm_candidate(&mut self, now: Instant) {
        let base =
            (self.candidate_timeout() * 2u32.pow(self.backoff)).min(self.parameters.election_timeout * BACKOFF_T);
        self.due = now + jitter(&mut self.rng, base);
    }

    /// Follower timeouts come from U(T, 2T).
    pub(super) fn arm_follower(&mut self, now: Instant) {
        let times = if self.leaving.is_some() { LEAVER_LATER } else { 1 };
        self.due = now + jitter(&mut self.rng, self.parameters.election_timeout) * times;
    }

    fn has_majority(&self, votes: &BTreeSet<VoterId>) -> bool {
        self.log.electorate().has_majority(|id| votes.contains(&id))
    }

    pub(super) fn ask_pre_votes(&mut self, now: Instant) {
        self.role = Role::PreCandidate;
        self.arm_candidate(now);
        self.pre_votes = BTreeSet::from([self.me.id]);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.others() {
            self.send(peer, MessageBody::PreVote { last_index, last_term });
        }
        if self.has_majority(&self.pre_votes) {
            self.stand(now);
        }
    }

    pub(super) fn stand(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.me.id);
        self.votes = BTreeSet::from([self.me.id]);
        self.write_hard();
        self.arm_candidate(now);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.others() {
            self.send(peer, MessageBody::RequestVote { last_index, last_term });
        }
        if self.has_majority(&self.votes) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.elections.push(now.duration_since(self.election_began));
        let next = self.log.last_index() + 1;
        self.leading = LeaderState::new(now, next);
        for peer in self.others() {
            self.add_peer(now, peer, next);
        }
        // The electorate goes through the log too, so that a voter which missed some of the founders'
        // greetings learns of it from the others.
        let founding = self.log.electorate_index() == 0 && self.log.snapshot.index == 0;
        let electorate = self.log.electorate().clone();
        let first = if founding { Command::ChangeElectorate { electorate } } else { Command::Noop };
        self.append(now, ProposalId::default(), first);
    }

    pub(super) fn follow(&mut self, now: Instant, term: u64, leader: Option<Voter>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.votes.clear();
            self.write_hard();
        }
        if self.role == Role::Leader {
            self.drop_reads();
            // A late vote must not let it lead the same term again: answers to the rounds of the first time
            // would count for those of the second.
            self.votes.clear();
            self.as_of = self.last_quorum_contact();
            self.leading = LeaderState::default();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.arm_follower(now);
    }

    pub(super) fn pre_vote_asked(&mut self, now: Instant, from: Voter, term: u64, last: (u64, u64)) {
        // One that still hears its leader does not help to unseat it.
        let content = self.role == Role::Leader
            || self.heard_leader.is_some_and(|h| now.duration_since(h) < self.parameters.election_timeout);
        let granted = !content && term >= self.term && self.up_to_date(last);
        self.send(from, MessageBody::PreVoteResponse { granted });
        if self.role == Role::Leader && !self.log.electorate().has(from.id) {
            // It was retired while it was away and does not know.
            self.admit(now, from, true);
        }
    }

    pub(super) fn pre_vote_answered(&mut self, now: Instant, from: Voter, term: u64, granted: bool) {
        if term > self.term {
            self.follow(now, term, None);
        } else if self.role == Role::PreCandidate && granted {
            self.pre_votes.insert(from.id);
            if self.has_majority(&self.pre_votes) {
                self.stand(now);
            }
        }
    }

    pub(super) fn vote_asked(&mut self, now: Instant, from: Voter, term: u64, last: (u64, u64)) {
        let granted = term == self.term
            && matches!(self.role, Role::Follower | Role::PreCandidate)
            && self.vote.is_none_or(|v| v == from.id)
            && self.up_to_date(last);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from.id);
                self.write_hard();
            }
            self.role = Role::Follower;
            self.arm_follower(now);
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    pub(super) fn voted(&mut self, now: Instant, from: Voter, term: u64, granted: bool) {
        let stood = self.vote == Some(self.me.id) && self.votes.contains(&self.me.id);
        if !matches!(self.role, Role::Candidate | Role::PreCandidate) || term != self.term || !stood || !granted {
            return;
        }
        self.votes.insert(from.id);
        if self.has_majority(&self.votes) {
            self.lead(now);
        }
    }

    /// The log check on votes; `last`: index and term of the candidate's last entry.
    fn up_to_date(&self, (last_index, last_term): (u64, u64)) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// A leader that no majority answers steps down (ours).
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let patience = self.parameters.election_timeout * 2;
        if self.leading.since.is_some_and(|s| now.duration_since(s) < patience) {
            return;
        }
        let recent = |h: Instant| now.duration_since(h) < patience;
        let heard = |id| id == self.me.id || self.leading.peers.get(&id).is_some_and(|p| p.heard.is_some_and(recent));
        if !self.log.electorate().has_majority(heard) {
            self.follow(now, self.term, None);
        }
    }

    /// Whether this leader hands its lead on: it is about to end, its disk is silent, or it led the change
    /// to an electorate that it is not in. It takes no proposals then, so that somebody catches up with it.
    pub(super) fn hands_on(&self, now: Instant) -> bool {
        let out = || !self.is_voter() && self.commit >= self.log.electorate_index();
        let silent = || self.disk_silent(now) > self.parameters.election_timeout * 2;
        self.role == Role::Leader && (self.leaving.is_some() || silent() || out())
    }

    /// Tells a voter that holds the whole log to stand at once; this daemon leads on until that one is
    /// elected, and says it again with each round.
    pub(super) fn hand_on(&mut self, now: Instant) {
        if !self.hands_on(now) {
            return;
        }
        let (last, patience) = (self.log.last_index(), self.parameters.election_timeout * 2);
        let level = |v: &&Voter| {
            let peer = self.leading.peers.get(&v.id);
            peer.is_some_and(|p| {
                p.matched >= last && p.leaving.is_none() && p.heard.is_some_and(|h| now.duration_since(h) < patience)
            })
        };
        let voters = &self.log.electorate().voters;
        if let Some(heir) = voters.iter().filter(|v| v.id != self.me.id).find(level).copied() {
            self.send(heir, MessageBody::TimeoutNow);
        }
    }
}
