//! A pooler's lease request and the leader's grant.

use crate::process::dissemination::anti_entropy::Digests;
use crate::process::quota::{RightsNeed, RightsTransfer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pooler's periodic request to the leader. It asks for leases and rights, and reports usage and what the
/// pooler observes of primaries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Repeated in the grant.
    pub nonce: u64,
    /// The pooler's name.
    pub node: String,
    /// The pooler's zone.
    pub zone: String,
    /// The incarnation of the process. Usage counts of an earlier incarnation are kept beside these.
    pub incarnation: u64,
    /// Requests begun, by usage window and tenant; totals so far, not increments.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The services that leases are requested for.
    pub services: Vec<String>,
    /// What the pooler observes of the primaries that it uses.
    pub primary_observations: Vec<PrimaryObservation>,
    /// Connections in use, over all instances.
    pub busy_connections: u32,
    /// The digest over the digests of the pooler's copies of updates.
    pub digest_sum: u64,
    /// The rights held for tenants with a limit, where something has changed; of all tenants until the
    /// current leader has had a complete report.
    pub rights_needs: Vec<RightsNeed>,
    /// The term of the last leader that had a complete report.
    pub known_term: u64,
}

/// What a pooler observes of a primary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// The service.
    pub service: String,
    /// The epoch of the primary.
    pub epoch: u64,
    /// Whether the primary does not answer, or not usefully.
    pub failing: bool,
    /// Whether it answered `READONLY`: it is no longer the primary.
    pub deposed: bool,
    /// Time since its last answer, if there was one.
    pub last_answer_age: Option<Duration>,
}

/// A lease on the primary of a service in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedLease {
    /// The service.
    pub service: String,
    /// The epoch that the lease is for.
    pub epoch: u64,
}

/// The leader's answer to a lease request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The request's nonce.
    pub nonce: u64,
    /// Leases for the requested services, as far as granted.
    pub leases: Vec<GrantedLease>,
    /// How long leases and rights are valid, from when the pooler sent the request.
    pub valid_for: Duration,
    /// Usage windows up to and including this one have been reported; the pooler drops their counts.
    pub reported_through: Option<u64>,
    /// Digests of the leader's updates, if the pooler's differ.
    pub digests: Option<Digests>,
    /// The leader's term.
    pub term: u64,
    /// The rights granted.
    pub transfers: Vec<RightsTransfer>,
}
