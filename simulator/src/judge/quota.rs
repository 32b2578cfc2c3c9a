//! Tenants' limits.

use super::{AcknowledgedLimit, Finding, Judge, Violation};
use std::time::Duration;

/// After a change of limits is acknowledged, every pooler enforces it within this time and one quota span.
const LIMIT_PROPAGATION: Duration = Duration::from_secs(3);

impl Judge {
    /// QUOTA: no span holds more attempts than the limit allows. A changed limit counts once it is known
    /// everywhere and a span has passed; until then the higher one is allowed.
    pub fn check_quota(&mut self, limits: &[AcknowledgedLimit], span: Duration, until: Duration) {
        let mut found = Vec::new();
        for (tenant, arrivals) in &self.arrivals {
            found.extend(first_excess(*tenant, arrivals, limits, span, until));
        }
        found.into_iter().for_each(|finding| self.report(finding.at, finding.violation));
    }
}

/// The first span in which a tenant exceeded its limit. Spans are those that end with an arrival.
fn first_excess(
    tenant: usize,
    arrivals: &[Duration],
    limits: &[AcknowledgedLimit],
    span: Duration,
    until: Duration,
) -> Option<Finding> {
    let settle = span + LIMIT_PROPAGATION;
    for (index, end) in arrivals.iter().enumerate().filter(|(_, at)| **at <= until) {
        let start = end.saturating_sub(span);
        let Some(in_force) = limits.iter().rev().find(|limit| limit.at + settle <= *end) else { continue };
        let newer = limits.iter().filter(|limit| limit.at + settle > *end);
        let highest = newer.map(|limit| limit.per_second).fold(in_force.per_second, u32::max);
        let seen = arrivals[..=index].iter().rev().take_while(|at| **at > start).count();
        let allowed = f64::from(highest) * (span.as_secs_f64() + 1.0);
        if seen as f64 > allowed {
            return Some(Finding { at: *end, violation: Violation::QuotaExceeded { tenant, seen, allowed } });
        }
    }
    None
}
