//! Replacing the services' primaries, step by step. The steps of one service are in [`service_failover`].
//!
//! Each step is committed to the log before anything is done outside, so that another leader can go on where this one
//! stopped. What is committed is in [`Epoch`](crate::version::control_state::Epoch); what is only remembered here is lost
//! with the lead and gathered anew.
//!
//! | Epoch in the log    | Step                                                                                  |
//! |---------------------|---------------------------------------------------------------------------------------|
//! | none                | find the instance that leads, commit `InstallPrimary` for epoch 1                     |
//! | open                | watch the primary ([`failure_detection`]); to replace it, commit `CloseEpoch`         |
//! | closed              | recall the leases and wait until none can be in use ([`LeaseTable::may_be_in_use`])   |
//! | closed, leases over | ask the instances for their state ([`successor`]) and choose the one furthest ahead   |
//! | candidate chosen    | check the A-B-A rule ([`PlatformCalls::may_act`]), commit `SelectCandidate`           |
//! | candidate committed | call the platform to promote it, under this leader's term as a fence                  |
//! | candidate leads     | commit `InstallPrimary` for the next epoch; ask the old primary to step down          |
//!
//! Why this is safe: no lease is granted for a closed epoch and all earlier ones are over before the instances are
//! asked, so that nothing is acknowledged under the old epoch that their answers do not show; the platform is called by
//! one controller at a time on a subject; and a new epoch opens only for an instance that was seen to lead and that no
//! call can depose any more. For the last, another candidate is selected only once the calls that name the one before it
//! are settled ([`promotion_request`]), and once a candidate is committed the epoch opens for no other instance
//! ([`Survey::new_primary`](super::successor::Survey::new_primary)).
//!
//! [`failure_detection`]: super::failure_detection
//! [`promotion_request`]: super::promotion_request
//! [`service_failover`]: super::service_failover
//! [`successor`]: super::successor

use super::failure_detection::PrimaryReports;
use super::health_check::HealthCheckResult;
use super::leases::LeaseTable;
use super::old_primaries::OldPrimaries;
use super::outbox::Outbox;
use super::platform_calls::{PlatformCallOutcome, PlatformCalls};
use super::service_failover::ServiceFailover;
use super::{Lead, LeaderContext};
use crate::process::settings::TimingBounds;
use crate::version::control_state::Command;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What the failover works with, beside its own state.
pub struct FailoverContext<'a> {
    /// State and registry.
    pub leader: &'a LeaderContext<'a>,
    /// This leader's term.
    pub lead: Lead,
    /// Bounds of the platform's rules.
    pub bounds: &'a TimingBounds,
    /// Time between two heartbeats of an instance.
    pub heartbeat_interval: Duration,
    /// The leases of this term.
    pub leases: &'a LeaseTable,
    /// Permission to call the platform.
    pub platform: &'a mut PlatformCalls,
    /// Where replaced primaries are handed over.
    pub old_primaries: &'a mut OldPrimaries,
    /// Where effects go.
    pub outbox: &'a mut Outbox,
}

/// The failovers of all services, by name.
#[derive(Debug, Default)]
pub struct PrimaryFailover(BTreeMap<String, ServiceFailover>);

impl PrimaryFailover {
    /// Takes a service's next step. Called by a confirmed leader only.
    pub fn step(&mut self, service: &str, reports: PrimaryReports, context: &mut FailoverContext) {
        let epoch = context.leader.control_state.epochs.get(service);
        let begin = || ServiceFailover::at_start_of_term(epoch, context.lead);
        let failover = self.0.entry(service.to_owned()).or_insert_with(begin);
        failover.step(service, reports, context);
    }

    /// Whether a change of the service's epoch was proposed and is not known to be applied.
    pub fn has_proposal(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(|failover| failover.has_proposal())
    }

    /// An entry was applied: the proposal that it may be of is not under way any more.
    pub fn entry_applied(&mut self, command: &Command) {
        let (Command::CloseEpoch { service, .. }
        | Command::SelectCandidate { service, .. }
        | Command::InstallPrimary { service, .. }) = command
        else {
            return;
        };
        if let Some(failover) = self.0.get_mut(service) {
            failover.entry_applied(command);
        }
    }

    /// Takes the result of a health check.
    pub fn health_check_finished(&mut self, now: Instant, service: &str, instance: &str, result: HealthCheckResult) {
        if let Some(failover) = self.0.get_mut(service) {
            failover.health_check_finished(now, instance, result);
        }
    }

    /// Takes the outcome of a call to the platform.
    pub fn platform_call_finished(
        &mut self,
        now: Instant,
        service: &str,
        outcome: PlatformCallOutcome,
        outbox: &mut Outbox,
    ) {
        if let Some(failover) = self.0.get_mut(service) {
            failover.platform_call_finished(now, service, outcome, outbox);
        }
    }

    /// The term is over.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
