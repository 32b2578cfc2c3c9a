//! Heartbeats: of parents in the dissemination tree, and of instances.

use crate::process::dissemination::anti_entropy::Digests;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::time::Duration;

/// A parent's heartbeat to its children: how fresh its knowledge is, and digests by which a child sees
/// whether its copies differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time since the leader is known to have been in contact with its quorum.
    pub leader_contact_age: Duration,
    /// The parent's distance from a root, in hops.
    pub depth: u8,
    /// The leader, if the parent knows it.
    pub leader: Option<Ipv4Addr>,
    /// A digest over `digests`.
    pub digest_sum: u64,
    /// The parent's digests, if they have changed since its last heartbeat or the child does not know them.
    pub digests: Option<Digests>,
}

/// When an instance of the database last sent a heartbeat, as gossiped between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceLiveness {
    /// The instance.
    pub id: String,
    /// The count in its latest heartbeat.
    pub heartbeat_count: u64,
    /// Time since that heartbeat was received.
    pub age: Duration,
}
