//! Measured times, and how timers follow from them.

use std::collections::VecDeque;
use std::time::Duration;

/// Broadcast times kept for the candidate's timer.
const SAMPLES: usize = 64;

/// Adds a sample and lets the oldest go.
pub(super) fn keep(samples: &mut VecDeque<Duration>, sample: Duration) {
    samples.push_back(sample);
    if samples.len() > SAMPLES {
        samples.pop_front();
    }
}

/// µ + 2σ. Tails are long, so the median and the median deviation stand in for mean and deviation.
pub(super) fn bound(samples: &VecDeque<Duration>) -> Duration {
    let mut sorted: Vec<Duration> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let Some(&median) = sorted.get(sorted.len() / 2) else { return Duration::ZERO };
    let mut apart: Vec<Duration> = sorted.iter().map(|d| d.abs_diff(median)).collect();
    apart.sort_unstable();
    median + 2 * apart[apart.len() / 2].mul_f64(1.4826)
}

pub(super) fn jitter(rng: &mut fastrand::Rng, base: Duration) -> Duration {
    base + base.mul_f64(rng.f64())
}
