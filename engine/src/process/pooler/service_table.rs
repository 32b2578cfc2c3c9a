//! What is known of each service: its primary, the lease to send work to it, and who waits.

use super::freshness::PositionObservations;
use super::leases::LeaseState;
use crate::connection::{ConnectionId, SessionId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A service's primary during an epoch, as the controllers announce it.
#[derive(Debug)]
pub(super) struct PrimaryEpoch<'a> {
    /// The epoch.
    pub number: u64,
    /// Instance id of the primary.
    pub primary: &'a str,
    /// The primary's term.
    pub term: u64,
    /// No work may be sent to the primary.
    pub closed: bool,
}

/// One service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    /// Epoch of its primary.
    pub epoch: u64,
    /// Instance id of the primary.
    pub primary: String,
    /// The primary's term, as in positions.
    pub term: u64,
    /// The epoch is closed: no work may be sent to the primary.
    pub closed: bool,
    /// The primary answered `READONLY`: another has taken over, or will.
    pub deposed: bool,
    /// The lease held here.
    pub lease: LeaseState,
    /// Observations of the primary's position in this epoch.
    pub observations: PositionObservations,
    /// Sessions that wait for the lease, a position or a usable instance.
    pub held_sessions: Vec<SessionId>,
    /// The connection on which the primary is being asked for its position.
    pub position_query: Option<ConnectionId>,
}

impl ServiceState {
    /// Takes the primary of an epoch. Whether the epoch is a new one.
    pub(super) fn apply_epoch(&mut self, epoch: &PrimaryEpoch) -> bool {
        let is_new = epoch.number > self.epoch;
        if is_new {
            self.observations.clear();
            self.deposed = false;
            self.lease.forget_recall();
        }
        self.epoch = epoch.number;
        self.primary = epoch.primary.to_owned();
        self.term = epoch.term;
        self.closed = epoch.closed;
        is_new
    }

    /// The lease's epoch, if work may be sent to the primary now.
    fn usable_lease(&self, now: Instant) -> Option<u64> {
        let lease = self.lease.held()?;
        let usable = lease.epoch == self.epoch
            && !self.closed
            && now < lease.valid_until
            && !self.lease.has_recall()
            && !self.deposed;
        usable.then_some(lease.epoch)
    }
}

/// Services by name, when they are in use here, and when the next lease ends.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    services: BTreeMap<String, ServiceState>,
    /// Services that sessions here have used, and when last.
    last_used: BTreeMap<String, Instant>,
    /// No lease or recall ends before this.
    next_lease_end: Option<Instant>,
    /// Work is still under way under a recalled lease.
    recall_in_progress: bool,
}

impl ServiceTable {
    pub(super) fn get(&self, name: &str) -> Option<&ServiceState> {
        self.services.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        self.services.get_mut(name)
    }

    /// The service, added if it is not known yet.
    pub(super) fn get_or_insert(&mut self, name: &str) -> &mut ServiceState {
        self.services.entry(name.to_owned()).or_default()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &ServiceState)> {
        self.services.iter()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut ServiceState> {
        self.services.values_mut()
    }

    /// The service's primary; empty where none is known.
    pub(super) fn primary_of(&self, name: &str) -> &str {
        self.get(name).map_or("", |service| service.primary.as_str())
    }

    // Leases.

    /// The lease's epoch, if work may be sent to the service's primary now.
    pub(super) fn usable_lease(&self, now: Instant, name: &str) -> Option<u64> {
        self.get(name)?.usable_lease(now)
    }

    /// Whether work sent under the lease of this epoch may still be acknowledged.
    pub(super) fn is_covered(&self, now: Instant, name: &str, epoch: u64) -> bool {
        let lease = self.get(name).and_then(|service| service.lease.held());
        lease.is_some_and(|lease| lease.epoch == epoch && now < lease.valid_until)
    }

    /// Whether a lease is held, valid or not.
    pub(super) fn has_lease(&self, name: &str) -> bool {
        self.get(name).is_some_and(|service| service.lease.held().is_some())
    }

    pub(super) fn next_lease_end(&self) -> Option<Instant> {
        self.next_lease_end
    }

    pub(super) fn recall_in_progress(&self) -> bool {
        self.recall_in_progress
    }

    /// A lease up to this time was granted.
    pub(super) fn note_lease_end(&mut self, valid_until: Instant) {
        self.next_lease_end = Some(self.next_lease_end.map_or(valid_until, |end| end.min(valid_until)));
    }

    /// Computes anew when the next lease or recall ends, and whether a recall is in progress.
    pub(super) fn update_lease_deadlines(&mut self) {
        self.next_lease_end = self.services.values().filter_map(|service| service.lease.ends_at()).min();
        self.recall_in_progress = self.services.values().any(|service| service.lease.recall_of_held().is_some());
    }

    // Demand.

    /// A session here uses the service. Whether its lease has to be requested at once.
    pub(super) fn note_use(&mut self, now: Instant, name: &str) -> bool {
        if let Some(last_used_at) = self.last_used.get_mut(name) {
            *last_used_at = now;
            return false;
        }
        self.last_used.insert(name.to_owned(), now);
        !self.has_lease(name)
    }

    /// Forgets uses longer ago than this.
    pub(super) fn expire_uses(&mut self, now: Instant, max_age: Duration) {
        self.last_used.retain(|_, last_used_at| now.duration_since(*last_used_at) < max_age);
    }

    pub(super) fn is_used(&self, name: &str) -> bool {
        self.last_used.contains_key(name)
    }

    /// The services in use.
    pub(super) fn used(&self) -> impl Iterator<Item = &String> {
        self.last_used.keys()
    }
}

#[cfg(test)]
mod tests;
