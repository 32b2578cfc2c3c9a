//! The calls by which the platform is asked to promote an instance: when the next one may be made, whom not to name, and
//! whether a lead is the effect of one.
//!
//! A call that the platform took has its effect some time after the answer, also if nobody sees the instance by then.
//! A call without an answer may have been taken. Until either is settled, no other instance is named: calls then have
//! their effects in the order in which they were made, and the instance that was named last ends up as the primary.

use super::platform_calls::PlatformCallOutcome;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for a call that was taken to have its effect. The platform promotes within about a second.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a call without a usable answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// An instance that the platform refused to promote is passed over for this long.
const REFUSAL_KEPT_FOR: Duration = Duration::from_secs(3);

/// What the candidate was known to lead right before it was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadBeforeCall {
    /// Nothing is known: an earlier leader made the call.
    Unknown,
    /// It led no term.
    None,
    /// It led this term of the database.
    Term(u64),
}

/// A call that names a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionCall {
    /// The closed epoch that it is to end.
    pub epoch: u64,
    /// Id of the instance.
    pub candidate: String,
    /// What the instance led before.
    pub lead_before: LeadBeforeCall,
}

impl PromotionCall {
    /// Whether the instance can lead `term` only because of this call.
    fn explains(&self, term: u64) -> bool {
        match self.lead_before {
            LeadBeforeCall::Unknown => false,
            LeadBeforeCall::None => true,
            LeadBeforeCall::Term(before) => term > before,
        }
    }
}

/// A call that the platform took or may have taken.
#[derive(Debug)]
struct TakenCall {
    call: PromotionCall,
    /// Whether it is known to be taken.
    accepted: bool,
    /// From then on it has had its effect, or has none.
    settled_at: Instant,
}

/// The state of one service's promotion calls.
#[derive(Debug, Default)]
pub struct PromotionRequest {
    in_flight: Option<PromotionCall>,
    /// The last call that was not refused.
    taken: Option<TakenCall>,
    retry_at: Option<Instant>,
    /// When the platform refused to promote an instance, by id.
    refused: BTreeMap<String, Instant>,
}

impl PromotionRequest {
    /// The calls in a term of a leader that does not know what the one before it did: by `last_call_at` that one may
    /// have named the candidate in the log.
    pub fn inherited(epoch: u64, candidate: &str, last_call_at: Instant) -> Self {
        let call = PromotionCall { epoch, candidate: candidate.to_owned(), lead_before: LeadBeforeCall::Unknown };
        let taken = TakenCall { call, accepted: false, settled_at: last_call_at + PROMOTION_TIMEOUT };
        PromotionRequest { taken: Some(taken), ..PromotionRequest::default() }
    }

    /// Whether the outcome of the last call for this epoch must be awaited; one that was taken has its effect, or is
    /// given up after a while.
    pub fn must_wait(&self, now: Instant, epoch: u64) -> bool {
        let retries_later = self.retry_at.is_some_and(|at| now < at);
        let awaits_effect = self
            .taken
            .as_ref()
            .is_some_and(|taken| taken.accepted && taken.call.epoch == epoch && now < taken.settled_at);
        self.in_flight.is_some() || retries_later || awaits_effect
    }

    /// Whether another instance than the last may be named: no call can have an effect any more.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.in_flight.is_none() && self.taken.as_ref().is_none_or(|taken| now >= taken.settled_at)
    }

    /// When the last call that was not refused was settled, if it is.
    pub fn settled_at(&self, now: Instant) -> Option<Instant> {
        self.taken.as_ref().map(|taken| taken.settled_at).filter(|settled_at| now >= *settled_at)
    }

    /// Whether the candidate leads `term` by the last call that named it, so that no other call's effect is to come.
    pub fn has_taken_effect(&self, now: Instant, epoch: u64, candidate: &str, term: u64) -> bool {
        let names = |call: &PromotionCall| call.epoch == epoch && call.candidate == candidate;
        if self.in_flight.as_ref().is_some_and(|call| names(call) && call.explains(term)) {
            return true;
        }
        let Some(taken) = self.taken.as_ref().filter(|taken| names(&taken.call)) else { return false };
        // A call that names the platform's present primary changes nothing.
        let changed_nothing = taken.accepted && now >= taken.settled_at;
        taken.call.explains(term) || changed_nothing
    }

    /// A call goes out.
    pub fn started(&mut self, call: PromotionCall) {
        self.in_flight = Some(call);
    }

    /// The call is over; gives the instance that it named.
    pub fn finished(&mut self, now: Instant, outcome: PlatformCallOutcome) -> Option<String> {
        let call = self.in_flight.take()?;
        let candidate = call.candidate.clone();
        match outcome {
            PlatformCallOutcome::Accepted => self.may_be_taken(now, call, true),
            PlatformCallOutcome::Unavailable => {
                self.may_be_taken(now, call, false);
                self.retry_at = Some(now + RETRY_AFTER);
            }
            PlatformCallOutcome::Conflict => {
                self.refused.insert(call.candidate, now);
            }
            PlatformCallOutcome::Rejected { .. } | PlatformCallOutcome::RateLimited => {
                self.retry_at = Some(now + RETRY_AFTER);
            }
        }
        Some(candidate)
    }

    fn may_be_taken(&mut self, now: Instant, call: PromotionCall, accepted: bool) {
        self.taken = Some(TakenCall { call, accepted, settled_at: now + PROMOTION_TIMEOUT });
    }

    /// Whether the platform refused to promote this instance lately.
    pub fn is_refused(&self, instance: &str) -> bool {
        self.refused.contains_key(instance)
    }

    /// Lets instances be named again whose refusal is long ago.
    pub fn forget_old_refusals(&mut self, now: Instant) {
        self.refused.retain(|_, at| now.duration_since(*at) < REFUSAL_KEPT_FOR);
    }

    /// The next epoch is open: a call that was answered has had its effect. One that was not may still come.
    pub fn epoch_opened(&mut self) {
        self.taken.take_if(|taken| taken.accepted);
    }
}
