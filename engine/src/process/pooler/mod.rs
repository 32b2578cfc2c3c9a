//! The data plane's state machine: sessions on one side, pooled connections on the other.
//!
//! Inputs are bytes, ends and the moment; outputs are what to send, open and close.

use super::dissemination::anti_entropy::{Instance, Update, UpdateValue};
use super::dissemination::tree::DisseminationTree;
use super::forwarding::{self, CarrierAssignment, PoolerShares};
use super::peer_message::{GrantedLease, LeaseGrant, LeaseRequest, PeerMessage, PrimaryObservation};
use super::quota::{RightsHolder, RightsTransfer, SpendOutcome};
use super::settings::TimingBounds;
use crate::connection::backend_connection::{Answer, BackendConnection, ConnectionUse, ExpectedAnswer};
use crate::connection::client_session::{
    PendingStatement, Position, Session, StatementKind, StatementStage, Transaction,
};
use crate::connection::draining::{CLOSED_AT_ONCE, DrainPhase};
use crate::connection::framing::NextLine;
use crate::request::error::{RequestError, is_promise};
use crate::request::statement::{self, Statement, word};
use crate::version::config::{self, Configuration, Kind};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

pub type SessionId = u64;
pub type ConnectionId = u64;

#[derive(Debug)]
pub enum Effect {
    ToClient(SessionId, String),
    /// The session has had its last word.
    CloseClient(SessionId),
    /// To be closed unless something has come that was not read yet: then [`Pooler::stirs`], else
    /// [`Pooler::client_gone`].
    CloseIfIdle(SessionId),
    OpenBackend(ConnectionId, SocketAddrV4),
    ToBackend(ConnectionId, String),
    CloseBackend(ConnectionId),
    Send(Ipv4Addr, PeerMessage),
    Log(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The operation's deadline, or the end of its wait for a connection.
    Deadline(SessionId, u64),
    Hold(SessionId, u64),
    Hedge(SessionId, u64),
    Rest(SessionId, u64),
    Connection(ConnectionId, Instant),
    /// The wait for one of the tenant's own connections has been long enough.
    Open(SessionId, u64),
    Retry(SessionId, u64),
}

/// Connections to an instance held where no configuration names the service.
const UNKNOWN_SHARE: usize = 1;
/// Share of the statement's deadline that a request is held without having been sent.
const HOLD: f64 = 0.45;
/// A read is tried elsewhere after this share of its aim in silence, but not before `HEDGE_FLOOR`.
const HEDGE: f64 = 0.7;
const HEDGE_FLOOR: Duration = Duration::from_millis(90);
/// A transaction's later statement is given up after this share of its aim.
const BREAK: f64 = 1.2;
/// Neither happens before this many times what the instance's answers take now, nor more often.
const HEDGE_PACES: f64 = 6.0;
const HEDGES: usize = 3;
/// Pause before a request that met `BUSY` goes out again.
const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// Pause before a request whose connection was lost goes out again.
const LOST_PAUSE: Duration = Duration::from_millis(5);
/// Share of its aim that a request waits for one of its tenant's connections before another is opened.
const OPEN_AFTER: f64 = 0.35;
/// What opening a connection is taken to cost when instances are compared, in ms, until it is known.
const OPEN_COST: f64 = 8.0;
/// Connections to one instance that are opened at the same time: each takes one of its slots for a while.
const OPENING_MAX: usize = 2;
/// A tenant that has connections to an instance takes another tenant's only if that rested this long.
const RESTED: Duration = Duration::from_millis(150);
/// How soon it is looked again whether a connection may be opened.
const OPEN_AGAIN: Duration = Duration::from_millis(40);
/// An instance that answers `BUSY` gets fewer statements at once, by this factor and not more often
/// than this; each answer lets a part of one more through.
const NARROW: f64 = 0.7;
const NARROW_PAUSE: Duration = Duration::from_millis(40);
const WIDEST: f64 = 64.0;
/// Instances that refused or fell silent are passed over for this long.
const SHUN: Duration = Duration::from_millis(250);
/// A connection being opened or readied is given up after this long.
const OPEN_PATIENCE: Duration = Duration::from_millis(700);
const SETUP_PATIENCE: Duration = Duration::from_millis(400);
/// An answer given up on is waited for this long before its connection is closed.
const PARK_PATIENCE: Duration = Duration::from_millis(2500);
/// An instance with requests outstanding that says nothing for this long is failing.
const SILENCE: Duration = Duration::from_millis(350);
/// How often leases are asked for, and sooner when something is wrong.
const ASK: Duration = Duration::from_millis(400);
const ASK_SOON: Duration = Duration::from_millis(80);
/// A lease is asked for this long after the service was last used here.
const WANT_KEEP: Duration = Duration::from_secs(10);
/// What was last heard of a primary so long ago tells the leader nothing.
const SIGHT_KEEP: Duration = Duration::from_secs(2);
/// Without an answer for this long, the other daemons that keep the log are asked too.
const GRANT_PATIENCE: Duration = Duration::from_millis(700);
/// Answers that take no longer tell that the link is free.
const ROUND_FREE: Duration = Duration::from_millis(60);
/// Questions to the leader whose answers are taken.
const ASKED_KEPT: usize = 48;
/// Pause between askings for rights out of turn.
const RIGHTS_REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// After a recall, open work on a primary that still answers gets this long.
const RECALL_GRACE: Duration = Duration::from_millis(100);
/// Observations of a primary's position are kept this far apart, and this long.
const OBSERVE_GAP: Duration = Duration::from_millis(20);
const OBSERVE_KEEP: Duration = Duration::from_secs(6);
/// Allowance between a request's first byte and its being read here.
const FRESH_SLACK: Duration = Duration::from_millis(20);
/// A replica is not tried for a session's own commit younger than this.
const OWN_LAG: Duration = Duration::from_millis(120);
/// News older than this makes the daemon call itself not ready.
const NEWS_OLD: Duration = Duration::from_millis(4000);
/// Drains that are remembered: as many as the control_state keeps.
const KEPT_DRAINS: usize = crate::version::control_state::DRAINING_INSTANCES_KEPT;
/// Share of `drain-ms` in which a leaving primary is used while no other has taken over; the rest is
/// for the news' way here and the request's way there.
const DRAIN_USE: f64 = 0.6;
/// A session that found no carrier stays here this long before its client is sent to look again.
const STRAY: Duration = Duration::from_secs(2);
/// Pause between such turns when sessions move to other poolers.
const MOVE_PAUSE: Duration = Duration::from_millis(200);
/// How many bytes of statements a session may queue.
const QUEUE_MAX: usize = 2 << 20;

#[derive(Debug)]
struct InstancePool {
    instance: Instance,
    address: Option<SocketAddrV4>,
    conns: Vec<ConnectionId>,
    waiting: VecDeque<SessionId>,
    shunned: Option<Instant>,
    full: Option<Instant>,
    heard: Option<Instant>,
    /// Failed attempts since it was last heard.
    fails: u32,
    position: Option<Position>,
    /// Answer time, smoothed, in ms.
    pace: f64,
    /// Time that opening a connection takes, smoothed, in ms.
    opening: f64,
    drains_since: Option<Instant>,
    /// How many statements may be with it at once, and when that was last lowered.
    window: f64,
    narrowed: Option<Instant>,
}

#[derive(Debug, Default)]
struct Service {
    epoch: u64,
    primary: String,
    term: u64,
    closed: bool,
    /// Epoch and end of the lease held.
    lease: Option<(u64, Instant)>,
    recalled: Option<(u64, Instant, Ipv4Addr)>,
    deposed: bool,
    observed: VecDeque<(Instant, Position)>,
    /// Waiting for the lease, or for an observation.
    held: Vec<SessionId>,
    asking: Option<ConnectionId>,
}

pub struct Pooler {
    bounds: TimingBounds,
    node: String,
    zone: String,
    incarnation: u64,
    config: Option<Configuration>,
    sessions: HashMap<SessionId, Session>,
    conns: HashMap<ConnectionId, BackendConnection>,
    pools: BTreeMap<String, InstancePool>,
    /// Instances that leave, by the log, and since when this daemon knows; the newest last.
    drains: VecDeque<(String, Instant)>,
    services: BTreeMap<String, Service>,
    parts: PoolerShares,
    /// Who carries what, by the shares and the configuration in force.
    assignment: CarrierAssignment,
    /// Instances by service.
    members: HashMap<String, Vec<String>>,
    /// When sessions whose service is carried elsewhere by now are looked for.
    moves_due: Option<Instant>,
    /// The newest version that was seen at work by way of this daemon: it does not go back behind it.
    required: u64,
    next_conn: ConnectionId,
    next_op: u64,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    usage: BTreeMap<u64, BTreeMap<String, u64>>,
    window: u64,
    leader: Option<Ipv4Addr>,
    /// The daemons that keep the log; all are asked when the leader does not answer.
    controllers: Vec<Ipv4Addr>,
    granted_at: Instant,
    /// How long its last answer took.
    round: Duration,
    /// The leader as the tree last told it.
    told_leader: Option<Ipv4Addr>,
    news_at: Option<Instant>,
    store_digest_sum: u64,
    ask_due: Instant,
    /// Not before this does a lease or a recall end.
    lease_due: Option<Instant>,
    /// Services that sessions here have used, and when last: for these leases are asked.
    wanted: BTreeMap<String, Instant>,
    /// Leases that were recalled are still in use.
    recalling: bool,
    /// The rights held for tenants with a limit, and the requests that wait for some.
    rights: RightsHolder,
    awaiting_rights: Vec<SessionId>,
    /// When the leader is asked for rights out of turn, and not before when.
    rights_request_due: Option<Instant>,
    next_rights_request: Instant,
    /// The leader is yet to be told all that is held here; the last ask that told it.
    tell_whole: bool,
    told_whole: u64,
    nonce: u64,
    asked: VecDeque<(u64, Instant)>,
    leaving: Option<Instant>,
    finished: bool,
    out: Vec<Effect>,
    ready_pools: Vec<String>,
}

/// Until when a request is held without having been sent.
fn held_until(op: &PendingStatement) -> Instant {
    op.arrived + op.route.deadline.mul_f64(HOLD)
}

impl Pooler {
    pub fn new(now: Instant, node: &str, zone: &str, bounds: TimingBounds, incarnation: u64) -> Self {
        Pooler {
            bounds,
            node: node.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            config: None,
            sessions: HashMap::new(),
            conns: HashMap::new(),
            pools: BTreeMap::new(),
            drains: VecDeque::new(),
            services: BTreeMap::new(),
            parts: PoolerShares::new(),
            assignment: CarrierAssignment::default(),
            members: HashMap::new(),
            moves_due: None,
            required: 0,
            next_conn: 1,
            next_op: 1,
            timers: BinaryHeap::new(),
            usage: BTreeMap::new(),
            window: 0,
            leader: None,
            controllers: Vec::new(),
            granted_at: now,
            round: Duration::ZERO,
            told_leader: None,
            news_at: None,
            store_digest_sum: 0,
            ask_due: now,
            lease_due: None,
            wanted: BTreeMap::new(),
            recalling: false,
            rights: RightsHolder::new(incarnation),
            awaiting_rights: Vec::new(),
            rights_request_due: None,
            next_rights_request: now,
            tell_whole: true,
            told_whole: 0,
            nonce: 0,
            asked: VecDeque::new(),
            leaving: None,
            finished: false,
            out: Vec::new(),
            ready_pools: Vec::new(),
        }
    }

    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    pub fn set_bounds(&mut self, bounds: TimingBounds) {
        self.bounds = bounds;
    }

    /// Whether new connections are welcome.
    pub fn ready(&self, now: Instant) -> bool {
        self.config.is_some()
            && self.leaving.is_none()
            && self.news_at.is_some_and(|at| now.duration_since(at) < NEWS_OLD)
    }

    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    // ---- news -------------------------------------------------------------------------------

    /// How fresh the tree's news is, who leads, and what the copies hold.
    pub fn observe_tree(&mut self, now: Instant, relay: &DisseminationTree) {
        if self.controllers != relay.roots() {
            self.controllers = relay.roots().to_vec();
        }
        self.store_digest_sum = relay.update_store.digest_sum();
        let (age, leader) = (relay.leader_contact_age(now), relay.leader());
        if let Some(at) = age.and_then(|a| now.checked_sub(a)) {
            self.news_at = Some(at);
        }
        if leader.is_some() && leader != self.told_leader {
            self.told_leader = leader;
            self.leader = leader;
            self.ask_due = now;
        }
    }

    pub fn apply_updates(&mut self, now: Instant, updates: &[Update]) {
        let mut shares = false;
        for update in updates {
            match &update.value {
                UpdateValue::Config(raw) => {
                    if self.adopt(raw) {
                        self.moves_due = Some(now + MOVE_PAUSE);
                    }
                    self.proceed_all(now);
                }
                UpdateValue::Epoch { service, epoch, primary, term, closed } => {
                    let s = self.services.entry(service.clone()).or_default();
                    if *epoch > s.epoch {
                        s.observed.clear();
                        s.deposed = false;
                        s.recalled = None;
                        self.ask_due = now;
                    }
                    (s.epoch, s.primary, s.term, s.closed) = (*epoch, primary.clone(), *term, *closed);
                    let id = primary.clone();
                    if let Some(pool) = self.pools.get_mut(&id) {
                        pool.shunned = None;
                        pool.fails = 0;
                    }
                }
                UpdateValue::DrainInstance { id } => {
                    if !self.drains.iter().any(|(d, _)| d == id) {
                        self.drains.push_back((id.clone(), now));
                        if self.drains.len() > KEPT_DRAINS {
                            self.drains.pop_front();
                        }
                    }
                    self.drain(now, now, id);
                }
                UpdateValue::PoolerShare { name, share } => {
                    match share {
                        Some(share) => self.parts.insert(name.clone(), share.clone()),
                        None => self.parts.remove(name),
                    };
                    shares = true;
                }
                UpdateValue::Instance(instance) => self.learn_instance(now, instance),
                // Held unpacked.
                UpdateValue::Voters(_) | UpdateValue::Compressed { .. } => {}
            }
        }
        if shares {
            self.reckon();
            self.moves_due = Some(now + MOVE_PAUSE);
            self.shrink(now);
        }
        self.release_held(now, None);
    }

    /// Goes by a configuration; says whether that changed who carries what.
    fn adopt(&mut self, raw: &[u8]) -> bool {
        match config::read(raw) {
            Ok(document) if document.revision > self.revision() => {
                let config = Configuration::new(&document);
                for name in config.backends.keys() {
                    self.services.entry(name.clone()).or_default();
                }
                let same = self.config.as_ref().is_some_and(|c| c.backends == config.backends);
                self.config = Some(config);
                if !same {
                    self.reckon();
                }
                return !same;
            }
            Ok(_) => {}
            Err(why) => self.out.push(Effect::Log(format!("a committed configuration can't be read: {why}"))),
        }
        false
    }

    /// Reckons anew who carries what.
    fn reckon(&mut self) {
        let Some(config) = &self.config else { return };
        let services = config.backends.values().map(|b| (b.name.as_str(), b.max_connections));
        self.assignment = CarrierAssignment::new(&self.node, &self.parts, services);
    }

    fn learn_instance(&mut self, now: Instant, instance: &Instance) {
        let address = instance.address.parse().ok();
        let members = self.members.entry(instance.service.clone()).or_default();
        if !members.contains(&instance.id) {
            members.push(instance.id.clone());
            members.sort_unstable();
        }
        let pool = self.pools.entry(instance.id.clone()).or_insert_with(|| InstancePool {
            instance: instance.clone(),
            address,
            conns: Vec::new(),
            waiting: VecDeque::new(),
            shunned: None,
            full: None,
            heard: None,
            fails: 0,
            position: None,
            pace: 10.0,
            opening: OPEN_COST,
            drains_since: None,
            window: WIDEST,
            narrowed: None,
        });
        let moved = pool.address != address;
        pool.instance = instance.clone();
        pool.address = address;
        if moved {
            pool.shunned = None;
            for conn in pool.conns.clone() {
                self.lose_conn(now, conn, true);
            }
        }
        // What the log says stands, whatever a late beat tells.
        if let Some((_, since)) = self.drains.iter().find(|(d, _)| *d == instance.id).cloned() {
            self.drain(now, since, &instance.id);
        } else if instance.draining || instance.gone {
            self.drain(now, now, &instance.id);
        } else if let Some(pool) = self.pools.get_mut(&instance.id) {
            pool.drains_since = None;
        }
    }

    fn drain(&mut self, now: Instant, since: Instant, id: &str) {
        let Some(pool) = self.pools.get_mut(id) else { return };
        pool.drains_since.get_or_insert(since);
        let gone = pool.instance.gone;
        let waiting: Vec<SessionId> = pool.waiting.drain(..).collect();
        let conns = pool.conns.clone();
        let is_primary = self.is_primary(id);
        for conn in conns {
            let idle = self
                .conns
                .get(&conn)
                .is_some_and(|c| c.usage == ConnectionUse::Idle || c.usage == ConnectionUse::Opening);
            if gone || (idle && !is_primary) {
                self.lose_conn(now, conn, true);
            }
        }
        for session_id in waiting {
            self.dispatch(now, session_id);
        }
        if gone
            && !is_primary
            && let Some(pool) = self.pools.remove(id)
            && let Some(members) = self.members.get_mut(&pool.instance.service)
        {
            members.retain(|m| m != id);
        }
    }

    fn is_primary(&self, id: &str) -> bool {
        let service = self.pools.get(id).and_then(|b| self.services.get(&b.instance.service));
        service.is_some_and(|s| s.primary == id)
    }

    /// The instances of a service, as far as they are known.
    fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (&'a String, &'a InstancePool)> {
        let ids = self.members.get(service).into_iter().flatten();
        ids.filter_map(|id| self.pools.get(id).map(|pool| (id, pool)))
    }

    // ---- leases -----------------------------------------------------------------------------

    /// The lease's epoch, if primary work may be sent at this moment.
    fn lease(&self, now: Instant, service: &str) -> Option<u64> {
        let s = self.services.get(service)?;
        let (epoch, until) = s.lease?;
        (epoch == s.epoch && !s.closed && now < until && s.recalled.is_none() && !s.deposed).then_some(epoch)
    }

    /// Whether work sent under this epoch's lease may still be acknowledged.
    fn covered(&self, now: Instant, service: &str, epoch: u64) -> bool {
        self.services.get(service).and_then(|s| s.lease).is_some_and(|(e, until)| e == epoch && now < until)
    }

    fn ask(&mut self, now: Instant) {
        self.ask_due = now + ASK;
        // A leader that does not answer may have been replaced, and only that one's successor grants.
        let asked: Vec<Ipv4Addr> = match self.leader {
            Some(leader) if now.duration_since(self.granted_at) < GRANT_PATIENCE => vec![leader],
            leader => {
                self.tell_whole = true;
                let hinted = leader.filter(|l| !self.controllers.contains(l));
                self.controllers.iter().copied().chain(hinted).collect()
            }
        };
        let nonce = self.note_asked(now);
        if self.tell_whole {
            self.told_whole = nonce;
        }
        let needs = self.rights.needs(now, self.tell_whole);
        let observations = self.observations(now);
        self.wanted.retain(|_, at| now.duration_since(*at) < WANT_KEEP);
        let carried = self.assignment.carried_services().filter(|s| !self.wanted.contains_key(*s)).cloned();
        let wants = self.wanted.keys().cloned().chain(carried).collect();
        let ask = LeaseRequest {
            nonce,
            node: self.node.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            usage: self.usage.clone(),
            services: wants,
            primary_observations: observations,
            busy_connections: self.conns.values().filter(|c| matches!(c.usage, ConnectionUse::Busy(_))).count() as u32,
            digest_sum: self.store_digest_sum,
            rights_needs: needs,
            known_term: self.rights.known_term,
        };
        for controller in asked {
            self.out.push(Effect::Send(controller, PeerMessage::LeaseRequest(ask.clone())));
        }
    }

    fn note_asked(&mut self, now: Instant) -> u64 {
        self.nonce += 1;
        self.asked.push_back((self.nonce, now));
        if self.asked.len() > ASKED_KEPT {
            self.asked.pop_front();
        }
        self.nonce
    }

    // ---- limits -----------------------------------------------------------------------------

    /// Whether a request may begin: its tenant has no limit, or a right held here is spent on it. Else it
    /// waits for one, or is turned away.
    fn admit(&mut self, now: Instant, session_id: SessionId) -> bool {
        let Some(config) = &self.config else { return true };
        let Some(op) = self.sessions.get_mut(&session_id).and_then(|s| s.statement.as_mut()) else { return false };
        if op.admitted || !config.quotas.contains_key(&op.tenant) {
            return true;
        }
        match self.rights.spend(now, &op.tenant, std::mem::replace(&mut op.waited_for_rights, true)) {
            SpendOutcome::Admitted => {
                op.admitted = true;
                true
            }
            SpendOutcome::RequestRights => {
                let until = held_until(op);
                self.timers.push(Reverse((until.max(now), Timer::Hold(session_id, op.number))));
                self.awaiting_rights.push(session_id);
                self.rights_request_due.get_or_insert(self.next_rights_request.max(now));
                false
            }
            SpendOutcome::Exhausted => {
                let error = RequestError::busy("the tenant is at its limit; come back in 200 ms");
                self.tell(now, session_id, &error, true);
                false
            }
        }
    }

    /// Asks the leader for the rights that requests wait for.
    fn request_rights(&mut self, now: Instant) {
        self.rights_request_due = None;
        self.next_rights_request = now + RIGHTS_REQUEST_INTERVAL;
        let Some(leader) = self.leader else { return };
        let nonce = self.note_asked(now);
        let needs = self.rights.needs(now, false);
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        self.out.push(Effect::Send(leader, PeerMessage::RightsRequest { nonce, node, incarnation, needs }));
    }

    /// The leader gave rights.
    pub fn handle_rights_grant(
        &mut self,
        now: Instant,
        nonce: u64,
        span: Duration,
        term: u64,
        transfers: Vec<RightsTransfer>,
    ) {
        let Some((_, asked)) = self.asked.iter().find(|(n, _)| *n == nonce).copied() else { return };
        if self.rights.handle_rights_grant(now, asked + span, term, transfers) {
            self.tell_whole = true;
            self.ask_due = now;
        } else if nonce == self.told_whole {
            self.tell_whole = false;
        }
        for session_id in std::mem::take(&mut self.awaiting_rights) {
            self.dispatch(now, session_id);
            self.proceed(now, session_id);
        }
    }

    fn observations(&self, now: Instant) -> Vec<PrimaryObservation> {
        let mut observations = Vec::new();
        for (name, s) in &self.services {
            let Some(pool) = self.pools.get(&s.primary) else { continue };
            let failing = self.failing(now, pool);
            let recent = pool.heard.is_some_and(|h| now.duration_since(h) < SIGHT_KEEP);
            if !recent && !failing && !s.deposed {
                continue;
            }
            observations.push(PrimaryObservation {
                service: name.clone(),
                epoch: s.epoch,
                failing,
                deposed: s.deposed,
                last_answer_age: pool.heard.map(|h| now.duration_since(h)),
            });
        }
        observations
    }

    /// Nothing heard although something was asked.
    fn failing(&self, now: Instant, pool: &InstancePool) -> bool {
        if pool.fails > 0 {
            return true;
        }
        let asked = pool
            .conns
            .iter()
            .filter_map(|c| self.conns.get(c))
            .filter_map(|c| c.expect.front())
            .map(|(_, at)| *at)
            .min();
        asked.is_some_and(|at| now.duration_since(pool.heard.map_or(at, |h| h.max(at))) > SILENCE)
    }

    /// A daemon that does not lead knows who does.
    pub fn handle_leader_redirect(&mut self, now: Instant, leader: Ipv4Addr) {
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.ask_soon(now);
        }
    }

    /// A session here uses the service: its lease is asked for, at once if it was not before.
    fn want(&mut self, now: Instant, service: &str) {
        match self.wanted.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.wanted.insert(service.to_owned(), now);
                if self.services.get(service).is_none_or(|s| s.lease.is_none()) {
                    self.ask_due = now;
                }
            }
        }
    }

    fn ask_soon(&mut self, now: Instant) {
        self.ask_due = self.ask_due.min(now + ASK_SOON);
    }

    pub fn handle_lease_grant(&mut self, now: Instant, from: Ipv4Addr, grant: LeaseGrant) {
        let Some((_, asked)) = self.asked.iter().find(|(n, _)| *n == grant.nonce).copied() else { return };
        self.leader = Some(from);
        self.granted_at = now;
        self.round = now.duration_since(asked);
        let until = asked + grant.valid_for;
        self.lease_due = Some(self.lease_due.map_or(until, |due| due.min(until)));
        for GrantedLease { service, epoch } in grant.leases {
            let s = self.services.entry(service).or_default();
            if s.recalled.is_some_and(|(e, ..)| e >= epoch) {
                continue;
            }
            match &mut s.lease {
                Some((e, u)) if *e == epoch => *u = (*u).max(until),
                Some((e, _)) if *e > epoch => {}
                lease => *lease = Some((epoch, until)),
            }
        }
        self.handle_rights_grant(now, grant.nonce, grant.valid_for, grant.term, grant.transfers);
        if let Some(reported) = grant.reported_through {
            self.usage.retain(|w, _| *w > reported);
        }
        self.release_held(now, None);
    }

    /// The leader wants the leases of an epoch back: nothing more is sent, and what is under way
    /// ends soon or is cut.
    pub fn handle_lease_recall(&mut self, now: Instant, from: Ipv4Addr, service: &str, epoch: u64) {
        let s = self.services.entry(service.to_owned()).or_default();
        if s.lease.is_none_or(|(e, _)| e != epoch) {
            self.out.push(Effect::Send(from, PeerMessage::LeaseReturned { service: service.to_owned(), epoch }));
            return;
        }
        if s.recalled.is_some_and(|(e, ..)| e == epoch) {
            return;
        }
        let primary = s.primary.clone();
        let failing = self.pools.get(&primary).is_some_and(|b| self.failing(now, b));
        let until = if failing { now } else { now + RECALL_GRACE };
        if let Some(s) = self.services.get_mut(service) {
            s.recalled = Some((epoch, until, from));
        }
        self.finish_recalls(now);
        self.reckon_leases();
    }

    fn finish_recalls(&mut self, now: Instant) {
        let names: Vec<String> = self
            .services
            .iter()
            .filter(|(_, s)| {
                s.recalled.is_some() && s.lease.is_some_and(|(e, _)| s.recalled.is_some_and(|(r, ..)| r == e))
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let Some((epoch, until, from)) = self.services.get(&name).and_then(|s| s.recalled) else { continue };
            let under_way: Vec<ConnectionId> = self.under_lease(&name, epoch);
            if under_way.is_empty() || now >= until {
                for conn in under_way {
                    self.lose_conn(now, conn, true);
                }
                if let Some(s) = self.services.get_mut(&name) {
                    s.lease = None;
                }
                self.out.push(Effect::Send(from, PeerMessage::LeaseReturned { service: name, epoch }));
            }
        }
    }

    fn under_lease(&self, service: &str, epoch: u64) -> Vec<ConnectionId> {
        self.conns
            .iter()
            .filter(|(_, c)| c.service == service && c.epoch == Some(epoch) && !matches!(c.usage, ConnectionUse::Idle))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Leases that ran out: what was sent under them can no longer be acknowledged.
    fn expire_leases(&mut self, now: Instant) {
        let out: Vec<(String, u64)> = self
            .services
            .iter()
            .filter_map(|(n, s)| s.lease.filter(|(_, until)| now >= *until).map(|(e, _)| (n.clone(), e)))
            .collect();
        for (service, epoch) in out {
            for conn in self.under_lease(&service, epoch) {
                self.lose_conn(now, conn, true);
            }
            if let Some(s) = self.services.get_mut(&service) {
                s.lease = None;
                if let Some((e, _, from)) = s.recalled.filter(|(e, ..)| *e == epoch) {
                    self.out
                        .push(Effect::Send(from, PeerMessage::LeaseReturned { service: service.clone(), epoch: e }));
                }
            }
        }
    }

    /// Gives another chance to what waited for a lease or an observation.
    fn release_held(&mut self, now: Instant, only: Option<&str>) {
        let names: Vec<String> = match only {
            Some(name) => vec![name.to_owned()],
            None => self.services.iter().filter(|(_, s)| !s.held.is_empty()).map(|(n, _)| n.clone()).collect(),
        };
        for name in names {
            let held = self.services.get_mut(&name).map(|s| std::mem::take(&mut s.held)).unwrap_or_default();
            for session_id in held {
                self.dispatch(now, session_id);
            }
        }
    }

    // ---- clients ----------------------------------------------------------------------------

    pub fn accept_session(&mut self, session_id: SessionId) {
        self.sessions.insert(session_id, Session::new());
    }

    pub fn handle_client_bytes(&mut self, now: Instant, session_id: SessionId, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.lines.push(bytes);
        if session.lines.waiting() > QUEUE_MAX {
            self.say(session_id, "ERROR TOOBIG too much at once\r\n".into());
            self.drop_session(now, session_id, true);
            return;
        }
        self.proceed(now, session_id);
    }

    pub fn handle_client_closed(&mut self, now: Instant, session_id: SessionId) {
        self.drop_session(now, session_id, false);
    }

    fn drop_session(&mut self, now: Instant, session_id: SessionId, close: bool) {
        let Some(session) = self.sessions.remove(&session_id) else { return };
        if close {
            self.out.push(Effect::CloseClient(session_id));
        }
        match (session.statement.map(|op| op.stage), session.transaction) {
            (Some(StatementStage::Setup(conn) | StatementStage::Sent(conn, _)), _) => self.park(now, conn),
            (_, Transaction::Bound { conn, .. }) => self.roll_back(now, conn),
            _ => {}
        }
    }

    /// Takes the session's next lines until one has to wait.
    fn proceed(&mut self, now: Instant, session_id: SessionId) {
        loop {
            let Some(session) = self.sessions.get_mut(&session_id) else { return };
            let waits = !self.finished
                && session.required_revision.max(self.required) > self.config.as_ref().map_or(0, |c| c.revision);
            if session.statement.is_some()
                || (waits && session.lines.waiting() > 0 && !session.lines.begins(forwarding::REVISION_KEYWORD))
            {
                return;
            }
            match session.lines.next_line() {
                NextLine::Partial => break,
                NextLine::TooBig => {
                    self.say(session_id, "ERROR TOOBIG a message is 1 MiB at most\r\n".into());
                    self.drop_session(now, session_id, true);
                    return;
                }
                NextLine::Garbage => {
                    self.say(session_id, "ERROR MALFORMED not a line of the wire\r\n".into());
                    self.drop_session(now, session_id, true);
                    return;
                }
                NextLine::Line(line) => self.line(now, session_id, &line),
            }
        }
    }

    /// Something has come from the client that was not read yet.
    pub fn note_unread_bytes(&mut self, now: Instant, session_id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.client_activity.stirs(now);
        }
    }

    /// Whether what is said now arrives soon: the leader's answers come by the same link as the clients'
    /// questions. Where it does not, a question may be on its way to a session that seems to rest, and its
    /// client would learn late that it was closed.
    pub fn link_is_free(&self, now: Instant) -> bool {
        self.round < ROUND_FREE && now.duration_since(self.granted_at) < GRANT_PATIENCE
    }

    /// While leaving: closes what may be closed.
    pub fn close_idle_sessions(&mut self, now: Instant, phase: DrainPhase) {
        if phase >= DrainPhase::RollingBack {
            self.cut_transactions(now);
        }
        if !self.link_is_free(now) {
            return;
        }
        self.part_some(phase, |_, s| s.open && s.client_activity.may_close(now, s.session_state(), phase, false));
    }

    /// Half the grace is over: transactions that rest are rolled back, and their clients told when they go on.
    fn cut_transactions(&mut self, now: Instant) {
        let rests = |s: &&mut Session| {
            s.statement.is_none() && matches!(s.transaction, Transaction::Lazy { .. } | Transaction::Bound { .. })
        };
        let mut conns = Vec::new();
        for session in self.sessions.values_mut().filter(rests) {
            if let Transaction::Bound { conn, .. } =
                std::mem::replace(&mut session.transaction, Transaction::Failed { told: false })
            {
                conns.push(conn);
            }
        }
        conns.into_iter().for_each(|conn| self.roll_back(now, conn));
    }

    /// PoolerShares with a few of the sessions that are not yet asked to go.
    fn part_some(&mut self, phase: DrainPhase, going: impl Fn(SessionId, &Session) -> bool) {
        let all =
            self.sessions.iter().filter(|(session_id, s)| s.close_requested < Some(phase) && going(**session_id, s));
        let all: Vec<SessionId> = all.map(|(session_id, _)| *session_id).take(CLOSED_AT_ONCE).collect();
        all.into_iter().for_each(|session_id| self.part(session_id, phase));
    }

    /// The session is to be closed. One that is passed on is closed by the pooler that its client came
    /// to, which alone knows whether a question is on its way.
    fn part(&mut self, session_id: SessionId, phase: DrainPhase) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        if session.forwarded_revision.is_none() {
            self.out.push(Effect::CloseIfIdle(session_id));
        } else if session.close_requested < Some(phase) {
            session.close_requested = Some(phase);
            self.out.push(Effect::ToClient(session_id, forwarding::CLOSE_REQUEST_LINE.into()));
        }
    }

    /// Whether others carry the session's service, and it has been here for a while: its client may find
    /// them now. Here it would have to make do with a single connection.
    fn strays(&self, now: Instant, session_id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&session_id) else { return false };
        let Some(route) = self.config.as_ref().and_then(|c| c.routes.get(&session.database)) else { return false };
        session.opened.is_some_and(|at| now.duration_since(at) > STRAY)
            && self.assignment.is_carried_by_others(&route.service)
    }

    /// The client has its answer; `readied` by a statement that only prepares an operation.
    fn has_answer(&mut self, now: Instant, session_id: SessionId, readied: bool) {
        let goes = self.leaving.is_some() || self.strays(now, session_id);
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.client_activity.answered(readied);
        // One whose transaction failed has had its answer too; what is left is its end.
        let ended = matches!(session.transaction, Transaction::Failed { told: true }) && session.statement.is_none();
        if goes
            && (ended || session.client_activity.may_close(now, session.session_state(), DrainPhase::Draining, true))
        {
            self.part(session_id, DrainPhase::Draining);
        }
    }

    fn line(&mut self, now: Instant, session_id: SessionId, line: &str) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let (kind, rest) = word(line);
        match kind {
            "BYE" => self.drop_session(now, session_id, true),
            forwarding::REVISION_KEYWORD if session.forwarded_revision.is_some() => {
                session.required_revision = session.required_revision.max(rest.parse().unwrap_or(0))
            }
            "CONNECT" if !session.open => {
                let (database, key) = word(rest);
                let refusal = match &self.config {
                    _ if self.finished => Some(("BUSY", "this daemon ends; come back at once, elsewhere")),
                    None => Some(("BUSY", "no configuration yet")),
                    Some(config) => config.admit(database, key).err(),
                };
                if let Some((code, why)) = refusal {
                    self.say(session_id, format!("ERROR {code} {why}\r\n"));
                    self.drop_session(now, session_id, true);
                    return;
                }
                session.database = database.to_owned();
                session.key = key.to_owned();
                session.open = true;
                session.opened = Some(now);
                session.client_activity.stirs(now);
                let service = self.config.as_ref().and_then(|c| c.routes.get(database)).map(|r| r.service.clone());
                if let Some(service) = service {
                    self.want(now, &service);
                }
                self.say(session_id, "READY I -\r\n".into());
            }
            "QUERY" if session.open => {
                session.client_activity.asked(now);
                session.idle_since = None;
                let (id, text) = word(rest);
                match (id.is_empty(), statement::parse(text)) {
                    (false, Some(statement)) => self.statement(now, session_id, id, text, statement),
                    _ => self.tell(now, session_id, &RequestError::malformed("can't be read"), false),
                }
            }
            _ => {
                self.say(session_id, "ERROR MALFORMED not expected here\r\n".into());
                self.drop_session(now, session_id, true);
            }
        }
    }

    /// Answers a statement that goes no further.
    fn done(&mut self, now: Instant, session_id: SessionId, readied: bool) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let state = session.transaction.state();
        self.say(session_id, format!("DONE -\r\nREADY {state} -\r\n"));
        self.rest(now, session_id);
        self.has_answer(now, session_id, readied);
    }

    /// Answers with an error; in a transaction it fails the transaction where `fails` says so.
    fn tell(&mut self, now: Instant, session_id: SessionId, error: &RequestError, fails: bool) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.statement = None;
        if fails && !matches!(session.transaction, Transaction::None) {
            session.transaction = Transaction::Failed { told: true };
        }
        let state = session.transaction.state();
        self.say(session_id, format!("{}READY {state} -\r\n", error.line()));
        self.rest(now, session_id);
        self.has_answer(now, session_id, false);
    }

    /// Between statements of a transaction the rest begins.
    fn rest(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        if matches!(session.transaction, Transaction::Bound { .. }) {
            session.idle_since = Some(now);
            let after = self.config.as_ref().map_or(Duration::from_secs(3), |c| c.tx_rest);
            self.timers.push(Reverse((now + after, Timer::Rest(session_id, session.client_activity.statement_count))));
        }
    }

    fn statement(&mut self, now: Instant, session_id: SessionId, id: &str, text: &str, statement: Statement) {
        if self.finished {
            return self.refuse_at_end(now, session_id);
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        if let Transaction::Failed { told } = &mut session.transaction {
            let told = std::mem::replace(told, true);
            match statement {
                Statement::Rollback => {
                    session.transaction = Transaction::None;
                    self.done(now, session_id, false);
                }
                Statement::Commit => {
                    session.transaction = Transaction::None;
                    self.tell(
                        now,
                        session_id,
                        &RequestError::aborted("the transaction had failed and is rolled back"),
                        false,
                    );
                }
                _ if !told => self.tell(
                    now,
                    session_id,
                    &RequestError::aborted("the transaction had to end and is rolled back"),
                    false,
                ),
                _ => self.tell(now, session_id, &RequestError::malformed("the transaction has failed"), false),
            }
            return;
        }
        let in_tx = !matches!(session.transaction, Transaction::None);
        let (what, run) = match statement {
            Statement::Set { name, value } => {
                session.values.insert(name, value);
                return self.done(now, session_id, true);
            }
            Statement::Prepare { name, shape } => {
                session.prepared.insert(name, shape);
                return self.done(now, session_id, true);
            }
            Statement::Forget { name } => {
                if session.prepared.remove(&name).is_none() {
                    let error = RequestError::Rejected("UNKNOWN", format!("no prepared name {name}"));
                    return self.tell(now, session_id, &error, false);
                }
                return self.done(now, session_id, true);
            }
            Statement::Begin { .. } if in_tx => {
                return self.tell(now, session_id, &RequestError::malformed("already in a transaction"), false);
            }
            Statement::Begin { read } => {
                let Some((route, _)) = self.route(now, session_id) else { return };
                if let Some(session) = self.sessions.get_mut(&session_id) {
                    session.transaction = Transaction::Lazy { read, began: now, route };
                    session.statements_sent = 0;
                }
                return self.done(now, session_id, true);
            }
            Statement::Commit | Statement::Rollback if !in_tx => {
                return self.tell(now, session_id, &RequestError::malformed("no transaction to end"), false);
            }
            Statement::Rollback => {
                if let Transaction::Bound { conn, .. } = std::mem::replace(&mut session.transaction, Transaction::None)
                {
                    self.roll_back(now, conn);
                }
                return self.done(now, session_id, false);
            }
            Statement::Commit => (StatementKind::Commit, None),
            Statement::Read => (StatementKind::Read, None),
            Statement::Write => (StatementKind::Write, None),
            Statement::Run { name, rest } => match session.prepared.get(&name) {
                None => {
                    let error = RequestError::Rejected("UNKNOWN", format!("no prepared name {name}"));
                    return self.tell(now, session_id, &error, in_tx);
                }
                Some(shape) if shape.write => (StatementKind::Write, Some((shape.clone(), rest))),
                Some(shape) => (StatementKind::Read, Some((shape.clone(), rest))),
            },
        };
        let Some((route, tenant)) = self.route(now, session_id) else { return };
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let route = match &session.transaction {
            Transaction::Lazy { route, .. } | Transaction::Bound { route, .. } => route.clone(),
            _ => route,
        };
        self.want(now, &route.service);
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let number = self.next_op;
        self.next_op += 1;
        let deadline = now + route.deadline;
        self.timers.push(Reverse((deadline, Timer::Deadline(session_id, number))));
        session.statement = Some(PendingStatement {
            number,
            id: id.to_owned(),
            text: text.to_owned(),
            kind: what,
            run,
            tenant,
            arrived: now,
            stage: StatementStage::Waiting,
            tried: Vec::new(),
            promises: 0,
            admitted: false,
            waited_for_rights: false,
            counted: false,
            queued: None,
            route,
        });
        if let Transaction::Bound { conn, .. } = session.transaction {
            self.send_on(now, session_id, conn);
        } else {
            self.dispatch(now, session_id);
        }
    }

    /// The route and tenant in force for the session's next transaction; answers the client if it
    /// has none any more.
    fn route(&mut self, now: Instant, session_id: SessionId) -> Option<(config::Route, String)> {
        let session = self.sessions.get(&session_id)?;
        let Some(config) = &self.config else { return None };
        let in_tx = !matches!(session.transaction, Transaction::None);
        match config.admit(&session.database, &session.key) {
            Ok(tenant) => match config.routes.get(&session.database) {
                Some(route) => return Some((route.clone(), tenant)),
                None => self.tell(now, session_id, &RequestError::Rejected("NODB", "no such database".into()), in_tx),
            },
            Err((code, why)) => {
                self.tell(now, session_id, &RequestError::Rejected(code, why.to_owned()), in_tx);
                self.drop_session(now, session_id, true);
            }
        }
        None
    }

    // ---- choosing ---------------------------------------------------------------------------

    fn usable(&self, now: Instant, pool: &InstancePool, primary: bool) -> bool {
        if pool.instance.gone || pool.address.is_none() || pool.shunned.is_some_and(|until| now < until) {
            return false;
        }
        match pool.drains_since {
            None => true,
            // A primary serves until it is replaced, but never up to the bound.
            Some(since) => primary && now.duration_since(since) < self.bounds.drain().mul_f64(DRAIN_USE),
        }
    }

    /// Finds an instance and a connection for a session's request, or a place to wait.
    fn dispatch(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get(&session_id) else { return };
        let Some(op) = &session.statement else { return };
        if op.stage != StatementStage::Waiting || !self.admit(now, session_id) {
            return;
        }
        let Some(session) = self.sessions.get(&session_id) else { return };
        let Some(op) = &session.statement else { return };
        let service = op.route.service.clone();
        let (plain, began) = match &session.transaction {
            Transaction::Lazy { read, began, .. } => (!read, *began),
            _ => (false, op.arrived),
        };
        let primary_only = op.route.kind == Kind::Primary
            || plain
            || (op.kind == StatementKind::Write && matches!(session.transaction, Transaction::None));
        let write = op.kind == StatementKind::Write;
        let mut chosen = None;
        if !primary_only && !write {
            match self.needed(session, op, began) {
                Some(position) => chosen = self.choose_replica(now, session, op, &service, position),
                None => {
                    self.observe(now, &service, &op.tenant.clone());
                    return self.hold(now, session_id, &service);
                }
            }
        }
        let (id, epoch) = match chosen {
            Some(id) => (id, None),
            None => {
                let lease = self.lease(now, &service);
                let primary = self.services.get(&service).map(|s| s.primary.clone()).unwrap_or_default();
                let usable = self.pools.get(&primary).is_some_and(|b| self.usable(now, b, true));
                match lease {
                    Some(epoch) if usable => (primary, Some(epoch)),
                    _ => {
                        return self.hold(now, session_id, &service);
                    }
                }
            }
        };
        self.seat(now, session_id, &id, epoch);
    }

    /// The position that a read's log must hold: proven, or unknown.
    fn needed(&self, session: &Session, op: &PendingStatement, began: Instant) -> Option<Position> {
        let s = self.services.get(&op.route.service)?;
        let oldest = began.checked_sub(op.route.stale)? + FRESH_SLACK;
        let bound = s.observed.iter().find(|(at, _)| *at >= oldest).map(|(_, p)| *p)?;
        match &session.last_own_commit {
            Some((service, own, _)) if op.route.kind == Kind::OwnWrites && *service == op.route.service => {
                if own.term >= s.term {
                    Some(bound.max(*own))
                } else {
                    // Of the older term only what the promote kept counts, and every position seen
                    // in this epoch holds that.
                    Some(bound)
                }
            }
            _ => Some(bound),
        }
    }

    fn choose_replica(
        &self,
        now: Instant,
        session: &Session,
        op: &PendingStatement,
        service: &str,
        position: Position,
    ) -> Option<String> {
        let primary = self.services.get(service).map(|s| s.primary.as_str()).unwrap_or_default();
        let young = session.last_own_commit.as_ref().is_some_and(|(s, p, at)| {
            s == service && op.route.kind == Kind::OwnWrites && *p == position && now.duration_since(*at) < OWN_LAG
        });
        let mut best: Option<(f64, &str)> = None;
        for (id, pool) in self.of_service(service) {
            if id == primary || !self.usable(now, pool, false) || op.tried.contains(id) {
                continue;
            }
            let holds = pool.position.is_some_and(|p| p >= position);
            if young && !holds {
                continue;
            }
            let busy =
                pool.conns.iter().filter(|c| self.conns.get(c).is_some_and(|c| c.usage != ConnectionUse::Idle)).count()
                    + pool.waiting.len();
            let distance = if pool.instance.zone == self.zone { 0.0 } else { 4.0 };
            let idle = |c: &ConnectionId| {
                self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Idle && c.tenant == op.tenant)
            };
            let opening = if pool.conns.iter().any(idle) { 0.0 } else { pool.opening };
            let slots = f64::from(pool.instance.capacity.max(1));
            let cost = pool.pace * (1.0 + busy as f64 / slots) + distance + opening + if holds { 0.0 } else { 3.0 };
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.to_owned())
    }

    /// Waits for a lease, an observation or an instance.
    fn hold(&mut self, now: Instant, session_id: SessionId, service: &str) {
        let Some(op) = self.sessions.get(&session_id).and_then(|s| s.statement.as_ref()) else { return };
        let until = held_until(op);
        self.timers.push(Reverse((until.max(now), Timer::Hold(session_id, op.number))));
        let s = self.services.entry(service.to_owned()).or_default();
        if !s.held.contains(&session_id) {
            s.held.push(session_id);
        }
        if s.lease.is_none() {
            self.ask_soon(now);
        }
    }

    fn retry_later(&mut self, now: Instant, session_id: SessionId, pause: Duration) {
        if let Some(op) = self.sessions.get(&session_id).and_then(|s| s.statement.as_ref()) {
            self.timers.push(Reverse((now + pause, Timer::Retry(session_id, op.number))));
        }
    }

    /// How many connections this daemon may hold to an instance of the service.
    fn share(&self, service: &str) -> usize {
        self.assignment.holding(service).map_or(UNKNOWN_SHARE, |h| h.connection_limit)
    }

    /// Where a session that begins with this line is served: empty for here.
    pub fn carriers_for(&self, hello: &str) -> Vec<Ipv4Addr> {
        let (kind, rest) = word(hello.trim_end());
        let (database, key) = word(rest);
        let Some(config) = self.config.as_ref().filter(|_| kind == "CONNECT") else { return Vec::new() };
        let Ok(tenant) = config.admit(database, key) else { return Vec::new() };
        let Some(route) = config.routes.get(database) else { return Vec::new() };
        self.assignment.forwarding_targets(&route.service, &tenant)
    }

    /// The shares have changed: sessions at rest whose service this daemon no longer holds connections
    /// for are closed, a few at a time; their clients come back and are passed on.
    fn move_sessions(&mut self, now: Instant) {
        self.moves_due = None;
        // Without a configuration there is no session yet that could have to move.
        let Some(config) = &self.config else { return };
        let elsewhere: HashSet<&String> = config
            .routes
            .iter()
            .filter(|(_, r)| self.assignment.is_carried_by_others(&r.service))
            .map(|(d, _)| d)
            .collect();
        let moving: HashSet<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.open && elsewhere.contains(&s.database))
            .map(|(id, _)| *id)
            .collect();
        if moving.is_empty() {
            return;
        }
        self.moves_due = Some(now + MOVE_PAUSE);
        if !self.link_is_free(now) {
            return;
        }
        self.part_some(DrainPhase::Draining, |session_id, s| {
            moving.contains(&session_id)
                && s.client_activity.may_close(now, s.session_state(), DrainPhase::Draining, false)
        });
    }

    /// The newest version that this daemon goes by or has seen at work.
    pub fn newest_revision(&self) -> u64 {
        self.required.max(self.revision())
    }

    /// A carrier served by this version: nothing is handled here by an older one from now on.
    pub fn require_revision(&mut self, revision: u64) {
        self.required = self.required.max(revision);
    }

    /// A session that another pooler passes on.
    pub fn accept_forwarded_session(&mut self, session_id: SessionId) -> bool {
        // Without a configuration it would have to wait; another carrier need not.
        if self.leaving.is_some() || self.config.is_none() {
            return false;
        }
        let session = Session { forwarded_revision: Some(0), ..Session::new() };
        self.sessions.insert(session_id, session);
        true
    }

    /// Tells the client, and on a carried session first which version it was served by.
    fn say(&mut self, session_id: SessionId, text: String) {
        let revision = self.revision();
        if let Some(told) = self.sessions.get_mut(&session_id).and_then(|s| s.forwarded_revision.as_mut())
            && *told != revision
        {
            *told = revision;
            self.out.push(Effect::ToClient(session_id, forwarding::revision_line(revision)));
        }
        self.out.push(Effect::ToClient(session_id, text));
    }

    /// Sessions that waited for a version go on.
    fn proceed_all(&mut self, now: Instant) {
        let waiting: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.statement.is_none() && s.lines.waiting() > 0)
            .map(|(id, _)| *id)
            .collect();
        for session_id in waiting {
            self.proceed(now, session_id);
        }
    }

    /// Gives up idle connections beyond the share; busy ones follow as they come free.
    fn shrink(&mut self, now: Instant) {
        for id in self.pools.keys().cloned().collect::<Vec<_>>() {
            while let Some(conn) = self.surplus(&id) {
                self.lose_conn(now, conn, true);
            }
        }
    }

    /// The longest idle connection of an instance where there are more than the share allows.
    fn surplus(&self, id: &str) -> Option<ConnectionId> {
        let pool = self.pools.get(id)?;
        if pool.conns.len() <= self.share(&pool.instance.service) {
            return None;
        }
        let idle = pool.conns.iter().filter(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Idle));
        idle.min_by_key(|c| self.conns.get(c).map(|c| c.since)).copied()
    }

    /// Takes a connection of the instance for the request, or queues for one.
    fn seat(&mut self, now: Instant, session_id: SessionId, id: &str, epoch: Option<u64>) {
        let Some(op) = self.sessions.get(&session_id).and_then(|s| s.statement.as_ref()) else { return };
        let tenant = op.tenant.clone();
        let values = self.sessions.get(&session_id).map(|s| &s.values);
        let Some(pool) = self.pools.get(id) else { return };
        let mut idle = None;
        for conn in &pool.conns {
            let Some(c) = self.conns.get(conn) else { continue };
            if c.usage == ConnectionUse::Idle && c.tenant == tenant {
                let same = values == Some(&c.values);
                if idle.is_none() || same {
                    idle = Some(*conn);
                }
                if same {
                    break;
                }
            }
        }
        if let Some(conn) = idle.filter(|_| self.has_room(id)) {
            return self.give(now, session_id, conn, epoch);
        }
        if let Some(pool) = self.pools.get_mut(id)
            && !pool.waiting.contains(&session_id)
        {
            pool.waiting.push_back(session_id);
        }
        if let Some(op) = self.sessions.get_mut(&session_id).and_then(|s| s.statement.as_mut()) {
            let number = op.number;
            op.queued.get_or_insert(now);
            let patience = op.route.target.mul_f64(OPEN_AFTER);
            self.timers.push(Reverse((now + patience, Timer::Open(session_id, number))));
        }
        let hold =
            self.sessions.get(&session_id).and_then(|s| s.statement.as_ref()).map(|op| (held_until(op), op.number));
        if let Some((until, number)) = hold {
            self.timers.push(Reverse((until.max(now), Timer::Hold(session_id, number))));
        }
        if self.may_open(now, session_id, id) {
            self.open_for(now, id, &tenant);
        }
    }

    /// Statements that are with an instance and not answered.
    fn in_flight(&self, pool: &InstancePool) -> usize {
        let asked = |c: &&BackendConnection| c.usage != ConnectionUse::Opening && !c.expect.is_empty();
        pool.conns.iter().filter_map(|c| self.conns.get(c)).filter(asked).count()
    }

    /// Whether an instance may be given one more.
    fn has_room(&self, id: &str) -> bool {
        self.pools.get(id).is_some_and(|b| b.window >= WIDEST || (self.in_flight(b) as f64) < b.window.max(1.0))
    }

    /// It has more than it takes: fewer at once, until answers show that more is welcome.
    fn narrow(&mut self, now: Instant, id: &str) {
        let Some(pool) = self.pools.get(id) else { return };
        if pool.narrowed.is_some_and(|at| now.duration_since(at) < NARROW_PAUSE) {
            return;
        }
        let window = (self.in_flight(pool) as f64 + 1.0).min(pool.window) * NARROW;
        if let Some(pool) = self.pools.get_mut(id) {
            pool.window = window.max(1.0);
            pool.narrowed = Some(now);
        }
    }

    /// New connections are dear: a tenant that has some here waits a little for one of them first.
    fn may_open(&self, now: Instant, session_id: SessionId, id: &str) -> bool {
        let Some(op) = self.sessions.get(&session_id).and_then(|s| s.statement.as_ref()) else { return false };
        let Some(pool) = self.pools.get(id) else { return false };
        let some = pool.conns.iter().any(|c| self.conns.get(c).is_some_and(|c| c.tenant == op.tenant));
        !some || op.queued.is_some_and(|at| now >= at + op.route.target.mul_f64(OPEN_AFTER))
    }

    /// Opens a connection for a tenant's waiting requests where the share allows, in place of another
    /// tenant's idle one if need be.
    fn open_for(&mut self, now: Instant, id: &str, tenant: &str) {
        let Some(pool) = self.pools.get(id) else { return };
        let Some(address) = pool.address else { return };
        if pool.full.is_some_and(|until| now < until) {
            return;
        }
        let opening = pool
            .conns
            .iter()
            .filter(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Opening && c.tenant == tenant))
            .count();
        let wanting = pool
            .waiting
            .iter()
            .filter(|s| self.sessions.get(s).and_then(|s| s.statement.as_ref()).is_some_and(|o| o.tenant == tenant))
            .count();
        let all_opening =
            pool.conns.iter().filter(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Opening)).count();
        if opening >= wanting || all_opening >= OPENING_MAX {
            return;
        }
        let has_some = pool.conns.iter().any(|c| self.conns.get(c).is_some_and(|c| c.tenant == tenant));
        let service = pool.instance.service.clone();
        if pool.conns.len() >= self.share(&service) {
            let spare = pool
                .conns
                .iter()
                .filter(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Idle && c.tenant != tenant))
                .filter(|c| !has_some || self.conns.get(c).is_some_and(|c| now.duration_since(c.since) >= RESTED))
                .min_by_key(|c| self.conns.get(c).map(|c| c.since))
                .copied();
            match spare {
                Some(spare) => self.lose_conn(now, spare, true),
                None => return,
            }
        }
        let conn = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(conn, BackendConnection::new(now, id, &service, tenant));
        if let Some(pool) = self.pools.get_mut(id) {
            pool.conns.push(conn);
        }
        self.out.push(Effect::OpenBackend(conn, address));
        self.out.push(Effect::ToBackend(conn, format!("CONNECT {service} {tenant} {id}\r\n")));
        self.timers.push(Reverse((now + OPEN_PATIENCE, Timer::Connection(conn, now))));
    }

    /// Readies a free connection for the session and sends its request.
    fn give(&mut self, now: Instant, session_id: SessionId, conn: ConnectionId, epoch: Option<u64>) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let Some(op) = &mut session.statement else { return };
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.usage = ConnectionUse::Busy(session_id);
        c.epoch = epoch;
        c.setup_failed = None;
        let mut texts = c.align(&session.values, op.run.as_ref().map(|(shape, _)| shape));
        op.stage = StatementStage::Setup(conn);
        if let Transaction::Lazy { read, began, .. } = &session.transaction {
            let (read, began) = (*read, *began);
            let wait = if epoch.is_none() { self.services.get(&op.route.service).map(|_| began) } else { None };
            let begin = if read { "BEGIN READ" } else { "BEGIN" };
            let position = wait.and_then(|began| {
                let session = self.sessions.get(&session_id)?;
                self.needed(session, session.statement.as_ref()?, began)
            });
            texts.push(match position {
                Some(position) => format!("WAITFOR {position} {begin}"),
                None => begin.to_owned(),
            });
        }
        if texts.is_empty() {
            return self.send_statement(now, session_id, conn);
        }
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let mut batch = String::new();
        for text in texts {
            batch.push_str("QUERY - ");
            batch.push_str(&text);
            batch.push_str("\r\n");
            c.expect.push_back((ExpectedAnswer::Setup, now));
        }
        c.since = now;
        self.out.push(Effect::ToBackend(conn, batch));
        self.timers.push(Reverse((now + SETUP_PATIENCE, Timer::Connection(conn, now))));
    }

    /// A further statement of a bound transaction.
    fn send_on(&mut self, now: Instant, session_id: SessionId, conn: ConnectionId) {
        let Some(c) = self.conns.get(&conn) else { return };
        if c.epoch.is_some_and(|epoch| !self.covered(now, &c.service, epoch)) {
            return self.lose_conn(now, conn, true);
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let Some(op) = &mut session.statement else { return };
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let texts = c.align(&session.values, op.run.as_ref().map(|(shape, _)| shape));
        op.stage = StatementStage::Setup(conn);
        if texts.is_empty() {
            return self.send_statement(now, session_id, conn);
        }
        // A reset within a transaction could end it; a session never takes values back, so none
        // is needed here.
        let mut batch = String::new();
        for text in texts {
            batch.push_str(&format!("QUERY - {text}\r\n"));
            c.expect.push_back((ExpectedAnswer::Setup, now));
        }
        self.out.push(Effect::ToBackend(conn, batch));
    }

    fn send_statement(&mut self, now: Instant, session_id: SessionId, conn: ConnectionId) {
        let Some(c) = self.conns.get(&conn) else { return };
        let epoch = c.epoch;
        let service = c.service.clone();
        if epoch.is_some_and(|e| !self.covered(now, &service, e)) {
            return self.lose_conn(now, conn, true);
        }
        let Some(session) = self.sessions.get(&session_id) else { return };
        let Some(op) = &session.statement else { return };
        let mut wait = String::new();
        if epoch.is_none() && matches!(session.transaction, Transaction::None) && op.kind == StatementKind::Read {
            match self.needed(session, op, op.arrived) {
                Some(position) => wait = format!("WAITFOR {position} "),
                None => {
                    // The proof grew old while it waited.
                    if let Some(op) = self.sessions.get_mut(&session_id).and_then(|s| s.statement.as_mut()) {
                        op.stage = StatementStage::Waiting;
                    }
                    self.free(now, conn);
                    return self.dispatch(now, session_id);
                }
            }
        }
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let Some(op) = &mut session.statement else { return };
        let text = match &op.run {
            None => op.text.clone(),
            Some((shape, rest)) => {
                let name = c.prepared.get(shape).cloned().unwrap_or_default();
                format!("RUN {name} {rest}")
            }
        };
        c.expect.push_back((ExpectedAnswer::Statement, now));
        c.since = now;
        let number = op.number;
        op.stage = StatementStage::Sent(conn, now);
        session.statements_sent += 1;
        self.out.push(Effect::ToBackend(conn, format!("QUERY {} {wait}{text}\r\n", op.id)));
        // A transaction counts once, with its first statement.
        let first = matches!(session.transaction, Transaction::None) || session.statements_sent == 1;
        if first && !std::mem::replace(&mut op.counted, true) {
            *self.usage.entry(self.window).or_default().entry(op.tenant.clone()).or_default() += 1;
        }
        // A single write or a commit has no second chance, so it gets all the time there is.
        let lone_write = op.kind == StatementKind::Write && matches!(session.transaction, Transaction::None);
        if op.kind != StatementKind::Commit && !lone_write {
            let patience = self.hedge_patience(session_id);
            self.timers.push(Reverse((now + patience, Timer::Hedge(session_id, number))));
        }
    }

    // ---- instances --------------------------------------------------------------------------

    pub fn handle_backend_bytes(&mut self, now: Instant, conn: ConnectionId, bytes: &[u8]) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.push(bytes);
        if let Some(pool) = self.pools.get_mut(&c.instance) {
            pool.heard = Some(now);
            pool.fails = 0;
        }
        loop {
            let Some(c) = self.conns.get_mut(&conn) else { return };
            match c.answer() {
                Ok(None) => return,
                Ok(Some((expect, sent, answer))) => self.answered(now, conn, expect, sent, answer),
                Err(why) => {
                    self.out.push(Effect::Log(format!("instance {}: {why}", c.instance)));
                    self.lose_conn(now, conn, true);
                    return;
                }
            }
        }
    }

    /// The connection could not be opened, or has ended.
    pub fn handle_backend_closed(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (id, busy) = (c.instance.clone(), c.usage != ConnectionUse::Idle);
        if let Some(pool) = self.pools.get_mut(&id) {
            let fails = c.usage == ConnectionUse::Opening;
            if fails {
                pool.fails += 1;
                pool.shunned = Some(now + SHUN);
            }
        }
        self.lose_conn(now, conn, false);
        if busy && self.is_primary(&id) {
            self.ask_soon(now);
        }
    }

    fn observe_answer(&mut self, now: Instant, conn: ConnectionId, sent: Instant, answer: &Answer) {
        let Some(c) = self.conns.get(&conn) else { return };
        let Some(position) = answer.position else { return };
        if let Some(pool) = self.pools.get_mut(&c.instance) {
            pool.position = Some(position);
        }
        let Some(epoch) = c.epoch else { return };
        let service = c.service.clone();
        if !self.covered(now, &service, epoch) {
            return;
        }
        let Some(s) = self.services.get_mut(&service) else { return };
        if s.epoch != epoch || s.observed.back().is_some_and(|(at, _)| sent < *at + OBSERVE_GAP) {
            return;
        }
        s.observed.push_back((sent, position));
        while s.observed.front().is_some_and(|(at, _)| now.duration_since(*at) > OBSERVE_KEEP) {
            s.observed.pop_front();
        }
        if !s.held.is_empty() {
            self.release_held(now, Some(&service));
        }
    }

    fn answered(&mut self, now: Instant, conn: ConnectionId, expect: ExpectedAnswer, sent: Instant, answer: Answer) {
        self.observe_answer(now, conn, sent, &answer);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        match expect {
            ExpectedAnswer::Greeting => match &answer.code {
                None => {
                    if let Some(pool) = self.pools.get_mut(&c.instance) {
                        pool.opening += (now.duration_since(sent).as_secs_f64() * 1000.0 - pool.opening) * 0.1;
                    }
                    self.free(now, conn)
                }
                Some(code) => {
                    let id = c.instance.clone();
                    let full = code == "FULL";
                    if let Some(pool) = self.pools.get_mut(&id) {
                        if full {
                            pool.full = Some(now + SHUN);
                        } else {
                            pool.shunned = Some(now + SHUN * 4);
                        }
                    }
                    self.lose_conn(now, conn, true);
                }
            },
            ExpectedAnswer::Setup => {
                if let Some(code) = answer.code {
                    c.setup_failed.get_or_insert(code);
                }
                if c.expect.is_empty() {
                    self.set_up(now, conn);
                }
            }
            ExpectedAnswer::Statement => match c.usage {
                ConnectionUse::Busy(session_id) => self.statement_answered(now, session_id, conn, sent, answer),
                _ => self.unpark(now, conn),
            },
            ExpectedAnswer::Rollback => {
                if answer.state == 'I' {
                    self.free(now, conn);
                } else {
                    self.lose_conn(now, conn, true);
                }
            }
            ExpectedAnswer::Status => {
                let service = c.service.clone();
                if let Some(s) = self.services.get_mut(&service) {
                    s.asking = None;
                }
                if c.usage == ConnectionUse::Asking {
                    self.free(now, conn);
                }
            }
        }
    }

    fn set_up(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let ConnectionUse::Busy(session_id) = c.usage else { return self.unpark(now, conn) };
        let Some(code) = c.setup_failed.take() else {
            if let Some(session) = self.sessions.get_mut(&session_id)
                && let Transaction::Lazy { read, began, route } = &session.transaction
            {
                session.transaction = Transaction::Bound { conn, read: *read, began: *began, route: route.clone() };
            }
            return self.send_statement(now, session_id, conn);
        };
        // Nothing of the client's was sent. The connection's values are uncertain now.
        let (id, in_tx) = (c.instance.clone(), c.state != 'I');
        if code == "BUSY" {
            self.narrow(now, &id);
        }
        let lagging = code == "LAGGING";
        if lagging && !in_tx {
            self.free(now, conn);
        } else {
            self.discard(now, conn);
        }
        self.turned_away(now, session_id, &id, &code);
    }

    /// The request met a promise that it has not run: it goes elsewhere, or again, or back.
    fn turned_away(&mut self, now: Instant, session_id: SessionId, id: &str, code: &str) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let bound = match &session.transaction {
            Transaction::Bound { read, began, route, .. } => Some((*read, *began, route.clone())),
            _ => None,
        };
        if let Some((read, began, route)) = bound {
            session.transaction = Transaction::Lazy { read, began, route };
        }
        let Some(op) = &mut session.statement else { return };
        op.stage = StatementStage::Waiting;
        op.promises += 1;
        let service = op.route.service.clone();
        let late = now >= held_until(op);
        if late {
            return self.tell(now, session_id, &RequestError::busy("every instance is busy; come back in 50 ms"), true);
        }
        match code {
            "READONLY" => {
                if let Some(s) = self.services.get_mut(&service)
                    && s.primary == id
                {
                    s.deposed = true;
                    self.ask_soon(now);
                } else {
                    op.tried.push(id.to_owned());
                }
                self.dispatch(now, session_id);
            }
            "LAGGING" => {
                op.tried.push(id.to_owned());
                self.dispatch(now, session_id);
            }
            _ => {
                let pause = BUSY_PAUSE * op.promises.min(8);
                self.retry_later(now, session_id, pause);
            }
        }
    }

    fn statement_answered(
        &mut self,
        now: Instant,
        session_id: SessionId,
        conn: ConnectionId,
        sent: Instant,
        answer: Answer,
    ) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (id, epoch, service) = (c.instance.clone(), c.epoch, c.service.clone());
        let covered = epoch.is_none_or(|e| self.covered(now, &service, e));
        if let Some(pool) = self.pools.get_mut(&id) {
            let took = now.duration_since(sent).as_secs_f64() * 1000.0;
            pool.pace += (took - pool.pace) * 0.1;
            if answer.code.is_none() && pool.window < WIDEST {
                pool.window += 1.0 / pool.window;
            }
            if !pool.waiting.is_empty() && !self.ready_pools.contains(&id) {
                self.ready_pools.push(id.clone());
            }
        }
        let Some(session) = self.sessions.get(&session_id) else { return };
        let Some(op) = &session.statement else { return };
        if !covered {
            // Acknowledging it now could hide a newer primary's work.
            return self.lose_conn(now, conn, true);
        }
        let first = op.kind != StatementKind::Commit
            && answer.state != 'T'
            && matches!(session.transaction, Transaction::Bound { .. });
        if let Some(code) = &answer.code {
            if is_promise(code) || code == "UNKNOWN" {
                self.uncount(session_id);
            }
            let Some(session) = self.sessions.get(&session_id) else { return };
            let Some(op) = &session.statement else { return };
            let alone = matches!(session.transaction, Transaction::None) || (first && session.statements_sent == 1);
            let (code, promise) = (code.clone(), is_promise(code));
            let again = promise && alone && op.kind != StatementKind::Commit;
            let alone_at_rest = matches!(session.transaction, Transaction::None);
            if code == "BUSY" {
                self.narrow(now, &id);
            }
            if again {
                if alone_at_rest {
                    self.free(now, conn);
                } else {
                    self.roll_back(now, conn);
                }
                return self.turned_away(now, session_id, &id, &code);
            }
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let Some(op) = session.statement.take() else { return };
        let own_write = match (&session.transaction, op.kind) {
            (Transaction::None, StatementKind::Write) => true,
            (Transaction::Bound { read, .. }, StatementKind::Commit) => !read,
            _ => false,
        };
        if own_write
            && answer.code.is_none()
            && let Some(position) = answer.position
        {
            session.last_own_commit = Some((service, position, now));
        }
        let in_tx = matches!(session.transaction, Transaction::Bound { .. });
        let mut release = !in_tx;
        match answer.state {
            'I' => {
                session.transaction = Transaction::None;
                release = true;
            }
            'E' if in_tx => {
                session.transaction = Transaction::Failed { told: true };
                release = true;
            }
            _ => {}
        }
        self.say(session_id, answer.raw);
        if release {
            if answer.state == 'I' {
                self.free(now, conn);
            } else {
                self.roll_back(now, conn);
            }
        }
        self.rest(now, session_id);
        self.has_answer(now, session_id, false);
        self.proceed(now, session_id);
    }

    /// An instance promised that it has not run.
    fn uncount(&mut self, session_id: SessionId) {
        let Some(op) = self.sessions.get_mut(&session_id).and_then(|s| s.statement.as_mut()) else { return };
        if std::mem::take(&mut op.counted)
            && let Some(n) = self.usage.get_mut(&self.window).and_then(|w| w.get_mut(&op.tenant))
        {
            *n = n.saturating_sub(1);
        }
    }

    /// Its session no longer wants the answer that is to come.
    fn park(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if c.expect.is_empty() {
            return self.unpark(now, conn);
        }
        c.usage = ConnectionUse::Parked;
        c.since = now;
        self.timers.push(Reverse((now + PARK_PATIENCE, Timer::Connection(conn, now))));
    }

    fn unpark(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get(&conn) else { return };
        if !c.expect.is_empty() {
            return;
        }
        if c.setup_failed.is_some() {
            return self.lose_conn(now, conn, true);
        }
        if c.state == 'I' { self.free(now, conn) } else { self.roll_back(now, conn) }
    }

    fn roll_back(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if c.state == 'I' && c.expect.is_empty() {
            return self.free(now, conn);
        }
        c.usage = ConnectionUse::Parked;
        c.since = now;
        c.expect.push_back((ExpectedAnswer::Rollback, now));
        self.out.push(Effect::ToBackend(conn, "QUERY - ROLLBACK\r\n".into()));
        self.timers.push(Reverse((now + PARK_PATIENCE, Timer::Connection(conn, now))));
    }

    /// The connection is free: it serves who waits, or rests.
    fn free(&mut self, now: Instant, conn: ConnectionId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.usage = ConnectionUse::Idle;
        c.epoch = None;
        c.since = now;
        let id = c.instance.clone();
        if !self.ready_pools.contains(&id) {
            self.ready_pools.push(id);
        }
    }

    /// Gives freed connections to those who wait. Run once after each input, so that no caller is
    /// in the middle of a change.
    fn serve_waiting(&mut self, now: Instant) {
        while let Some(id) = self.ready_pools.pop() {
            if let Some(conn) = self.surplus(&id) {
                self.lose_conn(now, conn, true);
            }
            while self.serve_one(now, &id) {}
            let Some(pool) = self.pools.get(&id) else { continue };
            let usable = self.usable(now, pool, self.is_primary(&id));
            if !usable && pool.drains_since.is_some() {
                for conn in pool.conns.clone() {
                    if self.conns.get(&conn).is_some_and(|c| c.usage == ConnectionUse::Idle) {
                        self.lose_conn(now, conn, true);
                    }
                }
            }
        }
    }

    /// Seats the best waiting request for which there is an idle connection; orders are rank, then age.
    fn serve_one(&mut self, now: Instant, id: &str) -> bool {
        let Some(pool) = self.pools.get(id) else { return false };
        if pool.waiting.is_empty() || !self.has_room(id) {
            return false;
        }
        let mut best: Option<(u32, Instant, SessionId, ConnectionId)> = None;
        let mut starved: Option<(u32, Instant, String)> = None;
        let mut gone = Vec::new();
        for session_id in &pool.waiting {
            let Some(op) = self
                .sessions
                .get(session_id)
                .and_then(|s| s.statement.as_ref())
                .filter(|o| o.stage == StatementStage::Waiting)
            else {
                gone.push(*session_id);
                continue;
            };
            let idle = pool
                .conns
                .iter()
                .find(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Idle && c.tenant == op.tenant));
            match idle {
                Some(conn) => {
                    if best.is_none_or(|(r, a, ..)| (op.route.rank, op.arrived) < (r, a)) {
                        best = Some((op.route.rank, op.arrived, *session_id, *conn));
                    }
                }
                None => {
                    if self.may_open(now, *session_id, id)
                        && starved.as_ref().is_none_or(|(r, a, _)| (op.route.rank, op.arrived) < (*r, *a))
                    {
                        starved = Some((op.route.rank, op.arrived, op.tenant.clone()));
                    }
                }
            }
        }
        if let Some(pool) = self.pools.get_mut(id)
            && !gone.is_empty()
        {
            pool.waiting.retain(|s| !gone.contains(s));
        }
        if let Some((_, _, session_id, conn)) = best {
            if let Some(pool) = self.pools.get_mut(id) {
                pool.waiting.retain(|s| *s != session_id);
            }
            let service = self.conns.get(&conn).map(|c| c.service.clone()).unwrap_or_default();
            if self.is_primary(id) {
                match self.lease(now, &service) {
                    Some(epoch) => self.give(now, session_id, conn, Some(epoch)),
                    None => self.hold(now, session_id, &service),
                }
            } else {
                // The choice may be old: the instance may have been the primary, or be draining now.
                let fits =
                    self.pools.get(id).is_some_and(|b| self.usable(now, b, false)) && self.may_read_replica(session_id);
                if fits { self.give(now, session_id, conn, None) } else { self.dispatch(now, session_id) }
            }
            return true;
        }
        if let Some((_, _, tenant)) = starved {
            self.open_for(now, id, &tenant);
        }
        false
    }

    fn may_read_replica(&self, session_id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&session_id) else { return false };
        let Some(op) = &session.statement else { return false };
        let began = match &session.transaction {
            Transaction::Lazy { read: false, .. } => return false,
            Transaction::Lazy { began, .. } => *began,
            _ => op.arrived,
        };
        op.route.kind != Kind::Primary && op.kind != StatementKind::Write && self.needed(session, op, began).is_some()
    }

    /// Asks the primary for its position, where no statement of clients tells it.
    fn observe(&mut self, now: Instant, service: &str, tenant: &str) {
        let Some(epoch) = self.lease(now, service) else { return };
        let Some(s) = self.services.get(service) else { return };
        if s.asking.is_some_and(|c| self.conns.contains_key(&c)) {
            return;
        }
        let primary = s.primary.clone();
        let Some(pool) = self.pools.get(&primary) else { return };
        let idle =
            pool.conns.iter().find(|c| self.conns.get(c).is_some_and(|c| c.usage == ConnectionUse::Idle)).copied();
        match idle {
            Some(conn) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.usage = ConnectionUse::Asking;
                    c.epoch = Some(epoch);
                    c.since = now;
                    c.expect.push_back((ExpectedAnswer::Status, now));
                }
                if let Some(s) = self.services.get_mut(service) {
                    s.asking = Some(conn);
                }
                self.out.push(Effect::ToBackend(conn, "QUERY - STATUS\r\n".into()));
                self.timers.push(Reverse((now + SETUP_PATIENCE, Timer::Connection(conn, now))));
            }
            None if pool.conns.is_empty() && self.share(service) > 0 => {
                let Some(address) = pool.address else { return };
                let conn = self.next_conn;
                self.next_conn += 1;
                self.conns.insert(conn, BackendConnection::new(now, &primary, service, tenant));
                if let Some(pool) = self.pools.get_mut(&primary) {
                    pool.conns.push(conn);
                }
                self.out.push(Effect::OpenBackend(conn, address));
                self.out.push(Effect::ToBackend(conn, format!("CONNECT {service} {tenant} {primary}\r\n")));
                self.timers.push(Reverse((now + OPEN_PATIENCE, Timer::Connection(conn, now))));
            }
            None => {}
        }
    }

    /// Ends a connection whose session is settled by the caller.
    fn discard(&mut self, now: Instant, conn: ConnectionId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.usage = ConnectionUse::Parked;
        }
        self.lose_conn(now, conn, true);
    }

    /// Ends a connection and settles whatever was on it.
    fn lose_conn(&mut self, now: Instant, conn: ConnectionId, close: bool) {
        let Some(c) = self.conns.remove(&conn) else { return };
        if close {
            self.out.push(Effect::CloseBackend(conn));
        }
        if let Some(pool) = self.pools.get_mut(&c.instance) {
            pool.conns.retain(|x| *x != conn);
            if !pool.waiting.is_empty() && !self.ready_pools.contains(&c.instance) {
                self.ready_pools.push(c.instance.clone());
            }
        }
        if let Some(s) = self.services.get_mut(&c.service)
            && s.asking == Some(conn)
        {
            s.asking = None;
        }
        let shunned = self.pools.get(&c.instance).is_some_and(|b| b.shunned.is_some_and(|u| now < u));
        if c.usage == ConnectionUse::Opening && shunned {
            let waiting = self.pools.get_mut(&c.instance).map(|b| std::mem::take(&mut b.waiting)).unwrap_or_default();
            for session_id in waiting {
                self.retry_later(now, session_id, LOST_PAUSE);
            }
        }
        let ConnectionUse::Busy(session_id) = c.usage else { return };
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let mut bound = matches!(session.transaction, Transaction::Bound { .. });
        if let (Transaction::Bound { read, began, route, .. }, 1, Some(op)) =
            (&session.transaction, session.statements_sent, &session.statement)
            && op.kind != StatementKind::Commit
            && matches!(op.stage, StatementStage::Sent(at, _) if at == conn)
        {
            // Nothing of the transaction was answered, and the close rolls it back: it begins anew.
            session.transaction = Transaction::Lazy { read: *read, began: *began, route: route.clone() };
            session.statements_sent = 0;
            bound = false;
        }
        let restarted = !bound && !matches!(session.transaction, Transaction::None);
        let Some(op) = &mut session.statement else {
            if bound {
                // The transaction rested here; it is rolled back by the close.
                session.transaction = Transaction::Failed { told: false };
            }
            return;
        };
        match op.stage {
            StatementStage::Sent(at, _) if at == conn => match op.kind {
                StatementKind::Read | StatementKind::Write
                    if restarted || (op.kind == StatementKind::Read && !bound) =>
                {
                    op.stage = StatementStage::Waiting;
                    op.tried.push(c.instance.clone());
                    self.retry_later(now, session_id, LOST_PAUSE);
                }
                StatementKind::Commit => {
                    self.tell_end(now, session_id, &RequestError::unsure("the answer to the commit was lost"))
                }
                StatementKind::Write if !bound => {
                    self.tell_end(now, session_id, &RequestError::unsure("the answer to the write was lost"))
                }
                _ => self.tell_end(
                    now,
                    session_id,
                    &RequestError::aborted("the instance was lost; the transaction is rolled back"),
                ),
            },
            StatementStage::Setup(at) if at == conn => {
                if bound {
                    self.tell_end(
                        now,
                        session_id,
                        &RequestError::aborted("the instance was lost; the transaction is rolled back"),
                    );
                } else {
                    op.stage = StatementStage::Waiting;
                    self.retry_later(now, session_id, LOST_PAUSE);
                }
            }
            _ => {}
        }
    }

    /// An error that ends the transaction too: after a lost commit the session is at `I`.
    fn tell_end(&mut self, now: Instant, session_id: SessionId, error: &RequestError) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let commit = session.statement.as_ref().is_some_and(|o| o.kind == StatementKind::Commit);
        if commit {
            session.transaction = Transaction::None;
        }
        self.tell(now, session_id, error, true);
        self.proceed(now, session_id);
    }

    // ---- time -------------------------------------------------------------------------------

    pub fn next_due(&self) -> Instant {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [self.moves_due, self.lease_due, self.rights_request_due, timer]
            .into_iter()
            .flatten()
            .fold(self.ask_due, Instant::min)
    }

    /// Whether a timer's occasion has passed: waking for it would be for nothing.
    fn stale(&self, timer: &Timer) -> bool {
        match timer {
            Timer::Deadline(session_id, number)
            | Timer::Hold(session_id, number)
            | Timer::Hedge(session_id, number)
            | Timer::Open(session_id, number)
            | Timer::Retry(session_id, number) => self.op_is(*session_id, *number).is_none(),
            Timer::Rest(session_id, turns) => self.sessions.get(session_id).is_none_or(|s| {
                s.client_activity.statement_count != *turns || s.idle_since.is_none() || s.statement.is_some()
            }),
            Timer::Connection(conn, since) => {
                self.conns.get(conn).is_none_or(|c| c.since != *since || c.expect.is_empty())
            }
        }
    }

    /// When the next lease or recall ends.
    fn reckon_leases(&mut self) {
        let ends = |s: &Service| {
            let (epoch, until) = s.lease?;
            Some(s.recalled.filter(|(e, ..)| *e == epoch).map_or(until, |(_, cut, _)| cut.min(until)))
        };
        self.lease_due = self.services.values().filter_map(ends).min();
        let recalled = |s: &Service| s.lease.is_some_and(|(epoch, _)| s.recalled.is_some_and(|(e, ..)| e == epoch));
        self.recalling = self.services.values().any(recalled);
    }

    /// `window` is the number of the usage window that the time of day falls into.
    pub fn tick(&mut self, now: Instant, window: u64) {
        self.window = window;
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                break;
            }
            if let Some(Reverse((_, timer))) = self.timers.pop() {
                self.fire(now, timer);
            }
        }
        if self.lease_due.is_some_and(|due| now >= due) {
            self.expire_leases(now);
            self.reckon_leases();
        }
        if self.moves_due.is_some_and(|due| now >= due) {
            self.move_sessions(now);
        }
        if self.rights_request_due.is_some_and(|due| now >= due) {
            self.request_rights(now);
        }
        if now >= self.ask_due {
            self.ask(now);
            self.release_held(now, None);
        }
        while self.usage.len() > 12 {
            self.usage.pop_first();
        }
        self.finish_input(now);
    }

    /// To be called after each input, before the effects are taken.
    pub fn finish_input(&mut self, now: Instant) {
        self.serve_waiting(now);
        if self.recalling {
            self.finish_recalls(now);
            self.reckon_leases();
        }
        while self.timers.peek().is_some_and(|Reverse((_, timer))| self.stale(timer)) {
            self.timers.pop();
        }
    }

    fn op_is(&self, session_id: SessionId, number: u64) -> Option<&PendingStatement> {
        self.sessions.get(&session_id)?.statement.as_ref().filter(|o| o.number == number)
    }

    fn fire(&mut self, now: Instant, timer: Timer) {
        match timer {
            Timer::Open(session_id, number) => {
                let Some(op) = self.op_is(session_id, number).filter(|o| o.stage == StatementStage::Waiting) else {
                    return;
                };
                let tenant = op.tenant.clone();
                let waits = |(_, b): &(&String, &InstancePool)| b.waiting.contains(&session_id);
                let at = self.of_service(&op.route.service).find(waits).map(|(id, _)| id.clone());
                if let Some(id) = at.filter(|id| self.may_open(now, session_id, id)) {
                    self.open_for(now, &id, &tenant);
                    self.timers.push(Reverse((now + OPEN_AGAIN, Timer::Open(session_id, number))));
                }
            }
            Timer::Retry(session_id, number) => {
                if self.op_is(session_id, number).is_some() {
                    self.dispatch(now, session_id);
                }
            }
            Timer::Hold(session_id, number) => {
                if self.op_is(session_id, number).is_some_and(|o| o.stage == StatementStage::Waiting) {
                    self.forget_waiting(session_id);
                    self.tell(
                        now,
                        session_id,
                        &RequestError::busy("no instance could take it; come back in 100 ms"),
                        true,
                    );
                    self.proceed(now, session_id);
                }
            }
            Timer::Deadline(session_id, number) => {
                let Some(op) = self.op_is(session_id, number) else { return };
                let (stage, what) = (op.stage, op.kind);
                let in_tx =
                    self.sessions.get(&session_id).is_some_and(|s| matches!(s.transaction, Transaction::Bound { .. }));
                let error = match (stage, what) {
                    (StatementStage::Waiting | StatementStage::Setup(_), _) if !in_tx => {
                        RequestError::busy("no instance could take it in time")
                    }
                    (_, StatementKind::Read) | (_, StatementKind::Write) if in_tx => {
                        RequestError::aborted("the statement took too long; the transaction is rolled back")
                    }
                    _ => RequestError::timeout("no answer in time"),
                };
                self.forget_waiting(session_id);
                if let StatementStage::Setup(conn) | StatementStage::Sent(conn, _) = stage {
                    if error.may_have_run() || !in_tx {
                        self.park(now, conn);
                    } else {
                        self.discard(now, conn);
                    }
                }
                self.tell_end(now, session_id, &error);
            }
            Timer::Hedge(session_id, number) => self.hedge(now, session_id, number),
            Timer::Rest(session_id, turns) => {
                let Some(session) = self.sessions.get_mut(&session_id) else { return };
                if session.client_activity.statement_count != turns
                    || session.idle_since.is_none()
                    || session.statement.is_some()
                {
                    return;
                }
                if let Transaction::Bound { conn, .. } = session.transaction {
                    session.transaction = Transaction::Failed { told: false };
                    self.roll_back(now, conn);
                }
            }
            Timer::Connection(conn, since) => {
                let Some(c) = self.conns.get(&conn) else { return };
                if c.since != since || c.expect.is_empty() {
                    return;
                }
                let id = c.instance.clone();
                let setting_up =
                    c.expect.iter().any(|(e, _)| matches!(e, ExpectedAnswer::Setup | ExpectedAnswer::Greeting));
                if setting_up && let Some(pool) = self.pools.get_mut(&id) {
                    if pool.heard.is_none_or(|h| now.duration_since(h) > SILENCE) {
                        pool.fails += 1;
                        pool.shunned = Some(now + SHUN);
                    }
                    self.ask_soon(now);
                }
                self.lose_conn(now, conn, true);
            }
        }
    }

    /// How long an instance may be silent before a request is tried elsewhere: well above what its
    /// answers take now.
    fn hedge_patience(&self, session_id: SessionId) -> Duration {
        let Some(session) = self.sessions.get(&session_id) else { return HEDGE_FLOOR };
        let Some(op) = &session.statement else { return HEDGE_FLOOR };
        let (StatementStage::Sent(conn, _) | StatementStage::Setup(conn)) = op.stage else { return HEDGE_FLOOR };
        let pace = self.conns.get(&conn).and_then(|c| self.pools.get(&c.instance)).map_or(0.0, |b| b.pace);
        let share = if matches!(session.transaction, Transaction::Bound { .. }) && session.statements_sent > 1 {
            BREAK
        } else {
            HEDGE
        };
        op.route.target.mul_f64(share).max(HEDGE_FLOOR).max(Duration::from_secs_f64(pace * HEDGE_PACES / 1000.0))
    }

    /// The answer is late: a read, or a transaction's first statement, is tried on another
    /// connection; a later statement of a transaction fails it, so that the client can begin anew.
    fn hedge(&mut self, now: Instant, session_id: SessionId, number: u64) {
        let Some(op) = self.op_is(session_id, number) else { return };
        let StatementStage::Sent(conn, at) = op.stage else { return };
        let patience = self.hedge_patience(session_id);
        if now < at + patience {
            self.timers.push(Reverse((at + patience, Timer::Hedge(session_id, number))));
            return;
        }
        let Some(c) = self.conns.get(&conn) else { return };
        let id = c.instance.clone();
        if self.is_primary(&id) && self.pools.get(&id).is_some_and(|b| self.failing(now, b)) {
            self.ask_soon(now);
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let Some(op) = &mut session.statement else { return };
        if op.tried.len() >= HEDGES {
            return;
        }
        if let Transaction::Bound { read, began, route, .. } = &session.transaction {
            if session.statements_sent > 1 {
                self.discard(now, conn);
                let error = RequestError::aborted("the answer was lost; the transaction is rolled back");
                return self.tell_end(now, session_id, &error);
            }
            session.transaction = Transaction::Lazy { read: *read, began: *began, route: route.clone() };
            session.statements_sent = 0;
        }
        op.stage = StatementStage::Waiting;
        op.tried.push(id);
        self.park(now, conn);
        self.dispatch(now, session_id);
    }

    fn forget_waiting(&mut self, session_id: SessionId) {
        for pool in self.pools.values_mut() {
            pool.waiting.retain(|s| *s != session_id);
        }
        for s in self.services.values_mut() {
            s.held.retain(|x| *x != session_id);
        }
    }

    // ---- leaving ----------------------------------------------------------------------------

    /// SIGTERM: no new work; sessions at rest are closed, transactions may end.
    pub fn begin_draining(&mut self, now: Instant) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        self.close_idle_sessions(now, DrainPhase::Draining);
        self.ask(now);
    }

    /// Whether this daemon serves the session itself.
    pub fn has_session(&self, session_id: SessionId) -> bool {
        self.sessions.contains_key(&session_id)
    }

    /// A statement that comes at the end is not begun.
    fn refuse_at_end(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let error = match std::mem::replace(&mut session.transaction, Transaction::None) {
            Transaction::None => RequestError::busy("this daemon ends; come back at once, elsewhere"),
            open => {
                session.transaction = Transaction::Failed { told: true };
                if let Transaction::Bound { conn, .. } = open {
                    self.roll_back(now, conn);
                }
                RequestError::aborted("this daemon ends; the transaction is rolled back")
            }
        };
        self.tell(now, session_id, &error, true);
    }

    /// The end: whoever still waits gets the true state of the request, at once. To be called until all
    /// have gone.
    pub fn close_all_sessions(&mut self, now: Instant) {
        self.finished = true;
        let all: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session_id in all {
            let Some(session) = self.sessions.get(&session_id) else { continue };
            let bound = matches!(session.transaction, Transaction::Bound { .. });
            let error = match session.statement.as_ref().map(|op| (op.stage, op.kind)) {
                None => None,
                Some((StatementStage::Sent(..), StatementKind::Commit)) => {
                    Some(RequestError::unsure("this daemon ends; the commit may stand"))
                }
                Some((StatementStage::Sent(..), StatementKind::Write)) if !bound => {
                    Some(RequestError::unsure("this daemon ends; the write may stand"))
                }
                Some(_) if bound => Some(RequestError::aborted("this daemon ends; the transaction is rolled back")),
                Some(_) => Some(RequestError::busy("this daemon ends; come back at once, elsewhere")),
            };
            if let Some(error) = error {
                self.tell_end(now, session_id, &error);
            }
            self.proceed(now, session_id);
            self.part(session_id, DrainPhase::Closing);
        }
        self.finish_input(now);
    }

    /// The last words to the leader: what ran here.
    pub fn send_final_report(&mut self, now: Instant) {
        self.ask(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Shares come before the first configuration: the pooler waits for it asleep.
    #[test]
    fn shares_without_a_configuration_leave_nothing_due() {
        let start = Instant::now();
        let mut pooler = Pooler::new(start, "edge-1", "z", TimingBounds::default(), 1);
        let part = forwarding::PoolerShare { ip: Ipv4Addr::LOCALHOST, zone: "z".into() };
        let value = UpdateValue::PoolerShare { name: "edge-1".into(), share: Some(part) };
        pooler.apply_updates(start, &[Update { key: "s/edge-1".into(), version: 1, value }]);
        let later = start + MOVE_PAUSE * 2;
        pooler.tick(later, 1);
        assert!(pooler.next_due() > later);
    }

    /// A session that came while no carrier answered is sent to look again, once its operation has ended.
    #[test]
    fn a_session_whose_service_others_carry_does_not_stay_for_good() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut pooler = Pooler::new(start, "edge-0", "z0", TimingBounds::default(), 1);
        let share = |n: u8| {
            let part = forwarding::PoolerShare { ip: Ipv4Addr::new(10, 0, 0, n), zone: format!("z{}", n % 3) };
            Update {
                key: format!("s/edge-{n}"),
                version: 1,
                value: UpdateValue::PoolerShare { name: format!("edge-{n}"), share: Some(part) },
            }
        };
        let names: Vec<String> = (0..12).map(|n| format!("s{n}")).collect();
        let route = |s: &String| {
            format!(r#"{{"name":"{s}","hostname":"{s}","type":"primary","deadline-ms":800,"service":"{s}"}}"#)
        };
        let routes: Vec<String> = names.iter().map(route).collect();
        let backends: Vec<String> = names.iter().map(|s| format!(r#"{{"name":"{s}","max-connections":20}}"#)).collect();
        let raw = format!(
            r#"{{"revision":2,"routes":[{}],"backends":[{}],"customers":[{{"name":"t","api-keys":["k"]}}]}}"#,
            routes.join(","),
            backends.join(",")
        );
        let config = Update { key: "c/".into(), version: 2, value: UpdateValue::Config(raw.into_bytes()) };
        pooler.apply_updates(start, &(0..12).map(share).chain([config]).collect::<Vec<_>>());
        let parts = |pooler: &mut Pooler| pooler.effects().iter().any(|e| matches!(e, Effect::CloseIfIdle(_)));
        for (session_id, service) in names.iter().enumerate() {
            let session_id = session_id as SessionId;
            let elsewhere = pooler.assignment.is_carried_by_others(service);
            pooler.accept_session(session_id);
            pooler.handle_client_bytes(
                start,
                session_id,
                format!("CONNECT {service} k\r\nQUERY a READ\r\n").as_bytes(),
            );
            pooler.handle_client_bytes(at(100), session_id, b"QUERY b COMMIT\r\n");
            assert!(!parts(&mut pooler), "it has only just come");
            pooler.handle_client_bytes(at(2100), session_id, b"QUERY c SET x 1\r\n");
            assert!(!parts(&mut pooler), "its operation is still to come");
            pooler.handle_client_bytes(at(2200), session_id, b"QUERY d COMMIT\r\n");
            assert_eq!(parts(&mut pooler), elsewhere, "{service}");
        }
        assert!(
            names.iter().any(|s| pooler.assignment.is_carried_by_others(s))
                && !names.iter().all(|s| pooler.assignment.is_carried_by_others(s))
        );
    }
}
