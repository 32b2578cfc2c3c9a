//! Messages between daemons, and the frames that carry them.
//!
//! The encoding is positional: the order and the types of variants and fields are part of the wire format
//! and stay as they are. Names are free.

mod framing;
mod heartbeat;
mod lease;
#[cfg(test)]
mod tests;

pub use framing::{DecodeError, FRAME_MAX, decode, encode};
pub use heartbeat::{Heartbeat, InstanceLiveness};
pub use lease::{GrantedLease, LeaseGrant, LeaseRequest, PrimaryObservation};

use super::consensus;
use super::dissemination::anti_entropy::{Digests, KeyVersion, Update};
use super::dissemination::partial_view::PeerDescriptor;
use super::quota::{RightsNeed, RightsTransfer};
use crate::version::control_state::{Command, Outcome, ProposalId};
use crate::version::electorate::VoterId;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::time::Duration;

/// A message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A controller introduces itself to another; the first message between seed nodes.
    Hello {
        /// The sender.
        descriptor: PeerDescriptor,
        /// The sender's id as a voter, if it has one.
        voter: Option<VoterId>,
        /// Whether the sender may form a new electorate.
        bootstrapping: bool,
        /// Other controllers that the sender knows.
        known_controllers: Vec<PeerDescriptor>,
    },
    /// A message of the consensus protocol.
    Raft(consensus::Message),
    /// A proposal for the log, sent to the leader.
    Propose {
        /// Identifies the proposal; a repeated one is applied once.
        proposal_id: ProposalId,
        /// What is proposed.
        command: Command,
    },
    /// The leader has the proposal: the proposer now waits for the decision.
    ProposalReceived {
        /// The proposal.
        proposal_id: ProposalId,
    },
    /// The proposal was decided and applied.
    ProposalDecided {
        /// The proposal.
        proposal_id: ProposalId,
        /// What applying it came to.
        outcome: Outcome,
    },
    /// The receiver of a proposal does not lead; the proposer tries elsewhere.
    NotLeader {
        /// The proposal.
        proposal_id: ProposalId,
    },
    /// Gossip between controllers: the liveness of instances that called the sender.
    InstanceHeartbeats {
        /// One for each of these instances.
        heartbeats: Vec<InstanceLiveness>,
        /// Digests of the sender's updates.
        digests: Digests,
    },
    /// Asks the receiver to become the sender's parent in the dissemination tree.
    Attach {
        /// The sender.
        descriptor: PeerDescriptor,
    },
    /// The receiver of an `Attach` is now the parent.
    AttachAccepted {
        /// The new parent's state.
        heartbeat: Heartbeat,
    },
    /// The receiver of an `Attach` takes no further child.
    AttachRejected {
        /// Its children, as other possible parents.
        alternatives: Vec<PeerDescriptor>,
    },
    /// Ends the relation of parent and child, from either side.
    Detach,
    /// Updates for the receiver to store and pass on.
    Updates(Vec<Update>),
    /// From a parent to its children.
    Heartbeat(Heartbeat),
    /// Anti-entropy: the sender's copies may differ in these ranges; asks for what is newer.
    CompareVersions {
        /// Indices of the ranges; none in a plain answer to a heartbeat.
        ranges: Vec<u8>,
        /// All that the sender holds in these ranges.
        versions: Vec<KeyVersion>,
    },
    /// A shuffle of partial views.
    Shuffle {
        /// A sample of the sender's view.
        descriptors: Vec<PeerDescriptor>,
        /// Whether this answers a shuffle of the receiver's.
        is_reply: bool,
    },
    /// From a pooler to the leader.
    LeaseRequest(LeaseRequest),
    /// The leader's answer to a `LeaseRequest`.
    LeaseGrant(LeaseGrant),
    /// A pooler lacks rights and does not wait until its next lease request.
    RightsRequest {
        /// Repeated in the answer.
        nonce: u64,
        /// The pooler's name.
        node: String,
        /// The incarnation of its process.
        incarnation: u64,
        /// What it holds and wants, of the tenants where something has changed.
        needs: Vec<RightsNeed>,
    },
    /// The leader's answer to a `RightsRequest`.
    RightsGrant {
        /// The request's nonce.
        nonce: u64,
        /// How long the pooler's rights are valid, from when it sent the request.
        valid_for: Duration,
        /// The leader's term.
        term: u64,
        /// The rights granted.
        transfers: Vec<RightsTransfer>,
    },
    /// The receiver of a request does not lead; that controller does.
    LeaderRedirect {
        /// The leader's address.
        leader: Ipv4Addr,
    },
    /// The leader wants the leases for an epoch back before they expire.
    LeaseRecall {
        /// The service.
        service: String,
        /// The epoch that ends.
        epoch: u64,
    },
    /// The pooler holds no lease for the epoch any more and has no work under it.
    LeaseReturned {
        /// The service.
        service: String,
        /// The epoch.
        epoch: u64,
    },
}
