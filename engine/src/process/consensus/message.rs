//! What voters and learners say to each other.

use super::Entry;
use crate::version::electorate::{Voter, VoterId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: Voter,
    pub to: VoterId,
    pub term: u64,
    pub body: MessageBody,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote would be given, without raising anybody's term.
    PreVote {
        last_index: u64,
        last_term: u64,
    },
    PreVoteResponse {
        granted: bool,
    },
    RequestVote {
        last_index: u64,
        last_term: u64,
    },
    VoteResponse {
        granted: bool,
    },
    AppendEntries {
        round: u64,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        /// The nonce of the receiver's last answer, and the newest round that a majority answered: from these it
        /// tells how lately the leader was in contact with one (`contact.rs`).
        echo: u32,
        confirmed: u64,
    },
    AppendResponse {
        round: u64,
        success: bool,
        index: u64,
        nonce: u32,
    },
    /// A leader of an older term is told so. Not by `Appended`: it may lead the newer one by now, and would
    /// take the round for one of this lead's.
    StaleTerm,
    /// A part of a snapshot.
    InstallSnapshot {
        round: u64,
        of: SnapshotId,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// So many bytes of this snapshot are here; the next are wanted from there on.
    SnapshotResponse {
        round: u64,
        of: SnapshotId,
        offset: u64,
    },
    /// A daemon outside the electorate asks to be sent the log; `voter`: and to be admitted.
    Join {
        voter: bool,
    },
    /// The leader hands its lead on: stand at once.
    TimeoutNow,
    /// A daemon is about to end, and asks to be taken out of the electorate if others can spare it.
    Leave,
    /// It may end now.
    LeaveApproved,
}

/// One snapshot, whoever sends it: equal states at equal indexes are equal bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    pub index: u64,
    pub term: u64,
    /// Length and digest of the whole.
    pub length: u64,
    pub digest: u64,
}
