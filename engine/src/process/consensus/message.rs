//! The messages that voters and learners exchange.
//!
//! They are serialized onto the wire: the order of variants and fields is a format.

use super::Entry;
use crate::version::electorate::{Voter, VoterId};
use serde::{Deserialize, Serialize};

/// A message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Voter,
    /// The receiver; 0 in a [`MessageBody::Join`], whose sender does not know the receiver's identity.
    pub to: VoterId,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// The kinds of messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Pre-vote (Raft dissertation §9.6): would the receiver vote for the sender? Raises nobody's term.
    PreVote {
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of the sender's last entry.
        last_term: u64,
    },
    /// The answer to `PreVote`.
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// RequestVote (Raft §5.2).
    RequestVote {
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// The answer to `RequestVote`.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// AppendEntries (Raft §5.3); without entries it is a heartbeat.
    AppendEntries {
        /// The leader's round of messages that this one belongs to.
        round: u64,
        /// The index of the entry before `entries`.
        prev_index: u64,
        /// The term of the entry before `entries`.
        prev_term: u64,
        /// The entries after `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        leader_commit: u64,
        /// The nonce of the receiver's last response, from which together with `confirmed_round` the
        /// receiver derives when the leader was last in contact with a majority (`quorum_contact.rs`).
        echoed_nonce: u32,
        /// The newest round that a majority has answered.
        confirmed_round: u64,
    },
    /// The answer to `AppendEntries`, and to the last chunk of a snapshot.
    AppendResponse {
        /// The round of the message that it answers.
        round: u64,
        /// Whether the logs matched at the entry before the appended ones.
        success: bool,
        /// With success, the index up to which the logs match; otherwise the index after which to retry.
        index: u64,
        /// Identifies this response; the leader echoes it.
        nonce: u32,
    },
    /// Refuses a message of an older term. It is not an `AppendResponse`, since its receiver may lead the
    /// newer term by now and would take the round for one of its current rounds.
    StaleTerm,
    /// A chunk of a snapshot (Raft §7).
    InstallSnapshot {
        /// The leader's round of messages that this one belongs to.
        round: u64,
        /// The snapshot that the chunk is part of.
        snapshot: SnapshotId,
        /// The offset of the chunk in the encoded snapshot, in bytes.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
    },
    /// The answer to a chunk.
    SnapshotResponse {
        /// The round of the message that it answers.
        round: u64,
        /// The snapshot being received.
        snapshot: SnapshotId,
        /// The number of bytes received, which is the offset of the chunk wanted next.
        offset: u64,
    },
    /// A daemon outside the electorate asks to be sent the log.
    Join {
        /// Whether it also asks to become a voter.
        voter: bool,
    },
    /// Leadership transfer (Raft dissertation §3.10): the receiver starts an election at once.
    TimeoutNow,
    /// A daemon that shuts down asks to be taken out of the electorate if the others can spare it.
    Leave,
    /// The answer to `Leave`: the daemon may end now.
    LeaveApproved,
}

/// Identifies a snapshot whoever sends it: equal states at equal indexes are encoded in equal bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The length of the encoded snapshot, in bytes.
    pub length: u64,
    /// The digest of the encoded snapshot.
    pub digest: u64,
}
