//! Usage counts: statements and transactions begun, by time window and tenant, kept until the leader has reported
//! them.

use super::limits::USAGE_WINDOWS_KEPT;
use std::collections::BTreeMap;

/// Counts by window and tenant.
#[derive(Debug, Default)]
pub(super) struct UsageWindows {
    counts: BTreeMap<u64, BTreeMap<String, u64>>,
    current: u64,
}

impl UsageWindows {
    /// The number of the window that the time of day falls into.
    pub(super) fn set_current(&mut self, window: u64) {
        self.current = window;
    }

    /// Counts one for the tenant.
    pub(super) fn count(&mut self, tenant: &str) {
        *self.counts.entry(self.current).or_default().entry(tenant.to_owned()).or_default() += 1;
    }

    /// Takes one back that turned out not to have been executed.
    pub(super) fn uncount(&mut self, tenant: &str) {
        if let Some(count) = self.counts.get_mut(&self.current).and_then(|window| window.get_mut(tenant)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Drops the windows that the leader has reported, up to and including this one.
    pub(super) fn discard_through(&mut self, reported: u64) {
        self.counts.retain(|window, _| *window > reported);
    }

    /// Drops the oldest windows beyond those that are kept.
    pub(super) fn discard_excess(&mut self) {
        while self.counts.len() > USAGE_WINDOWS_KEPT {
            self.counts.pop_first();
        }
    }

    /// All counts, for a report.
    pub(super) fn snapshot(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        self.counts.clone()
    }
}

#[cfg(test)]
mod tests;
