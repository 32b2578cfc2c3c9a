//! Health checks of instances: one `STATUS` at a time for each, and what the latest answers were.

use super::outbox::{Outbox, PendingCall};
use crate::connection::client_session::Position;
use crate::process::dissemination::anti_entropy::Instance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Pause between checks of one instance, from request to request.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// A check without any result for this long is taken for lost; drivers report failures much sooner.
const CHECK_LOST_AFTER: Duration = Duration::from_secs(2);

/// What a check of an instance found.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthCheckResult {
    /// It answered.
    Status {
        /// Whether it leads its database.
        primary: bool,
        /// The database's term that it knows.
        term: u64,
        /// The last commit that it has.
        received: Position,
    },
    /// It answered that it has no room for a connection: it lives.
    Busy,
    /// It could not be reached, or answered something else.
    Failed,
}

impl HealthCheckResult {
    /// Reads the row that `STATUS`, `PAUSE` and `STEPDOWN` answer with: role, term, position.
    pub fn read(row: &str) -> HealthCheckResult {
        let mut fields = row.split(' ');
        let role = fields.next();
        let term = fields.next().and_then(|text| text.parse().ok());
        let received = fields.next().and_then(Position::parse);
        match (role, term, received) {
            (Some(role), Some(term), Some(received)) => {
                HealthCheckResult::Status { primary: role == "primary", term, received }
            }
            _ => HealthCheckResult::Failed,
        }
    }

    /// The term that the instance leads, if it leads one.
    pub fn led_term(&self) -> Option<u64> {
        match self {
            HealthCheckResult::Status { primary: true, term, .. } => Some(*term),
            _ => None,
        }
    }

    /// The last commit that the instance has, if it answered.
    pub fn received(&self) -> Option<Position> {
        match self {
            HealthCheckResult::Status { received, .. } => Some(*received),
            _ => None,
        }
    }
}

/// The latest check of one instance.
#[derive(Debug, Default)]
pub struct HealthCheckState {
    /// When the request that led to `result` was made. An answer may be older than its arrival, so that it is known
    /// to be no older than this only.
    pub as_of: Option<Instant>,
    /// The latest result.
    pub result: Option<HealthCheckResult>,
    /// When the check under way was requested.
    requested_at: Option<Instant>,
    /// Failures since the last answer.
    pub consecutive_failures: u32,
}

impl HealthCheckState {
    fn is_due(&self, now: Instant) -> bool {
        match self.requested_at {
            Some(requested_at) => now.duration_since(requested_at) > CHECK_LOST_AFTER,
            None => self.as_of.is_none_or(|as_of| now.duration_since(as_of) >= CHECK_INTERVAL),
        }
    }

    fn record(&mut self, now: Instant, result: HealthCheckResult) {
        self.as_of = self.requested_at.take().or(Some(now));
        self.consecutive_failures = match result {
            HealthCheckResult::Failed => self.consecutive_failures + 1,
            _ => 0,
        };
        self.result = Some(result);
    }
}

/// The checks of a service's instances, by id.
#[derive(Debug, Default)]
pub struct HealthChecks(BTreeMap<String, HealthCheckState>);

impl HealthChecks {
    /// Requests a check of the instance if none is under way and the pause is over.
    pub fn check(&mut self, now: Instant, service: &str, instance: &Instance, outbox: &mut Outbox) {
        let state = self.0.entry(instance.id.clone()).or_default();
        if state.is_due(now) {
            state.requested_at = Some(now);
            let call = PendingCall::Status { service: service.to_owned(), instance: instance.id.clone() };
            outbox.health_check(call, instance, "STATUS".to_owned());
        }
    }

    /// Records the result of a check; one of an instance that is not examined any more is ignored.
    pub fn record(&mut self, now: Instant, instance: &str, result: HealthCheckResult) {
        if let Some(state) = self.0.get_mut(instance) {
            state.record(now, result);
        }
    }

    /// The latest check of an instance.
    pub fn get(&self, instance: &str) -> Option<&HealthCheckState> {
        self.0.get(instance)
    }

    /// The results of checks that were requested after `since`, by instance.
    pub fn results_requested_after(&self, since: Instant) -> BTreeMap<String, HealthCheckResult> {
        let recent = self.0.iter().filter(|(_, state)| state.as_of.is_some_and(|as_of| as_of > since));
        recent.filter_map(|(id, state)| Some((id.clone(), state.result.clone()?))).collect()
    }

    /// The first instance, by id, that answered that it leads, with its term.
    pub fn first_primary(&self) -> Option<(&String, u64)> {
        self.0.iter().find_map(|(id, state)| Some((id, state.result.as_ref()?.led_term()?)))
    }

    /// Forgets all checks; results still to come are ignored.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
