//! The simulated world: machines, network, disks and time.

use crate::instance::{self, Instance, Log};
use crate::judge::{End, Judge};
use crate::trace::{Party, Trace};
use lichenfield_engine::connection::client_session::Position;
use lichenfield_engine::connection::draining::{CLOSED_AT_ONCE, DrainPhase};
use lichenfield_engine::process::consensus::{Entry, PersistentState, Role, Write};
use lichenfield_engine::process::controller::{self, Controller, Request};
use lichenfield_engine::process::dissemination::partial_view::{PartialView, PeerDescriptor};
use lichenfield_engine::process::dissemination::tree::DisseminationTree;
use lichenfield_engine::process::forwarding::{self, ForwardedSession};
use lichenfield_engine::process::leadership::HealthCheckResult;
use lichenfield_engine::process::peer_message::{self, PeerMessage};
use lichenfield_engine::process::pooler::{self, Pooler};
use lichenfield_engine::process::settings::Settings;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "svc";
const PROMOTE: Duration = Duration::from_millis(600);
/// Thin, so that trees grow deep with few daemons.
const LINK_MBPS: f64 = 2.0;
const WORK: Duration = Duration::from_millis(6);
const BEAT: Duration = Duration::from_millis(1200);
/// Time of day at the world's beginning, since 1970.
const WALL: Duration = Duration::from_secs(1_800_000_000);

#[derive(Debug)]
enum Event {
    Tick(usize, u32),
    PeerMessage(usize, usize, u32, Box<PeerMessage>),
    Synced(usize, u32, u64),
    ToInstance(usize, u32, u64, usize, String),
    FromInstance(usize, u32, u64, usize, Option<String>),
    HealthCheckResult(usize, u32, u64, HealthCheckResult),
    Called(usize, u32, u64, Option<u16>),
    Promote(usize),
    Beat(usize),
    ToClient(usize, u64, Option<String>),
    FromClient(u64, Option<String>),
    Client(usize),
    Do(String),
}

pub struct ControllerNode {
    pub controller: Option<Box<Controller>>,
    disk: PersistentState,
    writes: VecDeque<(u64, Write)>,
    held: Vec<(u64, Ipv4Addr, PeerMessage)>,
    written: u64,
    durable: u64,
    syncing: bool,
}

pub struct PoolerNode {
    pub pooler: Option<Box<Pooler>>,
    relay: Option<Box<DisseminationTree>>,
    revision: u64,
    /// The newest version acknowledged when this process began.
    floor: u64,
    /// Since when it leaves, and whether it is started again.
    left: Option<(Duration, bool)>,
}

enum NodeKind {
    Controller(ControllerNode),
    Pooler(PoolerNode),
}

pub struct Node {
    kind: NodeKind,
    ip: Ipv4Addr,
    incarnation: u32,
    pub up: bool,
    /// Removed for good, or not brought in yet.
    gone: bool,
    frozen: bool,
    tick_at: Option<Duration>,
}

/// A client: one session after another, one operation at a time.
struct Client {
    pooler: usize,
    session: Option<u64>,
    script: VecDeque<(String, String)>,
    asked: Option<(String, String)>,
    write_ids: Vec<String>,
    commit_sent: bool,
    values: BTreeMap<String, String>,
    reply: String,
    tries: u32,
    route: usize,
    read_since: Option<Duration>,
    ops: u64,
    /// When the try's first statement was sent.
    began: Duration,
}

/// How large a world is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub controllers: usize,
    pub spare: usize,
    pub poolers: usize,
    pub clients: usize,
    pub tolerance: usize,
}

pub struct World {
    pub now: Duration,
    base: Instant,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    pub nodes: Vec<Node>,
    controllers: usize,
    /// Machines that may be lost at once, and how many of the controllers founded the system.
    tolerance: usize,
    founders: usize,
    pub instances: Vec<Instance>,
    log: Log,
    cuts: BTreeSet<(usize, usize)>,
    clients: Vec<Client>,
    sessions: HashMap<u64, (usize, usize)>,
    conns: HashMap<(usize, u32, u64), usize>,
    /// Sessions that the pooler they came to passes on: that pooler, and what it knows of them.
    forwarded_sessions: HashMap<u64, (usize, ForwardedSession)>,
    pub carried: usize,
    /// Sessions of which something has come that a frozen pooler has not read.
    unread: HashSet<u64>,
    /// One way between clients and poolers.
    lag: Duration,
    /// When something last happened that is no planned work.
    troubled: Option<Duration>,
    /// Every tenant's limit, a second; none for no limit. Those in force, with when each was acknowledged.
    limit: Option<u32>,
    limits: Vec<(Duration, u32)>,
    pub cap: u32,
    pub judge: Judge,
    platform_up: bool,
    pub revision: u64,
    pub acked_revision: u64,
    pub refused: usize,
    keys: Vec<String>,
    applied: Vec<u64>,
    next_session: u64,
    clients_on: bool,
    raced: usize,
    /// What a sync of a disk takes.
    pub sync: Duration,
    /// Further services, each of one instance that does nothing but beat, and further routes.
    idle: Vec<Instance>,
    pub idle_routes: usize,
    /// Bytes that each daemon has sent to others since the mark, and when that was set.
    sent: Vec<u64>,
    marked: Option<Duration>,
    /// A digest of all that was sent, if it is asked for.
    trace: Option<Trace>,
}

/// Tokens of calls by which an instance says that it leaves.
const LEAVING: u64 = 3_000_000;
const DRAIN: Duration = Duration::from_secs(7);

/// Of the settings: what a process told to leave has, what a request may take to be lost unseen, and how
/// long a trouble is felt.
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const CONTACT: Duration = Duration::from_secs(4);
/// Limits are counted over any span of this length.
const QUOTA_SPAN: Duration = Duration::from_secs(5);
/// New clients come for a while after a pooler has told that it leaves.
const LATECOMERS: Duration = Duration::from_millis(2600);
/// Actions that are work of the operator's or the world's own; anything else is trouble.
const PLANNED: [&str; 20] = [
    "mark",
    "idlebeats",
    "config",
    "resend",
    "storm",
    "badconfig",
    "race",
    "quit",
    "leave",
    "restart",
    "turn",
    "limit",
    "severed",
    "roll",
    "lag",
    "revoke",
    "rest",
    "add",
    "drain",
    "gone",
];

const ROUTES: [&str; 3] = ["db-primary", "db-bounded", "db-own"];
const STALE: Duration = Duration::from_millis(1500);

impl World {
    /// `spare` of the controllers' machines stay off until they are brought in.
    pub fn new(seed: u64, size: Size) -> Self {
        let Size { controllers, spare, poolers, clients, tolerance } = size;
        let mut world = World {
            now: Duration::ZERO,
            base: Instant::now() + Duration::from_secs(3600),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            nodes: Vec::new(),
            controllers: controllers + spare,
            tolerance,
            founders: controllers,
            instances: Vec::new(),
            log: Log { term: 1, ..Log::default() },
            cuts: BTreeSet::new(),
            clients: Vec::new(),
            sessions: HashMap::new(),
            conns: HashMap::new(),
            forwarded_sessions: HashMap::new(),
            carried: 0,
            unread: HashSet::new(),
            lag: Duration::from_millis(2),
            troubled: None,
            limit: None,
            limits: Vec::new(),
            cap: 60,
            judge: Judge::default(),
            platform_up: true,
            revision: 0,
            acked_revision: 0,
            refused: 0,
            keys: vec!["key-a".into(), "key-b".into()],
            applied: Vec::new(),
            next_session: 1,
            clients_on: true,
            raced: 0,
            sync: Duration::from_millis(2),
            idle: Vec::new(),
            idle_routes: 0,
            sent: Vec::new(),
            marked: None,
            trace: Trace::from_environment(),
        };
        for n in 0..controllers + spare + poolers {
            let ip = address(n);
            let kind = if n < controllers + spare {
                let id = world.rng.u64(1..);
                let disk = PersistentState { id, ..PersistentState::default() };
                NodeKind::Controller(ControllerNode {
                    controller: None,
                    disk,
                    writes: VecDeque::new(),
                    held: Vec::new(),
                    written: 0,
                    durable: 0,
                    syncing: false,
                })
            } else {
                NodeKind::Pooler(PoolerNode { pooler: None, relay: None, revision: 0, floor: 0, left: None })
            };
            world.nodes.push(Node { kind, ip, incarnation: 0, up: false, gone: false, frozen: false, tick_at: None });
            world.applied.push(0);
            if n < controllers || n >= controllers + spare {
                world.start(n, true);
            } else {
                world.nodes[n].gone = true;
            }
        }
        for n in 0..3 {
            world.add_instance(n == 0);
        }
        for n in 0..clients {
            world.clients.push(Client {
                pooler: controllers + spare + n % poolers.max(1),
                session: None,
                script: VecDeque::new(),
                asked: None,
                write_ids: Vec::new(),
                commit_sent: false,
                values: BTreeMap::new(),
                reply: String::new(),
                tries: 0,
                route: n % ROUTES.len(),
                read_since: None,
                ops: 0,
                began: Duration::ZERO,
            });
            world.after(Duration::from_secs(4) + Duration::from_millis(13 * n as u64), Event::Client(n));
        }
        world
    }

    fn add_instance(&mut self, primary: bool) {
        let n = self.instances.len();
        let instance = Instance::new(format!("i-{}", 1000 + n), SERVICE, format!("z{}", n % 3), primary);
        self.instances.push(instance);
        let first = Duration::from_millis(self.rng.u64(100..1200));
        self.after(first, Event::Beat(n));
    }

    fn at(&self) -> Instant {
        self.base + self.now
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.trace_event(&event);
        self.schedule(delay, event);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    /// Notes what an event carries from one to another.
    fn trace_event(&mut self, event: &Event) {
        if self.trace.is_none() {
            return;
        }
        let daemon = |n: usize| Party::Daemon(self.nodes[n].ip);
        let serving = |session_id: &u64| self.sessions.get(session_id).map_or(Party::Unserved, |(n, _)| daemon(*n));
        let text = |text: &Option<String>| text.clone().unwrap_or_default().into_bytes();
        let (from, to, bytes) = match event {
            Event::PeerMessage(from, to, _, message) => (daemon(*from), daemon(*to), peer_message::encode(message)),
            Event::ToInstance(n, _, _, i, said) => (daemon(*n), Party::Instance(*i), said.clone().into_bytes()),
            Event::FromInstance(n, _, _, i, said) => (Party::Instance(*i), daemon(*n), text(said)),
            Event::ToClient(_, session_id, said) => (serving(session_id), Party::Session(*session_id), text(said)),
            Event::FromClient(session_id, said) => (Party::Session(*session_id), serving(session_id), text(said)),
            _ => return,
        };
        self.trace_sent(from, to, &bytes);
    }

    fn trace_sent(&mut self, from: Party, to: Party, bytes: &[u8]) {
        if let Some(trace) = &mut self.trace {
            trace.sent(self.now, from, to, bytes);
        }
    }

    /// The digest of all that was sent, if one was asked for.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Services that nobody uses.
    pub fn add_idle(&mut self, count: usize) {
        self.idle = (0..count)
            .map(|n| Instance::new(format!("i-{}", 5000 + n), &format!("idle{n}"), "z0".into(), true))
            .collect();
        self.plan(Duration::from_millis(1500), "idlebeats");
    }

    /// Bytes a second since the mark: the poolers' mean, and the most that one daemon has sent.
    pub fn upkeep(&self) -> (f64, f64) {
        let span = self.marked.map_or(1.0, |at| (self.now - at).as_secs_f64());
        let poolers = self.sent.iter().skip(self.controllers);
        let mean = poolers.sum::<u64>() as f64 / (self.nodes.len() - self.controllers).max(1) as f64;
        (mean / span, self.sent.iter().max().copied().unwrap_or(0) as f64 / span)
    }

    pub fn plan(&mut self, at: Duration, action: &str) {
        let delay = at.saturating_sub(self.now);
        self.after(delay, Event::Do(action.to_owned()));
    }

    /// Delay of a message: short, with a long tail now and then.
    fn delay(&mut self) -> Duration {
        let tail = if self.rng.u32(0..200) == 0 { self.rng.u64(5_000..40_000) } else { 0 };
        Duration::from_micros(300 + self.rng.u64(0..700) + tail)
    }

    fn settings(&self, node: usize, bootstrap: bool) -> Settings {
        let ip = self.nodes[node].ip;
        // The operator's list as it stands: the first three machines that are there.
        let listed = (0..self.controllers).filter(|q| self.nodes.get(*q).map_or(*q < self.founders, |n| !n.gone));
        let seeds: Vec<String> = listed.take(3).map(|q| format!("\"{}:80\"", address(q))).collect();
        let text = format!(
            "node-name = \"n{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\ninternal-ports = [7000, 7001]\nseed-nodes = [{}]\nbootstrap = {bootstrap}\nin-quorum = {}\nbeat-ms = 1200\n[tolerance]\nmachines = {}\n[listen]\ncontrol = \"{ip}:80\"\n[platform]\naddress = \"10.8.0.1:80\"\n",
            node % 3,
            seeds.join(","),
            node < self.controllers,
            self.tolerance
        );
        Settings::read(&text).expect("the simulation's own settings")
    }

    pub fn start(&mut self, n: usize, bootstrap: bool) {
        if self.nodes[n].up || self.nodes[n].gone {
            return;
        }
        let settings = self.settings(n, bootstrap);
        let (now, seed) = (self.at(), self.rng.u64(..));
        let rng = fastrand::Rng::with_seed(seed);
        let node = &mut self.nodes[n];
        node.up = true;
        node.frozen = false;
        node.incarnation += 1;
        node.tick_at = None;
        match &mut node.kind {
            NodeKind::Controller(q) => {
                q.controller = Some(Box::new(Controller::new(now, &settings, q.disk.clone(), rng)));
                (q.written, q.durable, q.syncing) = (0, 0, false);
                self.applied[n] = 0;
            }
            NodeKind::Pooler(f) => {
                let descriptor = PeerDescriptor {
                    name: settings.node_name.clone(),
                    ip: settings.ip,
                    zone: settings.zone.clone(),
                    control: None,
                    age: 0,
                };
                let seeds = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
                f.pooler = Some(Box::new(Pooler::new(
                    now,
                    &settings.node_name,
                    &settings.zone,
                    settings.timing_bounds.clone(),
                    seed,
                )));
                f.relay = Some(Box::new(DisseminationTree::new(
                    now,
                    PartialView::new(descriptor, rng),
                    seeds,
                    false,
                    LINK_MBPS,
                )));
                f.revision = 0;
                f.floor = self.acked_revision;
                f.left = None;
            }
        }
        self.drain(n);
    }

    /// The process ends. With `power`, what was not synced is lost, but for a torn part of it.
    pub fn stop(&mut self, n: usize, power: bool) {
        let node = &mut self.nodes[n];
        node.up = false;
        node.incarnation += 1;
        let mut keep = usize::MAX;
        if power {
            keep = self.rng.usize(0..3);
        }
        match &mut node.kind {
            NodeKind::Controller(q) => {
                q.controller = None;
                let writes: Vec<Write> = q.writes.drain(..).map(|(_, w)| w).take(keep).collect();
                for write in writes {
                    q.disk.apply(write);
                }
                q.held.clear();
            }
            NodeKind::Pooler(f) => {
                f.pooler = None;
                f.relay = None;
            }
        }
        let through = |session_id: &u64| self.forwarded_sessions.get(session_id).is_some_and(|(door, _)| *door == n);
        let ended: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(session_id, (f, _))| *f == n || through(session_id))
            .map(|(s, _)| *s)
            .collect();
        for session_id in ended {
            // The pooler that a carried session came to has the last word.
            if let Some((door, session)) = self.forwarded_sessions.get_mut(&session_id)
                && *door != n
            {
                let last = session.sever();
                self.tell(session_id, self.lag, last);
            }
            let rests =
                |(_, s): &(usize, ForwardedSession)| s.may_close(self.base + self.now, DrainPhase::Serving, false);
            if self.forwarded_sessions.get(&session_id).is_none_or(|s| s.0 == n || rests(s)) {
                self.hang_up(session_id);
            } else {
                self.plan(self.now + Duration::from_millis(200), &format!("severed {session_id}"));
            }
        }
        let conns: Vec<((usize, u32, u64), usize)> =
            self.conns.iter().filter(|((f, ..), _)| *f == n).map(|(k, i)| (*k, *i)).collect();
        for (key, instance) in conns {
            self.conns.remove(&key);
            self.instances[instance].lines.remove(&line_key(key));
        }
    }

    fn wipe(&mut self, n: usize) {
        let id = self.rng.u64(1..);
        if let NodeKind::Controller(q) = &mut self.nodes[n].kind {
            q.disk = PersistentState { id, ..PersistentState::default() };
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| match &n.kind {
            NodeKind::Controller(ControllerNode { controller: Some(r), .. }) if r.raft().role() == Role::Leader => {
                Some(r.raft().term())
            }
            _ => None,
        };
        self.nodes.iter().enumerate().filter_map(|(at, n)| leads(n).map(|t| (t, at))).max().map(|(_, at)| at)
    }

    pub fn primary(&self) -> Option<usize> {
        self.instances
            .iter()
            .enumerate()
            .filter(|(_, i)| i.primary && !i.gone)
            .max_by_key(|(_, i)| i.term)
            .map(|(at, _)| at)
    }

    fn node_of(&self, ip: Ipv4Addr) -> Option<usize> {
        self.nodes.iter().position(|n| n.ip == ip)
    }

    // ---- running ----------------------------------------------------------------------------

    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn live(&self, n: usize, incarnation: u32) -> bool {
        self.nodes[n].up && self.nodes[n].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        // A frozen process takes things up when it thaws.
        let frozen = match &event {
            Event::Tick(n, _)
            | Event::PeerMessage(_, n, ..)
            | Event::Synced(n, ..)
            | Event::FromInstance(n, ..)
            | Event::HealthCheckResult(n, ..)
            | Event::Called(n, ..) => self.nodes[*n].frozen,
            Event::FromClient(session_id, _) => {
                self.sessions.get(session_id).is_some_and(|(n, _)| self.nodes[*n].frozen)
            }
            _ => false,
        };
        if let Event::FromClient(session_id, text) = &event {
            let waits = frozen && text.is_some();
            if waits {
                self.unread.insert(*session_id)
            } else {
                self.unread.remove(session_id)
            };
        }
        if frozen {
            return self.schedule(Duration::from_millis(20), event);
        }
        let now = self.at();
        match event {
            Event::Tick(n, incarnation) => {
                if self.live(n, incarnation) {
                    self.nodes[n].tick_at = None;
                    self.tick(n);
                }
            }
            Event::PeerMessage(from, n, incarnation, message) => {
                if self.live(n, incarnation) && !self.cuts.contains(&(from, n)) {
                    let ip = self.nodes[from].ip;
                    match &mut self.nodes[n].kind {
                        NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) => {
                            controller.handle_peer_message(now, ip, *message)
                        }
                        NodeKind::Pooler(PoolerNode { pooler: Some(pooler), relay: Some(relay), .. }) => {
                            match relay.handle_message(now, ip, *message) {
                                Some(PeerMessage::LeaseGrant(grant)) => {
                                    relay.note_leader_answer(now, ip, grant.digests.as_ref());
                                    pooler.handle_lease_grant(now, ip, grant);
                                }
                                Some(PeerMessage::RightsGrant { nonce, span, term, transfers }) => {
                                    pooler.handle_rights_grant(now, nonce, span, term, transfers)
                                }
                                Some(PeerMessage::LeaderRedirect { leader }) => {
                                    pooler.handle_leader_redirect(now, leader)
                                }
                                Some(PeerMessage::LeaseRecall { service, epoch }) => {
                                    pooler.handle_lease_recall(now, ip, &service, epoch)
                                }
                                _ => {}
                            }
                        }
                        _ => {}
                    }
                    self.drain(n);
                }
            }
            Event::Synced(n, incarnation, number) => {
                if self.live(n, incarnation)
                    && let NodeKind::Controller(q) = &mut self.nodes[n].kind
                {
                    while q.writes.front().is_some_and(|(w, _)| *w <= number) {
                        if let Some((_, write)) = q.writes.pop_front() {
                            q.disk.apply(write);
                        }
                    }
                    q.durable = number;
                    q.syncing = false;
                    if let Some(controller) = &mut q.controller {
                        controller.durable(now, number);
                    }
                    self.drain(n);
                }
            }
            Event::ToInstance(n, incarnation, conn, i, text) => self.reach_instance(n, incarnation, conn, i, &text),
            Event::FromInstance(n, incarnation, conn, i, text) => {
                if !self.live(n, incarnation) || self.instances[i].dark {
                    return;
                }
                if let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[n].kind {
                    match text {
                        Some(text) => pooler.handle_backend_bytes(now, conn, text.as_bytes()),
                        None => {
                            self.conns.remove(&(n, incarnation, conn));
                            pooler.handle_backend_closed(now, conn);
                        }
                    }
                }
                self.drain(n);
            }
            Event::HealthCheckResult(n, incarnation, token, result) => {
                if self.live(n, incarnation) {
                    if let NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) =
                        &mut self.nodes[n].kind
                    {
                        controller.health_check_finished(now, token, result);
                    }
                    self.drain(n);
                }
            }
            Event::Called(n, incarnation, token, status) => {
                if self.live(n, incarnation) {
                    if let NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) =
                        &mut self.nodes[n].kind
                    {
                        controller.platform_call_finished(now, token, status);
                    }
                    self.drain(n);
                }
            }
            Event::Promote(i) => self.promote(i),
            Event::Beat(i) => self.beat(i),
            Event::ToClient(c, session_id, text) => self.client_hears(c, session_id, text),
            Event::FromClient(session_id, text) => {
                let Some((n, _)) = self.sessions.get(&session_id).copied() else { return };
                if let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[n].kind {
                    match text {
                        Some(text) => pooler.handle_client_bytes(now, session_id, text.as_bytes()),
                        None => pooler.handle_client_closed(now, session_id),
                    }
                    self.drain(n);
                }
            }
            Event::Client(c) => self.client_next(c),
            Event::Do(action) => self.act(&action),
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.at();
        let wall = WALL + self.now;
        match &mut self.nodes[n].kind {
            NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) => controller.tick(now, wall),
            NodeKind::Pooler(PoolerNode { pooler: Some(pooler), relay: Some(relay), .. }) => {
                relay.tick(now);
                pooler.tick(now, wall.as_secs() / 5);
            }
            _ => {}
        }
        self.drain(n);
    }

    /// Performs a daemon's effects and arms its next tick.
    fn drain(&mut self, n: usize) {
        let now = self.at();
        let incarnation = self.nodes[n].incarnation;
        let due = match &mut self.nodes[n].kind {
            NodeKind::Controller(q) => {
                let Some(controller) = &mut q.controller else { return };
                let effects = controller.effects();
                let due = controller.next_wakeup(now);
                let (role, term) = (controller.raft().role(), controller.raft().term());
                let mut ready = Vec::new();
                for effect in effects {
                    match effect {
                        controller::Effect::Write(number, write) => {
                            q.written = number;
                            q.writes.push_back((number, write));
                        }
                        controller::Effect::Send(to, message, after) if after > q.durable => {
                            q.held.push((after, to, message))
                        }
                        effect => ready.push(effect),
                    }
                }
                let (out, waiting) = q.held.drain(..).partition(|(after, ..)| *after <= q.durable);
                q.held = waiting;
                let out: Vec<_> = out;
                ready.extend(out.into_iter().map(|(after, to, message)| controller::Effect::Send(to, message, after)));
                let sync = !q.syncing && !q.writes.is_empty();
                q.syncing |= sync;
                let written = q.written;
                if sync {
                    self.after(self.sync, Event::Synced(n, incarnation, written));
                }
                if role == Role::Leader {
                    self.judge.leads(self.now, term, n);
                }
                self.check_applied(n);
                for effect in ready {
                    self.perform_controller_effect(n, incarnation, effect);
                }
                due
            }
            NodeKind::Pooler(f) => {
                let (Some(pooler), Some(relay)) = (&mut f.pooler, &mut f.relay) else { return };
                pooler.observe_tree(now, relay);
                let news = relay.take_updates();
                if !news.is_empty() {
                    pooler.apply_updates(now, &news);
                }
                let mut sends: Vec<(Ipv4Addr, PeerMessage)> = relay.take_messages();
                let mut effects = Vec::new();
                loop {
                    pooler.finish_input(now);
                    let more = pooler.effects();
                    if more.is_empty() {
                        break;
                    }
                    effects.extend(more);
                }
                let due = pooler.next_due().min(relay.next_due());
                if pooler.revision() > 0 && pooler.revision() < f.floor {
                    let what = format!("CONFIG: n{n} begins with {}, {} was in force", pooler.revision(), f.floor);
                    self.judge.breaks(self.now, what);
                }
                let back = pooler.revision() < f.revision;
                f.revision = pooler.revision();
                if back {
                    self.judge.breaks(self.now, format!("CONFIG: n{n} goes back"));
                }
                for effect in effects {
                    match effect {
                        pooler::Effect::Send(to, message) => sends.push((to, message)),
                        effect => self.perform_pooler_effect(n, incarnation, effect),
                    }
                }
                for (to, message) in sends {
                    self.post(n, to, message);
                }
                due
            }
        };
        let at = due.saturating_duration_since(self.base).max(self.now + Duration::from_micros(200));
        if self.nodes[n].tick_at.is_none_or(|t| at < t) {
            self.nodes[n].tick_at = Some(at);
            self.after(at - self.now, Event::Tick(n, incarnation));
        }
    }

    fn check_applied(&mut self, n: usize) {
        let NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) = &self.nodes[n].kind else {
            return;
        };
        let (index, from) = (controller.control_state().applied_index, self.applied[n]);
        let entries: Vec<(u64, Entry)> =
            (from + 1..=index).filter_map(|i| controller.raft().entry(i).map(|e| (i, e.clone()))).collect();
        self.applied[n] = index;
        for (i, entry) in entries {
            self.judge.applies(self.now, i, &entry);
        }
    }

    fn post(&mut self, from: usize, to: Ipv4Addr, message: PeerMessage) {
        let Some(n) = self.node_of(to) else { return };
        if !self.nodes[n].up || self.cuts.contains(&(from, n)) {
            return;
        }
        if self.marked.is_some() {
            self.sent[from] += peer_message::encode(&message).len() as u64;
        }
        let (delay, incarnation) = (self.delay(), self.nodes[n].incarnation);
        self.after(delay, Event::PeerMessage(from, n, incarnation, Box::new(message)));
    }

    fn perform_controller_effect(&mut self, n: usize, incarnation: u32, effect: controller::Effect) {
        let from = Party::Daemon(self.nodes[n].ip);
        match effect {
            controller::Effect::Send(to, message, _) => self.post(n, to, message),
            controller::Effect::Reply(token, response) => {
                let answer = [&response.status.to_le_bytes()[..], &response.body[..]].concat();
                self.trace_sent(from, Party::Caller(token), &answer);
                if token > 0 && token < 1_000_000 {
                    match response.status {
                        200 => {
                            self.acked_revision = self.acked_revision.max(token);
                            if let Some(limit) = self.limit {
                                self.limits.push((self.now, limit));
                            }
                        }
                        400..=499 => self.refused += 1,
                        _ => {}
                    }
                } else if token >= LEAVING {
                    if response.status == 200 {
                        let (now, at) = (self.now, (token - LEAVING) as usize);
                        self.instances[at].leave_acked.get_or_insert(now);
                    }
                } else if token >= 2_000_000 {
                    self.raced += usize::from(response.status == 200);
                }
            }
            controller::Effect::HealthCheck { token, instance, text } => {
                let i = self.instances.iter().position(|i| i.id == instance.id && i.up && !i.dark);
                let result = match i {
                    None if self.idle.iter().any(|i| i.id == instance.id) => {
                        HealthCheckResult::Status { primary: true, term: 1, received: Position { term: 1, number: 0 } }
                    }
                    None => HealthCheckResult::Failed,
                    Some(i) => {
                        let key = u64::MAX - token;
                        let hello = format!("CONNECT {SERVICE} - {}\r\nQUERY - {text}\r\n", instance.id);
                        self.instances[i].follow(self.now, &self.log);
                        let (answer, _) = self.instances[i].take(self.now, key, &hello, &mut self.log, &mut self.judge);
                        self.instances[i].lines.remove(&key);
                        answer.split("ROW ").nth(1).map_or(HealthCheckResult::Failed, |row| {
                            HealthCheckResult::read(row.split("\r\n").next().unwrap_or_default())
                        })
                    }
                };
                let patience = if i.is_none() { Duration::from_millis(100) } else { Duration::from_millis(3) };
                self.after(patience, Event::HealthCheckResult(n, incarnation, token, result));
            }
            controller::Effect::PlatformCall { token, path, fence, body } => {
                self.trace_sent(from, Party::Platform, format!("{path} {fence} {body}").as_bytes());
                let status = if !self.platform_up { None } else { Some(self.platform(n, path, fence, &body)) };
                let patience = if status.is_none() { Duration::from_millis(300) } else { Duration::from_millis(4) };
                self.after(patience, Event::Called(n, incarnation, token, status));
            }
            _ => {}
        }
    }

    fn platform(&mut self, n: usize, path: &str, fence: u64, body: &str) -> u16 {
        let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let lease = Duration::from_secs(3);
        if path == "/usage" {
            self.judge.duty(self.now, "usage", fence, n, lease);
            let window = body["window-number"].as_u64().unwrap_or(0);
            self.judge.usage(self.now, window, &body["counts"].to_string());
            return 200;
        }
        self.judge.duty(self.now, "failover", fence, n, lease);
        match self.instances.iter().position(|i| Some(i.id.as_str()) == body["id"].as_str()) {
            Some(i) if self.instances[i].up => {
                if !self.instances[i].primary {
                    self.after(PROMOTE, Event::Promote(i));
                }
                200
            }
            _ => 409,
        }
    }

    fn promote(&mut self, i: usize) {
        let Some(kept) = instance::promote(&mut self.instances, i, self.now, &mut self.log) else { return };
        // What the new primary had not received is cut back.
        for commit in self.judge.commits.iter_mut().filter(|c| (c.term, c.number) > kept) {
            commit.cut_back = true;
        }
        self.judge.acks.retain(|(_, _, t, n)| (*t, *n) <= kept);
        self.judge.promotions += 1;
        self.after(Duration::from_millis(1), Event::Beat(i));
    }

    fn beat(&mut self, i: usize) {
        if self.instances[i].gone {
            return;
        }
        if self.instances[i].up && !self.instances[i].dark && !self.instances[i].quiet {
            let body = self.instances[i].beat();
            let token = if self.instances[i].draining { LEAVING + i as u64 } else { 0 };
            let at: Vec<usize> =
                (0..self.controllers).filter(|q| self.nodes[*q].up && !self.nodes[*q].frozen).collect();
            if !at.is_empty() {
                let q = at[self.rng.usize(0..at.len())];
                let path = format!("/api/instances/{}", self.instances[i].id);
                self.http(q, token, "PUT", &path, None, body.into_bytes());
            }
        }
        self.after(BEAT, Event::Beat(i));
    }

    fn http(&mut self, q: usize, token: u64, method: &str, path: &str, if_match: Option<u64>, body: Vec<u8>) {
        let now = self.at();
        let said = [format!("{method} {path} {if_match:?} ").as_bytes(), &body[..]].concat();
        self.trace_sent(Party::Caller(token), Party::Daemon(self.nodes[q].ip), &said);
        let request =
            Request { method: method.into(), path: path.into(), if_match: if_match.map(|v| v.to_string()), body };
        if let NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) = &mut self.nodes[q].kind {
            controller.request(now, token, request);
        }
        self.drain(q);
    }

    fn perform_pooler_effect(&mut self, n: usize, incarnation: u32, effect: pooler::Effect) {
        match effect {
            pooler::Effect::ToClient(session_id, mut text) => {
                if let Some((door, session)) = self.forwarded_sessions.get_mut(&session_id) {
                    let heard = session.carrier_said(text.as_bytes());
                    text = String::from_utf8_lossy(&heard.down).into_owned();
                    let door = *door;
                    if let (Some(seen), NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. })) =
                        (heard.seen, &mut self.nodes[door].kind)
                    {
                        pooler.require_revision(seen);
                    }
                    let (now, phase) = (self.base + self.now, self.phase(door));
                    let closes = |(_, s): &(usize, ForwardedSession)| s.may_close(now, phase, true);
                    let answered = !text.is_empty() && self.forwarded_sessions.get(&session_id).is_some_and(closes);
                    self.tell(session_id, self.lag, text);
                    if heard.part || answered {
                        self.part(session_id);
                    }
                    return;
                }
                self.tell(session_id, self.lag, text);
            }
            pooler::Effect::CloseClient(session_id) => self.hang_up(session_id),
            pooler::Effect::CloseIfIdle(session_id) => self.part(session_id),
            pooler::Effect::OpenBackend(conn, address) => {
                let i = self.instances.iter().position(|i| i.address() == address.to_string());
                match i {
                    Some(i) if self.instances[i].up || self.instances[i].dark => {
                        self.conns.insert((n, incarnation, conn), i);
                    }
                    _ => self.after(Duration::from_millis(1), Event::FromInstance(n, incarnation, conn, 0, None)),
                }
            }
            pooler::Effect::ToBackend(conn, text) => {
                if let Some(i) = self.conns.get(&(n, incarnation, conn)).copied() {
                    let delay = self.delay();
                    self.after(delay, Event::ToInstance(n, incarnation, conn, i, text));
                }
            }
            pooler::Effect::CloseBackend(conn) => {
                if let Some(i) = self.conns.remove(&(n, incarnation, conn)) {
                    self.instances[i].lines.remove(&line_key((n, incarnation, conn)));
                }
            }
            pooler::Effect::Send(..) | pooler::Effect::Log(_) => {}
        }
    }

    /// A session's client hears something, if there is something.
    fn tell(&mut self, session_id: u64, delay: Duration, text: String) {
        if let Some((_, c)) = self.sessions.get(&session_id).copied()
            && !text.is_empty()
        {
            self.after(delay, Event::ToClient(c, session_id, Some(text)));
        }
    }

    /// A session's client learns of the end; whoever serves it too.
    fn hang_up(&mut self, session_id: u64) {
        if let Some((_, c)) = self.sessions.get(&session_id).copied() {
            self.after(self.lag, Event::ToClient(c, session_id, None));
            self.after(Duration::ZERO, Event::FromClient(session_id, None));
        }
        self.forwarded_sessions.remove(&session_id);
    }

    /// Closes a session unless something has come that was not read yet.
    fn part(&mut self, session_id: u64) {
        if !self.unread.contains(&session_id) {
            return self.hang_up(session_id);
        }
        let now = self.at();
        let Some((n, _)) = self.sessions.get(&session_id).copied() else { return };
        if let Some((_, session)) = self.forwarded_sessions.get_mut(&session_id) {
            session.activity.stirs(now);
        } else if let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[n].kind {
            pooler.note_unread_bytes(now, session_id);
        }
    }

    fn phase(&self, n: usize) -> DrainPhase {
        match &self.nodes[n].kind {
            NodeKind::Pooler(PoolerNode { left: Some((since, _)), .. }) => DrainPhase::after(self.now - *since, GRACE),
            _ => DrainPhase::Serving,
        }
    }

    /// One look of a leaving pooler at the sessions that came to it.
    fn leaving_turn(&mut self, n: usize) {
        let (now, phase) = (self.at(), self.phase(n));
        let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), left: Some((since, again)), .. }) =
            &mut self.nodes[n].kind
        else {
            return;
        };
        let (since, again) = (*since, *again);
        let through: Vec<u64> =
            self.forwarded_sessions.iter().filter(|(_, (door, _))| *door == n).map(|(s, _)| *s).collect();
        let idle = through.is_empty() && self.sessions.values().all(|(f, _)| *f != n);
        if phase == DrainPhase::Finished || (idle && self.now - since > LATECOMERS) {
            self.stop(n, false);
            if again {
                self.plan(self.now + Duration::from_millis(300), &format!("add pooler{}", n - self.controllers));
            }
            return;
        }
        match phase {
            DrainPhase::Closing => pooler.close_all_sessions(now),
            _ => pooler.close_idle_sessions(now, phase),
        }
        let mut closed = 0;
        for session_id in through {
            let Some((_, session)) = self.forwarded_sessions.get_mut(&session_id) else { continue };
            let cuts = phase == DrainPhase::Closing || (phase == DrainPhase::RollingBack && session.is_open());
            let last = if cuts && !session.is_severed() { session.sever() } else { String::new() };
            let may = session.may_close(now, phase, false) && (closed < CLOSED_AT_ONCE || phase == DrainPhase::Closing);
            self.tell(session_id, self.lag, last);
            if may {
                closed += 1;
                self.part(session_id);
            }
        }
        self.drain(n);
        self.plan(self.now + Duration::from_millis(50), &format!("turn {n}"));
    }

    fn reach_instance(&mut self, n: usize, incarnation: u32, conn: u64, i: usize, text: &str) {
        if self.conns.get(&(n, incarnation, conn)) != Some(&i) || self.instances[i].dark {
            return;
        }
        if !self.instances[i].up {
            self.conns.remove(&(n, incarnation, conn));
            return self.after(Duration::from_millis(1), Event::FromInstance(n, incarnation, conn, i, None));
        }
        let leaves = self.instances[i].leave_acked;
        if text.contains("QUERY c") && leaves.is_some_and(|at| self.now > at + DRAIN) {
            self.judge.breaks(self.now, format!("DRAIN: n{n} sends {text:?} to {}", self.instances[i].id));
        }
        // "QUERY cCLIENT-OPERATION-TRY-STATEMENT ..."
        for id in text.split("QUERY c").skip(1).filter_map(|q| q.split(' ').next()) {
            if let Some((try_id, _)) = id.rsplit_once('-') {
                let tenant =
                    try_id.split('-').next().and_then(|c| c.parse::<usize>().ok()).unwrap_or(0) % self.keys.len();
                self.judge.arrives(self.now, tenant, try_id);
            }
        }
        self.instances[i].follow(self.now, &self.log);
        let (answer, end) =
            self.instances[i].take(self.now, line_key((n, incarnation, conn)), text, &mut self.log, &mut self.judge);
        let lost = self.instances[i].lose && text.contains("QUERY c") && self.rng.u32(0..6) == 0;
        if !answer.is_empty() && !lost {
            let delay = WORK + self.delay();
            self.after(delay, Event::FromInstance(n, incarnation, conn, i, Some(answer)));
        }
        if end {
            self.after(WORK * 2, Event::FromInstance(n, incarnation, conn, i, None));
        }
    }

    // ---- clients ----------------------------------------------------------------------------

    fn client_next(&mut self, c: usize) {
        if !self.clients_on || self.clients[c].session.is_some() || !self.clients[c].script.is_empty() {
            return;
        }
        let up: Vec<usize> = (self.controllers..self.nodes.len())
            .filter(|n| match &self.nodes[*n].kind {
                NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) => pooler.ready(self.base + self.now),
                _ => false,
            })
            .collect();
        if up.is_empty() {
            return self.after(Duration::from_millis(200), Event::Client(c));
        }
        let mut n = up[self.rng.usize(0..up.len())];
        let session_id = self.next_session;
        self.next_session += 1;
        let key = self.keys[c % self.keys.len()].clone();
        let hello = format!("CONNECT {} {key}\r\n", ROUTES[self.clients[c].route]);
        let (homes, newest) = match &self.nodes[n].kind {
            NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) => {
                (pooler.carriers_for(&hello), pooler.newest_revision())
            }
            _ => (Vec::new(), 0),
        };
        // The first carrier that can be reached, or the pooler itself.
        for ip in homes {
            let Some(home) = self.node_of(ip) else { continue };
            if !self.nodes[home].up || self.cuts.contains(&(n, home)) {
                continue;
            }
            if let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[home].kind
                && pooler.accept_forwarded_session(session_id)
            {
                self.forwarded_sessions.insert(session_id, (n, ForwardedSession::new(newest)));
                self.carried += 1;
                let told = forwarding::revision_line(newest);
                self.after(Duration::from_millis(2), Event::FromClient(session_id, Some(told)));
                n = home;
                break;
            }
        }
        self.sessions.insert(session_id, (n, c));
        if !self.forwarded_sessions.contains_key(&session_id)
            && let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[n].kind
        {
            pooler.accept_session(session_id);
        }
        let client = &mut self.clients[c];
        client.pooler = n;
        client.session = Some(session_id);
        client.values.clear();
        client.asked = Some((String::new(), "CONNECT".into()));
        client.reply.clear();
        self.client_sends(session_id, Some(hello));
    }

    fn new_operation(&mut self, c: usize) {
        let client = &mut self.clients[c];
        client.ops += 1;
        client.tries = 0;
        self.judge.asked += 1;
        self.new_try(c);
    }

    fn new_try(&mut self, c: usize) {
        let (kind, other) = (self.rng.u32(0..5), self.rng.u32(0..3));
        let ops = self.clients[c].ops;
        let client = &mut self.clients[c];
        client.began = self.now;
        client.tries += 1;
        client.write_ids.clear();
        client.commit_sent = false;
        client.read_since = None;
        let bounded = client.route == 1;
        let mut texts: Vec<String> = Vec::new();
        if ops % 3 == 1 {
            texts.extend((0..=other).map(|n| format!("SET mode{n} {ops}")));
            texts.push("PREPARE q READ other".into());
            texts.push("PREPARE p WRITE shape".into());
        }
        match kind {
            0 | 1 => texts.push("READ thing".into()),
            2 if !bounded => texts.push("WRITE thing data".into()),
            3 if !bounded => texts.extend(["BEGIN", "READ thing", "WRITE thing data", "COMMIT"].map(String::from)),
            4 if !bounded && ops % 3 == 1 => texts.extend(["BEGIN", "RUN p thing data", "COMMIT"].map(String::from)),
            _ => texts.extend(["BEGIN READ", "READ thing", "READ other", "COMMIT"].map(String::from)),
        }
        let tries = client.tries;
        client.script = texts.into_iter().enumerate().map(|(at, t)| (format!("c{c}-{ops}-{tries}-{at}"), t)).collect();
        self.ask(c);
    }

    fn ask(&mut self, c: usize) {
        let client = &mut self.clients[c];
        let Some(session_id) = client.session else { return };
        let Some((id, text)) = client.script.pop_front() else {
            // The operation has succeeded.
            self.judge.served += 1;
            for id in self.clients[c].write_ids.clone() {
                self.judge.ends.insert(id, End::Acked);
            }
            self.clients[c].asked = None;
            let pause = Duration::from_millis(self.rng.u64(20..120));
            return self.after(pause, Event::ToClient(c, session_id, Some(String::new())));
        };
        let shape = text.starts_with("RUN").then(|| "WRITE shape".to_owned());
        if text.starts_with("READ") || text.starts_with("WRITE") || text.starts_with("RUN") {
            self.judge.expects.insert(id.clone(), (client.values.clone(), shape));
        }
        if text.starts_with("BEGIN") || (text.starts_with("READ") && client.read_since.is_none()) {
            client.read_since = Some(self.now);
        }
        client.commit_sent |= text == "COMMIT" || (text.starts_with("WRITE") && client.script.is_empty());
        client.asked = Some((id.clone(), text.clone()));
        client.reply.clear();
        if text.starts_with("WRITE") || text.starts_with("RUN") {
            client.write_ids.push(id.clone());
        }
        self.client_sends(session_id, Some(format!("QUERY {id} {text}\r\n")));
    }

    /// What a client sends, by way of the pooler that it came to.
    fn client_sends(&mut self, session_id: u64, text: Option<String>) {
        let now = self.at();
        let text = match (text, self.forwarded_sessions.get_mut(&session_id)) {
            (Some(text), Some((_, session))) if session.is_severed() => {
                let last = session.refuse(now, text.as_bytes());
                let ends = session.may_close(now, DrainPhase::Serving, true);
                if let Some((_, c)) = self.sessions.get(&session_id).copied()
                    && !last.is_empty()
                {
                    self.after(self.lag * 2, Event::ToClient(c, session_id, Some(last)));
                    if ends {
                        self.after(self.lag * 2, Event::ToClient(c, session_id, None));
                    }
                }
                return;
            }
            (Some(text), Some((door, session))) => {
                let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &self.nodes[*door].kind else { return };
                Some(
                    String::from_utf8_lossy(&session.client_said(now, text.as_bytes(), pooler.newest_revision()))
                        .into_owned(),
                )
            }
            (text, _) => text,
        };
        self.after(self.lag, Event::FromClient(session_id, text));
    }

    fn client_hears(&mut self, c: usize, session_id: u64, text: Option<String>) {
        if self.clients[c].session != Some(session_id) {
            return;
        }
        let Some(text) = text else { return self.client_cut(c, session_id) };
        if text.is_empty() && self.clients[c].asked.is_none() {
            if self.clients_on {
                self.new_operation(c);
            }
            return;
        }
        self.clients[c].reply.push_str(&text);
        let reply = self.clients[c].reply.clone();
        let last = reply.trim_end().rsplit("\r\n").next().unwrap_or_default().to_owned();
        if !last.starts_with("READY") {
            return;
        }
        let Some((id, asked)) = self.clients[c].asked.take() else {
            return self.judge.breaks(self.now, format!("MIXED: an answer to nothing: {reply:?}"));
        };
        if asked == "CONNECT" {
            self.clients[c].asked = None;
            return self.new_operation(c);
        }
        if let Some(error) = reply.split("ERROR ").nth(1) {
            let code = word_of(error);
            return self.client_fails(c, session_id, &code);
        }
        if let Some(rest) = asked.strip_prefix("SET ")
            && let Some((name, value)) = rest.split_once(' ')
        {
            self.clients[c].values.insert(name.to_owned(), value.to_owned());
        }
        if asked.starts_with("READ") {
            self.check_fresh(c, &id, &reply);
        }
        let wrote = asked.starts_with("WRITE") || (asked == "COMMIT" && !self.clients[c].write_ids.is_empty());
        if wrote && last.starts_with("READY I") {
            let position = last
                .split(' ')
                .nth(2)
                .and_then(|p| p.split_once('.'))
                .map(|(t, n)| (t.parse().unwrap_or(0), n.parse().unwrap_or(0)));
            if let Some((t, n)) = position {
                // One that was cut back meanwhile is not owed to readers.
                let cut = self.judge.commits.iter().any(|k| k.term == t && k.number == n && k.cut_back);
                if !cut {
                    self.judge.acks.push((self.now, format!("s{session_id}"), t, n));
                }
            }
        }
        self.ask(c);
    }

    /// STALE: the log read holds every commit that the route owes.
    fn check_fresh(&mut self, c: usize, id: &str, reply: &str) {
        let Some(since) = self.clients[c].read_since else { return };
        let Some(row) = reply.strip_prefix("ROW ").and_then(|r| r.split("\r\n").next()) else { return };
        let seen: (u64, u64) =
            row.split_once('.').map(|(t, n)| (t.parse().unwrap_or(0), n.parse().unwrap_or(0))).unwrap_or_default();
        let route = self.clients[c].route;
        let me = format!("s{}", self.clients[c].session.unwrap_or(0));
        let owed = self.judge.acks.iter().filter(|(at, who, ..)| match route {
            0 => *at < since,
            1 => *at + STALE < since,
            _ => *at + STALE < since || (*who == me && *at < since),
        });
        let owed = owed.map(|(_, _, t, n)| (*t, *n)).max().unwrap_or_default();
        if seen < owed {
            self.judge.breaks(self.now, format!("STALE: {id} on {} saw {seen:?}, owed {owed:?}", ROUTES[route]));
        }
    }

    fn client_cut(&mut self, c: usize, session_id: u64) {
        let asked = self.clients[c].asked.take();
        self.sessions.remove(&session_id);
        self.clients[c].session = None;
        if asked.is_some_and(|(id, _)| !id.is_empty()) {
            let calm = self.troubled.is_none_or(|at| self.now - at > CONTACT);
            let (began, slack) = (self.clients[c].began, LOSS_SLACK + self.lag);
            if calm && self.now - began > slack {
                self.judge.breaks(self.now, format!("LOST: c{c} asked at {:.3} s", began.as_secs_f64()));
            }
            let end = if self.clients[c].commit_sent { End::Unclear } else { End::Promised };
            self.note_end(c, end);
        }
        self.clients[c].script.clear();
        let pause = Duration::from_millis(self.rng.u64(10..60));
        self.after(pause, Event::Client(c));
    }

    fn note_end(&mut self, c: usize, end: End) {
        for id in self.clients[c].write_ids.clone() {
            self.judge.ends.insert(id, end);
        }
    }

    fn client_fails(&mut self, c: usize, session_id: u64, code: &str) {
        let promise = lichenfield_engine::request::error::is_promise(code);
        let end = if promise || !self.clients[c].commit_sent { End::Promised } else { End::Unclear };
        self.note_end(c, end);
        self.clients[c].script.clear();
        let again = end == End::Promised && self.clients[c].tries < 3;
        // A fresh session: the failed try may have left a transaction behind.
        self.after(Duration::from_millis(1), Event::FromClient(session_id, None));
        self.sessions.remove(&session_id);
        if let NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) = &mut self.nodes[self.clients[c].pooler].kind
        {
            pooler.handle_client_closed(self.base + self.now, session_id);
        }
        self.clients[c].session = None;
        let pause = Duration::from_millis(if again { 30 } else { 100 });
        self.after(pause, Event::Client(c));
    }

    // ---- actions ----------------------------------------------------------------------------

    fn document(&self, revision: u64) -> Vec<u8> {
        let route = |name: &str, kind: &str, stale: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"{name}","path-prefix":"/","type":"{kind}","deadline-ms":800,"target-ms":150,"rank":1,"service":"{SERVICE}"{stale}}}"#
            )
        };
        let stale = r#","stale_ms":1500"#;
        let idle: String = (0..self.idle_routes)
            .map(|n| {
                format!("{},", route(&format!("db{:x}", n.wrapping_mul(2_654_435_761) % 0xffff_fff1), "bounded", stale))
            })
            .collect();
        let services: String = self
            .idle
            .iter()
            .map(|i| format!(r#",{{"name":"{}","max-connections":{}}}"#, i.service, self.cap))
            .collect();
        let limit = self.limit.map(|l| format!(r#","rate-per-s":{l},"burst":{l}"#)).unwrap_or_default();
        let tenant = |(n, k): (usize, &String)| format!(r#"{{"name":"t{n}","api-keys":["{k}"]{limit}}}"#);
        let keys: Vec<String> = self.keys.iter().enumerate().map(tenant).collect();
        format!(
            r#"{{"revision":{revision},"routes":[{idle}{},{},{}],"backends":[{{"name":"{SERVICE}","max-connections":{}}}{services}],"limits":{{"tx-rest-ms":3000}},"customers":[{}]}}"#,
            route(ROUTES[0], "primary", ""),
            route(ROUTES[1], "bounded", stale),
            route(ROUTES[2], "own_writes", stale),
            self.cap,
            keys.join(",")
        )
        .into_bytes()
    }

    fn any_controller(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.controllers).filter(|q| self.nodes[*q].up && !self.nodes[*q].frozen).collect();
        (!up.is_empty()).then(|| up[self.rng.usize(0..up.len())])
    }

    fn target(&self, who: &str) -> Vec<usize> {
        match who {
            "leader" => self.leader().into_iter().collect(),
            "follower" => (0..self.controllers).find(|q| Some(*q) != self.leader()).into_iter().collect(),
            "followers" => (0..self.controllers).filter(|q| Some(*q) != self.leader()).collect(),
            "controllers" => (0..self.controllers).collect(),
            "poolers" => (self.controllers..self.nodes.len()).collect(),
            _ => match who.strip_prefix("controller").map(str::parse::<usize>) {
                Some(Ok(n)) => vec![n],
                _ => who
                    .strip_prefix("pooler")
                    .and_then(|n| n.parse::<usize>().ok())
                    .map(|n| self.controllers + n)
                    .into_iter()
                    .collect(),
            },
        }
    }

    fn act(&mut self, action: &str) {
        let words: Vec<&str> = action.split_whitespace().collect();
        let who = words.get(1).copied().unwrap_or_default();
        if !PLANNED.contains(&words[0]) {
            self.troubled = Some(self.now);
        }
        match words.first().copied().unwrap_or_default() {
            // From here on what daemons say to each other is counted.
            "mark" => {
                self.marked = Some(self.now);
                self.sent = vec![0; self.nodes.len()];
            }
            "idlebeats" => {
                for n in 0..self.idle.len() {
                    let body = self.idle[n].beat().into_bytes();
                    let path = format!("/api/instances/{}", self.idle[n].id);
                    if let Some(q) = self.any_controller() {
                        self.http(q, 0, "PUT", &path, None, body);
                    }
                }
                self.plan(self.now + BEAT, "idlebeats");
            }
            "config" => {
                self.revision += 2;
                let revision = self.revision;
                self.act(&format!("resend {revision}"));
            }
            // The operator sends, and sends again after a second of silence.
            "resend" => {
                let revision: u64 = who.parse().unwrap_or(0);
                if self.acked_revision >= revision {
                    return;
                }
                self.plan(self.now + Duration::from_secs(1), &format!("resend {revision}"));
                if let Some(q) = self.any_controller() {
                    let body = self.document(revision);
                    self.http(q, revision, "PUT", "/api/config", Some(revision - 2), body);
                }
            }
            // Configurations in quick succession, more than the log keeps.
            "storm" => {
                let count: u32 = who.parse().unwrap_or(0);
                (0..count).for_each(|n| self.plan(self.now + Duration::from_millis(8) * n, "config"));
            }
            "badconfig" => {
                for body in [&b"{"[..], br#"{"revision":1,"routes":[],"backends":[]}"#] {
                    let current = self.revision;
                    if let Some(q) = self.any_controller() {
                        self.http(q, 999_999, "PUT", "/api/config", Some(current), body.to_vec());
                    }
                }
            }
            "race" => {
                let current = self.revision;
                for (n, extra) in [(0u64, 1u64), (1, 2)] {
                    let body = self.document(current + extra);
                    self.http(n as usize, 2_000_000 + n, "PUT", "/api/config", Some(current), body);
                }
                self.revision = current + 2;
            }
            // One that has nothing to drain says only that it ends, once, at one daemon.
            "quit" => {
                let replica = self.instances.iter().position(|i| !i.primary && i.up && !i.draining && !i.gone);
                if let (Some(i), Some(q)) = (replica, self.any_controller()) {
                    self.add_instance(false);
                    let path = format!("/api/instances/{}", self.instances[i].id);
                    self.instances[i].quiet = true;
                    self.http(q, LEAVING + i as u64, "DELETE", &path, None, Vec::new());
                    self.plan(self.now + Duration::from_secs(9), &format!("gone {}", self.instances[i].id.clone()));
                }
            }
            // Whoever was told last that an instance leaves dies and is back at once.
            "bounce" => self.target(who).into_iter().for_each(|n| {
                self.stop(n, false);
                self.start(n, false);
            }),
            "kill" => self.target(who).into_iter().for_each(|n| self.stop(n, false)),
            "power" => self.target(who).into_iter().for_each(|n| self.stop(n, true)),
            // Gone for good, and an empty machine at another address in its place.
            "remove" => self.target(who).into_iter().for_each(|n| {
                self.stop(n, true);
                self.nodes[n].gone = true;
            }),
            "add" => self.target(who).into_iter().for_each(|n| {
                self.nodes[n].gone = false;
                self.start(n, false);
            }),
            "wipe" => self.target(who).into_iter().for_each(|n| {
                self.stop(n, true);
                self.wipe(n);
            }),
            "start" => (0..self.nodes.len()).for_each(|n| self.start(n, false)),
            "cut" => {
                let oneway = words.get(2) == Some(&"oneway");
                // From the other controllers only: poolers, instances and operators reach it on.
                let reach = if words.get(2) == Some(&"core") { self.controllers } else { self.nodes.len() };
                for n in self.target(who) {
                    for other in (0..reach).filter(|o| *o != n) {
                        self.cuts.insert((n, other));
                        if !oneway {
                            self.cuts.insert((other, n));
                        }
                    }
                }
            }
            "lose" => {
                for (from, to) in
                    self.target(who).into_iter().zip(self.target(words.get(2).copied().unwrap_or_default()))
                {
                    self.cuts.insert((from, to));
                }
            }
            "heal" => self.cuts.clear(),
            "freeze" => self.target(who).into_iter().for_each(|n| self.nodes[n].frozen = true),
            "thaw" => self.nodes.iter_mut().for_each(|n| n.frozen = false),
            // SIGTERM; a "roll" is one after the other, each started again once it has ended.
            "leave" | "restart" => {
                let (now, at, again) = (self.at(), self.now, words[0] == "restart");
                for n in self.target(who) {
                    let NodeKind::Pooler(f) = &mut self.nodes[n].kind else { continue };
                    let Some(pooler) = &mut f.pooler else { continue };
                    if f.left.is_none() {
                        f.left = Some((at, again));
                        pooler.begin_draining(now);
                        self.drain(n);
                        self.leaving_turn(n);
                    }
                }
            }
            "turn" => self.leaving_turn(who.parse().unwrap_or(0)),
            "roll" => {
                let gap =
                    words.get(2).and_then(|g| g.parse().ok()).map_or(Duration::from_secs(1), Duration::from_secs_f64);
                for (at, n) in self.target(who).into_iter().enumerate() {
                    self.plan(self.now + gap * at as u32, &format!("restart pooler{}", n - self.controllers));
                }
            }
            "severed" => {
                let session_id: u64 = who.parse().unwrap_or(0);
                let now = self.at();
                if let Some((_, session)) = self.forwarded_sessions.get(&session_id) {
                    if session.may_close(now, DrainPhase::Serving, false) {
                        self.part(session_id);
                    } else {
                        self.plan(self.now + Duration::from_millis(200), action);
                    }
                }
            }
            "limit" => {
                self.limit = who.parse().ok();
                self.act("config");
            }
            "lag" => self.lag = Duration::from_millis(who.parse().unwrap_or(2)),
            "crash" | "dark" => {
                let i = if who == "primary" {
                    self.primary()
                } else {
                    self.instances.iter().position(|i| !i.primary && i.up)
                };
                if let Some(i) = i {
                    if words[0] == "dark" {
                        self.instances[i].dark = true;
                    } else {
                        self.crash(i);
                    }
                }
            }
            "return" => self.come_back(),
            "deaf" => self.instances.iter_mut().filter(|i| !i.primary).for_each(|i| i.deaf = true),
            "hear" => self.instances.iter_mut().for_each(|i| i.deaf = false),
            "loseanswers" => self.instances.iter_mut().for_each(|i| i.lose = true),
            "keepanswers" => self.instances.iter_mut().for_each(|i| i.lose = false),
            "drain" => {
                self.add_instance(false);
                let replica = self.instances.iter().position(|i| !i.primary && i.up && !i.draining && !i.gone);
                if let Some(i) = if who == "replica" { replica } else { self.primary() } {
                    self.instances[i].draining = true;
                    let at = self.instances[i].id.clone();
                    self.after(Duration::ZERO, Event::Beat(i));
                    self.plan(self.now + Duration::from_secs(8), &format!("gone {at}"));
                }
            }
            "gone" => {
                if let Some(i) = self.instances.iter().position(|i| i.id == who) {
                    self.instances[i].gone = true;
                    self.crash(i);
                }
            }
            "platform" => self.platform_up = who == "up",
            "revoke" => {
                if let Some(key) = self.keys.first_mut() {
                    *key = format!("{key}-new");
                }
                self.act("config");
            }
            "rest" => self.clients_on = false,
            other => panic!("no such action: {other}"),
        }
    }

    fn crash(&mut self, i: usize) {
        self.instances[i].up = false;
        self.instances[i].lines.clear();
        let conns: Vec<(usize, u32, u64)> = self.conns.iter().filter(|(_, at)| **at == i).map(|(k, _)| *k).collect();
        for (n, incarnation, conn) in conns {
            self.after(Duration::from_millis(1), Event::FromInstance(n, incarnation, conn, i, None));
        }
    }

    fn come_back(&mut self) {
        let term = self.log.term;
        for i in 0..self.instances.len() {
            let instance = &mut self.instances[i];
            if instance.gone {
                continue;
            }
            if !instance.up || instance.dark {
                instance.up = true;
                instance.dark = false;
                if instance.primary && instance.term < term {
                    instance.primary = false;
                    instance.term = term;
                    instance.received = (0, 0);
                }
            }
        }
    }

    /// After everything has settled: one configuration everywhere, and the newest acknowledged.
    pub fn finish(&mut self) {
        self.judge.settle(self.now);
        self.judge.count(&self.limits, QUOTA_SPAN, self.now);
        if self.raced > 1 {
            self.judge.breaks(self.now, "CONFIG: both of two racing changes were acknowledged".into());
        }
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up {
                continue;
            }
            let revision = match &self.nodes[n].kind {
                NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) => {
                    controller.control_state().revision()
                }
                NodeKind::Pooler(PoolerNode { pooler: Some(pooler), .. }) => pooler.revision(),
                _ => continue,
            };
            if revision < self.acked_revision {
                self.judge.breaks(
                    self.now,
                    format!("CONFIG: n{n} ends at {revision}, {} was acknowledged", self.acked_revision),
                );
            }
        }
    }

    fn leading(&self) -> Option<&Controller> {
        match &self.nodes[self.leader()?].kind {
            NodeKind::Controller(ControllerNode { controller: Some(controller), .. }) => Some(controller),
            _ => None,
        }
    }

    /// The service's epoch, by the leader's control_state.
    pub fn epoch(&self) -> u64 {
        self.leading().and_then(|r| r.control_state().epochs.get(SERVICE)).map_or(0, |e| e.epoch)
    }

    pub fn voters(&self) -> Vec<usize> {
        let Some(controller) = self.leading() else { return Vec::new() };
        controller.raft().voters().iter().filter_map(|v| self.node_of(v.ip)).collect()
    }
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1)
}

fn line_key((n, incarnation, conn): (usize, u32, u64)) -> u64 {
    ((n as u64) << 48) | (u64::from(incarnation) << 32) | conn
}

fn word_of(text: &str) -> String {
    text.split([' ', '\r']).next().unwrap_or_default().to_owned()
}
