//! The inputs: the passing of time and messages, each handed to the module that it concerns.

use super::append::AppendRequest;
use super::log::LogPosition;
use super::quorum_contact::RoundReport;
use super::replication::AppendResponse;
use super::snapshot::{SnapshotChunk, SnapshotResponse};
use super::{Message, MessageBody, Raft, Role};
use crate::version::electorate::Voter;
use std::time::Instant;

impl Raft {
    /// The next moment at which [`Raft::tick`] has something to do.
    pub fn next_due(&self) -> Instant {
        let due = match self.role {
            Role::Leader => self.leader_state.next_heartbeat_at.unwrap_or(self.election.deadline),
            _ => self.election.deadline,
        };
        self.shutdown.next_request_at.map_or(due, |request_at| due.min(request_at))
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Instant) {
        self.clock = now;
        if self.shutdown.next_request_at.is_some_and(|at| now >= at) {
            self.request_leave(now);
        }
        if self.role == Role::Leader {
            if self.leader_state.next_heartbeat_at.is_none_or(|at| now >= at) {
                self.heartbeat(now);
            }
        } else if now >= self.election.deadline {
            self.on_election_timeout(now);
        }
    }

    /// A leader's periodic work, every T/2.
    fn heartbeat(&mut self, now: Instant) {
        self.check_quorum(now);
        if self.role == Role::Leader {
            self.begin_round(now);
            self.transfer_leadership(now);
            self.advance_membership(now);
        }
    }

    /// Handles a message from another daemon.
    pub fn handle_message(&mut self, now: Instant, message: Message) {
        self.clock = now;
        let Message { from, to, term, body } = message;
        if to != self.me.id && !matches!(body, MessageBody::Join { .. }) {
            return;
        }
        match body {
            MessageBody::PreVote { last_index, last_term } => {
                self.on_pre_vote(now, from, term, LogPosition { term: last_term, index: last_index })
            }
            MessageBody::PreVoteResponse { granted } => self.on_pre_vote_response(now, from, term, granted),
            MessageBody::Join { voter } => self.on_join(now, from, voter),
            MessageBody::Leave => self.on_leave(now, from),
            body => self.handle_term_message(now, from, term, body),
        }
    }

    /// Handles a message whose term counts: a higher one makes this daemon a follower in it (Raft §5.1).
    fn handle_term_message(&mut self, now: Instant, from: Voter, term: u64, body: MessageBody) {
        if term > self.term {
            let is_leader = matches!(body, MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. });
            self.become_follower(now, term, is_leader.then_some(from));
        }
        match body {
            MessageBody::RequestVote { last_index, last_term } => {
                self.on_request_vote(now, from, term, LogPosition { term: last_term, index: last_index })
            }
            MessageBody::VoteResponse { granted } => self.on_vote_response(now, from, term, granted),
            MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. } if term < self.term => {
                self.send(from, MessageBody::StaleTerm)
            }
            MessageBody::AppendEntries {
                round,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                echoed_nonce,
                confirmed_round,
            } => {
                let prev = LogPosition { term: prev_term, index: prev_index };
                let report = RoundReport { round, echoed_nonce, confirmed_round };
                self.on_append_entries(now, from, AppendRequest { prev, entries, leader_commit, report });
            }
            MessageBody::InstallSnapshot { round, snapshot, offset, bytes } => {
                self.on_install_snapshot(now, from, SnapshotChunk { round, snapshot, offset, bytes })
            }
            MessageBody::AppendResponse { round, success, index, nonce } if self.leads_term(term) => {
                self.on_append_response(now, from, AppendResponse { round, success, index, nonce })
            }
            MessageBody::SnapshotResponse { round, snapshot, offset } if self.leads_term(term) => {
                self.on_snapshot_response(now, from, SnapshotResponse { round, snapshot, offset })
            }
            MessageBody::TimeoutNow if term == self.term => self.on_timeout_now(now),
            MessageBody::LeaveApproved if term == self.term => self.on_leave_approved(),
            _ => {}
        }
    }

    fn leads_term(&self, term: u64) -> bool {
        self.role == Role::Leader && term == self.term
    }

    /// The leader transfers its leadership to this daemon.
    fn on_timeout_now(&mut self, now: Instant) {
        if self.role == Role::Follower && self.may_campaign() {
            self.election.began_at = now;
            self.start_election(now);
        }
    }

    /// A message of the current term's leader has come; a candidate of the same term has lost (Raft §5.2).
    pub(super) fn on_leader_contact(&mut self, now: Instant, leader: Voter) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
    }
}
