//! When a follower's leader was last known to be in contact with a majority, by the follower's own clock.
//!
//! A leader's message may be old when it is read: it may have been delayed, or the sender or the
//! receiver may have been suspended. Therefore every response carries a nonce, and the leader echoes the
//! last nonce it received. A round whose message echoes a nonce began after the response with that nonce
//! was sent from here. Once the leader reports that a majority has answered that round, it was the leader
//! and in contact with a majority at some moment after that response.

use super::bounded_queue::push_bounded;
use crate::version::electorate::VoterId;
use std::collections::VecDeque;
use std::time::Instant;

/// Number of responses and of rounds remembered.
const REMEMBERED: usize = 64;

/// A leader in one term.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct LeaderTerm {
    pub leader: VoterId,
    pub term: u64,
}

/// What a leader's append message says about its rounds.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoundReport {
    /// The round that the message belongs to.
    pub round: u64,
    /// The nonce of the last response the leader had from this daemon; 0 for none.
    pub echoed_nonce: u32,
    /// The newest round that a majority has answered.
    pub confirmed_round: u64,
}

/// A response sent from here.
#[derive(Debug, Clone, Copy)]
struct SentResponse {
    nonce: u32,
    sent_at: Instant,
}

/// A round of the leader that is known to have begun after `began_after`.
#[derive(Debug, Clone, Copy)]
struct ObservedRound {
    round: u64,
    began_after: Instant,
}

/// Responses sent to the current leader, and its rounds that are known to have begun after them.
#[derive(Debug, Default)]
pub(super) struct QuorumContact {
    /// The leader and term that the rounds below belong to.
    leader: LeaderTerm,
    responses: VecDeque<SentResponse>,
    rounds: VecDeque<ObservedRound>,
}

impl QuorumContact {
    /// Takes in a leader's append message. Returns the latest moment after which the leader is known to
    /// have been in contact with a majority, before it sent this message.
    pub fn on_leader_message(&mut self, leader: LeaderTerm, report: RoundReport) -> Option<Instant> {
        if self.leader != leader {
            *self = QuorumContact { leader, ..QuorumContact::default() };
        }
        let echoed = self.responses.iter().find(|response| response.nonce == report.echoed_nonce).copied();
        if let Some(response) = echoed {
            let observed = ObservedRound { round: report.round, began_after: response.sent_at };
            push_bounded(&mut self.rounds, observed, REMEMBERED);
        }
        let confirmed = self.rounds.iter().filter(|observed| observed.round <= report.confirmed_round);
        confirmed.map(|observed| observed.began_after).max()
    }

    /// A response with this nonce is sent now.
    pub fn record_response(&mut self, now: Instant, nonce: u32) {
        push_bounded(&mut self.responses, SentResponse { nonce, sent_at: now }, REMEMBERED);
    }
}
