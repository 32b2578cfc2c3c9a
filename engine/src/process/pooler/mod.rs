//! The data plane's state machine: clients' sessions on one side, pooled connections to instances on the other.
//!
//! Inputs are bytes, closed connections, messages from other daemons, and the time; outputs are [`Effect`]s. There is no
//! I/O in here.
//!
//! The way of a request:
//!
//! 1. `sessions`: its line is read and parsed;
//! 2. `statements`: it is answered here, or becomes a pending statement;
//! 3. `admission`: it waits for a right under its tenant's limit;
//! 4. `routing`: an instance is chosen, by `freshness` and `leases`;
//! 5. `queueing`: it takes a connection of that instance, or queues for one;
//! 6. `sending`: the connection is prepared for the session, and the statement sent;
//! 7. `answers`: the answer goes to the client, by way of `replies`;
//! 8. `attempts`: or the attempt fails, and it is tried again or answered with an error, as `retry` decides.

mod admission;
mod answers;
mod attempts;
mod carriers;
mod configuration;
mod connection_table;
mod connections;
mod draining;
mod effect;
mod freshness;
mod instance_pool;
mod instance_table;
mod leader_client;
mod lease_requests;
mod leases;
mod limits;
mod queueing;
mod replies;
mod retry;
mod routing;
mod schedule;
mod sending;
mod service_table;
mod session_table;
mod sessions;
mod statements;
mod timeouts;
mod timers;
mod updates;
mod usage;

pub use crate::connection::{ConnectionId, SessionId};
pub use effect::Effect;

use super::settings::TimingBounds;
use crate::connection::draining::DrainPhase;
use admission::AdmissionControl;
use carriers::CarrierDirectory;
use configuration::ActiveConfiguration;
use connection_table::ConnectionTable;
use instance_table::InstanceTable;
use leader_client::LeaderClient;
use service_table::ServiceTable;
use session_table::SessionTable;
use std::time::Instant;
use timeouts::READINESS_MAX_UPDATE_AGE;
use timers::Timers;
use usage::UsageWindows;

/// Who this process is.
#[derive(Debug)]
struct Identity {
    node: String,
    zone: String,
    /// Distinguishes this process from an earlier one of the same name.
    incarnation: u64,
}

/// The data plane's state machine. [`Pooler::finish_input`] is to be called after each input, then
/// [`Pooler::take_effects`].
pub struct Pooler {
    identity: Identity,
    bounds: TimingBounds,
    configuration: ActiveConfiguration,
    carriers: CarrierDirectory,
    sessions: SessionTable,
    connections: ConnectionTable,
    instances: InstanceTable,
    services: ServiceTable,
    leader: LeaderClient,
    admission: AdmissionControl,
    usage: UsageWindows,
    timers: Timers,
    next_statement_number: u64,
    /// When the newest of the controllers' updates was sent.
    last_update_at: Option<Instant>,
    /// Over the digests of the replicated data held here.
    store_digest_sum: u64,
    /// Since when the process shuts down.
    draining_since: Option<Instant>,
    /// How far the shutdown is.
    drain_phase: DrainPhase,
    effects: Vec<Effect>,
}

impl Pooler {
    /// A pooler that knows nothing yet. `incarnation` distinguishes the process from an earlier one of the same name.
    pub fn new(now: Instant, node: &str, zone: &str, bounds: TimingBounds, incarnation: u64) -> Self {
        Pooler {
            identity: Identity { node: node.to_owned(), zone: zone.to_owned(), incarnation },
            bounds,
            configuration: ActiveConfiguration::default(),
            carriers: CarrierDirectory::default(),
            sessions: SessionTable::new(),
            connections: ConnectionTable::new(),
            instances: InstanceTable::new(),
            services: ServiceTable::default(),
            leader: LeaderClient::new(now),
            admission: AdmissionControl::new(now, incarnation),
            usage: UsageWindows::default(),
            timers: Timers::default(),
            next_statement_number: 1,
            last_update_at: None,
            store_digest_sum: 0,
            draining_since: None,
            drain_phase: DrainPhase::Serving,
            effects: Vec::new(),
        }
    }

    /// The effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The settings file has changed.
    pub fn set_bounds(&mut self, bounds: TimingBounds) {
        self.bounds = bounds;
    }

    /// Whether new clients should be sent here.
    pub fn ready(&self, now: Instant) -> bool {
        self.configuration.current().is_some()
            && self.draining_since.is_none()
            && self.last_update_at.is_some_and(|at| now.duration_since(at) < READINESS_MAX_UPDATE_AGE)
    }

    /// The revision of the configuration in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.configuration.revision()
    }
}

#[cfg(test)]
mod tests;
