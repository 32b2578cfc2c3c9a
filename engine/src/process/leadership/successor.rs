//! Who leads a service whose epoch is closed, and whom to promote if nobody does.
//!
//! Pure decisions over the answers that were requested after the last lease ended: only these show every commit that
//! was acknowledged under the old epoch.

use super::LeaderContext;
use super::health_check::HealthCheckResult;
use crate::connection::client_session::Position;
use crate::process::dissemination::anti_entropy::Instance;
use crate::version::control_state::Epoch;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for the replicas to answer before the one furthest ahead among those that did is chosen.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for an instance that was selected before, and does not answer now, to be seen again.
const SELECTED_CANDIDATE_TIMEOUT: Duration = Duration::from_millis(1500);
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
    /// Since when no lease for it can be in use.
    pub leases_over_since: Instant,
    /// The service's instances.
    pub instances: Vec<&'a Instance>,
    /// Answers to checks requested after `leases_over_since`, by instance.
    pub results: BTreeMap<String, HealthCheckResult>,
}

impl Survey<'_> {
    /// The old primary's entry in the registry.
    pub fn old_primary(&self) -> Option<&Instance> {
        self.instances.iter().copied().find(|instance| instance.id == self.epoch.primary)
    }

    /// The instance that the next epoch can be opened for: one that leads a later term, whoever promoted it, or the old
    /// primary again if it stays and nobody was asked to take over from it.
    pub fn new_primary(&self) -> Option<NewPrimary> {
        let leading = self.results.iter().filter_map(|(id, result)| Some((result.led_term()?, id)));
        let (term, id) = leading.max()?;
        let took_over = term > self.epoch.term;
        let same = *id == self.epoch.primary && term == self.epoch.term;
        let reinstated = same && self.old_primary_stays() && self.epoch.candidate.is_none();
        (took_over || reinstated).then(|| NewPrimary { id: id.clone(), term, took_over })
    }

    fn old_primary_stays(&self) -> bool {
        self.old_primary().is_some() && !self.context.is_draining(&self.epoch.primary)
    }

    fn since_leases_over(&self) -> Duration {
        self.context.now.duration_since(self.leases_over_since)
    }

    /// The instance to promote: the one furthest ahead, once all that can be promoted answered or their time is over.
    /// `refused` says which ones the platform refused to promote.
    pub fn choose_candidate(&self, refused: impl Fn(&str) -> bool) -> Option<Candidate> {
        let eligible = |instance: &&&Instance| {
            instance.id != self.epoch.primary && !self.context.is_draining(&instance.id) && !refused(&instance.id)
        };
        let candidate = |instance: &&Instance| {
            let received = self.results.get(&instance.id)?.received()?;
            Some(Candidate { id: instance.id.clone(), received })
        };
        let expected = self.instances.iter().filter(eligible).count();
        let candidates: Vec<Candidate> = self.instances.iter().filter(eligible).filter_map(candidate).collect();
        if candidates.len() < expected && self.since_leases_over() < SURVEY_TIMEOUT {
            return None;
        }
        let best = candidates.iter().max_by_key(|candidate| (candidate.received, &candidate.id))?;
        let chosen = self.prefer_selected(best, &candidates, refused)?;
        (!self.must_catch_up(chosen)).then(|| chosen.clone())
    }

    /// An instance that was selected before may have been asked to take over by a call whose outcome nobody knows:
    /// promoting another one now could make the two lead one after the other. It is chosen again, or waited for; after
    /// that time, or once the platform refused it, the best one is taken.
    fn prefer_selected<'a>(
        &self,
        best: &'a Candidate,
        candidates: &'a [Candidate],
        refused: impl Fn(&str) -> bool,
    ) -> Option<&'a Candidate> {
        let Some(selected) = self.epoch.candidate.as_deref() else { return Some(best) };
        if let Some(again) = candidates.iter().find(|candidate| candidate.id == selected) {
            return Some(again);
        }
        let waits = self.since_leases_over() < SELECTED_CANDIDATE_TIMEOUT && !refused(selected);
        (!waits).then_some(best)
    }

    /// Whether the old primary lives and has commits that the candidate still lacks; waited for only so long.
    fn must_catch_up(&self, candidate: &Candidate) -> bool {
        match self.results.get(&self.epoch.primary) {
            Some(HealthCheckResult::Status { primary: true, received: last, .. }) => {
                candidate.received < *last && self.since_leases_over() < CATCH_UP_TIMEOUT
            }
            _ => false,
        }
    }
}
