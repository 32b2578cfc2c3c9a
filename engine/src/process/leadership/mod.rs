//! What the leader of the control plane does beside the log.
//!
//! * [`leases`]: who may grant a lease, and which may still be in use.
//! * [`poolers`]: the poolers that ask for leases, and what they report.
//! * [`failure_detection`]: when a primary is replaced.
//! * [`primary_failover`]: how it is replaced, step by step, and why that is safe; with [`service_failover`] (the steps),
//!   [`successor`] (whom to promote), [`promotion_request`] (the call to the platform) and [`health_check`] (the
//!   instances' own answers).
//! * [`old_primaries`]: replaced primaries are asked to step down.
//! * [`connection_shares`]: among which poolers connections are divided.
//! * [`tenant_rights`]: handing out the tenants' rights to run operations.
//! * [`usage_reports`]: who reports usage, and what.
//! * [`platform_calls`]: the A-B-A rule and the rate limit of calls to the platform.
//! * [`outbox`]: effects and pending calls.
//!
//! Every decision goes through the log before anything is done outside, so that another leader can go on where this one
//! stopped. What is kept in memory is void once the term is over ([`Leadership::step_down`]) but for the poolers' usage
//! counts and the times of this process's own calls.

pub mod connection_shares;
pub mod failure_detection;
pub mod health_check;
pub mod leases;
pub mod old_primaries;
pub mod outbox;
pub mod platform_calls;
pub mod poolers;
pub mod primary_failover;
pub mod promotion_request;
pub mod service_failover;
pub mod successor;
pub mod tenant_rights;
pub mod usage_reports;

pub use health_check::HealthCheckResult;
pub use leases::LEASE_DURATION;
pub use outbox::Effect;
pub use platform_calls::PlatformCallOutcome;

use super::instance_registry::InstanceRegistry;
use super::peer_message::{GrantedLease, LeaseRequest};
use super::quota::{RightsReport, RightsTransfer};
use super::settings::{Platform, TimingBounds};
use crate::version::control_state::{Command, ControlState};
use connection_shares::ConnectionShares;
use leases::LeaseTable;
use old_primaries::OldPrimaries;
use outbox::{Outbox, PendingCall};
use platform_calls::PlatformCalls;
use poolers::PoolerTable;
use primary_failover::{FailoverContext, PrimaryFailover};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tenant_rights::TenantRights;
use usage_reports::{UsageContext, UsageReports};

/// What the leader looks at in one step.
pub struct LeaderContext<'a> {
    /// Monotonic time.
    pub now: Instant,
    /// The leader's term.
    pub term: u64,
    /// The replicated state as applied here.
    pub control_state: &'a ControlState,
    /// The instances as they report themselves.
    pub registry: &'a InstanceRegistry,
    /// Time since 1970; used by [`Leadership::step`] only.
    pub time_of_day: Duration,
}

impl LeaderContext<'_> {
    /// Whether an instance announced its end: by the log, which a controller that has just started knows already, or
    /// by its own heartbeats.
    pub fn is_draining(&self, id: &str) -> bool {
        self.control_state.draining_instances.iter().any(|draining| draining == id)
            || self.registry.get(id).is_some_and(|instance| instance.draining)
    }
}

/// A term that this daemon leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lead {
    /// The term.
    pub term: u64,
    /// When it first acted as its leader.
    pub since: Instant,
}

/// What a pooler gets for its request for leases.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseDecision {
    /// Service and epoch of each lease granted, as [`LeaseGrant`](super::peer_message::LeaseGrant) carries them.
    pub leases: Vec<GrantedLease>,
    /// The latest usage window whose counts are committed; poolers need not report up to it again.
    pub reported_through: Option<u64>,
    /// Rights handed out.
    pub transfers: Vec<RightsTransfer>,
}

/// The leader's work beside the log; wires its parts.
pub struct Leadership {
    bounds: TimingBounds,
    heartbeat_interval: Duration,
    lead: Option<Lead>,
    failover: PrimaryFailover,
    leases: LeaseTable,
    poolers: PoolerTable,
    rights: TenantRights,
    shares: ConnectionShares,
    usage: UsageReports,
    old_primaries: OldPrimaries,
    platform: PlatformCalls,
    outbox: Outbox,
}

impl Leadership {
    /// The leadership of a process that starts now and leads nothing yet.
    pub fn new(
        now: Instant,
        node: &str,
        bounds: TimingBounds,
        heartbeat_interval: Duration,
        platform: Option<Platform>,
    ) -> Self {
        Leadership {
            bounds,
            heartbeat_interval,
            lead: None,
            failover: PrimaryFailover::default(),
            leases: LeaseTable::default(),
            poolers: PoolerTable::default(),
            rights: TenantRights::default(),
            shares: ConnectionShares::default(),
            usage: UsageReports::default(),
            old_primaries: OldPrimaries::default(),
            platform: PlatformCalls::new(now, node, platform),
            outbox: Outbox::default(),
        }
    }

    /// Replaces the bounds that the platform's rules give.
    pub fn set_bounds(&mut self, bounds: TimingBounds) {
        self.bounds = bounds;
    }

    /// Takes what is to be done, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        self.outbox.take_effects()
    }

    /// The lead was lost: what was gathered under it is void.
    pub fn step_down(&mut self) {
        self.lead = None;
        self.failover.clear();
        self.leases.clear();
        self.poolers.clear();
        self.rights.clear();
        self.usage.clear_term();
        self.old_primaries.clear();
        self.outbox.forget_pending_calls();
    }

    /// A new term begins with nothing gathered.
    fn begin_term(&mut self, now: Instant, term: u64) -> Lead {
        match self.lead {
            Some(lead) if lead.term == term => lead,
            _ => {
                self.step_down();
                *self.lead.insert(Lead { term, since: now })
            }
        }
    }

    /// Answers a pooler's request for leases. Called by a confirmed leader only.
    pub fn handle_lease_request(
        &mut self,
        context: &LeaderContext,
        pooler: Ipv4Addr,
        mut request: LeaseRequest,
    ) -> LeaseDecision {
        let rights_report = RightsReport {
            node: &request.node,
            incarnation: request.incarnation,
            complete: request.known_term == context.term,
            needs: std::mem::take(&mut request.rights_needs),
        };
        let transfers = self.grant_rights(context.now, context.term, context.control_state, rights_report);
        self.usage.record_counts(&request.node, request.incarnation, std::mem::take(&mut request.usage));
        let leases = self.grant_leases(context, pooler, &request.services);
        self.poolers.record(context.now, pooler, request);
        let reported_through = context.control_state.usage_reports.keys().next_back().copied();
        LeaseDecision { leases, reported_through, transfers }
    }

    fn grant_leases(&mut self, context: &LeaderContext, pooler: Ipv4Addr, services: &[String]) -> Vec<GrantedLease> {
        let mut granted = Vec::new();
        for service in services {
            let proposal_under_way = self.failover.has_proposal(service);
            if let Some(epoch) = leases::grantable_epoch(context.control_state, service, proposal_under_way) {
                self.leases.grant(context.now, pooler, service, epoch);
                granted.push(GrantedLease { service: service.clone(), epoch });
            }
        }
        granted
    }

    /// Hands out tenants' rights. Called by a confirmed leader only.
    pub fn grant_rights(
        &mut self,
        now: Instant,
        term: u64,
        control_state: &ControlState,
        report: RightsReport,
    ) -> Vec<RightsTransfer> {
        let lead = self.begin_term(now, term);
        self.rights.grant(now, lead, &self.bounds, control_state, report)
    }

    /// A pooler gave a lease back.
    pub fn handle_lease_returned(&mut self, pooler: Ipv4Addr, service: &str, epoch: u64) {
        self.leases.give_back(pooler, service, epoch);
    }

    /// One step of everything that the leader does. Called by a confirmed leader only.
    pub fn step(&mut self, context: &LeaderContext) {
        let lead = self.begin_term(context.now, context.term);
        self.step_failovers(context, lead);
        self.old_primaries.step(context.now, &mut self.outbox);
        self.shares.step(context, lead.since, &self.poolers, &mut self.outbox);
        self.usage.step(&mut UsageContext {
            leader: context,
            lead,
            bounds: &self.bounds,
            platform: &mut self.platform,
            outbox: &mut self.outbox,
        });
    }

    fn step_failovers(&mut self, context: &LeaderContext, lead: Lead) {
        let registered = context.registry.services();
        let services: BTreeSet<&String> = registered.chain(context.control_state.epochs.keys()).collect();
        let reports = failure_detection::count_reports(context, &self.poolers);
        let mut failover_context = FailoverContext {
            leader: context,
            lead,
            bounds: &self.bounds,
            heartbeat_interval: self.heartbeat_interval,
            leases: &self.leases,
            platform: &mut self.platform,
            old_primaries: &mut self.old_primaries,
            outbox: &mut self.outbox,
        };
        for service in services {
            let reports = reports.get(service).copied().unwrap_or_default();
            self.failover.step(service, reports, &mut failover_context);
        }
    }

    /// An entry of the log was applied.
    pub fn on_applied(&mut self, command: &Command) {
        self.failover.entry_applied(command);
    }

    /// A health check that was requested under this token is over.
    pub fn health_check_finished(&mut self, now: Instant, token: u64, result: HealthCheckResult) {
        match self.outbox.take_pending_call(token) {
            Some(PendingCall::Status { service, instance }) => {
                self.failover.health_check_finished(now, &service, &instance, result);
            }
            Some(PendingCall::StepDown { instance }) => self.old_primaries.record_answer(&instance, &result),
            Some(PendingCall::Failover { .. } | PendingCall::Usage { .. }) | None => {}
        }
    }

    /// A call to the platform that was requested under this token is over.
    pub fn platform_call_finished(&mut self, now: Instant, token: u64, outcome: PlatformCallOutcome) {
        match self.outbox.take_pending_call(token) {
            Some(PendingCall::Failover { service }) => {
                self.failover.platform_call_finished(now, &service, outcome, &mut self.outbox);
            }
            Some(PendingCall::Usage { window }) => {
                self.usage.platform_call_finished(now, window, outcome, &mut self.outbox);
            }
            Some(PendingCall::Status { .. } | PendingCall::StepDown { .. }) | None => {}
        }
    }

    /// The poolers and their leases, for `/api/status`.
    pub fn describe(&self, now: Instant) -> serde_json::Value {
        let describe_pooler = |(ip, pooler): (Ipv4Addr, &poolers::PoolerRecord)| {
            serde_json::json!({
                "node": pooler.name,
                "heard-ms-ago": now.duration_since(pooler.last_request_at).as_millis() as u64,
                "demand": pooler.busy_connections,
                "leases": self.leases.in_force(now, ip),
            })
        };
        let poolers: Vec<_> = self.poolers.iter().map(describe_pooler).collect();
        serde_json::json!({ "poolers": poolers })
    }
}
