//! Who leads a service whose epoch is closed, and whom to promote if nobody does.
//!
//! Pure decisions over the answers that were requested after the last lease ended: only these show every commit that
//! was acknowledged under the old epoch.

use super::LeaderContext;
use super::health_check::HealthCheckResult;
use super::promotion_request::{LeadBeforeCall, PromotionRequest};
use crate::connection::client_session::Position;
use crate::process::dissemination::anti_entropy::Instance;
use crate::version::control_state::Epoch;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for the replicas to answer before the one furthest ahead among those that did is chosen.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for a live old primary's last commits to reach the candidate.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// A primary that the next epoch can be opened for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewPrimary {
    /// Id of the instance.
    pub id: String,
    /// The database's term that it leads.
    pub term: u64,
    /// Whether it leads a later term than the old primary did.
    pub took_over: bool,
}

/// An instance to be promoted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub id: String,
    /// The last commit that it has.
    pub received: Position,
}

/// What the instances of a service with a closed epoch answered.
pub struct Survey<'a> {
    /// State and registry.
    pub context: &'a LeaderContext<'a>,
    /// The closed epoch.
    pub epoch: &'a Epoch,
    /// Since when the instances are asked: no lease for the epoch can be in use, and no call can have an effect that
    /// the last one to be settled had not.
    pub asked_since: Instant,
    /// The service's instances.
    pub instances: Vec<&'a Instance>,
    /// Answers to checks requested after `asked_since`, by instance.
    pub results: BTreeMap<String, HealthCheckResult>,
    /// Whether there is a platform that promotes instances.
    pub has_platform: bool,
    /// The calls to promote an instance.
    pub promotion: &'a PromotionRequest,
}

impl Survey<'_> {
    /// The old primary's entry in the registry.
    pub fn old_primary(&self) -> Option<&Instance> {
        self.instances.iter().copied().find(|instance| instance.id == self.epoch.primary)
    }

    /// The instance that the next epoch can be opened for.
    ///
    /// If no platform was asked to promote any, that is one that leads a later term, whoever promoted it, or the
    /// old primary again if it stays. Otherwise it is the candidate in the log alone: a call that names it may have its
    /// effect at any moment, which would depose whoever else leads meanwhile.
    pub fn new_primary(&self) -> Option<NewPrimary> {
        let leading = self.results.iter().filter_map(|(id, result)| Some((result.led_term()?, id)));
        let (term, id) = leading.max()?;
        let took_over = term > self.epoch.term;
        let may_lead = match self.epoch.candidate.as_deref().filter(|_| self.has_platform) {
            None => took_over || (*id == self.epoch.primary && term == self.epoch.term && self.old_primary_stays()),
            Some(candidate) => took_over && id == candidate && self.is_last_promoted(candidate, term),
        };
        may_lead.then(|| NewPrimary { id: id.clone(), term, took_over })
    }

    /// Whether no instance can have been promoted after the candidate was: either it leads by this leader's call, or
    /// all others are seen not to lead.
    fn is_last_promoted(&self, candidate: &str, term: u64) -> bool {
        self.promotion.has_taken_effect(self.context.now, self.epoch.epoch, candidate, term)
            || self.all_others_answer(candidate)
    }

    fn all_others_answer(&self, candidate: &str) -> bool {
        let could_be_promoted = |id: &str| id != candidate && id != self.epoch.primary;
        let answered = |id: &str| self.results.get(id).is_some_and(|result| result.received().is_some());
        self.instances.iter().filter(|instance| could_be_promoted(&instance.id)).all(|other| answered(&other.id))
    }

    /// What an instance leads by its latest answer, for the call that is about to name it.
    pub fn lead_before_call(&self, id: &str) -> LeadBeforeCall {
        match self.results.get(id).and_then(HealthCheckResult::led_term) {
            Some(term) => LeadBeforeCall::Term(term),
            None => LeadBeforeCall::None,
        }
    }

    fn old_primary_stays(&self) -> bool {
        self.old_primary().is_some() && !self.context.is_draining(&self.epoch.primary)
    }

    fn asked_for(&self) -> Duration {
        self.context.now.duration_since(self.asked_since)
    }

    /// The instance to promote: the one furthest ahead, once all that can be promoted answered or their time is over.
    pub fn choose_candidate(&self) -> Option<Candidate> {
        let eligible = |instance: &&&Instance| {
            let is_refused = self.promotion.is_refused(&instance.id);
            instance.id != self.epoch.primary && !self.context.is_draining(&instance.id) && !is_refused
        };
        let candidate = |instance: &&Instance| {
            let received = self.results.get(&instance.id)?.received()?;
            Some(Candidate { id: instance.id.clone(), received })
        };
        let expected = self.instances.iter().filter(eligible).count();
        let candidates: Vec<Candidate> = self.instances.iter().filter(eligible).filter_map(candidate).collect();
        if candidates.len() < expected && self.asked_for() < SURVEY_TIMEOUT {
            return None;
        }
        let best = candidates.iter().max_by_key(|candidate| (candidate.received, &candidate.id))?;
        let chosen = self.prefer_selected(best, &candidates)?;
        (!self.must_catch_up(chosen)).then(|| chosen.clone())
    }

    /// The instance that was selected before may have been named in a call that still has its effect. It is chosen
    /// again, or waited for until that call is settled; then the best one is taken.
    fn prefer_selected<'a>(&self, best: &'a Candidate, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let selected = self.epoch.candidate.as_deref();
        let again = candidates.iter().find(|candidate| Some(candidate.id.as_str()) == selected);
        again.or_else(|| self.promotion.is_settled(self.context.now).then_some(best))
    }

    /// Whether the old primary lives and has commits that the candidate still lacks; waited for only so long.
    fn must_catch_up(&self, candidate: &Candidate) -> bool {
        match self.results.get(&self.epoch.primary) {
            Some(HealthCheckResult::Status { primary: true, received: last, .. }) => {
                candidate.received < *last && self.asked_for() < CATCH_UP_TIMEOUT
            }
            _ => false,
        }
    }
}
