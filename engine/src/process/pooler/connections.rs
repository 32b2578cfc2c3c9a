//! What happens to a connection once its session is done with it, and when it is lost.

use super::timeouts::DETACHED_TIMEOUT;
use super::timers::Timer;
use super::{ConnectionId, Effect, Pooler};
use crate::connection::backend_connection::{BackendConnection, ConnectionState, ExpectedAnswer};
use std::time::Instant;

impl Pooler {
    /// The driver could not open the connection, or it has ended.
    pub fn handle_backend_closed(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let id = connection.instance.clone();
        let in_use = !connection.is_idle();
        if connection.is_opening()
            && let Some(pool) = self.instances.get_mut(&id)
        {
            pool.record_failure(now);
        }
        self.lose_connection(now, connection_id);
        if in_use && self.is_primary(&id) {
            self.leader.request_leases_soon(now);
        }
    }

    /// The connection's outstanding answer is overdue.
    pub(super) fn connection_timer_due(&mut self, now: Instant, connection_id: ConnectionId, since: Instant) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        if connection.since != since || connection.outstanding.is_empty() {
            return;
        }
        let being_prepared = connection
            .outstanding
            .iter()
            .any(|request| matches!(request.expected, ExpectedAnswer::Setup | ExpectedAnswer::Greeting));
        if being_prepared && let Some(pool) = self.instances.get_mut(&connection.instance) {
            if pool.is_silent(now) {
                pool.record_failure(now);
            }
            self.leader.request_leases_soon(now);
        }
        self.close_connection(now, connection_id);
    }

    // Back to the pool.

    /// The connection is free: it serves whoever is queued, or is idle.
    pub(super) fn release_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.state = ConnectionState::Idle;
        connection.epoch = None;
        connection.since = now;
        self.instances.mark_serviceable(&connection.instance);
    }

    /// The session does not want the answer any more: the connection is free once it has come.
    pub(super) fn detach_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        if connection.outstanding.is_empty() {
            return self.reuse_detached_connection(now, connection_id);
        }
        connection.state = ConnectionState::Detached;
        connection.since = now;
        self.timers.schedule(now + DETACHED_TIMEOUT, Timer::Connection { connection_id, since: now });
    }

    /// An answer that no session wants has come.
    pub(super) fn reuse_detached_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        if !connection.outstanding.is_empty() {
            return;
        }
        if connection.setup_error.is_some() {
            self.close_connection(now, connection_id);
        } else if connection.transaction_state == 'I' {
            self.release_connection(now, connection_id);
        } else {
            self.roll_back(now, connection_id);
        }
    }

    /// Rolls back what is open on the connection; it is free afterwards.
    pub(super) fn roll_back(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        if connection.transaction_state == 'I' && connection.outstanding.is_empty() {
            return self.release_connection(now, connection_id);
        }
        connection.state = ConnectionState::Detached;
        connection.since = now;
        connection.expect(ExpectedAnswer::Rollback, now);
        self.effects.push(Effect::SendToBackend(connection_id, "QUERY - ROLLBACK\r\n".into()));
        self.timers.schedule(now + DETACHED_TIMEOUT, Timer::Connection { connection_id, since: now });
    }

    // Ends.

    /// Closes a connection whose session the caller takes care of.
    pub(super) fn discard_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.state = ConnectionState::Detached;
        }
        self.close_connection(now, connection_id);
    }

    /// Closes a connection and settles whatever was on it.
    pub(super) fn close_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        if self.connections.contains(connection_id) {
            self.effects.push(Effect::CloseBackend(connection_id));
        }
        self.lose_connection(now, connection_id);
    }

    /// Forgets a connection that has ended and settles whatever was on it.
    fn lose_connection(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.remove(connection_id) else { return };
        self.remove_from_pool(connection_id, &connection);
        if connection.is_opening() {
            self.retry_queue_if_ejected(now, &connection.instance);
        }
        if let ConnectionState::Busy(session_id) = connection.state {
            self.handle_connection_loss(now, session_id, connection_id, &connection.instance);
        }
    }

    fn remove_from_pool(&mut self, connection_id: ConnectionId, connection: &BackendConnection) {
        if let Some(pool) = self.instances.get_mut(&connection.instance) {
            pool.connections.retain(|other| *other != connection_id);
        }
        self.instances.mark_serviceable_if_queued(&connection.instance);
        if let Some(service) = self.services.get_mut(&connection.service)
            && service.position_query == Some(connection_id)
        {
            service.position_query = None;
        }
    }

    /// No connection could be opened to an instance that is ejected now: those queued there go elsewhere.
    fn retry_queue_if_ejected(&mut self, now: Instant, id: &str) {
        let Some(pool) = self.instances.get_mut(id) else { return };
        if !pool.is_ejected(now) {
            return;
        }
        for session_id in std::mem::take(&mut pool.queue) {
            self.retry_after_connection_loss(now, session_id);
        }
    }
}
