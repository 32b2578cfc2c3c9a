//! How lately a follower's leader was in contact with a majority, proven by the follower's own clock.
//!
//! A leader's message may be old when it is read: it was on its way for long, or sender or receiver were frozen.
//! So each answer carries a nonce, and the leader sends the last one back: a round whose message brings back a
//! nonce began after that answer was given here. Once the leader says that a majority has answered that round,
//! it led, and was in contact, at some moment after that answer.

use crate::version::electorate::VoterId;
use std::collections::VecDeque;
use std::time::Instant;

/// Answers and rounds remembered.
const KEPT: usize = 64;

#[derive(Debug, Default)]
pub(super) struct QuorumContact {
    /// Whom the answers went to, and in which term.
    with: (VoterId, u64),
    /// Nonces of answers, and when each was given.
    answers: VecDeque<(u32, Instant)>,
    /// Rounds that began after an answer was given, and when that was.
    rounds: VecDeque<(u64, Instant)>,
}

fn keep<T>(kept: &mut VecDeque<T>, new: T) {
    kept.push_back(new);
    if kept.len() > KEPT {
        kept.pop_front();
    }
}

impl QuorumContact {
    /// A leader's message of this round has come, with the nonce of an answer and the newest round that a
    /// majority answered. Gives a moment after which the leader was in contact, before it sent this message.
    pub fn heard(&mut self, with: (VoterId, u64), round: u64, echo: u32, confirmed: u64) -> Option<Instant> {
        if self.with != with {
            *self = QuorumContact { with, ..QuorumContact::default() };
        }
        if let Some((_, given)) = self.answers.iter().find(|(nonce, _)| *nonce == echo) {
            let given = *given;
            keep(&mut self.rounds, (round, given));
        }
        self.rounds.iter().filter(|(round, _)| *round <= confirmed).map(|(_, given)| *given).max()
    }

    /// An answer with this nonce is given now.
    pub fn answers(&mut self, now: Instant, nonce: u32) {
        keep(&mut self.answers, (nonce, now));
    }
}
