//! Routing: which instance a statement goes to.

use super::instance_pool::InstancePool;
use super::limits::{OTHER_ZONE_COST_MS, REPLICATION_LAG_COST_MS};
use super::timeouts::{DRAINING_PRIMARY_SHARE, OWN_COMMIT_REPLICATION_TIME};
use super::{Pooler, SessionId};
use crate::connection::client_session::{
    PendingStatement, Position, Session, StatementKind, StatementStage, Transaction,
};
use crate::version::config::ReadConsistency;
use std::time::Instant;

/// Where a statement goes.
#[derive(Debug)]
struct Target {
    instance: String,
    /// The epoch of the lease that covers it, if the instance is the primary.
    epoch: Option<u64>,
}

/// What a statement needs of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Requirement {
    /// Only the primary may execute it.
    Primary,
    /// A replica may, once it has reached the position that freshness requires as of this time.
    FreshAsOf(Instant),
}

fn requirement(session: &Session, statement: &PendingStatement) -> Requirement {
    if statement.route.consistency == ReadConsistency::Primary || statement.kind == StatementKind::Write {
        return Requirement::Primary;
    }
    match &session.transaction {
        Transaction::Lazy { read: false, .. } => Requirement::Primary,
        Transaction::Lazy { began_at, .. } => Requirement::FreshAsOf(*began_at),
        _ => Requirement::FreshAsOf(statement.received_at),
    }
}

impl Pooler {
    /// Admits the session's waiting statement and finds an instance and a connection for it, or a place to wait.
    pub(super) fn dispatch(&mut self, now: Instant, session_id: SessionId) {
        let Some(statement) = self.sessions.statement(session_id) else { return };
        if statement.stage != StatementStage::Waiting || !self.admit(now, session_id) {
            return;
        }
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return };
        let service = statement.route.service.clone();
        let mut replica = None;
        if let Requirement::FreshAsOf(since) = requirement(session, statement) {
            match self.required_position(session, statement, since) {
                Some(position) => replica = self.choose_replica(now, session, statement, position),
                None => {
                    let tenant = statement.tenant.clone();
                    self.query_position(now, &service, &tenant);
                    return self.hold(now, session_id, &service);
                }
            }
        }
        let target = match replica {
            Some(instance) => Some(Target { instance, epoch: None }),
            None => self.primary_target(now, &service),
        };
        match target {
            Some(target) => self.take_connection(now, session_id, &target.instance, target.epoch),
            None => self.hold(now, session_id, &service),
        }
    }

    /// The service's primary, if there is a lease for it and it can be used.
    fn primary_target(&self, now: Instant, service: &str) -> Option<Target> {
        let epoch = self.services.usable_lease(now, service)?;
        let primary = self.services.primary_of(service);
        let pool = self.instances.get(primary)?;
        let usable = self.is_usable(now, pool, true);
        usable.then(|| Target { instance: primary.to_owned(), epoch: Some(epoch) })
    }

    /// Whether an instance may be sent work, as primary or as replica.
    pub(super) fn is_usable(&self, now: Instant, pool: &InstancePool, as_primary: bool) -> bool {
        if pool.instance.gone || pool.address.is_none() || pool.is_ejected(now) {
            return false;
        }
        match pool.draining_since {
            None => true,
            // A primary serves until it is replaced, but never up to the bound.
            Some(since) => {
                let usable_for = self.bounds.drain().mul_f64(DRAINING_PRIMARY_SHARE);
                as_primary && now.duration_since(since) < usable_for
            }
        }
    }

    /// Whether the instance is its service's primary.
    pub(super) fn is_primary(&self, id: &str) -> bool {
        let service = self.instances.get(id).and_then(|pool| self.services.get(&pool.instance.service));
        service.is_some_and(|service| service.primary == id)
    }

    /// Whether a replica may serve the session's statement, as far as freshness can be proven now.
    pub(super) fn may_read_replica(&self, session_id: SessionId) -> bool {
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return false };
        match requirement(session, statement) {
            Requirement::Primary => false,
            Requirement::FreshAsOf(since) => self.required_position(session, statement, since).is_some(),
        }
    }

    /// The usable replica with the least expected answer time.
    fn choose_replica(
        &self,
        now: Instant,
        session: &Session,
        statement: &PendingStatement,
        position: Position,
    ) -> Option<String> {
        let service = &statement.route.service;
        let primary = self.services.primary_of(service);
        let must_hold_position = requires_recent_own_commit(now, session, statement, position);
        let mut cheapest: Option<(f64, &str)> = None;
        for (id, pool) in self.instances.of_service(service) {
            if id == primary || !self.is_usable(now, pool, false) || statement.tried_instances.contains(id) {
                continue;
            }
            let holds_position = pool.position.is_some_and(|held| held >= position);
            if must_hold_position && !holds_position {
                continue;
            }
            let cost = self.replica_cost_ms(pool, &statement.tenant, holds_position);
            if cheapest.is_none_or(|(least, _)| cost < least) {
                cheapest = Some((cost, id));
            }
        }
        cheapest.map(|(_, id)| id.to_owned())
    }

    /// What a replica is expected to cost in time: its latency, more of it the busier it is, and allowances for its
    /// distance, for a connection to be opened, and for waiting until it holds the position.
    fn replica_cost_ms(&self, pool: &InstancePool, tenant: &str, holds_position: bool) -> f64 {
        let load = pool.used_connections(&self.connections) + pool.queue.len();
        let slots = f64::from(pool.instance.capacity.max(1));
        let distance_ms = if pool.instance.zone == self.identity.zone { 0.0 } else { OTHER_ZONE_COST_MS };
        let has_idle_connection = pool.idle_connection(&self.connections, tenant).is_some();
        let open_ms = if has_idle_connection { 0.0 } else { pool.smoothed_open_ms };
        let lag_ms = if holds_position { 0.0 } else { REPLICATION_LAG_COST_MS };
        pool.smoothed_latency_ms * (1.0 + load as f64 / slots) + distance_ms + open_ms + lag_ms
    }

    /// The statement waits for a lease, a position or a usable instance.
    pub(super) fn hold(&mut self, now: Instant, session_id: SessionId, service: &str) {
        if self.sessions.statement(session_id).is_none() {
            return;
        }
        self.schedule_queue_timeout(now, session_id);
        let state = self.services.get_or_insert(service);
        if !state.held_sessions.contains(&session_id) {
            state.held_sessions.push(session_id);
        }
        if state.lease.held().is_none() {
            self.leader.request_leases_soon(now);
        }
    }

    /// Takes the session's statement out of every queue.
    pub(super) fn remove_from_queues(&mut self, session_id: SessionId) {
        for pool in self.instances.pools_mut() {
            pool.dequeue(session_id);
        }
        for service in self.services.values_mut() {
            service.held_sessions.retain(|held| *held != session_id);
        }
    }
}

/// Whether the position is the session's own commit, and so young that a replica that is not known to hold it probably
/// does not.
fn requires_recent_own_commit(
    now: Instant,
    session: &Session,
    statement: &PendingStatement,
    position: Position,
) -> bool {
    session.last_own_commit.as_ref().is_some_and(|commit| {
        commit.service == statement.route.service
            && statement.route.consistency == ReadConsistency::ReadYourWrites
            && commit.position == position
            && now.duration_since(commit.acknowledged_at) < OWN_COMMIT_REPLICATION_TIME
    })
}
