//! The volatile state of a leader, reinitialized after each election (Raft, figure 2).

use super::bounded_queue::push_bounded;
use super::effect::ReadToken;
use super::progress::Progress;
use crate::version::electorate::VoterId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Number of rounds remembered until they are confirmed.
const ROUNDS_REMEMBERED: usize = 64;

/// A round: one message to each peer, sent at one moment. A response names the round that it answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Round {
    pub number: u64,
    pub began_at: Instant,
}

/// A read that waits until a majority has answered a round begun after it came.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    pub round: u64,
    pub token: ReadToken,
}

/// What only a leader keeps; the default while this daemon does not lead.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    /// The peers that the log is sent to: voters and learners.
    pub peers: BTreeMap<VoterId, Progress>,
    /// Rounds that are not confirmed yet, oldest first.
    unconfirmed_rounds: VecDeque<Round>,
    /// The number of the newest round.
    pub round: u64,
    pub next_heartbeat_at: Option<Instant>,
    /// When the newest confirmed round began.
    pub confirmed_at: Option<Instant>,
    /// The newest round that a majority has answered.
    pub confirmed_round: u64,
    pub pending_reads: Vec<PendingRead>,
    /// The index of the first entry of this term.
    pub first_index: u64,
    /// When this daemon was elected.
    pub elected_at: Option<Instant>,
}

impl LeaderState {
    /// The state of a leader that is elected now, whose first entry will be at this index.
    pub fn new(now: Instant, first_index: u64) -> Self {
        LeaderState { first_index, elected_at: Some(now), ..LeaderState::default() }
    }

    /// Begins a round.
    pub fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        push_bounded(&mut self.unconfirmed_rounds, Round { number: self.round, began_at: now }, ROUNDS_REMEMBERED);
    }

    /// A majority has answered the round with this number. Returns when it began, if that is remembered.
    pub fn confirm_round(&mut self, number: u64) -> Option<Instant> {
        self.confirmed_round = number;
        let confirmed = self.unconfirmed_rounds.iter().find(|round| round.number == number).copied();
        self.unconfirmed_rounds.retain(|round| round.number > number);
        let began_at = confirmed?.began_at;
        self.confirmed_at = Some(began_at);
        Some(began_at)
    }

    /// The match index of a peer; 0 if the log is not sent to it.
    pub fn match_index(&self, id: VoterId) -> u64 {
        self.peers.get(&id).map_or(0, |peer| peer.match_index)
    }

    /// The newest round that a peer has answered.
    pub fn answered_round(&self, id: VoterId) -> u64 {
        self.peers.get(&id).map_or(0, |peer| peer.answered_round)
    }

    /// Whether some condition holds for a peer; false if the log is not sent to it.
    pub fn peer_satisfies(&self, id: VoterId, condition: impl FnOnce(&Progress) -> bool) -> bool {
        self.peers.get(&id).is_some_and(condition)
    }
}
