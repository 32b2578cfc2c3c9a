//! One instance's pool: its connections, the sessions queued for one, and what its answers show about its health.

use super::connection_table::ConnectionTable;
use super::limits::{
    CONCURRENCY_DECREASE, CONCURRENCY_LIMIT_MAX, INITIAL_LATENCY_MS, INITIAL_OPEN_LATENCY_MS, LATENCY_SMOOTHING,
};
use super::timeouts::{CONCURRENCY_DECREASE_INTERVAL, EJECTION_TIME, REFUSAL_EJECTION_FACTOR, SILENCE_TIMEOUT};
use crate::connection::client_session::Position;
use crate::connection::{ConnectionId, SessionId};
use crate::process::dissemination::anti_entropy::Instance;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// How many statements may be with an instance at once: additive increase with each answer, multiplicative decrease
/// with `BUSY`.
#[derive(Debug)]
struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    fn allows(&self, in_flight: usize) -> bool {
        self.limit >= CONCURRENCY_LIMIT_MAX || (in_flight as f64) < self.limit.max(1.0)
    }

    fn increase(&mut self) {
        if self.limit < CONCURRENCY_LIMIT_MAX {
            self.limit += 1.0 / self.limit;
        }
    }

    fn decrease(&mut self, now: Instant, in_flight: usize) {
        if self.decreased_at.is_some_and(|at| now.duration_since(at) < CONCURRENCY_DECREASE_INTERVAL) {
            return;
        }
        let limit = (in_flight as f64 + 1.0).min(self.limit) * CONCURRENCY_DECREASE;
        self.limit = limit.max(1.0);
        self.decreased_at = Some(now);
    }
}

/// An instance's pool.
#[derive(Debug)]
pub(super) struct InstancePool {
    /// The instance as last announced.
    pub instance: Instance,
    /// Its address, if that could be parsed.
    pub address: Option<SocketAddrV4>,
    /// Its connections, the oldest first.
    pub connections: Vec<ConnectionId>,
    /// Sessions that wait for one of them.
    pub queue: VecDeque<SessionId>,
    /// When it last sent anything.
    pub last_response_at: Option<Instant>,
    /// Its newest known position.
    pub position: Option<Position>,
    /// Since when it drains.
    pub draining_since: Option<Instant>,
    /// Exponentially smoothed answer time, in milliseconds.
    pub smoothed_latency_ms: f64,
    /// Exponentially smoothed time for opening a connection, in milliseconds.
    pub smoothed_open_ms: f64,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    /// Failed attempts since it last sent anything.
    consecutive_failures: u32,
    concurrency: ConcurrencyLimit,
}

impl InstancePool {
    pub(super) fn new(instance: Instance, address: Option<SocketAddrV4>) -> Self {
        InstancePool {
            instance,
            address,
            connections: Vec::new(),
            queue: VecDeque::new(),
            last_response_at: None,
            position: None,
            draining_since: None,
            smoothed_latency_ms: INITIAL_LATENCY_MS,
            smoothed_open_ms: INITIAL_OPEN_LATENCY_MS,
            ejected_until: None,
            full_until: None,
            consecutive_failures: 0,
            concurrency: ConcurrencyLimit { limit: CONCURRENCY_LIMIT_MAX, decreased_at: None },
        }
    }

    // Health.

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Ends an ejection: there is reason to believe that the instance works.
    pub(super) fn readmit(&mut self) {
        self.ejected_until = None;
    }

    /// Ends an ejection and forgets failures.
    pub(super) fn reset_health(&mut self) {
        self.ejected_until = None;
        self.consecutive_failures = 0;
    }

    /// A connection could not be opened or prepared.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.ejected_until = Some(now + EJECTION_TIME);
    }

    /// The instance refused a new connection.
    pub(super) fn record_refusal(&mut self, now: Instant, code: &str) {
        if code == "FULL" {
            self.full_until = Some(now + EJECTION_TIME);
        } else {
            self.ejected_until = Some(now + EJECTION_TIME * REFUSAL_EJECTION_FACTOR);
        }
    }

    /// Bytes came from the instance.
    pub(super) fn record_response(&mut self, now: Instant) {
        self.last_response_at = Some(now);
        self.consecutive_failures = 0;
    }

    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether it has sent nothing for longer than an instance at work does.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.last_response_at.is_none_or(|at| now.duration_since(at) > SILENCE_TIMEOUT)
    }

    /// Whether it fails: attempts have failed since it last sent anything, or it sends nothing although something was
    /// asked.
    pub(super) fn is_failing(&self, now: Instant, connections: &ConnectionTable) -> bool {
        if self.consecutive_failures > 0 {
            return true;
        }
        let oldest_request = self
            .connections
            .iter()
            .filter_map(|connection_id| connections.get(*connection_id))
            .filter_map(|connection| connection.outstanding.front())
            .map(|request| request.sent_at)
            .min();
        oldest_request.is_some_and(|sent_at| {
            let silent_since = self.last_response_at.map_or(sent_at, |at| at.max(sent_at));
            now.duration_since(silent_since) > SILENCE_TIMEOUT
        })
    }

    // Latency.

    pub(super) fn record_latency(&mut self, latency: Duration) {
        let sample_ms = latency.as_secs_f64() * 1000.0;
        self.smoothed_latency_ms += (sample_ms - self.smoothed_latency_ms) * LATENCY_SMOOTHING;
    }

    pub(super) fn record_open_latency(&mut self, latency: Duration) {
        let sample_ms = latency.as_secs_f64() * 1000.0;
        self.smoothed_open_ms += (sample_ms - self.smoothed_open_ms) * LATENCY_SMOOTHING;
    }

    // Concurrency.

    /// Statements that are with the instance and not answered.
    pub(super) fn in_flight(&self, connections: &ConnectionTable) -> usize {
        self.connections
            .iter()
            .filter_map(|connection_id| connections.get(*connection_id))
            .filter(|connection| !connection.is_opening() && !connection.outstanding.is_empty())
            .count()
    }

    /// Whether the instance may be sent one more statement.
    pub(super) fn has_capacity(&self, connections: &ConnectionTable) -> bool {
        self.concurrency.allows(self.in_flight(connections))
    }

    /// A statement was answered without an error.
    pub(super) fn increase_concurrency(&mut self) {
        self.concurrency.increase();
    }

    /// The instance answered `BUSY`.
    pub(super) fn decrease_concurrency(&mut self, now: Instant, connections: &ConnectionTable) {
        let in_flight = self.in_flight(connections);
        self.concurrency.decrease(now, in_flight);
    }

    // Connections.

    /// An idle connection of the tenant.
    pub(super) fn idle_connection(&self, connections: &ConnectionTable, tenant: &str) -> Option<ConnectionId> {
        let mut ids = self.connections.iter().copied();
        ids.find(|id| connections.is_idle(*id) && connections.belongs_to(*id, tenant))
    }

    /// An idle connection of the tenant, one with exactly these session variables if there is any: it needs no setup.
    pub(super) fn best_idle_connection(
        &self,
        connections: &ConnectionTable,
        tenant: &str,
        variables: &BTreeMap<String, String>,
    ) -> Option<ConnectionId> {
        let idle = || {
            let ids = self.connections.iter().copied();
            ids.filter(|id| connections.is_idle(*id) && connections.belongs_to(*id, tenant))
        };
        let mut aligned =
            idle().filter(|id| connections.get(*id).is_some_and(|connection| connection.variables == *variables));
        aligned.next().or_else(|| idle().next())
    }

    /// An idle connection of any tenant.
    pub(super) fn any_idle_connection(&self, connections: &ConnectionTable) -> Option<ConnectionId> {
        self.connections.iter().copied().find(|id| connections.is_idle(*id))
    }

    /// The connection that has been idle for longest among those that satisfy a condition.
    pub(super) fn longest_idle_connection(
        &self,
        connections: &ConnectionTable,
        condition: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let ids = self.connections.iter().copied();
        ids.filter(|id| connections.is_idle(*id) && condition(*id))
            .min_by_key(|id| connections.get(*id).map(|connection| connection.since))
    }

    /// Whether any connection was opened for the tenant.
    pub(super) fn has_connection_of(&self, connections: &ConnectionTable, tenant: &str) -> bool {
        self.connections.iter().any(|id| connections.belongs_to(*id, tenant))
    }

    /// Connections that are not idle.
    pub(super) fn used_connections(&self, connections: &ConnectionTable) -> usize {
        let ids = self.connections.iter();
        ids.filter(|id| connections.get(**id).is_some_and(|connection| !connection.is_idle())).count()
    }

    /// Connections that are being opened.
    pub(super) fn opening_connections(&self, connections: &ConnectionTable) -> usize {
        self.connections.iter().filter(|id| connections.is_opening(**id)).count()
    }

    /// Connections that are being opened for the tenant.
    pub(super) fn opening_connections_of(&self, connections: &ConnectionTable, tenant: &str) -> usize {
        let ids = self.connections.iter();
        ids.filter(|id| connections.is_opening(**id) && connections.belongs_to(**id, tenant)).count()
    }

    /// Puts a session into the queue, unless it is there.
    pub(super) fn enqueue(&mut self, session_id: SessionId) {
        if !self.queue.contains(&session_id) {
            self.queue.push_back(session_id);
        }
    }

    /// Takes a session out of the queue.
    pub(super) fn dequeue(&mut self, session_id: SessionId) {
        self.queue.retain(|queued| *queued != session_id);
    }
}

#[cfg(test)]
mod tests;
