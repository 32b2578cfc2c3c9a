//! The call by which the platform is asked to promote an instance: when it may be made again, and whom not to name.

use super::platform_calls::PlatformCallOutcome;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for the instance to lead after the platform accepted the call.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a call without a usable answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// An instance that the platform refused to promote is passed over for this long.
const REFUSAL_KEPT_FOR: Duration = Duration::from_secs(3);

/// The state of one service's promotion calls.
#[derive(Debug, Default)]
pub struct PromotionRequest {
    in_flight: bool,
    accepted_at: Option<Instant>,
    retry_at: Option<Instant>,
    /// When the platform refused to promote an instance, by id.
    refused: BTreeMap<String, Instant>,
}

impl PromotionRequest {
    /// Whether the outcome of the last call must be awaited; an accepted one without effect is given up after a while.
    pub fn must_wait(&mut self, now: Instant) -> bool {
        if self.in_flight || self.retry_at.is_some_and(|at| now < at) {
            return true;
        }
        if self.accepted_at.is_some_and(|at| now.duration_since(at) < PROMOTION_TIMEOUT) {
            return true;
        }
        self.accepted_at = None;
        false
    }

    /// A call goes out.
    pub fn started(&mut self) {
        self.in_flight = true;
    }

    /// A call that named `candidate` is over.
    pub fn finished(&mut self, now: Instant, candidate: String, outcome: PlatformCallOutcome) {
        self.in_flight = false;
        match outcome {
            PlatformCallOutcome::Accepted => self.accepted_at = Some(now),
            PlatformCallOutcome::Conflict => {
                self.refused.insert(candidate, now);
            }
            PlatformCallOutcome::Rejected { .. } | PlatformCallOutcome::Unavailable => {
                self.retry_at = Some(now + RETRY_AFTER);
            }
        }
    }

    /// Whether the platform refused to promote this instance lately.
    pub fn is_refused(&self, instance: &str) -> bool {
        self.refused.contains_key(instance)
    }

    /// Lets instances be named again whose refusal is long ago.
    pub fn forget_old_refusals(&mut self, now: Instant) {
        self.refused.retain(|_, at| now.duration_since(*at) < REFUSAL_KEPT_FOR);
    }

    /// The accepted call had its effect.
    pub fn forget_accepted(&mut self) {
        self.accepted_at = None;
    }
}
