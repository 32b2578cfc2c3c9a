//! The leader's leadership: replacing primaries and reporting usage.
//!
//! Decisions go through the log before anything is done outside, so that another leader can take up
//! where this one stopped; `docs/architecture.md` draws the steps.

use super::consensus::LEADER_CONFIRMATION;
use super::dissemination::anti_entropy::Instance;
use super::forwarding::{PoolerShare, PoolerShares};
use super::instance_registry::InstanceRegistry;
use super::peer_message::{LeaseRequest, PeerMessage, PrimaryObservation};
use super::quota::{QuotaCoordinator, QuotaCoordinatorOptions, QuotaExcess, RightsNeed, RightsReport, RightsTransfer};
use super::settings::{Platform, TimingBounds};
use crate::connection::client_session::Position;
use crate::version::config;
use crate::version::control_state::{Command, ControlState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How long a pooler may use a lease, from its asking.
pub const LEASE_DURATION: Duration = Duration::from_millis(1800);
/// Sights older than this say nothing.
const SIGHT_KEEP: Duration = Duration::from_millis(1200);
/// A primary answered somebody within this: it lives.
const SIGHT_FRESH: Duration = Duration::from_millis(600);
/// Pause between recalls of the same leases.
const RECALL_PAUSE: Duration = Duration::from_millis(150);
/// Pause between probes of one instance.
const PROBE_PAUSE: Duration = Duration::from_millis(40);
/// Probes that must fail in a row before a silent primary is replaced.
const PROBE_FAILS: u32 = 2;
/// This many daemons that agree, with nobody against, make one failed probe enough.
const AGREED: u32 = 3;
/// Beats missed before an otherwise unseen primary is probed.
const BEATS_MISSED: u32 = 3;
/// Waiting for a live old primary's last commits to reach a replica.
const LEVEL_PATIENCE: Duration = Duration::from_millis(500);
/// Waiting for the replicas' answers before the one furthest ahead is named.
const CENSUS: Duration = Duration::from_millis(350);
/// After the platform took the call, the instance has this long to lead.
const PROMOTE_PATIENCE: Duration = Duration::from_secs(4);
const CALL_PAUSE: Duration = Duration::from_millis(250);
/// An instance named before and not seen now is waited for this long.
const NAMED_PATIENCE: Duration = Duration::from_millis(1500);
/// An instance the platform would not promote is passed over this long.
const REFUSED_KEEP: Duration = Duration::from_secs(3);
/// The old primary is told to step down for this long.
const STEPDOWN_FOR: Duration = Duration::from_secs(12);
const STEPDOWN_PAUSE: Duration = Duration::from_millis(500);
/// A pooler that has not asked for this long no longer counts for shares: long enough for one that is
/// restarted to find its part untouched, and for a lost one's connections to be gone.
const POOLER_FORGOTTEN_AFTER: Duration = Duration::from_secs(20);
/// What needs a look over all poolers is looked at this often.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
const SHARES_PAUSE: Duration = Duration::from_millis(1000);
/// Share of the usage delay after which a window's counts are taken as whole.
const USAGE_SETTLE: f64 = 0.35;
/// Poolers look for a new leader for about a second and tell it all that is not reported.
const USAGE_GATHER: Duration = Duration::from_millis(1500);
const USAGE_PAUSE: Duration = Duration::from_millis(400);

/// What a probe of an instance found.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthCheckResult {
    Status { primary: bool, term: u64, received: Position },
    Busy,
    Failed,
}

impl HealthCheckResult {
    /// Reads the row that `STATUS`, `PAUSE` and `STEPDOWN` answer with.
    pub fn read(row: &str) -> HealthCheckResult {
        let mut fields = row.split(' ');
        let role = fields.next();
        let term = fields.next().and_then(|t| t.parse().ok());
        let received = fields.next().and_then(Position::read);
        match (role, term, received) {
            (Some(role), Some(term), Some(received)) => {
                HealthCheckResult::Status { primary: role == "primary", term, received }
            }
            _ => HealthCheckResult::Failed,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Propose(Command),
    HealthCheck { token: u64, instance: Instance, text: String },
    PlatformCall { token: u64, path: &'static str, fence: u64, body: String },
    Send(Ipv4Addr, PeerMessage),
    Log(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Probe(String, String),
    StepDown(String),
    Failover(String, String),
    Usage(u64),
}

#[derive(Debug, Default)]
struct HealthCheckState {
    at: Option<Instant>,
    result: Option<HealthCheckResult>,
    asked: Option<Instant>,
    fails: u32,
}

#[derive(Debug, Default)]
struct Failover {
    /// A proposal of this service is under way since then.
    proposed: Option<Instant>,
    /// Since when the epoch is known closed and without leases.
    clear: Option<Instant>,
    seen: BTreeMap<String, HealthCheckState>,
    calling: Option<Instant>,
    /// The platform took the call for this instance at that moment.
    called: Option<(String, Instant)>,
    call_after: Option<Instant>,
    refused: BTreeMap<String, Instant>,
    recalled: Option<Instant>,
}

/// How many poolers see a primary fail, answer, or answer that it has lost the lead.
#[derive(Debug, Clone, Copy, Default)]
struct PrimaryReports {
    failing: u32,
    healthy: u32,
    deposed: u32,
}

#[derive(Debug)]
struct PoolerRecord {
    name: String,
    zone: String,
    heard: Instant,
    observations: Vec<PrimaryObservation>,
    leases: BTreeMap<String, (u64, Instant)>,
    demand: u32,
}

/// What the leader keeps in memory; lost with its lead and gathered anew.
pub struct Leadership {
    node: String,
    bounds: TimingBounds,
    beat: Duration,
    platform: Option<Platform>,
    started: Instant,
    /// This leader's term and when it began.
    lead: Option<(u64, Instant)>,
    failovers: BTreeMap<String, Failover>,
    poolers: BTreeMap<Ipv4Addr, PoolerRecord>,
    /// The tenants' rights, once a limit is in force.
    stores: Option<QuotaCoordinator>,
    /// By node and incarnation, then window.
    counts: BTreeMap<(String, u64), BTreeMap<u64, BTreeMap<String, u64>>>,
    sent: BTreeSet<u64>,
    usage_calling: Option<Instant>,
    usage_after: Option<Instant>,
    usage_proposed: Option<(u64, Instant)>,
    shares_after: Option<Instant>,
    stepdowns: BTreeMap<String, (Instance, u64, Instant, Option<Instant>)>,
    /// When this process last acted on a subject.
    acts: BTreeMap<String, Instant>,
    tokens: BTreeMap<u64, Token>,
    next_token: u64,
    /// Calls let through, for `duty-per-s`.
    call_gate: Option<Instant>,
    out: Vec<Effect>,
}

/// What a drive of the leadership looks at.
pub struct LeaderContext<'a> {
    pub now: Instant,
    pub term: u64,
    pub control_state: &'a ControlState,
    pub registry: &'a InstanceRegistry,
    /// Time of day, since 1970.
    pub wall: Duration,
    pub confirm: Duration,
}

impl LeaderContext<'_> {
    /// Whether an instance leaves: by the log, which a controller that has just started knows already, or
    /// by what it says itself.
    fn leaves(&self, id: &str) -> bool {
        self.control_state.draining_instances.iter().any(|d| d == id)
            || self.registry.get(id).is_some_and(|i| i.draining)
    }
}

impl Leadership {
    pub fn new(now: Instant, node: &str, bounds: TimingBounds, beat: Duration, platform: Option<Platform>) -> Self {
        Leadership {
            node: node.to_owned(),
            bounds,
            beat,
            platform,
            started: now,
            lead: None,
            failovers: BTreeMap::new(),
            poolers: BTreeMap::new(),
            stores: None,
            counts: BTreeMap::new(),
            sent: BTreeSet::new(),
            usage_calling: None,
            usage_after: None,
            usage_proposed: None,
            shares_after: None,
            stepdowns: BTreeMap::new(),
            acts: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_token: 1,
            call_gate: None,
            out: Vec::new(),
        }
    }

    pub fn set_bounds(&mut self, bounds: TimingBounds) {
        self.bounds = bounds;
    }

    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    fn token(&mut self, token: Token) -> u64 {
        self.next_token += 1;
        self.tokens.insert(self.next_token, token);
        self.next_token
    }

    /// The lead was lost: what was gathered under it is void.
    pub fn step_down(&mut self) {
        self.lead = None;
        self.failovers.clear();
        self.poolers.clear();
        self.stores = None;
        self.sent.clear();
        self.usage_proposed = None;
        self.usage_calling = None;
        self.stepdowns.clear();
    }

    /// A pooler asks for leases. Only a confirmed leader is asked to answer.
    pub fn handle_lease_request(
        &mut self,
        context: &LeaderContext,
        from: Ipv4Addr,
        ask: LeaseRequest,
    ) -> (Vec<(String, u64)>, Option<u64>, Vec<RightsTransfer>) {
        let now = context.now;
        self.begin_term(now, context.term);
        let whole = ask.known_term == context.term;
        let transfers = self.grant_rights(
            now,
            context.term,
            context.control_state,
            (&ask.node, ask.incarnation),
            whole,
            ask.rights_needs,
        );
        self.counts.entry((ask.node.clone(), ask.incarnation)).or_default().extend(ask.usage);
        let mut leases = Vec::new();
        for service in ask.services {
            let open = context.control_state.epochs.get(&service).filter(|e| !e.closed).map(|e| e.epoch);
            let moving = self.failovers.get(&service).is_some_and(|m| m.proposed.is_some());
            if let Some(epoch) = open.filter(|_| !moving) {
                leases.push((service, epoch));
            }
        }
        let pooler = self.poolers.entry(from).or_insert_with(|| PoolerRecord {
            name: ask.node.clone(),
            zone: String::new(),
            heard: now,
            observations: Vec::new(),
            leases: BTreeMap::new(),
            demand: 0,
        });
        pooler.name = ask.node;
        pooler.zone = ask.zone;
        pooler.heard = now;
        pooler.observations = ask.primary_observations;
        pooler.demand = ask.busy_connections;
        for (service, epoch) in &leases {
            pooler.leases.insert(service.clone(), (*epoch, now + LEASE_DURATION));
        }
        (leases, context.control_state.usage_reports.keys().next_back().copied(), transfers)
    }

    /// Gives out tenants' rights. Only a confirmed leader is asked to.
    pub fn grant_rights(
        &mut self,
        now: Instant,
        term: u64,
        control_state: &ControlState,
        who: (&str, u64),
        whole: bool,
        needs: Vec<RightsNeed>,
    ) -> Vec<RightsTransfer> {
        self.begin_term(now, term);
        let since = self.lead.map_or(now, |(_, since)| since);
        let excess = QuotaExcess { fraction: self.bounds.quota_excess, operations: self.bounds.quota_slack };
        let options = QuotaCoordinatorOptions {
            term,
            rights_validity: LEASE_DURATION,
            confirmation: LEADER_CONFIRMATION,
            excess,
        };
        let stores = self.stores.get_or_insert_with(|| QuotaCoordinator::new(since, options));
        if stores.revision() != control_state.revision() {
            let document = control_state.config.as_ref().and_then(|c| config::read(&c.raw).ok());
            stores.set_quotas(control_state.revision(), document.map(|d| config::quotas(&d)).unwrap_or_default());
        }
        let report = RightsReport { node: who.0, incarnation: who.1, complete: whole, needs };
        stores.handle_report(now, report, control_state.pooler_shares.keys())
    }

    pub fn handle_lease_returned(&mut self, from: Ipv4Addr, service: &str, epoch: u64) {
        if let Some(pooler) = self.poolers.get_mut(&from)
            && pooler.leases.get(service).is_some_and(|(e, _)| *e == epoch)
        {
            pooler.leases.remove(service);
        }
    }

    /// Whether work under this epoch may still be sent by anybody.
    fn leased(&self, context: &LeaderContext, service: &str, epoch: u64) -> bool {
        let since = self.lead.map_or(context.now, |(_, since)| since);
        // Leases that an earlier leader gave are not known here: they are waited out.
        context.now < since + LEASE_DURATION + context.confirm
            || self
                .poolers
                .values()
                .any(|f| f.leases.get(service).is_some_and(|(e, until)| *e == epoch && context.now < *until))
    }

    /// Whether this daemon may act on a subject without an A, B, A inside the rule's span.
    fn may_act(&self, now: Instant, subject: &str, last: Option<&str>) -> bool {
        if last.is_none_or(|holder| holder == self.node) {
            return true;
        }
        let mine = self.acts.get(subject).copied().unwrap_or(self.started);
        now > mine + self.bounds.lease() + self.bounds.thaw()
    }

    /// A term's leadership begin with empty hands.
    pub fn begin_term(&mut self, now: Instant, term: u64) {
        if self.lead.is_none_or(|(held, _)| held != term) {
            self.step_down();
            self.lead = Some((term, now));
        }
    }

    /// One step of every duty. Called by a confirmed leader only.
    pub fn run_once(&mut self, context: &LeaderContext) {
        self.begin_term(context.now, context.term);
        let mut services: BTreeSet<String> = context.registry.services().cloned().collect();
        services.extend(context.control_state.epochs.keys().cloned());
        let told = self.told(context);
        for service in services {
            let told = told.get(&service).copied().unwrap_or_default();
            self.drive_service(context, &service, told);
        }
        self.drive_stepdowns(context);
        self.drive_shares(context);
        self.drive_usage(context);
    }

    /// What the poolers saw of the primaries lately, by service.
    fn told(&self, context: &LeaderContext) -> BTreeMap<String, PrimaryReports> {
        let mut all: BTreeMap<String, PrimaryReports> = BTreeMap::new();
        for pooler in self.poolers.values().filter(|f| context.now.duration_since(f.heard) < SIGHT_KEEP) {
            let age = context.now.duration_since(pooler.heard);
            for sight in &pooler.observations {
                if context.control_state.epochs.get(&sight.service).is_none_or(|e| e.epoch != sight.epoch) {
                    continue;
                }
                let healthy = !sight.failing && sight.last_answer_age.is_some_and(|h| h + age < SIGHT_FRESH);
                let told = match all.get_mut(&sight.service) {
                    Some(told) => told,
                    None => all.entry(sight.service.clone()).or_default(),
                };
                told.failing += u32::from(sight.failing);
                told.healthy += u32::from(healthy);
                told.deposed += u32::from(sight.deposed);
            }
        }
        all
    }

    fn drive_service(&mut self, context: &LeaderContext, service: &str, told: PrimaryReports) {
        let now = context.now;
        let mut work = self.failovers.remove(service).unwrap_or_default();
        if work.proposed.is_some_and(|at| now.duration_since(at) > Duration::from_secs(1)) {
            work.proposed = None;
        }
        match context.control_state.epochs.get(service) {
            None => self.first_crown(context, service, &mut work),
            Some(e) if !e.closed => {
                work.clear = None;
                if work.proposed.is_none()
                    && let Some(why) = self.must_replace(context, service, &e.primary, told, &mut work)
                {
                    work.proposed = Some(now);
                    work.recalled = Some(now);
                    self.out.push(Effect::Log(format!("{service}: closing epoch {}: {why}", e.epoch)));
                    self.out.push(Effect::Propose(Command::CloseEpoch { service: service.to_owned(), epoch: e.epoch }));
                    self.recall(now, service, e.epoch);
                }
            }
            Some(_) => self.replace(context, service, &mut work),
        }
        self.failovers.insert(service.to_owned(), work);
    }

    fn recall(&mut self, now: Instant, service: &str, epoch: u64) {
        for (ip, pooler) in &self.poolers {
            if pooler.leases.get(service).is_some_and(|(e, until)| *e == epoch && now < *until) {
                self.out.push(Effect::Send(*ip, PeerMessage::LeaseRecall { service: service.to_owned(), epoch }));
            }
        }
    }

    /// The first epoch: whoever already leads is made known.
    fn first_crown(&mut self, context: &LeaderContext, service: &str, work: &mut Failover) {
        for instance in context.registry.of_service(service).filter(|i| i.primary) {
            self.probe(context.now, service, instance, work);
        }
        let leads = work.seen.iter().find_map(|(id, s)| match &s.result {
            Some(HealthCheckResult::Status { primary: true, term, .. }) => Some((id.clone(), *term)),
            _ => None,
        });
        if let Some((primary, term)) = leads
            && work.proposed.is_none()
        {
            work.proposed = Some(context.now);
            work.seen.clear();
            self.out.push(Effect::Propose(Command::InstallPrimary {
                service: service.to_owned(),
                epoch: 1,
                primary,
                term,
            }));
        }
    }

    fn probe(&mut self, now: Instant, service: &str, instance: &Instance, work: &mut Failover) {
        let seen = work.seen.entry(instance.id.clone()).or_default();
        let due = seen.asked.is_none() && seen.at.is_none_or(|at| now.duration_since(at) >= PROBE_PAUSE);
        let stuck = seen.asked.is_some_and(|at| now.duration_since(at) > Duration::from_secs(2));
        if due || stuck {
            seen.asked = Some(now);
            let token = self.token(Token::Probe(service.to_owned(), instance.id.clone()));
            self.out.push(Effect::HealthCheck { token, instance: instance.clone(), text: "STATUS".into() });
        }
    }

    /// Why the primary is to be replaced, if it is.
    fn must_replace(
        &mut self,
        context: &LeaderContext,
        service: &str,
        primary: &str,
        told: PrimaryReports,
        work: &mut Failover,
    ) -> Option<String> {
        let now = context.now;
        let instance = context.registry.get(primary);
        if context.leaves(primary) || instance.is_some_and(|i| i.gone) {
            let heir = context.registry.of_service(service).any(|i| i.id != primary && !context.leaves(&i.id));
            return heir.then(|| "the primary leaves".to_owned());
        }
        let PrimaryReports { failing, healthy, deposed } = told;
        let silent = context.registry.silence(now, primary).is_none_or(|s| s > self.beat * BEATS_MISSED);
        let other = context.registry.of_service(service).any(|i| i.id != primary && i.primary);
        if failing == 0 && deposed == 0 && !(silent && healthy == 0) && !other {
            work.seen.clear();
            return None;
        }
        let Some(instance) = instance else {
            // A controller that has just started knows no instance yet; their beats tell soon.
            let waited = self.lead.is_some_and(|(_, since)| now.duration_since(since) > self.beat * (BEATS_MISSED + 1));
            return (waited && healthy == 0).then(|| "it is unknown to everybody".to_owned());
        };
        self.probe(now, service, &instance.clone(), work);
        let seen = work.seen.get(primary)?;
        match &seen.result {
            Some(HealthCheckResult::Status { primary: false, .. }) => Some("it has lost the lead".to_owned()),
            Some(HealthCheckResult::Failed)
                if (seen.fails >= PROBE_FAILS || (seen.fails > 0 && failing >= AGREED && healthy == 0))
                    && (failing > healthy || healthy == 0)
                    && (failing >= 2 || silent) =>
            {
                Some(format!("{failing} daemons and this one cannot reach it, {healthy} can"))
            }
            _ => None,
        }
    }

    fn replace(&mut self, context: &LeaderContext, service: &str, work: &mut Failover) {
        let now = context.now;
        let Some(epoch) = context.control_state.epochs.get(service) else { return };
        if self.leased(context, service, epoch.epoch) {
            // Messages between daemons can be lost with their link; a repeat costs little.
            if work.recalled.is_none_or(|at| now.duration_since(at) > RECALL_PAUSE) {
                work.recalled = Some(now);
                self.recall(now, service, epoch.epoch);
            }
            work.clear = None;
            // The census may begin before the last lease is back; only its last round counts.
            for instance in context.registry.of_service(service).cloned().collect::<Vec<_>>() {
                self.probe(now, service, &instance, work);
            }
            return;
        }
        let clear = *work.clear.get_or_insert(now);
        let instances: Vec<Instance> = context.registry.of_service(service).cloned().collect();
        for instance in &instances {
            self.probe(now, service, instance, work);
        }
        if work.proposed.is_some() {
            return;
        }
        let fresh: BTreeMap<&str, &HealthCheckResult> = work
            .seen
            .iter()
            .filter(|(_, s)| s.at.is_some_and(|at| at > clear))
            .filter_map(|(id, s)| s.result.as_ref().map(|r| (id.as_str(), r)))
            .collect();
        // Whoever leads a later term has taken over, whoever asked for it.
        let leads = fresh
            .iter()
            .filter_map(|(id, p)| match p {
                HealthCheckResult::Status { primary: true, term, .. } => Some((*term, (*id).to_owned())),
                _ => None,
            })
            .max();
        let old_alive =
            matches!(fresh.get(epoch.primary.as_str()), Some(HealthCheckResult::Status { primary: true, .. }));
        let old_stays = instances.iter().any(|i| i.id == epoch.primary) && !context.leaves(&epoch.primary);
        if let Some((term, id)) = leads {
            let newer = term > epoch.term;
            let spared = id == epoch.primary && term == epoch.term && old_stays && epoch.named.is_none();
            if newer || spared {
                work.proposed = Some(now);
                work.called = None;
                work.seen.clear();
                self.out.push(Effect::Log(format!("{service}: {id} leads term {term}")));
                if newer && let Some(old) = instances.iter().find(|i| i.id == epoch.primary && i.id != id) {
                    self.stepdowns.insert(old.id.clone(), (old.clone(), term, now, None));
                }
                let crown =
                    Command::InstallPrimary { service: service.to_owned(), epoch: epoch.epoch + 1, primary: id, term };
                self.out.push(Effect::Propose(crown));
                return;
            }
        }
        if work.calling.is_some() || work.call_after.is_some_and(|at| now < at) {
            return;
        }
        if let Some((_, at)) = &work.called {
            if now.duration_since(*at) < PROMOTE_PATIENCE {
                return;
            }
            work.called = None;
        }
        work.refused.retain(|_, at| now.duration_since(*at) < REFUSED_KEEP);
        let eligible =
            |i: &&Instance| i.id != epoch.primary && !context.leaves(&i.id) && !work.refused.contains_key(&i.id);
        let candidates: Vec<(&Instance, Position)> = instances
            .iter()
            .filter(eligible)
            .filter_map(|i| match fresh.get(i.id.as_str()) {
                Some(HealthCheckResult::Status { received, .. }) => Some((i, *received)),
                _ => None,
            })
            .collect();
        let expected = instances.iter().filter(eligible).count();
        if candidates.len() < expected && now < clear + CENSUS {
            return;
        }
        let Some(&(mut best, mut received)) = candidates.iter().max_by_key(|(i, p)| (*p, i.id.clone())) else { return };
        // Whoever was named before may have been asked to take over by a call whose outcome nobody
        // knows: naming another now could make two of them lead, one after the other.
        if let Some(named) = epoch.named.as_deref().filter(|n| *n != best.id) {
            match candidates.iter().find(|(i, _)| i.id == named) {
                Some((instance, position)) => (best, received) = (*instance, *position),
                None if now < clear + NAMED_PATIENCE && !work.refused.contains_key(named) => return,
                None => {}
            }
        }
        if old_alive
            && let Some(HealthCheckResult::Status { received: last, .. }) = fresh.get(epoch.primary.as_str())
            && received < *last
            && now < clear + LEVEL_PATIENCE
        {
            return;
        }
        if !self.may_act(now, service, epoch.holder.as_deref()) {
            return;
        }
        let named =
            epoch.named.as_deref() == Some(best.id.as_str()) && epoch.holder.as_deref() == Some(self.node.as_str());
        let best = best.clone();
        if !named {
            work.proposed = Some(now);
            let holder = self.node.clone();
            let command = Command::SelectCandidate {
                service: service.to_owned(),
                epoch: epoch.epoch,
                candidate: best.id,
                holder,
            };
            self.out.push(Effect::Propose(command));
            return;
        }
        if self.platform.is_none() || !self.may_call(now) {
            return;
        }
        work.calling = Some(now);
        self.acts.insert(service.to_owned(), now);
        let token = self.token(Token::Failover(service.to_owned(), best.id.clone()));
        let body = serde_json::json!({"service": service, "id": best.id}).to_string();
        self.out.push(Effect::Log(format!("{service}: naming {} at {received}", best.id)));
        self.out.push(Effect::PlatformCall { token, path: "/failover", fence: context.term, body });
    }

    fn may_call(&mut self, now: Instant) -> bool {
        if self.call_gate.is_some_and(|until| now < until) {
            return false;
        }
        let rate = self.platform.as_ref().map_or(1.0, |p| p.duty_per_s);
        self.call_gate = Some(now + Duration::from_secs_f64((1.0 / rate).min(5.0)));
        true
    }

    fn drive_stepdowns(&mut self, context: &LeaderContext) {
        let now = context.now;
        self.stepdowns.retain(|_, (_, _, since, _)| now.duration_since(*since) < STEPDOWN_FOR);
        let due: Vec<(String, Instance, u64)> = self
            .stepdowns
            .iter()
            .filter(|(_, (.., asked))| asked.is_none_or(|at| now.duration_since(at) >= STEPDOWN_PAUSE))
            .map(|(id, (i, term, ..))| (id.clone(), i.clone(), *term))
            .collect();
        for (id, instance, term) in due {
            let token = self.token(Token::StepDown(id.clone()));
            if let Some((.., asked)) = self.stepdowns.get_mut(&id) {
                *asked = Some(now);
            }
            self.out.push(Effect::HealthCheck { token, instance, text: format!("STEPDOWN {term}") });
        }
    }

    fn drive_shares(&mut self, context: &LeaderContext) {
        let now = context.now;
        if self.shares_after.is_some_and(|at| now < at) {
            return;
        }
        self.shares_after = Some(now + LOOK_PAUSE);
        let control_state = &context.control_state.pooler_shares;
        let mut parts = PoolerShares::new();
        for (ip, pooler) in &self.poolers {
            if now.duration_since(pooler.heard) < POOLER_FORGOTTEN_AFTER {
                parts.insert(pooler.name.clone(), PoolerShare { ip: *ip, zone: pooler.zone.clone() });
            }
        }
        // One that is merely not heard yet by a new leader keeps its part for a while.
        if self.lead.is_some_and(|(_, since)| now.duration_since(since) < POOLER_FORGOTTEN_AFTER) {
            for (name, part) in control_state {
                parts.entry(name.clone()).or_insert_with(|| part.clone());
            }
        }
        if !parts.is_empty() && parts != *control_state {
            self.shares_after = Some(now + SHARES_PAUSE);
            self.out.push(Effect::Propose(Command::SetPoolerShares { parts }));
        }
    }

    fn drive_usage(&mut self, context: &LeaderContext) {
        let (now, control_state) = (context.now, context.control_state);
        if self.platform.is_none() || self.usage_calling.is_some() || self.usage_after.is_some_and(|at| now < at) {
            return;
        }
        if !self.may_act(now, "usage", control_state.usage_reporter.as_deref()) {
            return;
        }
        // A new leader first hears from everybody again: a window is reported once and for all.
        if self.lead.is_none_or(|(_, since)| now.duration_since(since) < USAGE_GATHER) {
            return;
        }
        let span = self.bounds.usage_window().as_secs_f64();
        let settle = self.bounds.usage_delay().mul_f64(USAGE_SETTLE).as_secs_f64();
        let whole = ((context.wall.as_secs_f64() - settle) / span).floor() as u64;
        // What is committed and not known to have been taken is sent, oldest first.
        let unsent = control_state.usage_reports.iter().find(|(w, _)| **w + 4 >= whole && !self.sent.contains(w));
        if let Some((window, report)) = unsent {
            if report.holder != self.node && control_state.usage_reporter.as_deref() != Some(self.node.as_str()) {
                // The holder changes hands through the log before anything is sent.
                if self.propose_usage_due(now, *window) {
                    let command =
                        Command::RecordUsage { window: *window, counts: BTreeMap::new(), holder: self.node.clone() };
                    self.out.push(Effect::Propose(command));
                }
                return;
            }
            if self.may_call(now) {
                let body = serde_json::json!({"window-number": window, "counts": report.counts}).to_string();
                let window = *window;
                self.usage_calling = Some(now);
                self.acts.insert("usage".to_owned(), now);
                let token = self.token(Token::Usage(window));
                self.out.push(Effect::PlatformCall { token, path: "/usage", fence: context.term, body });
            }
            return;
        }
        self.usage_after = Some(now + LOOK_PAUSE);
        let last = control_state.usage_reports.keys().next_back().copied().unwrap_or(0);
        let mut sums: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
        for windows in self.counts.values() {
            for (window, counts) in windows.iter().filter(|(w, _)| **w < whole && **w > last) {
                for (tenant, n) in counts {
                    *sums.entry(*window).or_default().entry(tenant.clone()).or_default() += n;
                }
            }
        }
        if let Some((window, counts)) = sums.into_iter().find(|(_, c)| c.values().any(|n| *n > 0))
            && self.propose_usage_due(now, window)
        {
            self.out.push(Effect::Propose(Command::RecordUsage { window, counts, holder: self.node.clone() }));
        }
        for windows in self.counts.values_mut() {
            windows.retain(|w, _| *w + 12 > whole);
        }
        self.counts.retain(|_, windows| !windows.is_empty());
    }

    fn propose_usage_due(&mut self, now: Instant, window: u64) -> bool {
        if self.usage_proposed.is_some_and(|(w, at)| w == window && now.duration_since(at) < Duration::from_secs(1)) {
            return false;
        }
        self.usage_proposed = Some((window, now));
        true
    }

    /// An entry was applied: proposals of that kind are no longer under way.
    pub fn on_applied(&mut self, command: &Command) {
        let service = match command {
            Command::CloseEpoch { service, .. }
            | Command::SelectCandidate { service, .. }
            | Command::InstallPrimary { service, .. } => service,
            _ => return,
        };
        if let Some(work) = self.failovers.get_mut(service) {
            work.proposed = None;
        }
    }

    pub fn health_check_finished(&mut self, now: Instant, token: u64, result: HealthCheckResult) {
        match self.tokens.remove(&token) {
            Some(Token::Probe(service, id)) => {
                let Some(seen) = self.failovers.get_mut(&service).and_then(|m| m.seen.get_mut(&id)) else { return };
                // The probe counts from its asking: an answer may be older than its arrival.
                seen.at = seen.asked.take().or(Some(now));
                seen.fails = if result == HealthCheckResult::Failed { seen.fails + 1 } else { 0 };
                seen.result = Some(result);
            }
            Some(Token::StepDown(id)) => {
                if let (HealthCheckResult::Status { primary: false, .. }, Some(_)) = (&result, self.stepdowns.get(&id))
                {
                    self.stepdowns.remove(&id);
                }
            }
            _ => {}
        }
    }

    /// The platform answered, or did not.
    pub fn platform_call_finished(&mut self, now: Instant, token: u64, status: Option<u16>) {
        match self.tokens.remove(&token) {
            Some(Token::Failover(service, id)) => {
                let Some(work) = self.failovers.get_mut(&service) else { return };
                work.calling = None;
                match status {
                    Some(200..=299) => work.called = Some((id, now)),
                    Some(409) => {
                        work.refused.insert(id, now);
                    }
                    _ => work.call_after = Some(now + CALL_PAUSE),
                }
            }
            Some(Token::Usage(window)) => {
                self.usage_calling = None;
                match status {
                    Some(200..=299) => {
                        self.sent.insert(window);
                    }
                    Some(400..=428 | 430..=499) => {
                        self.out.push(Effect::Log(format!("the platform refuses window {window}: {status:?}")));
                        self.sent.insert(window);
                    }
                    _ => self.usage_after = Some(now + USAGE_PAUSE),
                }
            }
            _ => {}
        }
    }

    pub fn describe(&self, now: Instant) -> serde_json::Value {
        let poolers: Vec<_> = self
            .poolers
            .values()
            .map(|f| serde_json::json!({"node": f.name, "heard-ms-ago": now.duration_since(f.heard).as_millis() as u64,
                "demand": f.demand, "leases": f.leases.iter().filter(|(_, (_, u))| now < *u).map(|(s, (e, _))| (s.clone(), *e)).collect::<BTreeMap<_, _>>()}))
            .collect();
        serde_json::json!({"poolers": poolers})
    }
}
