//! What daemons say to each other, in `bincode` frames.

use super::consensus;
use super::dissemination::anti_entropy::{Digests, Update};
use super::dissemination::partial_view::PeerDescriptor;
use super::quota::{RightsNeed, RightsTransfer};
use crate::version::control_state::{Command, Outcome, ProposalId};
use crate::version::electorate::VoterId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who I am; the first thing seeds tell each other.
    Hello {
        descriptor: PeerDescriptor,
        voter: Option<VoterId>,
        bootstrapping: bool,
        /// Other daemons that keep the log, as known to the one that greets.
        known_controllers: Vec<PeerDescriptor>,
    },
    Raft(consensus::Message),
    Propose {
        mark: ProposalId,
        command: Command,
    },
    /// The leader has the proposal: the proposer's first timer ends, its second begins.
    ProposalReceived {
        mark: ProposalId,
    },
    ProposalDecided {
        mark: ProposalId,
        outcome: Outcome,
    },
    /// Not from the leader: ask there.
    NotLeader {
        mark: ProposalId,
    },
    /// Instances' liveness, as (id, call count, age of the beat).
    InstanceHeartbeats {
        beats: Vec<(String, u64, Duration)>,
        digests: Digests,
    },
    /// A child asks to be fed.
    Attach {
        descriptor: PeerDescriptor,
    },
    AttachAccepted {
        heartbeat: Heartbeat,
    },
    /// No room; try one of these.
    AttachRejected {
        others: Vec<PeerDescriptor>,
    },
    Detach,
    Updates(Vec<Update>),
    Heartbeat(Heartbeat),
    /// Ranges that differ, with the versions held in them.
    CompareVersions {
        ranges: Vec<u8>,
        versions: Vec<(String, u64)>,
    },
    Shuffle {
        descriptors: Vec<PeerDescriptor>,
        answer: bool,
    },
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    /// A pooler is short of rights now and does not wait until it asks again anyway.
    RightsRequest {
        nonce: u64,
        node: String,
        incarnation: u64,
        needs: Vec<RightsNeed>,
    },
    RightsGrant {
        nonce: u64,
        span: Duration,
        term: u64,
        transfers: Vec<RightsTransfer>,
    },
    /// Not by this daemon: that one leads.
    LeaderRedirect {
        leader: Ipv4Addr,
    },
    /// The leader wants leases for this epoch back.
    LeaseRecall {
        service: String,
        epoch: u64,
    },
    LeaseReturned {
        service: String,
        epoch: u64,
    },
}

/// A parent's sign of incarnation: how old its news is, who leads, and what tells whether copies differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Age of the newest sign of the leader.
    pub leader_contact_age: Duration,
    pub depth: u8,
    pub leader: Option<Ipv4Addr>,
    /// Over all digests; they themselves only where they have changed since the last heartbeat.
    pub digest_sum: u64,
    pub digests: Option<Digests>,
}

/// What a pooler tells the leader now and then, asking for leases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub nonce: u64,
    pub node: String,
    pub zone: String,
    /// The incarnation of the process; counts of an earlier one stand beside these.
    pub incarnation: u64,
    /// Requests begun by window and tenant, whole so far.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The services that leases are asked for.
    pub services: Vec<String>,
    /// Primaries seen: service, epoch, how long it has been silent although asked.
    pub primary_observations: Vec<PrimaryObservation>,
    /// Connections at work, over all instances.
    pub busy_connections: u32,
    /// Over the digests of the copies here.
    pub digest_sum: u64,
    /// The rights held for tenants with a limit, where something has changed; for a leader that this
    /// pooler has not told yet (`known` is the last one's term), of all.
    pub rights_needs: Vec<RightsNeed>,
    pub known_term: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    pub service: String,
    pub epoch: u64,
    pub failing: bool,
    /// It answered READONLY: it has lost the lead.
    pub deposed: bool,
    /// Age of the last answer.
    pub last_answer_age: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub nonce: u64,
    /// Service, epoch, as far as asked for: leases from the asking on.
    pub leases: Vec<(String, u64)>,
    pub valid_for: Duration,
    /// Windows up to and including this one are reported; no need to tell of them again.
    pub reported_through: Option<u64>,
    /// Of the leader's copies, for one whose copies differ.
    pub digests: Option<Digests>,
    pub term: u64,
    pub transfers: Vec<RightsTransfer>,
}

/// Frames are bounded; nothing daemons say comes near this.
pub const FRAME_MAX: usize = 8 << 20;

/// Longer ones are packed on the way: links are thin, and bytes between zones dear.
const PACK_FROM: usize = 1024;
const LEVEL: i32 = 1;
const PLAIN: u8 = 0;
const PACKED: u8 = 1;

pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = vec![PLAIN];
    let config = bincode::config::standard();
    if bincode::serde::encode_into_std_write(message, &mut bytes, config).is_err() {
        return Vec::new();
    }
    if bytes.len() > PACK_FROM
        && let Ok(packed) = zstd::bulk::compress(&bytes[1..], LEVEL)
    {
        bytes.truncate(1);
        bytes[0] = PACKED;
        bytes.extend_from_slice(&packed);
    }
    bytes
}

pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (kind, body) = bytes.split_first()?;
    let config = bincode::config::standard();
    let whole = |body: &[u8]| {
        let (message, used) = bincode::serde::decode_from_slice(body, config).ok()?;
        (used == body.len()).then_some(message)
    };
    match *kind {
        PLAIN => whole(body),
        PACKED => {
            let length = zstd::zstd_safe::get_frame_content_size(body).ok()??;
            let length = usize::try_from(length).ok().filter(|n| *n <= FRAME_MAX)?;
            whole(&zstd::bulk::decompress(body, length).ok()?)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_messages_are_packed_and_torn_ones_are_refused() {
        let updates = |n: usize| {
            let update = |i| Update {
                key: format!("d/i-{i}"),
                version: i as u64,
                value: super::super::dissemination::anti_entropy::UpdateValue::DrainInstance { id: format!("i-{i}") },
            };
            PeerMessage::Updates((0..n).map(update).collect())
        };
        for n in [0, 3, 400] {
            let bytes = encode(&updates(n));
            assert_eq!(decode(&bytes), Some(updates(n)));
            assert!(bytes.len() < 4000, "{} bytes", bytes.len());
            for cut in [0, 1, bytes.len() / 2, bytes.len() - 1] {
                assert_eq!(decode(&bytes[..cut]), None, "{n} updates cut at {cut}");
            }
        }
        assert_eq!(decode(&[7, 0, 0]), None);
    }
}
