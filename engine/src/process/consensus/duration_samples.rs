//! Recent samples of a duration, and the upper bound that timers are derived from.

use super::bounded_queue::push_bounded;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of samples kept.
const SAMPLES_KEPT: usize = 64;

/// Scales a median absolute deviation to the standard deviation of a normal distribution.
const MEDIAN_DEVIATION_TO_SIGMA: f64 = 1.4826;

/// The most recent samples of one measured duration.
#[derive(Debug, Default)]
pub(super) struct DurationSamples(VecDeque<Duration>);

impl DurationSamples {
    /// Adds a sample and drops the oldest one when there are too many.
    pub fn record(&mut self, sample: Duration) {
        push_bounded(&mut self.0, sample, SAMPLES_KEPT);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// An estimate of µ + 2σ (Raft Refloated §4.3); zero without samples.
    ///
    /// Delays have long tails, so the median stands in for the mean and the scaled median absolute
    /// deviation for the standard deviation.
    pub fn upper_bound(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let Some(&median) = sorted.get(sorted.len() / 2) else { return Duration::ZERO };
        let mut deviations: Vec<Duration> = sorted.iter().map(|sample| sample.abs_diff(median)).collect();
        deviations.sort_unstable();
        median + 2 * deviations[deviations.len() / 2].mul_f64(MEDIAN_DEVIATION_TO_SIGMA)
    }
}

/// A duration drawn uniformly from `base` to twice `base`.
pub(super) fn jitter(rng: &mut fastrand::Rng, base: Duration) -> Duration {
    base + base.mul_f64(rng.f64())
}
