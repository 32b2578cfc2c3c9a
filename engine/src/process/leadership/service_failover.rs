//! The replacement of one service's primary: the steps of [`primary_failover`](super::primary_failover).

use super::Lead;
use super::failure_detection::{FailureDetector, PrimaryReports, ReplaceReason};
use super::health_check::{HealthCheckResult, HealthChecks};
use super::outbox::{Outbox, PendingCall};
use super::platform_calls::PlatformCallOutcome;
use super::primary_failover::FailoverContext;
use super::promotion_request::{PromotionCall, PromotionRequest};
use super::successor::{Candidate, NewPrimary, Survey};
use crate::process::consensus::LEADER_CONFIRMATION;
use crate::process::dissemination::anti_entropy::Instance;
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::{Command, Epoch};
use std::time::{Duration, Instant};

/// Pause between recalls of the same leases: messages between daemons are lost with their connection, and a repeat
/// costs little.
const RECALL_INTERVAL: Duration = Duration::from_millis(150);

/// What is remembered of one service's failover.
#[derive(Debug, Default)]
pub struct ServiceFailover {
    /// A change of the epoch is proposed and not decided. The controller sends it until it is, or until the term is over,
    /// so that another one could overtake it.
    proposal_under_way: bool,
    /// Since when the epoch is known to be closed without a lease in use.
    leases_over_since: Option<Instant>,
    last_recall_at: Option<Instant>,
    checks: HealthChecks,
    promotion: PromotionRequest,
}

/// What is done next for a closed epoch whose leases are over.
enum Step {
    /// Nothing until something else is known.
    Wait,
    /// Open the next epoch.
    Install(NewPrimary),
    /// Commit whom the platform will be asked to promote.
    Select(Candidate),
    /// Ask the platform to promote the committed candidate.
    Promote(Candidate),
}

impl ServiceFailover {
    /// A new leader knows what the log says. The leader before it may have named the candidate for as long as it took
    /// itself for confirmed.
    pub fn at_start_of_term(epoch: Option<&Epoch>, lead: Lead) -> Self {
        let Some((epoch, candidate)) = epoch.and_then(|epoch| Some((epoch, epoch.candidate.as_deref()?))) else {
            return ServiceFailover::default();
        };
        let promotion = PromotionRequest::inherited(epoch.epoch, candidate, lead.since + LEADER_CONFIRMATION);
        ServiceFailover { promotion, ..ServiceFailover::default() }
    }

    /// Whether a change of the epoch was proposed and is not known to be applied.
    pub fn has_proposal(&self) -> bool {
        self.proposal_under_way
    }

    /// A change of the service's epoch was applied: it is the one that was proposed, since there is no other.
    pub fn entry_applied(&mut self, command: &Command) {
        self.proposal_under_way = false;
        if matches!(command, Command::InstallPrimary { .. }) {
            self.promotion.epoch_opened();
        }
    }

    /// Takes the result of a health check.
    pub fn health_check_finished(&mut self, now: Instant, instance: &str, result: HealthCheckResult) {
        self.checks.record(now, instance, result);
    }

    /// Takes the outcome of a call to the platform.
    pub fn platform_call_finished(
        &mut self,
        now: Instant,
        service: &str,
        outcome: PlatformCallOutcome,
        outbox: &mut Outbox,
    ) {
        if let Some(candidate) = self.promotion.finished(now, outcome) {
            outbox.log(format!("{service}: call to promote {candidate}: {outcome}"));
        }
    }

    /// Takes the next step. Called by a confirmed leader only.
    pub fn step(&mut self, service: &str, reports: PrimaryReports, context: &mut FailoverContext) {
        let leader = context.leader;
        let now = leader.now;
        match leader.control_state.epochs.get(service) {
            None => self.install_first(service, context),
            Some(epoch) if !epoch.closed => {
                self.leases_over_since = None;
                self.watch(service, epoch, reports, context);
            }
            Some(epoch) if context.leases.may_be_in_use(now, context.lead.since, service, epoch.epoch) => {
                self.wait_for_leases(service, epoch, context);
            }
            Some(epoch) => self.replace(service, epoch, context),
        }
    }

    fn propose(&mut self, command: Command, context: &mut FailoverContext) {
        self.proposal_under_way = true;
        context.outbox.propose(command);
    }

    /// The first epoch is opened for the instance that leads already.
    fn install_first(&mut self, service: &str, context: &mut FailoverContext) {
        let leader = context.leader;
        for instance in leader.registry.of_service(service).filter(|instance| instance.primary) {
            self.checks.check(leader.now, service, instance, context.outbox);
        }
        if self.proposal_under_way {
            return;
        }
        let Some((primary, term)) = self.checks.first_primary() else { return };
        let primary = primary.clone();
        self.checks.clear();
        self.propose(Command::InstallPrimary { service: service.to_owned(), epoch: 1, primary, term }, context);
    }

    /// Closes an open epoch once there is a reason to replace its primary.
    fn watch(&mut self, service: &str, epoch: &Epoch, reports: PrimaryReports, context: &mut FailoverContext) {
        if self.proposal_under_way {
            return;
        }
        let detector = FailureDetector {
            context: context.leader,
            lead_since: context.lead.since,
            heartbeat_interval: context.heartbeat_interval,
            service,
            primary: &epoch.primary,
            term: epoch.term,
            reports,
        };
        if let Some(reason) = detector.reason_to_replace(&mut self.checks, context.outbox) {
            self.close(service, epoch, reason, context);
        }
    }

    fn close(&mut self, service: &str, epoch: &Epoch, reason: ReplaceReason, context: &mut FailoverContext) {
        context.outbox.log(format!("{service}: closing epoch {}: {reason}", epoch.epoch));
        self.propose(Command::CloseEpoch { service: service.to_owned(), epoch: epoch.epoch }, context);
        self.recall_leases(service, epoch, context);
    }

    fn recall_leases(&mut self, service: &str, epoch: &Epoch, context: &mut FailoverContext) {
        let now = context.leader.now;
        self.last_recall_at = Some(now);
        for pooler in context.leases.holders(now, service, epoch.epoch) {
            let recall = PeerMessage::LeaseRecall { service: service.to_owned(), epoch: epoch.epoch };
            context.outbox.send(pooler, recall);
        }
    }

    /// Recalls the leases again where due. The instances are asked already, so that their next answers come soon; only
    /// those to requests made after the last lease ended will count.
    fn wait_for_leases(&mut self, service: &str, epoch: &Epoch, context: &mut FailoverContext) {
        let now = context.leader.now;
        if self.last_recall_at.is_none_or(|at| now.duration_since(at) > RECALL_INTERVAL) {
            self.recall_leases(service, epoch, context);
        }
        self.leases_over_since = None;
        self.check_all(service, context);
    }

    fn check_all(&mut self, service: &str, context: &mut FailoverContext) {
        let leader = context.leader;
        for instance in leader.registry.of_service(service) {
            self.checks.check(leader.now, service, instance, context.outbox);
        }
    }

    /// One step towards the next epoch, with no lease in use.
    fn replace(&mut self, service: &str, epoch: &Epoch, context: &mut FailoverContext) {
        let leader = context.leader;
        let leases_over_since = *self.leases_over_since.get_or_insert(leader.now);
        self.check_all(service, context);
        if self.proposal_under_way {
            return;
        }
        self.promotion.forget_old_refusals(leader.now);
        let asked_since =
            self.promotion.settled_at(leader.now).map_or(leases_over_since, |at| at.max(leases_over_since));
        let survey = Survey {
            context: leader,
            epoch,
            asked_since,
            instances: leader.registry.of_service(service).collect(),
            results: self.checks.results_requested_after(asked_since),
            has_platform: context.platform.is_configured(),
            promotion: &self.promotion,
        };
        match Self::next_step(service, &survey, context) {
            Step::Wait => {}
            Step::Install(primary) => {
                let old = survey.old_primary().filter(|old| old.id != primary.id).cloned();
                self.install(service, epoch, primary, old, context);
            }
            Step::Select(candidate) => self.select(service, epoch, candidate, context),
            Step::Promote(candidate) => {
                let lead_before = survey.lead_before_call(&candidate.id);
                let call = PromotionCall { epoch: epoch.epoch, candidate: candidate.id.clone(), lead_before };
                self.promote(service, call, &candidate, context);
            }
        }
    }

    fn next_step(service: &str, survey: &Survey, context: &FailoverContext) -> Step {
        let now = context.leader.now;
        if let Some(primary) = survey.new_primary() {
            return Step::Install(primary);
        }
        if !survey.has_platform || survey.promotion.must_wait(now, survey.epoch.epoch) {
            return Step::Wait;
        }
        let Some(candidate) = survey.choose_candidate() else { return Step::Wait };
        let Epoch { candidate: selected, caller, .. } = survey.epoch;
        if !context.platform.may_act(now, context.bounds, service, caller.as_deref()) {
            return Step::Wait;
        }
        let is_committed = selected.as_deref() == Some(candidate.id.as_str());
        let is_caller = caller.as_deref() == Some(context.platform.node());
        if is_committed && is_caller { Step::Promote(candidate) } else { Step::Select(candidate) }
    }

    fn install(
        &mut self,
        service: &str,
        epoch: &Epoch,
        new: NewPrimary,
        old: Option<Instance>,
        context: &mut FailoverContext,
    ) {
        self.checks.clear();
        context.outbox.log(format!("{service}: {} leads term {}", new.id, new.term));
        if new.took_over
            && let Some(old) = &old
        {
            context.old_primaries.add(context.leader.now, old, new.term);
        }
        let epoch = epoch.epoch + 1;
        let command = Command::InstallPrimary { service: service.to_owned(), epoch, primary: new.id, term: new.term };
        self.propose(command, context);
    }

    fn select(&mut self, service: &str, epoch: &Epoch, candidate: Candidate, context: &mut FailoverContext) {
        if let Some(before) = epoch.candidate.as_ref().filter(|before| **before != candidate.id) {
            context.outbox.log(format!("{service}: selecting {} in place of {before}", candidate.id));
        }
        let command = Command::SelectCandidate {
            service: service.to_owned(),
            epoch: epoch.epoch,
            candidate: candidate.id,
            caller: context.platform.node().to_owned(),
        };
        self.propose(command, context);
    }

    fn promote(&mut self, service: &str, call: PromotionCall, candidate: &Candidate, context: &mut FailoverContext) {
        let now = context.leader.now;
        if !context.platform.take_call_slot(now) {
            return;
        }
        self.promotion.started(call);
        context.platform.record_act(now, service);
        let Candidate { id, received } = candidate;
        context.outbox.log(format!("{service}: asking the platform to promote {id}, which has received {received}"));
        let call = PendingCall::Failover { service: service.to_owned() };
        let body = serde_json::json!({"service": service, "id": id});
        context.outbox.platform_call(call, "/failover", context.lead.term, &body);
    }
}
