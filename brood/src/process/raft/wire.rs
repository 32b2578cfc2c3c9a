//! What voters say to each other.

use super::{Entry, Snapshot, Voter, VoterId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Voter,
    pub to: VoterId,
    pub term: u64,
    pub body: Body,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be given, without raising anybody's term.
    PreVote {
        last_index: u64,
        last_term: u64,
    },
    PreVoteAnswer {
        granted: bool,
    },
    RequestVote {
        last_index: u64,
        last_term: u64,
    },
    Vote {
        granted: bool,
    },
    AppendEntries {
        round: u64,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    },
    Appended {
        round: u64,
        success: bool,
        index: u64,
    },
    InstallSnapshot {
        round: u64,
        snapshot: Snapshot,
    },
    /// A daemon outside the electorate asks to be sent the log; `voter`: and to be admitted.
    Join {
        voter: bool,
    },
    /// The leader hands its lead on: stand at once.
    Succeed,
}
