//! The leader's duties: replacing primaries and reporting usage.
//!
//! Decisions go through the log before anything is done outside, so that another leader can take up
//! where this one stopped; `docs/architecture.md` draws the steps.

use super::carry::{Part, Parts};
use super::dance::{Ask, Dance, Sight};
use super::nectar::{Need, Pour, Stores};
use super::registry::Registry;
use super::repair::Instance;
use super::royal::CONFIRM;
use super::settings::{Bounds, Platform};
use crate::connection::session::Position;
use crate::version::config;
use crate::version::ledger::{Command, Ledger};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How long a forager may use a lease, from its asking.
pub const LEASE: Duration = Duration::from_millis(1800);
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
/// A forager that has not asked for this long no longer counts for shares: long enough for one that is
/// restarted to find its part untouched, and for a lost one's connections to be gone.
const FORAGER_GONE: Duration = Duration::from_secs(20);
/// What needs a look over all foragers is looked at this often.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
const SHARES_PAUSE: Duration = Duration::from_millis(1000);
/// Share of the usage delay after which a window's counts are taken as whole.
const USAGE_SETTLE: f64 = 0.35;
/// Foragers look for a new leader for about a second and tell it all that is not reported.
const USAGE_GATHER: Duration = Duration::from_millis(1500);
const USAGE_PAUSE: Duration = Duration::from_millis(400);

/// What a probe of an instance found.
#[derive(Debug, Clone, PartialEq)]
pub enum Probed {
    Status { primary: bool, term: u64, received: Position },
    Busy,
    Failed,
}

impl Probed {
    /// Reads the row that `STATUS`, `PAUSE` and `STEPDOWN` answer with.
    pub fn read(row: &str) -> Probed {
        let mut fields = row.split(' ');
        let role = fields.next();
        let term = fields.next().and_then(|t| t.parse().ok());
        let received = fields.next().and_then(Position::read);
        match (role, term, received) {
            (Some(role), Some(term), Some(received)) => Probed::Status { primary: role == "primary", term, received },
            _ => Probed::Failed,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Propose(Command),
    Probe { token: u64, instance: Instance, text: String },
    Call { token: u64, path: &'static str, fence: u64, body: String },
    Send(Ipv4Addr, Dance),
    Note(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Probe(String, String),
    StepDown(String),
    Failover(String, String),
    Usage(u64),
}

#[derive(Debug, Default)]
struct Seen {
    at: Option<Instant>,
    result: Option<Probed>,
    asked: Option<Instant>,
    fails: u32,
}

#[derive(Debug, Default)]
struct Move {
    /// A proposal of this service is under way since then.
    proposed: Option<Instant>,
    /// Since when the epoch is known closed and without leases.
    clear: Option<Instant>,
    seen: BTreeMap<String, Seen>,
    calling: Option<Instant>,
    /// The platform took the call for this instance at that moment.
    called: Option<(String, Instant)>,
    call_after: Option<Instant>,
    refused: BTreeMap<String, Instant>,
    recalled: Option<Instant>,
}

/// How many foragers see a primary fail, answer, or answer that it has lost the lead.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    failing: u32,
    healthy: u32,
    deposed: u32,
}

#[derive(Debug)]
struct Forager {
    name: String,
    zone: String,
    heard: Instant,
    sights: Vec<Sight>,
    leases: BTreeMap<String, (u64, Instant)>,
    demand: u32,
}

/// What the leader keeps in memory; lost with its lead and gathered anew.
pub struct Duties {
    node: String,
    bounds: Bounds,
    beat: Duration,
    platform: Option<Platform>,
    started: Instant,
    /// This leader's term and when it began.
    lead: Option<(u64, Instant)>,
    moves: BTreeMap<String, Move>,
    foragers: BTreeMap<Ipv4Addr, Forager>,
    /// The tenants' rights, once a limit is in force.
    stores: Option<Stores>,
    /// By node and life, then window.
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

/// What a drive of the duties looks at.
pub struct Scene<'a> {
    pub now: Instant,
    pub term: u64,
    pub ledger: &'a Ledger,
    pub registry: &'a Registry,
    /// Time of day, since 1970.
    pub wall: Duration,
    pub confirm: Duration,
}

impl Scene<'_> {
    /// Whether an instance leaves: by the log, which a queen that has just started knows already, or
    /// by what it says itself.
    fn leaves(&self, id: &str) -> bool {
        self.ledger.drains.iter().any(|d| d == id) || self.registry.get(id).is_some_and(|i| i.draining)
    }
}

impl Duties {
    pub fn new(now: Instant, node: &str, bounds: Bounds, beat: Duration, platform: Option<Platform>) -> Self {
        Duties {
            node: node.to_owned(),
            bounds,
            beat,
            platform,
            started: now,
            lead: None,
            moves: BTreeMap::new(),
            foragers: BTreeMap::new(),
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

    pub fn set_bounds(&mut self, bounds: Bounds) {
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
    pub fn stop(&mut self) {
        self.lead = None;
        self.moves.clear();
        self.foragers.clear();
        self.stores = None;
        self.sent.clear();
        self.usage_proposed = None;
        self.usage_calling = None;
        self.stepdowns.clear();
    }

    /// A forager asks for leases. Only a confirmed leader is asked to answer.
    pub fn asked(&mut self, scene: &Scene, from: Ipv4Addr, ask: Ask) -> (Vec<(String, u64)>, Option<u64>, Vec<Pour>) {
        let now = scene.now;
        self.begin(now, scene.term);
        let whole = ask.known == scene.term;
        let pours = self.pour(now, scene.term, scene.ledger, (&ask.node, ask.life), whole, ask.needs);
        self.counts.entry((ask.node.clone(), ask.life)).or_default().extend(ask.usage);
        let mut leases = Vec::new();
        for service in ask.wants {
            let open = scene.ledger.epochs.get(&service).filter(|e| !e.closed).map(|e| e.epoch);
            let moving = self.moves.get(&service).is_some_and(|m| m.proposed.is_some());
            if let Some(epoch) = open.filter(|_| !moving) {
                leases.push((service, epoch));
            }
        }
        let forager = self.foragers.entry(from).or_insert_with(|| Forager {
            name: ask.node.clone(),
            zone: String::new(),
            heard: now,
            sights: Vec::new(),
            leases: BTreeMap::new(),
            demand: 0,
        });
        forager.name = ask.node;
        forager.zone = ask.zone;
        forager.heard = now;
        forager.sights = ask.sights;
        forager.demand = ask.demand;
        for (service, epoch) in &leases {
            forager.leases.insert(service.clone(), (*epoch, now + LEASE));
        }
        (leases, scene.ledger.reports.keys().next_back().copied(), pours)
    }

    /// Gives out tenants' rights. Only a confirmed leader is asked to.
    pub fn pour(
        &mut self,
        now: Instant,
        term: u64,
        ledger: &Ledger,
        who: (&str, u64),
        whole: bool,
        needs: Vec<Need>,
    ) -> Vec<Pour> {
        self.begin(now, term);
        let since = self.lead.map_or(now, |(_, since)| since);
        let excess = (self.bounds.quota_excess, self.bounds.quota_slack);
        let stores = self.stores.get_or_insert_with(|| Stores::new(since, term, LEASE, CONFIRM, excess));
        if stores.revision() != ledger.revision() {
            let document = ledger.config.as_ref().and_then(|c| config::read(&c.raw).ok());
            stores.learn(ledger.revision(), document.map(|d| config::quotas(&d)).unwrap_or_default());
        }
        stores.asked(now, who, whole, needs, ledger.parts.keys())
    }

    pub fn returned(&mut self, from: Ipv4Addr, service: &str, epoch: u64) {
        if let Some(forager) = self.foragers.get_mut(&from)
            && forager.leases.get(service).is_some_and(|(e, _)| *e == epoch)
        {
            forager.leases.remove(service);
        }
    }

    /// Whether work under this epoch may still be sent by anybody.
    fn leased(&self, scene: &Scene, service: &str, epoch: u64) -> bool {
        let since = self.lead.map_or(scene.now, |(_, since)| since);
        // Leases that an earlier leader gave are not known here: they are waited out.
        scene.now < since + LEASE + scene.confirm
            || self
                .foragers
                .values()
                .any(|f| f.leases.get(service).is_some_and(|(e, until)| *e == epoch && scene.now < *until))
    }

    /// Whether this daemon may act on a subject without an A, B, A inside the rule's span.
    fn may_act(&self, now: Instant, subject: &str, last: Option<&str>) -> bool {
        if last.is_none_or(|holder| holder == self.node) {
            return true;
        }
        let mine = self.acts.get(subject).copied().unwrap_or(self.started);
        now > mine + self.bounds.lease() + self.bounds.thaw()
    }

    /// A term's duties begin with empty hands.
    pub fn begin(&mut self, now: Instant, term: u64) {
        if self.lead.is_none_or(|(held, _)| held != term) {
            self.stop();
            self.lead = Some((term, now));
        }
    }

    /// One step of every duty. Called by a confirmed leader only.
    pub fn drive(&mut self, scene: &Scene) {
        self.begin(scene.now, scene.term);
        let mut services: BTreeSet<String> = scene.registry.services().cloned().collect();
        services.extend(scene.ledger.epochs.keys().cloned());
        let told = self.told(scene);
        for service in services {
            let told = told.get(&service).copied().unwrap_or_default();
            self.drive_service(scene, &service, told);
        }
        self.drive_stepdowns(scene);
        self.drive_shares(scene);
        self.drive_usage(scene);
    }

    /// What the foragers saw of the primaries lately, by service.
    fn told(&self, scene: &Scene) -> BTreeMap<String, Told> {
        let mut all: BTreeMap<String, Told> = BTreeMap::new();
        for forager in self.foragers.values().filter(|f| scene.now.duration_since(f.heard) < SIGHT_KEEP) {
            let age = scene.now.duration_since(forager.heard);
            for sight in &forager.sights {
                if scene.ledger.epochs.get(&sight.service).is_none_or(|e| e.epoch != sight.epoch) {
                    continue;
                }
                let healthy = !sight.failing && sight.heard.is_some_and(|h| h + age < SIGHT_FRESH);
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

    fn drive_service(&mut self, scene: &Scene, service: &str, told: Told) {
        let now = scene.now;
        let mut work = self.moves.remove(service).unwrap_or_default();
        if work.proposed.is_some_and(|at| now.duration_since(at) > Duration::from_secs(1)) {
            work.proposed = None;
        }
        match scene.ledger.epochs.get(service) {
            None => self.first_crown(scene, service, &mut work),
            Some(e) if !e.closed => {
                work.clear = None;
                if work.proposed.is_none()
                    && let Some(why) = self.must_replace(scene, service, &e.primary, told, &mut work)
                {
                    work.proposed = Some(now);
                    work.recalled = Some(now);
                    self.out.push(Effect::Note(format!("{service}: closing epoch {}: {why}", e.epoch)));
                    self.out.push(Effect::Propose(Command::Close { service: service.to_owned(), epoch: e.epoch }));
                    self.recall(now, service, e.epoch);
                }
            }
            Some(_) => self.replace(scene, service, &mut work),
        }
        self.moves.insert(service.to_owned(), work);
    }

    fn recall(&mut self, now: Instant, service: &str, epoch: u64) {
        for (ip, forager) in &self.foragers {
            if forager.leases.get(service).is_some_and(|(e, until)| *e == epoch && now < *until) {
                self.out.push(Effect::Send(*ip, Dance::Recall { service: service.to_owned(), epoch }));
            }
        }
    }

    /// The first epoch: whoever already leads is made known.
    fn first_crown(&mut self, scene: &Scene, service: &str, work: &mut Move) {
        for instance in scene.registry.of_service(service).filter(|i| i.primary) {
            self.probe(scene.now, service, instance, work);
        }
        let leads = work.seen.iter().find_map(|(id, s)| match &s.result {
            Some(Probed::Status { primary: true, term, .. }) => Some((id.clone(), *term)),
            _ => None,
        });
        if let Some((primary, term)) = leads
            && work.proposed.is_none()
        {
            work.proposed = Some(scene.now);
            work.seen.clear();
            self.out.push(Effect::Propose(Command::Crown { service: service.to_owned(), epoch: 1, primary, term }));
        }
    }

    fn probe(&mut self, now: Instant, service: &str, instance: &Instance, work: &mut Move) {
        let seen = work.seen.entry(instance.id.clone()).or_default();
        let due = seen.asked.is_none() && seen.at.is_none_or(|at| now.duration_since(at) >= PROBE_PAUSE);
        let stuck = seen.asked.is_some_and(|at| now.duration_since(at) > Duration::from_secs(2));
        if due || stuck {
            seen.asked = Some(now);
            let token = self.token(Token::Probe(service.to_owned(), instance.id.clone()));
            self.out.push(Effect::Probe { token, instance: instance.clone(), text: "STATUS".into() });
        }
    }

    /// Why the primary is to be replaced, if it is.
    fn must_replace(
        &mut self,
        scene: &Scene,
        service: &str,
        primary: &str,
        told: Told,
        work: &mut Move,
    ) -> Option<String> {
        let now = scene.now;
        let instance = scene.registry.get(primary);
        if scene.leaves(primary) || instance.is_some_and(|i| i.gone) {
            let heir = scene.registry.of_service(service).any(|i| i.id != primary && !scene.leaves(&i.id));
            return heir.then(|| "the primary leaves".to_owned());
        }
        let Told { failing, healthy, deposed } = told;
        let silent = scene.registry.silence(now, primary).is_none_or(|s| s > self.beat * BEATS_MISSED);
        let other = scene.registry.of_service(service).any(|i| i.id != primary && i.primary);
        if failing == 0 && deposed == 0 && !(silent && healthy == 0) && !other {
            work.seen.clear();
            return None;
        }
        let Some(instance) = instance else {
            // A queen that has just started knows no instance yet; their beats tell soon.
            let waited = self.lead.is_some_and(|(_, since)| now.duration_since(since) > self.beat * (BEATS_MISSED + 1));
            return (waited && healthy == 0).then(|| "it is unknown to everybody".to_owned());
        };
        self.probe(now, service, &instance.clone(), work);
        let seen = work.seen.get(primary)?;
        match &seen.result {
            Some(Probed::Status { primary: false, .. }) => Some("it has lost the lead".to_owned()),
            Some(Probed::Failed)
                if (seen.fails >= PROBE_FAILS || (seen.fails > 0 && failing >= AGREED && healthy == 0))
                    && (failing > healthy || healthy == 0)
                    && (failing >= 2 || silent) =>
            {
                Some(format!("{failing} daemons and this one cannot reach it, {healthy} can"))
            }
            _ => None,
        }
    }

    fn replace(&mut self, scene: &Scene, service: &str, work: &mut Move) {
        let now = scene.now;
        let Some(epoch) = scene.ledger.epochs.get(service) else { return };
        if self.leased(scene, service, epoch.epoch) {
            // Messages between daemons can be lost with their link; a repeat costs little.
            if work.recalled.is_none_or(|at| now.duration_since(at) > RECALL_PAUSE) {
                work.recalled = Some(now);
                self.recall(now, service, epoch.epoch);
            }
            work.clear = None;
            // The census may begin before the last lease is back; only its last round counts.
            for instance in scene.registry.of_service(service).cloned().collect::<Vec<_>>() {
                self.probe(now, service, &instance, work);
            }
            return;
        }
        let clear = *work.clear.get_or_insert(now);
        let instances: Vec<Instance> = scene.registry.of_service(service).cloned().collect();
        for instance in &instances {
            self.probe(now, service, instance, work);
        }
        if work.proposed.is_some() {
            return;
        }
        let fresh: BTreeMap<&str, &Probed> = work
            .seen
            .iter()
            .filter(|(_, s)| s.at.is_some_and(|at| at > clear))
            .filter_map(|(id, s)| s.result.as_ref().map(|r| (id.as_str(), r)))
            .collect();
        // Whoever leads a later term has taken over, whoever asked for it.
        let leads = fresh
            .iter()
            .filter_map(|(id, p)| match p {
                Probed::Status { primary: true, term, .. } => Some((*term, (*id).to_owned())),
                _ => None,
            })
            .max();
        let old_alive = matches!(fresh.get(epoch.primary.as_str()), Some(Probed::Status { primary: true, .. }));
        let old_stays = instances.iter().any(|i| i.id == epoch.primary) && !scene.leaves(&epoch.primary);
        if let Some((term, id)) = leads {
            let newer = term > epoch.term;
            let spared = id == epoch.primary && term == epoch.term && old_stays && epoch.named.is_none();
            if newer || spared {
                work.proposed = Some(now);
                work.called = None;
                work.seen.clear();
                self.out.push(Effect::Note(format!("{service}: {id} leads term {term}")));
                if newer && let Some(old) = instances.iter().find(|i| i.id == epoch.primary && i.id != id) {
                    self.stepdowns.insert(old.id.clone(), (old.clone(), term, now, None));
                }
                let crown = Command::Crown { service: service.to_owned(), epoch: epoch.epoch + 1, primary: id, term };
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
            |i: &&Instance| i.id != epoch.primary && !scene.leaves(&i.id) && !work.refused.contains_key(&i.id);
        let candidates: Vec<(&Instance, Position)> = instances
            .iter()
            .filter(eligible)
            .filter_map(|i| match fresh.get(i.id.as_str()) {
                Some(Probed::Status { received, .. }) => Some((i, *received)),
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
            && let Some(Probed::Status { received: last, .. }) = fresh.get(epoch.primary.as_str())
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
            let command = Command::Name { service: service.to_owned(), epoch: epoch.epoch, target: best.id, holder };
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
        self.out.push(Effect::Note(format!("{service}: naming {} at {received}", best.id)));
        self.out.push(Effect::Call { token, path: "/failover", fence: scene.term, body });
    }

    fn may_call(&mut self, now: Instant) -> bool {
        if self.call_gate.is_some_and(|until| now < until) {
            return false;
        }
        let rate = self.platform.as_ref().map_or(1.0, |p| p.duty_per_s);
        self.call_gate = Some(now + Duration::from_secs_f64((1.0 / rate).min(5.0)));
        true
    }

    fn drive_stepdowns(&mut self, scene: &Scene) {
        let now = scene.now;
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
            self.out.push(Effect::Probe { token, instance, text: format!("STEPDOWN {term}") });
        }
    }

    fn drive_shares(&mut self, scene: &Scene) {
        let now = scene.now;
        if self.shares_after.is_some_and(|at| now < at) {
            return;
        }
        self.shares_after = Some(now + LOOK_PAUSE);
        let ledger = &scene.ledger.parts;
        let mut parts = Parts::new();
        for (ip, forager) in &self.foragers {
            if now.duration_since(forager.heard) < FORAGER_GONE {
                parts.insert(forager.name.clone(), Part { ip: *ip, zone: forager.zone.clone() });
            }
        }
        // One that is merely not heard yet by a new leader keeps its part for a while.
        if self.lead.is_some_and(|(_, since)| now.duration_since(since) < FORAGER_GONE) {
            for (name, part) in ledger {
                parts.entry(name.clone()).or_insert_with(|| part.clone());
            }
        }
        if !parts.is_empty() && parts != *ledger {
            self.shares_after = Some(now + SHARES_PAUSE);
            self.out.push(Effect::Propose(Command::Shares { parts }));
        }
    }

    fn drive_usage(&mut self, scene: &Scene) {
        let (now, ledger) = (scene.now, scene.ledger);
        if self.platform.is_none() || self.usage_calling.is_some() || self.usage_after.is_some_and(|at| now < at) {
            return;
        }
        if !self.may_act(now, "usage", ledger.usage_holder.as_deref()) {
            return;
        }
        // A new leader first hears from everybody again: a window is reported once and for all.
        if self.lead.is_none_or(|(_, since)| now.duration_since(since) < USAGE_GATHER) {
            return;
        }
        let span = self.bounds.usage_window().as_secs_f64();
        let settle = self.bounds.usage_delay().mul_f64(USAGE_SETTLE).as_secs_f64();
        let whole = ((scene.wall.as_secs_f64() - settle) / span).floor() as u64;
        // What is committed and not known to have been taken is sent, oldest first.
        let unsent = ledger.reports.iter().find(|(w, _)| **w + 4 >= whole && !self.sent.contains(w));
        if let Some((window, report)) = unsent {
            if report.holder != self.node && ledger.usage_holder.as_deref() != Some(self.node.as_str()) {
                // The holder changes hands through the log before anything is sent.
                if self.propose_usage_due(now, *window) {
                    let command =
                        Command::Usage { window: *window, counts: BTreeMap::new(), holder: self.node.clone() };
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
                self.out.push(Effect::Call { token, path: "/usage", fence: scene.term, body });
            }
            return;
        }
        self.usage_after = Some(now + LOOK_PAUSE);
        let last = ledger.reports.keys().next_back().copied().unwrap_or(0);
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
            self.out.push(Effect::Propose(Command::Usage { window, counts, holder: self.node.clone() }));
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
    pub fn applied(&mut self, command: &Command) {
        let service = match command {
            Command::Close { service, .. } | Command::Name { service, .. } | Command::Crown { service, .. } => service,
            _ => return,
        };
        if let Some(work) = self.moves.get_mut(service) {
            work.proposed = None;
        }
    }

    pub fn probed(&mut self, now: Instant, token: u64, result: Probed) {
        match self.tokens.remove(&token) {
            Some(Token::Probe(service, id)) => {
                let Some(seen) = self.moves.get_mut(&service).and_then(|m| m.seen.get_mut(&id)) else { return };
                // The probe counts from its asking: an answer may be older than its arrival.
                seen.at = seen.asked.take().or(Some(now));
                seen.fails = if result == Probed::Failed { seen.fails + 1 } else { 0 };
                seen.result = Some(result);
            }
            Some(Token::StepDown(id)) => {
                if let (Probed::Status { primary: false, .. }, Some(_)) = (&result, self.stepdowns.get(&id)) {
                    self.stepdowns.remove(&id);
                }
            }
            _ => {}
        }
    }

    /// The platform answered, or did not.
    pub fn called(&mut self, now: Instant, token: u64, status: Option<u16>) {
        match self.tokens.remove(&token) {
            Some(Token::Failover(service, id)) => {
                let Some(work) = self.moves.get_mut(&service) else { return };
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
                        self.out.push(Effect::Note(format!("the platform refuses window {window}: {status:?}")));
                        self.sent.insert(window);
                    }
                    _ => self.usage_after = Some(now + USAGE_PAUSE),
                }
            }
            _ => {}
        }
    }

    pub fn describe(&self, now: Instant) -> serde_json::Value {
        let foragers: Vec<_> = self
            .foragers
            .values()
            .map(|f| serde_json::json!({"node": f.name, "heard-ms-ago": now.duration_since(f.heard).as_millis() as u64,
                "demand": f.demand, "leases": f.leases.iter().filter(|(_, (_, u))| now < *u).map(|(s, (e, _))| (s.clone(), *e)).collect::<BTreeMap<_, _>>()}))
            .collect();
        serde_json::json!({"foragers": foragers})
    }
}
