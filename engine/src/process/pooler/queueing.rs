//! Taking a connection of an instance, or queueing for one; opening new ones and giving up surplus ones.
//!
//! A connection serves one tenant. New ones are expensive for the instance, so a tenant that has some waits a little
//! for one of them before another is opened.

use super::limits::CONNECTIONS_OPENING_MAX;
use super::timeouts::{OPEN_CONNECTION_AFTER_SHARE, OPEN_CONNECTION_RECHECK, OPEN_TIMEOUT, TAKEOVER_IDLE_TIME};
use super::timers::{StatementRef, Timer};
use super::{ConnectionId, Effect, Pooler, SessionId};
use crate::connection::backend_connection::BackendConnection;
use crate::connection::client_session::{PendingStatement, StatementStage};
use std::time::Instant;

/// The order in which queued statements are served: the route's rank, then age.
type QueuePriority = (u32, Instant);

fn priority(statement: &PendingStatement) -> QueuePriority {
    (statement.route.rank, statement.received_at)
}

/// A queued session and the idle connection that it may have.
struct Match {
    priority: QueuePriority,
    session_id: SessionId,
    connection_id: ConnectionId,
}

/// A tenant for which another connection may be opened.
struct Shortage {
    priority: QueuePriority,
    tenant: String,
}

/// What a pass over an instance's queue found; the first by priority of each.
#[derive(Default)]
struct QueueScan {
    first_match: Option<Match>,
    first_shortage: Option<Shortage>,
    /// Queued sessions that no longer wait.
    departed: Vec<SessionId>,
}

impl Pooler {
    /// Takes a connection of the instance for the session's statement, or queues for one.
    pub(super) fn take_connection(&mut self, now: Instant, session_id: SessionId, id: &str, epoch: Option<u64>) {
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return };
        let Some(pool) = self.instances.get(id) else { return };
        let tenant = statement.tenant.clone();
        let idle = pool.best_idle_connection(&self.connections, &tenant, &session.variables);
        if let Some(connection_id) = idle.filter(|_| pool.has_capacity(&self.connections)) {
            return self.assign_connection(now, session_id, connection_id, epoch);
        }
        self.enqueue(now, session_id, id);
        if self.may_open_connection(now, session_id, id) {
            self.open_connection_for_tenant(now, id, &tenant);
        }
    }

    fn enqueue(&mut self, now: Instant, session_id: SessionId, id: &str) {
        if let Some(pool) = self.instances.get_mut(id) {
            pool.enqueue(session_id);
        }
        if let Some(statement) = self.sessions.statement_mut(session_id) {
            statement.queued_at.get_or_insert(now);
            let statement_ref = StatementRef { session_id, number: statement.number };
            let open_after = statement.route.target.mul_f64(OPEN_CONNECTION_AFTER_SHARE);
            self.timers.schedule(now + open_after, Timer::OpenConnection(statement_ref));
        }
        self.schedule_queue_timeout(now, session_id);
    }

    // Serving the queues.

    /// Gives freed connections to queued sessions. Called once after each input, so that no caller is in the middle of
    /// a change.
    pub(super) fn serve_queues(&mut self, now: Instant) {
        while let Some(id) = self.instances.pop_serviceable() {
            if let Some(connection_id) = self.surplus_connection(&id) {
                self.close_connection(now, connection_id);
            }
            while self.serve_one(now, &id) {}
            self.close_idle_connections_if_draining(now, &id);
        }
    }

    fn close_idle_connections_if_draining(&mut self, now: Instant, id: &str) {
        let Some(pool) = self.instances.get(id) else { return };
        if pool.draining_since.is_none() || self.is_usable(now, pool, self.is_primary(id)) {
            return;
        }
        for connection_id in pool.connections.clone() {
            if self.connections.is_idle(connection_id) {
                self.close_connection(now, connection_id);
            }
        }
    }

    /// Serves the first queued session, by priority, for which there is an idle connection. Whether there was one.
    fn serve_one(&mut self, now: Instant, id: &str) -> bool {
        let Some(pool) = self.instances.get(id) else { return false };
        if pool.queue.is_empty() || !pool.has_capacity(&self.connections) {
            return false;
        }
        let scan = self.scan_queue(now, id);
        if let Some(pool) = self.instances.get_mut(id)
            && !scan.departed.is_empty()
        {
            pool.queue.retain(|session_id| !scan.departed.contains(session_id));
        }
        if let Some(found) = scan.first_match {
            if let Some(pool) = self.instances.get_mut(id) {
                pool.dequeue(found.session_id);
            }
            self.serve(now, id, &found);
            return true;
        }
        if let Some(shortage) = scan.first_shortage {
            self.open_connection_for_tenant(now, id, &shortage.tenant);
        }
        false
    }

    fn scan_queue(&self, now: Instant, id: &str) -> QueueScan {
        let mut scan = QueueScan::default();
        let Some(pool) = self.instances.get(id) else { return scan };
        for session_id in pool.queue.iter().copied() {
            let statement = self.sessions.statement(session_id);
            let Some(statement) = statement.filter(|statement| statement.stage == StatementStage::Waiting) else {
                scan.departed.push(session_id);
                continue;
            };
            let priority = priority(statement);
            if let Some(connection_id) = pool.idle_connection(&self.connections, &statement.tenant) {
                if scan.first_match.as_ref().is_none_or(|first| priority < first.priority) {
                    scan.first_match = Some(Match { priority, session_id, connection_id });
                }
            } else if self.may_open_connection(now, session_id, id)
                && scan.first_shortage.as_ref().is_none_or(|first| priority < first.priority)
            {
                scan.first_shortage = Some(Shortage { priority, tenant: statement.tenant.clone() });
            }
        }
        scan
    }

    /// Serves a queued session on an idle connection, unless the choice of the instance does not hold any more: it may
    /// have been the primary then, or be draining now.
    fn serve(&mut self, now: Instant, id: &str, found: &Match) {
        let Match { session_id, connection_id, .. } = *found;
        if self.is_primary(id) {
            let service = self.connections.get(connection_id).map(|connection| connection.service.clone());
            let service = service.unwrap_or_default();
            match self.services.usable_lease(now, &service) {
                Some(epoch) => self.assign_connection(now, session_id, connection_id, Some(epoch)),
                None => self.hold(now, session_id, &service),
            }
            return;
        }
        let usable = self.instances.get(id).is_some_and(|pool| self.is_usable(now, pool, false));
        if usable && self.may_read_replica(session_id) {
            self.assign_connection(now, session_id, connection_id, None);
        } else {
            self.dispatch(now, session_id);
        }
    }

    // Opening connections.

    /// Whether a connection may be opened for the session: its tenant has none at the instance, or it has waited for
    /// one of them.
    fn may_open_connection(&self, now: Instant, session_id: SessionId, id: &str) -> bool {
        let Some(statement) = self.sessions.statement(session_id) else { return false };
        let Some(pool) = self.instances.get(id) else { return false };
        if !pool.has_connection_of(&self.connections, &statement.tenant) {
            return true;
        }
        let open_after = statement.route.target.mul_f64(OPEN_CONNECTION_AFTER_SHARE);
        statement.queued_at.is_some_and(|queued_at| now >= queued_at + open_after)
    }

    /// Opens a connection for a tenant's queued statements if the share allows, in place of another tenant's idle one if
    /// need be.
    fn open_connection_for_tenant(&mut self, now: Instant, id: &str, tenant: &str) {
        let Some(pool) = self.instances.get(id) else { return };
        if pool.address.is_none() || pool.is_full(now) {
            return;
        }
        let opening = pool.opening_connections_of(&self.connections, tenant);
        let queued = self.queued_statements_of(id, tenant);
        if opening >= queued || pool.opening_connections(&self.connections) >= CONNECTIONS_OPENING_MAX {
            return;
        }
        let service = pool.instance.service.clone();
        if pool.connections.len() >= self.carriers.connection_share(&service) {
            match self.connection_to_take_over(now, id, tenant) {
                Some(connection_id) => self.close_connection(now, connection_id),
                None => return,
            }
        }
        self.open_connection(now, id, &service, tenant);
    }

    fn queued_statements_of(&self, id: &str, tenant: &str) -> usize {
        let Some(pool) = self.instances.get(id) else { return 0 };
        let statements = pool.queue.iter().filter_map(|session_id| self.sessions.statement(*session_id));
        statements.filter(|statement| statement.tenant == tenant).count()
    }

    /// The longest idle connection of another tenant. For a tenant that has connections here itself, only one that has
    /// been idle for a while.
    fn connection_to_take_over(&self, now: Instant, id: &str, tenant: &str) -> Option<ConnectionId> {
        let pool = self.instances.get(id)?;
        let has_some = pool.has_connection_of(&self.connections, tenant);
        pool.longest_idle_connection(&self.connections, |connection_id| {
            self.connections.get(connection_id).is_some_and(|connection| {
                let idle_for_long = || now.duration_since(connection.since) >= TAKEOVER_IDLE_TIME;
                connection.tenant != tenant && (!has_some || idle_for_long())
            })
        })
    }

    /// Opens a connection to the instance, if its address is known.
    pub(super) fn open_connection(&mut self, now: Instant, id: &str, service: &str, tenant: &str) {
        let Some(pool) = self.instances.get_mut(id) else { return };
        let Some(address) = pool.address else { return };
        let connection_id = self.connections.insert(BackendConnection::new(now, id, service, tenant));
        pool.connections.push(connection_id);
        self.effects.push(Effect::OpenBackend(connection_id, address));
        self.effects.push(Effect::SendToBackend(connection_id, format!("CONNECT {service} {tenant} {id}\r\n")));
        self.timers.schedule(now + OPEN_TIMEOUT, Timer::Connection { connection_id, since: now });
    }

    /// The statement has waited long enough for one of its tenant's connections.
    pub(super) fn open_connection_timer_due(&mut self, now: Instant, statement_ref: StatementRef) {
        let session_id = statement_ref.session_id;
        let statement = self.sessions.find(statement_ref);
        let Some(statement) = statement.filter(|statement| statement.stage == StatementStage::Waiting) else { return };
        let tenant = statement.tenant.clone();
        let queued_at = self
            .instances
            .of_service(&statement.route.service)
            .find(|(_, pool)| pool.queue.contains(&session_id))
            .map(|(id, _)| id.clone());
        if let Some(id) = queued_at.filter(|id| self.may_open_connection(now, session_id, id)) {
            self.open_connection_for_tenant(now, &id, &tenant);
            self.timers.schedule(now + OPEN_CONNECTION_RECHECK, Timer::OpenConnection(statement_ref));
        }
    }

    // Giving up connections.

    /// Closes idle connections beyond the share; busy ones follow as they come free.
    pub(super) fn close_surplus_connections(&mut self, now: Instant) {
        for id in self.instances.ids() {
            while let Some(connection_id) = self.surplus_connection(&id) {
                self.close_connection(now, connection_id);
            }
        }
    }

    /// The longest idle connection of an instance to which more are held than the share allows.
    fn surplus_connection(&self, id: &str) -> Option<ConnectionId> {
        let pool = self.instances.get(id)?;
        if pool.connections.len() <= self.carriers.connection_share(&pool.instance.service) {
            return None;
        }
        pool.longest_idle_connection(&self.connections, |_| true)
    }
}
