//! The poolers that ask this leader for leases, and what each reported last.

use crate::process::peer_message::{LeaseRequest, PrimaryObservation};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A pooler, as of its last request for leases.
#[derive(Debug)]
pub struct PoolerRecord {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// When the request arrived.
    pub last_request_at: Instant,
    /// What it saw of the primaries.
    pub observations: Vec<PrimaryObservation>,
    /// Connections at work.
    pub busy_connections: u32,
}

/// The poolers that asked in this term, by address.
#[derive(Debug, Default)]
pub struct PoolerTable(BTreeMap<Ipv4Addr, PoolerRecord>);

impl PoolerTable {
    /// Keeps what a request for leases reports.
    pub fn record(&mut self, now: Instant, pooler: Ipv4Addr, request: LeaseRequest) {
        let record = PoolerRecord {
            name: request.node,
            zone: request.zone,
            last_request_at: now,
            observations: request.primary_observations,
            busy_connections: request.busy_connections,
        };
        self.0.insert(pooler, record);
    }

    /// All poolers, by address.
    pub fn iter(&self) -> impl Iterator<Item = (Ipv4Addr, &PoolerRecord)> {
        self.0.iter().map(|(ip, record)| (*ip, record))
    }

    /// Those that asked less than `max_age` ago.
    pub fn active(&self, now: Instant, max_age: Duration) -> impl Iterator<Item = (Ipv4Addr, &PoolerRecord)> {
        self.iter().filter(move |(_, record)| now.duration_since(record.last_request_at) < max_age)
    }

    /// The term is over.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
