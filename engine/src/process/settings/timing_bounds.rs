//! The bounds on times and usage that the daemons keep.

use garde::Validate;
use serde::Deserialize;
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The bounds on times and usage that the daemons keep, in milliseconds (`_ms`) or seconds (`_s`). Each has a
/// default for a file that does not set it.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct TimingBounds {
    /// Time in which an instance that is to be drained has lost its work, in milliseconds.
    #[garde(range(min = 0.0))]
    pub drain_ms: f64,
    /// Time that a pooler has to end after it was told to, in seconds.
    #[garde(range(min = 0.1))]
    pub grace_s: f64,
    /// Time in which a new configuration is in use at every pooler, in milliseconds.
    #[garde(range(min = 0.0))]
    pub apply_ms: f64,
    /// The longest validity of a lease, in milliseconds.
    #[garde(range(min = 0.0))]
    pub lease_ms: f64,
    /// Time that a process resumed after a pause may take to notice that it was paused, in milliseconds.
    #[garde(range(min = 0.0))]
    pub thaw_ms: f64,
    /// The length of a usage window, in seconds.
    #[garde(range(min = 0.1))]
    pub usage_window_s: f64,
    /// Time after the end of a usage window in which it is reported, in seconds.
    #[garde(range(min = 0.0))]
    pub usage_delay_s: f64,
    /// The fraction of a tenant's limit by which it may be exceeded.
    #[garde(range(min = 0.0))]
    pub quota_excess: f64,
    /// The number of operations by which a tenant's limit may be exceeded besides.
    #[garde(range(min = 0.0))]
    pub quota_slack: f64,
}

impl Default for TimingBounds {
    fn default() -> Self {
        TimingBounds {
            drain_ms: 7000.0,
            grace_s: 6.0,
            apply_ms: 3000.0,
            lease_ms: 3000.0,
            thaw_ms: 300.0,
            usage_window_s: 5.0,
            usage_delay_s: 10.0,
            quota_excess: 0.0,
            quota_slack: 0.0,
        }
    }
}

impl TimingBounds {
    /// [`Self::drain_ms`] as a duration.
    pub fn drain(&self) -> Duration {
        milliseconds(self.drain_ms)
    }

    /// [`Self::grace_s`] as a duration.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// [`Self::apply_ms`] as a duration.
    pub fn apply(&self) -> Duration {
        milliseconds(self.apply_ms)
    }

    /// [`Self::lease_ms`] as a duration.
    pub fn lease(&self) -> Duration {
        milliseconds(self.lease_ms)
    }

    /// [`Self::thaw_ms`] as a duration.
    pub fn thaw(&self) -> Duration {
        milliseconds(self.thaw_ms)
    }

    /// [`Self::usage_window_s`] as a duration.
    pub fn usage_window(&self) -> Duration {
        Duration::from_secs_f64(self.usage_window_s)
    }

    /// [`Self::usage_delay_s`] as a duration.
    pub fn usage_delay(&self) -> Duration {
        Duration::from_secs_f64(self.usage_delay_s)
    }
}

fn milliseconds(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / MILLIS_PER_SECOND)
}
