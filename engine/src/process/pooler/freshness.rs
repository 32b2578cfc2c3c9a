//! Freshness of reads: from observations of the primary's position it follows which position a replica must have
//! reached for a read of it to be no staler than the route allows.

use super::timeouts::{FRESHNESS_ALLOWANCE, POSITION_OBSERVATION_INTERVAL, POSITION_OBSERVATION_TIME, SETUP_TIMEOUT};
use super::timers::Timer;
use super::{Effect, Pooler};
use crate::connection::ConnectionId;
use crate::connection::backend_connection::{ConnectionState, ExpectedAnswer, ReceivedAnswer};
use crate::connection::client_session::{PendingStatement, Position, Session};

use crate::version::config::ReadConsistency;
use std::collections::VecDeque;
use std::time::Instant;

/// The primary was at least at this position when the request was sent.
#[derive(Debug)]
struct PositionObservation {
    sent_at: Instant,
    position: Position,
}

/// Recent observations of one primary's position, the oldest first.
#[derive(Debug, Default)]
pub(super) struct PositionObservations {
    observations: VecDeque<PositionObservation>,
}

impl PositionObservations {
    /// Forgets all: another primary's positions say nothing about these.
    pub(super) fn clear(&mut self) {
        self.observations.clear();
    }

    /// Adds an observation and drops those that are too old. Whether it was added: they are kept some time apart.
    pub(super) fn record(&mut self, now: Instant, sent_at: Instant, position: Position) -> bool {
        let newest = self.observations.back();
        if newest.is_some_and(|newest| sent_at < newest.sent_at + POSITION_OBSERVATION_INTERVAL) {
            return false;
        }
        self.observations.push_back(PositionObservation { sent_at, position });
        while let Some(oldest) = self.observations.front()
            && now.duration_since(oldest.sent_at) > POSITION_OBSERVATION_TIME
        {
            self.observations.pop_front();
        }
        true
    }

    /// A position that covers everything committed before `instant`, if one has been observed.
    pub(super) fn position_covering(&self, instant: Instant) -> Option<Position> {
        self.observations.iter().find(|observation| observation.sent_at >= instant).map(|found| found.position)
    }
}

impl Pooler {
    /// The position that an instance must have reached to serve this read, or `None` where no observation proves one.
    /// `since`: when the statement was received or its transaction begun.
    pub(super) fn required_position(
        &self,
        session: &Session,
        statement: &PendingStatement,
        since: Instant,
    ) -> Option<Position> {
        let route = &statement.route;
        let service = self.services.get(&route.service)?;
        let oldest = since.checked_sub(route.max_staleness)? + FRESHNESS_ALLOWANCE;
        let covering = service.observations.position_covering(oldest)?;
        match &session.last_own_commit {
            // Of a commit in an older term only what the promotion kept counts, and every position observed in this
            // epoch includes that.
            Some(commit)
                if route.consistency == ReadConsistency::ReadYourWrites
                    && commit.service == route.service
                    && commit.position.term >= service.term =>
            {
                Some(covering.max(commit.position))
            }
            _ => Some(covering),
        }
    }

    /// Learns the instance's position from an answer; from a primary's answer, also how fresh reads are.
    pub(super) fn record_position(&mut self, now: Instant, connection_id: ConnectionId, received: &ReceivedAnswer) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let Some(position) = received.answer.position else { return };
        if let Some(pool) = self.instances.get_mut(&connection.instance) {
            pool.position = Some(position);
        }
        let Some(epoch) = connection.epoch else { return };
        let service_name = connection.service.clone();
        if !self.services.is_covered(now, &service_name, epoch) {
            return;
        }
        let Some(service) = self.services.get_mut(&service_name) else { return };
        if service.epoch != epoch || !service.observations.record(now, received.sent_at, position) {
            return;
        }
        if !service.held_sessions.is_empty() {
            self.release_held_sessions_of(now, &service_name);
        }
    }

    /// Asks the primary for its position, where no client's statement shows it. Needs the lease; opens a connection if
    /// there is none.
    pub(super) fn query_position(&mut self, now: Instant, service_name: &str, tenant: &str) {
        let Some(epoch) = self.services.usable_lease(now, service_name) else { return };
        let Some(service) = self.services.get(service_name) else { return };
        if service.position_query.is_some_and(|connection_id| self.connections.contains(connection_id)) {
            return;
        }
        let primary = service.primary.clone();
        let Some(pool) = self.instances.get(&primary) else { return };
        match pool.any_idle_connection(&self.connections) {
            Some(connection_id) => self.send_position_query(now, service_name, connection_id, epoch),
            None if pool.connections.is_empty() && self.carriers.connection_share(service_name) > 0 => {
                self.open_connection(now, &primary, service_name, tenant);
            }
            None => {}
        }
    }

    fn send_position_query(&mut self, now: Instant, service_name: &str, connection_id: ConnectionId, epoch: u64) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.state = ConnectionState::QueryingPosition;
            connection.epoch = Some(epoch);
            connection.since = now;
            connection.expect(ExpectedAnswer::Status, now);
        }
        if let Some(service) = self.services.get_mut(service_name) {
            service.position_query = Some(connection_id);
        }
        self.effects.push(Effect::SendToBackend(connection_id, "QUERY - STATUS\r\n".into()));
        self.timers.schedule(now + SETUP_TIMEOUT, Timer::Connection { connection_id, since: now });
    }

    /// The answer to a position query has come.
    pub(super) fn finish_position_query(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let querying = connection.state == ConnectionState::QueryingPosition;
        if let Some(service) = self.services.get_mut(&connection.service) {
            service.position_query = None;
        }
        if querying {
            self.release_connection(now, connection_id);
        }
    }
}

#[cfg(test)]
mod tests;
