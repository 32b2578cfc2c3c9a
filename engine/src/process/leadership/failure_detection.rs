//! When a primary is replaced.
//!
//! What the poolers saw of it and its own heartbeats only raise a suspicion; a health check by the leader decides,
//! except for a primary that announced its end or that nobody knows.

use super::LeaderContext;
use super::health_check::{HealthCheckResult, HealthCheckState, HealthChecks};
use super::outbox::Outbox;
use super::poolers::PoolerTable;
use crate::process::dissemination::anti_entropy::Instance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Observations of a pooler that has not asked for this long do not count.
const OBSERVATION_MAX_AGE: Duration = Duration::from_millis(1200);
/// A primary that answered a pooler within this is healthy.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(600);
/// Health checks that must fail in a row before a silent primary is replaced.
const FAILED_CHECKS_REQUIRED: u32 = 2;
/// With this many poolers that cannot reach the primary and none that can, one failed check is enough.
const UNANIMOUS_POOLERS: u32 = 3;
/// Poolers that cannot reach the primary, without which its own heartbeats must be missing too.
const CORROBORATING_POOLERS: u32 = 2;
/// Heartbeats that an instance misses before it counts as silent.
const MISSED_HEARTBEATS: u32 = 3;

/// How many poolers report each state of a primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrimaryReports {
    /// Cannot reach it.
    pub failing: u32,
    /// Had an answer lately.
    pub healthy: u32,
    /// Were answered that it leads no more.
    pub deposed: u32,
}

/// Counts the poolers' recent observations of the current epochs' primaries, by service.
pub fn count_reports(context: &LeaderContext, poolers: &PoolerTable) -> BTreeMap<String, PrimaryReports> {
    let mut reports: BTreeMap<String, PrimaryReports> = BTreeMap::new();
    for (_, pooler) in poolers.active(context.now, OBSERVATION_MAX_AGE) {
        let report_age = context.now.duration_since(pooler.last_request_at);
        for observation in &pooler.observations {
            let epoch = context.control_state.epochs.get(&observation.service);
            if epoch.is_none_or(|epoch| epoch.epoch != observation.epoch) {
                continue;
            }
            let answered = observation.last_answer_age.is_some_and(|age| age + report_age < ANSWER_MAX_AGE);
            let counts = reports.entry(observation.service.clone()).or_default();
            counts.failing += u32::from(observation.failing);
            counts.healthy += u32::from(!observation.failing && answered);
            counts.deposed += u32::from(observation.deposed);
        }
    }
    reports
}

/// Why a primary is replaced.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceReason {
    /// It announced its end, and another instance can follow.
    #[error("the primary is draining")]
    Draining,
    /// Neither the registry nor any pooler knows it.
    #[error("no daemon knows the primary")]
    Unknown,
    /// It answered that it leads no more.
    #[error("the primary does not lead any more")]
    Deposed,
    /// Another instance answered that it leads a later term of the database.
    #[error("{successor} leads the later term {term}")]
    Superseded {
        /// Id of the instance that leads.
        successor: String,
        /// The term that it leads.
        term: u64,
    },
    /// This daemon and enough poolers cannot reach it.
    #[error("{failing} poolers and this controller cannot reach the primary, {healthy} poolers can")]
    Unreachable {
        /// Poolers that cannot reach it.
        failing: u32,
        /// Poolers that can.
        healthy: u32,
    },
}

/// Judges one service's primary at one moment.
pub struct FailureDetector<'a> {
    /// State and registry to judge by.
    pub context: &'a LeaderContext<'a>,
    /// When this leader's term began.
    pub lead_since: Instant,
    /// Time between two heartbeats of an instance.
    pub heartbeat_interval: Duration,
    /// The service.
    pub service: &'a str,
    /// Id of its primary.
    pub primary: &'a str,
    /// The database's term that the primary leads.
    pub term: u64,
    /// What the poolers report of it.
    pub reports: PrimaryReports,
}

impl FailureDetector<'_> {
    /// Why the primary is to be replaced now, if it is; requests a health check where one is needed.
    pub fn reason_to_replace(&self, checks: &mut HealthChecks, outbox: &mut Outbox) -> Option<ReplaceReason> {
        let instance = self.context.registry.get(self.primary);
        if self.context.is_draining(self.primary) || instance.is_some_and(|instance| instance.gone) {
            return self.has_successor().then_some(ReplaceReason::Draining);
        }
        if !self.is_suspect() {
            checks.clear();
            return None;
        }
        if let Some(superseded) = self.later_lead(checks, outbox) {
            return Some(superseded);
        }
        let Some(instance) = instance else {
            return self.is_unknown_to_all().then_some(ReplaceReason::Unknown);
        };
        checks.check(self.context.now, self.service, instance, outbox);
        self.judge(checks.get(self.primary)?)
    }

    fn other_instances(&self) -> impl Iterator<Item = &Instance> {
        self.context.registry.of_service(self.service).filter(|instance| instance.id != self.primary)
    }

    /// Asks the other instances that say that they lead; the primary itself does not know yet that it was deposed.
    fn later_lead(&self, checks: &mut HealthChecks, outbox: &mut Outbox) -> Option<ReplaceReason> {
        self.other_instances().filter(|instance| instance.primary).find_map(|instance| {
            checks.check(self.context.now, self.service, instance, outbox);
            let term = checks.get(&instance.id)?.result.as_ref()?.led_term()?;
            (term > self.term).then(|| ReplaceReason::Superseded { successor: instance.id.clone(), term })
        })
    }

    fn has_successor(&self) -> bool {
        self.other_instances().any(|instance| !self.context.is_draining(&instance.id))
    }

    fn is_suspect(&self) -> bool {
        let PrimaryReports { failing, healthy, deposed } = self.reports;
        let unseen = healthy == 0 && self.misses_heartbeats();
        failing > 0 || deposed > 0 || unseen || self.other_instances().any(|instance| instance.primary)
    }

    fn misses_heartbeats(&self) -> bool {
        let silence = self.context.registry.silence(self.context.now, self.primary);
        silence.is_none_or(|silence| silence > self.heartbeat_interval * MISSED_HEARTBEATS)
    }

    /// A controller that has just started knows no instance yet; their heartbeats arrive within this time.
    fn is_unknown_to_all(&self) -> bool {
        let led_for = self.context.now.duration_since(self.lead_since);
        led_for > self.heartbeat_interval * (MISSED_HEARTBEATS + 1) && self.reports.healthy == 0
    }

    fn judge(&self, check: &HealthCheckState) -> Option<ReplaceReason> {
        match check.result {
            Some(HealthCheckResult::Status { primary: false, .. }) => Some(ReplaceReason::Deposed),
            Some(HealthCheckResult::Failed) if self.is_unreachable(check.consecutive_failures) => {
                let PrimaryReports { failing, healthy, .. } = self.reports;
                Some(ReplaceReason::Unreachable { failing, healthy })
            }
            _ => None,
        }
    }

    fn is_unreachable(&self, failed_checks: u32) -> bool {
        let PrimaryReports { failing, healthy, .. } = self.reports;
        let unanimous = failing >= UNANIMOUS_POOLERS && healthy == 0;
        let checked_enough = failed_checks >= FAILED_CHECKS_REQUIRED || (failed_checks > 0 && unanimous);
        let majority_fails = failing > healthy || healthy == 0;
        let corroborated = failing >= CORROBORATING_POOLERS || self.misses_heartbeats();
        checked_enough && majority_fails && corroborated
    }
}
