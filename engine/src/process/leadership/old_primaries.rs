//! Replaced primaries that are asked to step down until they do.

use super::health_check::HealthCheckResult;
use super::outbox::{Outbox, PendingCall};
use crate::process::dissemination::anti_entropy::Instance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a replaced primary is asked to step down.
const STEP_DOWN_FOR: Duration = Duration::from_secs(12);
/// Pause between requests to one of them.
const STEP_DOWN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct OldPrimary {
    instance: Instance,
    /// The database's term of its successor.
    new_term: u64,
    replaced_at: Instant,
    last_request_at: Option<Instant>,
}

/// The primaries replaced lately, by instance id.
#[derive(Debug, Default)]
pub struct OldPrimaries(BTreeMap<String, OldPrimary>);

impl OldPrimaries {
    /// Notes that `instance` was replaced by one that leads `new_term`.
    pub fn add(&mut self, now: Instant, instance: &Instance, new_term: u64) {
        let old = OldPrimary { instance: instance.clone(), new_term, replaced_at: now, last_request_at: None };
        self.0.insert(instance.id.clone(), old);
    }

    /// Sends the requests that are due.
    pub fn step(&mut self, now: Instant, outbox: &mut Outbox) {
        self.0.retain(|_, old| now.duration_since(old.replaced_at) < STEP_DOWN_FOR);
        for (id, old) in &mut self.0 {
            if old.last_request_at.is_some_and(|at| now.duration_since(at) < STEP_DOWN_INTERVAL) {
                continue;
            }
            old.last_request_at = Some(now);
            let call = PendingCall::StepDown { instance: id.clone() };
            outbox.health_check(call, &old.instance, format!("STEPDOWN {}", old.new_term));
        }
    }

    /// An instance answered a request; one that leads no more is not asked again.
    pub fn record_answer(&mut self, instance: &str, answer: &HealthCheckResult) {
        if matches!(answer, HealthCheckResult::Status { primary: false, .. }) {
            self.0.remove(instance);
        }
    }

    /// The term is over.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
