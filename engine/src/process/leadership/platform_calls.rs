//! Calls to the platform: which controller may make them, how often, and what they led to.
//!
//! **The A-B-A rule.** The platform takes it for a fault if controller A acts on a subject, then B, then A again within
//! one lease. The log names the controller that last committed to acting on each subject. This daemon may act if that is
//! itself, or if its own last action (or its start, since it does not remember what it did before) is longer ago than
//! the platform's lease with its slack: see [`PlatformCalls::may_act`].

use crate::process::settings::{Platform, TimingBounds};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The rate in calls per second where no platform is configured.
const DEFAULT_CALLS_PER_SECOND: f64 = 1.0;
/// The pause between calls is never longer, whatever the rate.
const MAX_CALL_INTERVAL_SECONDS: f64 = 5.0;

/// Subject of the usage reports; those of failovers are the services' names.
pub const USAGE_SUBJECT: &str = "usage";

/// What came of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlatformCallOutcome {
    /// It took the call (2xx).
    #[error("accepted")]
    Accepted,
    /// It refuses this call in its present state (409).
    #[error("refused: HTTP status 409")]
    Conflict,
    /// It refuses the call for good (4xx but 409 and 429).
    #[error("refused: HTTP status {status}")]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// It takes no more calls for now (429): this one was not carried out.
    #[error("refused for now: HTTP status 429")]
    RateLimited,
    /// It failed, or did not answer: the call may have been carried out.
    #[error("no usable answer")]
    Unavailable,
}

impl PlatformCallOutcome {
    /// The outcome for an HTTP status; none if there was no answer.
    pub fn from_status(status: Option<u16>) -> Self {
        match status {
            Some(200..=299) => PlatformCallOutcome::Accepted,
            Some(409) => PlatformCallOutcome::Conflict,
            Some(429) => PlatformCallOutcome::RateLimited,
            Some(status @ 400..=499) => PlatformCallOutcome::Rejected { status },
            _ => PlatformCallOutcome::Unavailable,
        }
    }
}

/// Decides whether this daemon may call the platform now.
#[derive(Debug)]
pub struct PlatformCalls {
    node: String,
    platform: Option<Platform>,
    started_at: Instant,
    /// When this process last acted on each subject; kept from term to term.
    last_acted_at: BTreeMap<String, Instant>,
    next_call_at: Option<Instant>,
}

impl PlatformCalls {
    /// The calls of a process that starts now.
    pub fn new(now: Instant, node: &str, platform: Option<Platform>) -> Self {
        PlatformCalls {
            node: node.to_owned(),
            platform,
            started_at: now,
            last_acted_at: BTreeMap::new(),
            next_call_at: None,
        }
    }

    /// Whether there is a platform to call.
    pub fn is_configured(&self) -> bool {
        self.platform.is_some()
    }

    /// This daemon's name, as the log names callers.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Whether this daemon may act on a subject by the A-B-A rule; `last_caller` is the controller that the log names.
    pub fn may_act(&self, now: Instant, bounds: &TimingBounds, subject: &str, last_caller: Option<&str>) -> bool {
        if last_caller.is_none_or(|caller| caller == self.node) {
            return true;
        }
        let last_own_act = self.last_acted_at.get(subject).copied().unwrap_or(self.started_at);
        now > last_own_act + bounds.lease() + bounds.thaw()
    }

    /// Takes the next slot of the rate limit, if it is free.
    pub fn take_call_slot(&mut self, now: Instant) -> bool {
        if self.next_call_at.is_some_and(|at| now < at) {
            return false;
        }
        let rate = self.platform.as_ref().map_or(DEFAULT_CALLS_PER_SECOND, |platform| platform.duty_per_s);
        let interval = (1.0 / rate).min(MAX_CALL_INTERVAL_SECONDS);
        self.next_call_at = Some(now + Duration::from_secs_f64(interval));
        true
    }

    /// Notes that this daemon acts on a subject now.
    pub fn record_act(&mut self, now: Instant, subject: &str) {
        self.last_acted_at.insert(subject.to_owned(), now);
    }
}
