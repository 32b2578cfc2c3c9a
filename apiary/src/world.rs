//! The simulated world: machines, network, disks and time.

use crate::instance::{self, Instance, Log};
use crate::judge::{End, Judge};
use crate::trace::{Party, Trace};
use brood::connection::parting::{CLOSED_AT_ONCE, Phase};
use brood::connection::session::Position;
use brood::process::carry::{self, Splice};
use brood::process::dance::{self, Dance};
use brood::process::duties::Probed;
use brood::process::field::{self, Field};
use brood::process::raft::{Entry, Role, Stored, Write};
use brood::process::relay::Relay;
use brood::process::royal::{self, Request, Royal};
use brood::process::settings::Settings;
use brood::process::views::{Card, Views};
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
    Dance(usize, usize, u32, Box<Dance>),
    Synced(usize, u32, u64),
    ToInstance(usize, u32, u64, usize, String),
    FromInstance(usize, u32, u64, usize, Option<String>),
    Probed(usize, u32, u64, Probed),
    Called(usize, u32, u64, Option<u16>),
    Promote(usize),
    Beat(usize),
    ToClient(usize, u64, Option<String>),
    FromClient(u64, Option<String>),
    Client(usize),
    Do(String),
}

pub struct Queen {
    pub royal: Option<Box<Royal>>,
    disk: Stored,
    writes: VecDeque<(u64, Write)>,
    held: Vec<(u64, Ipv4Addr, Dance)>,
    written: u64,
    durable: u64,
    syncing: bool,
}

pub struct Forager {
    pub field: Option<Box<Field>>,
    relay: Option<Box<Relay>>,
    revision: u64,
    /// The newest version acknowledged when this process began.
    floor: u64,
    /// Since when it leaves, and whether it is started again.
    left: Option<(Duration, bool)>,
}

enum Kind {
    Queen(Queen),
    Forager(Forager),
}

pub struct Node {
    kind: Kind,
    ip: Ipv4Addr,
    life: u32,
    pub up: bool,
    /// Removed for good, or not brought in yet.
    gone: bool,
    frozen: bool,
    tick_at: Option<Duration>,
}

/// A client: one session after another, one operation at a time.
struct Client {
    forager: usize,
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
    pub queens: usize,
    pub spare: usize,
    pub foragers: usize,
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
    queens: usize,
    /// Machines that may be lost at once, and how many of the queens founded the system.
    tolerance: usize,
    founders: usize,
    pub instances: Vec<Instance>,
    log: Log,
    cuts: BTreeSet<(usize, usize)>,
    clients: Vec<Client>,
    sessions: HashMap<u64, (usize, usize)>,
    conns: HashMap<(usize, u32, u64), usize>,
    /// Sessions that the forager they came to passes on: that forager, and what it knows of them.
    splices: HashMap<u64, (usize, Splice)>,
    pub carried: usize,
    /// Sessions of which something has come that a frozen forager has not read.
    unread: HashSet<u64>,
    /// One way between clients and foragers.
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
/// New clients come for a while after a forager has told that it leaves.
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
    /// `spare` of the queens' machines stay off until they are brought in.
    pub fn new(seed: u64, size: Size) -> Self {
        let Size { queens, spare, foragers, clients, tolerance } = size;
        let mut world = World {
            now: Duration::ZERO,
            base: Instant::now() + Duration::from_secs(3600),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            nodes: Vec::new(),
            queens: queens + spare,
            tolerance,
            founders: queens,
            instances: Vec::new(),
            log: Log { term: 1, ..Log::default() },
            cuts: BTreeSet::new(),
            clients: Vec::new(),
            sessions: HashMap::new(),
            conns: HashMap::new(),
            splices: HashMap::new(),
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
        for n in 0..queens + spare + foragers {
            let ip = address(n);
            let kind = if n < queens + spare {
                let id = world.rng.u64(1..);
                let disk = Stored { id, ..Stored::default() };
                Kind::Queen(Queen {
                    royal: None,
                    disk,
                    writes: VecDeque::new(),
                    held: Vec::new(),
                    written: 0,
                    durable: 0,
                    syncing: false,
                })
            } else {
                Kind::Forager(Forager { field: None, relay: None, revision: 0, floor: 0, left: None })
            };
            world.nodes.push(Node { kind, ip, life: 0, up: false, gone: false, frozen: false, tick_at: None });
            world.applied.push(0);
            if n < queens || n >= queens + spare {
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
                forager: queens + spare + n % foragers.max(1),
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
        let serving = |sid: &u64| self.sessions.get(sid).map_or(Party::Unserved, |(n, _)| daemon(*n));
        let text = |text: &Option<String>| text.clone().unwrap_or_default().into_bytes();
        let (from, to, bytes) = match event {
            Event::Dance(from, to, _, dance) => (daemon(*from), daemon(*to), dance::encode(dance)),
            Event::ToInstance(n, _, _, i, said) => (daemon(*n), Party::Instance(*i), said.clone().into_bytes()),
            Event::FromInstance(n, _, _, i, said) => (Party::Instance(*i), daemon(*n), text(said)),
            Event::ToClient(_, sid, said) => (serving(sid), Party::Session(*sid), text(said)),
            Event::FromClient(sid, said) => (Party::Session(*sid), serving(sid), text(said)),
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

    /// Bytes a second since the mark: the foragers' mean, and the most that one daemon has sent.
    pub fn upkeep(&self) -> (f64, f64) {
        let span = self.marked.map_or(1.0, |at| (self.now - at).as_secs_f64());
        let foragers = self.sent.iter().skip(self.queens);
        let mean = foragers.sum::<u64>() as f64 / (self.nodes.len() - self.queens).max(1) as f64;
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
        let listed = (0..self.queens).filter(|q| self.nodes.get(*q).map_or(*q < self.founders, |n| !n.gone));
        let seeds: Vec<String> = listed.take(3).map(|q| format!("\"{}:80\"", address(q))).collect();
        let text = format!(
            "node-name = \"n{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\ninternal-ports = [7000, 7001]\nseed-nodes = [{}]\nbootstrap = {bootstrap}\nin-quorum = {}\nbeat-ms = 1200\n[tolerance]\nmachines = {}\n[listen]\ncontrol = \"{ip}:80\"\n[platform]\naddress = \"10.8.0.1:80\"\n",
            node % 3,
            seeds.join(","),
            node < self.queens,
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
        node.life += 1;
        node.tick_at = None;
        match &mut node.kind {
            Kind::Queen(q) => {
                q.royal = Some(Box::new(Royal::new(now, &settings, q.disk.clone(), rng)));
                (q.written, q.durable, q.syncing) = (0, 0, false);
                self.applied[n] = 0;
            }
            Kind::Forager(f) => {
                let card = Card {
                    name: settings.node_name.clone(),
                    ip: settings.ip,
                    zone: settings.zone.clone(),
                    control: None,
                    age: 0,
                };
                let seeds = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
                f.field = Some(Box::new(Field::new(
                    now,
                    &settings.node_name,
                    &settings.zone,
                    settings.timing_bounds.clone(),
                    seed,
                )));
                f.relay = Some(Box::new(Relay::new(now, Views::new(card, rng), seeds, false, LINK_MBPS)));
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
        node.life += 1;
        let mut keep = usize::MAX;
        if power {
            keep = self.rng.usize(0..3);
        }
        match &mut node.kind {
            Kind::Queen(q) => {
                q.royal = None;
                let writes: Vec<Write> = q.writes.drain(..).map(|(_, w)| w).take(keep).collect();
                for write in writes {
                    q.disk.take(write);
                }
                q.held.clear();
            }
            Kind::Forager(f) => {
                f.field = None;
                f.relay = None;
            }
        }
        let through = |sid: &u64| self.splices.get(sid).is_some_and(|(door, _)| *door == n);
        let ended: Vec<u64> =
            self.sessions.iter().filter(|(sid, (f, _))| *f == n || through(sid)).map(|(s, _)| *s).collect();
        for sid in ended {
            // The forager that a carried session came to has the last word.
            if let Some((door, splice)) = self.splices.get_mut(&sid)
                && *door != n
            {
                let last = splice.sever();
                self.tell(sid, self.lag, last);
            }
            let rests = |(_, s): &(usize, Splice)| s.may_close(self.base + self.now, Phase::Serves, false);
            if self.splices.get(&sid).is_none_or(|s| s.0 == n || rests(s)) {
                self.hang_up(sid);
            } else {
                self.plan(self.now + Duration::from_millis(200), &format!("severed {sid}"));
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
        if let Kind::Queen(q) = &mut self.nodes[n].kind {
            q.disk = Stored { id, ..Stored::default() };
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| match &n.kind {
            Kind::Queen(Queen { royal: Some(r), .. }) if r.raft().role() == Role::Leader => Some(r.raft().term()),
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

    fn live(&self, n: usize, life: u32) -> bool {
        self.nodes[n].up && self.nodes[n].life == life
    }

    fn handle(&mut self, event: Event) {
        // A frozen process takes things up when it thaws.
        let frozen = match &event {
            Event::Tick(n, _)
            | Event::Dance(_, n, ..)
            | Event::Synced(n, ..)
            | Event::FromInstance(n, ..)
            | Event::Probed(n, ..)
            | Event::Called(n, ..) => self.nodes[*n].frozen,
            Event::FromClient(sid, _) => self.sessions.get(sid).is_some_and(|(n, _)| self.nodes[*n].frozen),
            _ => false,
        };
        if let Event::FromClient(sid, text) = &event {
            let waits = frozen && text.is_some();
            if waits {
                self.unread.insert(*sid)
            } else {
                self.unread.remove(sid)
            };
        }
        if frozen {
            return self.schedule(Duration::from_millis(20), event);
        }
        let now = self.at();
        match event {
            Event::Tick(n, life) => {
                if self.live(n, life) {
                    self.nodes[n].tick_at = None;
                    self.tick(n);
                }
            }
            Event::Dance(from, n, life, dance) => {
                if self.live(n, life) && !self.cuts.contains(&(from, n)) {
                    let ip = self.nodes[from].ip;
                    match &mut self.nodes[n].kind {
                        Kind::Queen(Queen { royal: Some(royal), .. }) => royal.dance(now, ip, *dance),
                        Kind::Forager(Forager { field: Some(field), relay: Some(relay), .. }) => {
                            match relay.receive(now, ip, *dance) {
                                Some(Dance::Grant(grant)) => {
                                    relay.leader_answered(now, ip, grant.digests.as_ref());
                                    field.granted(now, ip, grant);
                                }
                                Some(Dance::Poured { nonce, span, term, pours }) => {
                                    field.poured(now, nonce, span, term, pours)
                                }
                                Some(Dance::Led { leader }) => field.led(now, leader),
                                Some(Dance::Recall { service, epoch }) => field.recalled(now, ip, &service, epoch),
                                _ => {}
                            }
                        }
                        _ => {}
                    }
                    self.drain(n);
                }
            }
            Event::Synced(n, life, number) => {
                if self.live(n, life)
                    && let Kind::Queen(q) = &mut self.nodes[n].kind
                {
                    while q.writes.front().is_some_and(|(w, _)| *w <= number) {
                        if let Some((_, write)) = q.writes.pop_front() {
                            q.disk.take(write);
                        }
                    }
                    q.durable = number;
                    q.syncing = false;
                    if let Some(royal) = &mut q.royal {
                        royal.durable(now, number);
                    }
                    self.drain(n);
                }
            }
            Event::ToInstance(n, life, conn, i, text) => self.reach_instance(n, life, conn, i, &text),
            Event::FromInstance(n, life, conn, i, text) => {
                if !self.live(n, life) || self.instances[i].dark {
                    return;
                }
                if let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[n].kind {
                    match text {
                        Some(text) => field.instance_bytes(now, conn, text.as_bytes()),
                        None => {
                            self.conns.remove(&(n, life, conn));
                            field.instance_gone(now, conn);
                        }
                    }
                }
                self.drain(n);
            }
            Event::Probed(n, life, token, result) => {
                if self.live(n, life) {
                    if let Kind::Queen(Queen { royal: Some(royal), .. }) = &mut self.nodes[n].kind {
                        royal.probed(now, token, result);
                    }
                    self.drain(n);
                }
            }
            Event::Called(n, life, token, status) => {
                if self.live(n, life) {
                    if let Kind::Queen(Queen { royal: Some(royal), .. }) = &mut self.nodes[n].kind {
                        royal.called(now, token, status);
                    }
                    self.drain(n);
                }
            }
            Event::Promote(i) => self.promote(i),
            Event::Beat(i) => self.beat(i),
            Event::ToClient(c, sid, text) => self.client_hears(c, sid, text),
            Event::FromClient(sid, text) => {
                let Some((n, _)) = self.sessions.get(&sid).copied() else { return };
                if let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[n].kind {
                    match text {
                        Some(text) => field.client_bytes(now, sid, text.as_bytes()),
                        None => field.client_gone(now, sid),
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
            Kind::Queen(Queen { royal: Some(royal), .. }) => royal.tick(now, wall),
            Kind::Forager(Forager { field: Some(field), relay: Some(relay), .. }) => {
                relay.tick(now);
                field.tick(now, wall.as_secs() / 5);
            }
            _ => {}
        }
        self.drain(n);
    }

    /// Performs a daemon's effects and arms its next tick.
    fn drain(&mut self, n: usize) {
        let now = self.at();
        let life = self.nodes[n].life;
        let due = match &mut self.nodes[n].kind {
            Kind::Queen(q) => {
                let Some(royal) = &mut q.royal else { return };
                let effects = royal.effects();
                let due = royal.wake(now);
                let (role, term) = (royal.raft().role(), royal.raft().term());
                let mut ready = Vec::new();
                for effect in effects {
                    match effect {
                        royal::Effect::Write(number, write) => {
                            q.written = number;
                            q.writes.push_back((number, write));
                        }
                        royal::Effect::Send(to, dance, after) if after > q.durable => q.held.push((after, to, dance)),
                        effect => ready.push(effect),
                    }
                }
                let (out, waiting) = q.held.drain(..).partition(|(after, ..)| *after <= q.durable);
                q.held = waiting;
                let out: Vec<_> = out;
                ready.extend(out.into_iter().map(|(after, to, dance)| royal::Effect::Send(to, dance, after)));
                let sync = !q.syncing && !q.writes.is_empty();
                q.syncing |= sync;
                let written = q.written;
                if sync {
                    self.after(self.sync, Event::Synced(n, life, written));
                }
                if role == Role::Leader {
                    self.judge.leads(self.now, term, n);
                }
                self.check_applied(n);
                for effect in ready {
                    self.royal_effect(n, life, effect);
                }
                due
            }
            Kind::Forager(f) => {
                let (Some(field), Some(relay)) = (&mut f.field, &mut f.relay) else { return };
                field.heard_news(now, relay);
                let news = relay.news();
                if !news.is_empty() {
                    field.learn(now, &news);
                }
                let mut sends: Vec<(Ipv4Addr, Dance)> = relay.messages();
                let mut effects = Vec::new();
                loop {
                    field.settle(now);
                    let more = field.effects();
                    if more.is_empty() {
                        break;
                    }
                    effects.extend(more);
                }
                let due = field.next_due().min(relay.next_due());
                if field.revision() > 0 && field.revision() < f.floor {
                    let what = format!("CONFIG: n{n} begins with {}, {} was in force", field.revision(), f.floor);
                    self.judge.breaks(self.now, what);
                }
                let back = field.revision() < f.revision;
                f.revision = field.revision();
                if back {
                    self.judge.breaks(self.now, format!("CONFIG: n{n} goes back"));
                }
                for effect in effects {
                    match effect {
                        field::Effect::Send(to, dance) => sends.push((to, dance)),
                        effect => self.field_effect(n, life, effect),
                    }
                }
                for (to, dance) in sends {
                    self.post(n, to, dance);
                }
                due
            }
        };
        let at = due.saturating_duration_since(self.base).max(self.now + Duration::from_micros(200));
        if self.nodes[n].tick_at.is_none_or(|t| at < t) {
            self.nodes[n].tick_at = Some(at);
            self.after(at - self.now, Event::Tick(n, life));
        }
    }

    fn check_applied(&mut self, n: usize) {
        let Kind::Queen(Queen { royal: Some(royal), .. }) = &self.nodes[n].kind else { return };
        let (index, from) = (royal.ledger().index, self.applied[n]);
        let entries: Vec<(u64, Entry)> =
            (from + 1..=index).filter_map(|i| royal.raft().entry(i).map(|e| (i, e.clone()))).collect();
        self.applied[n] = index;
        for (i, entry) in entries {
            self.judge.applies(self.now, i, &entry);
        }
    }

    fn post(&mut self, from: usize, to: Ipv4Addr, dance: Dance) {
        let Some(n) = self.node_of(to) else { return };
        if !self.nodes[n].up || self.cuts.contains(&(from, n)) {
            return;
        }
        if self.marked.is_some() {
            self.sent[from] += dance::encode(&dance).len() as u64;
        }
        let (delay, life) = (self.delay(), self.nodes[n].life);
        self.after(delay, Event::Dance(from, n, life, Box::new(dance)));
    }

    fn royal_effect(&mut self, n: usize, life: u32, effect: royal::Effect) {
        let from = Party::Daemon(self.nodes[n].ip);
        match effect {
            royal::Effect::Send(to, dance, _) => self.post(n, to, dance),
            royal::Effect::Reply(token, response) => {
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
            royal::Effect::Probe { token, instance, text } => {
                let i = self.instances.iter().position(|i| i.id == instance.id && i.up && !i.dark);
                let result = match i {
                    None if self.idle.iter().any(|i| i.id == instance.id) => {
                        Probed::Status { primary: true, term: 1, received: Position { term: 1, number: 0 } }
                    }
                    None => Probed::Failed,
                    Some(i) => {
                        let key = u64::MAX - token;
                        let hello = format!("CONNECT {SERVICE} - {}\r\nQUERY - {text}\r\n", instance.id);
                        self.instances[i].follow(self.now, &self.log);
                        let (answer, _) = self.instances[i].take(self.now, key, &hello, &mut self.log, &mut self.judge);
                        self.instances[i].lines.remove(&key);
                        answer
                            .split("ROW ")
                            .nth(1)
                            .map_or(Probed::Failed, |row| Probed::read(row.split("\r\n").next().unwrap_or_default()))
                    }
                };
                let patience = if i.is_none() { Duration::from_millis(100) } else { Duration::from_millis(3) };
                self.after(patience, Event::Probed(n, life, token, result));
            }
            royal::Effect::Call { token, path, fence, body } => {
                self.trace_sent(from, Party::Platform, format!("{path} {fence} {body}").as_bytes());
                let status = if !self.platform_up { None } else { Some(self.platform(n, path, fence, &body)) };
                let patience = if status.is_none() { Duration::from_millis(300) } else { Duration::from_millis(4) };
                self.after(patience, Event::Called(n, life, token, status));
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
            let at: Vec<usize> = (0..self.queens).filter(|q| self.nodes[*q].up && !self.nodes[*q].frozen).collect();
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
        if let Kind::Queen(Queen { royal: Some(royal), .. }) = &mut self.nodes[q].kind {
            royal.request(now, token, request);
        }
        self.drain(q);
    }

    fn field_effect(&mut self, n: usize, life: u32, effect: field::Effect) {
        match effect {
            field::Effect::ToClient(sid, mut text) => {
                if let Some((door, splice)) = self.splices.get_mut(&sid) {
                    let heard = splice.carrier_said(text.as_bytes());
                    text = String::from_utf8_lossy(&heard.down).into_owned();
                    let door = *door;
                    if let (Some(seen), Kind::Forager(Forager { field: Some(field), .. })) =
                        (heard.seen, &mut self.nodes[door].kind)
                    {
                        field.require(seen);
                    }
                    let (now, phase) = (self.base + self.now, self.phase(door));
                    let closes = |(_, s): &(usize, Splice)| s.may_close(now, phase, true);
                    let answered = !text.is_empty() && self.splices.get(&sid).is_some_and(closes);
                    self.tell(sid, self.lag, text);
                    if heard.part || answered {
                        self.part(sid);
                    }
                    return;
                }
                self.tell(sid, self.lag, text);
            }
            field::Effect::CloseClient(sid) => self.hang_up(sid),
            field::Effect::Part(sid) => self.part(sid),
            field::Effect::Open(conn, address) => {
                let i = self.instances.iter().position(|i| i.address() == address.to_string());
                match i {
                    Some(i) if self.instances[i].up || self.instances[i].dark => {
                        self.conns.insert((n, life, conn), i);
                    }
                    _ => self.after(Duration::from_millis(1), Event::FromInstance(n, life, conn, 0, None)),
                }
            }
            field::Effect::ToInstance(conn, text) => {
                if let Some(i) = self.conns.get(&(n, life, conn)).copied() {
                    let delay = self.delay();
                    self.after(delay, Event::ToInstance(n, life, conn, i, text));
                }
            }
            field::Effect::CloseInstance(conn) => {
                if let Some(i) = self.conns.remove(&(n, life, conn)) {
                    self.instances[i].lines.remove(&line_key((n, life, conn)));
                }
            }
            field::Effect::Send(..) | field::Effect::Note(_) => {}
        }
    }

    /// A session's client hears something, if there is something.
    fn tell(&mut self, sid: u64, delay: Duration, text: String) {
        if let Some((_, c)) = self.sessions.get(&sid).copied()
            && !text.is_empty()
        {
            self.after(delay, Event::ToClient(c, sid, Some(text)));
        }
    }

    /// A session's client learns of the end; whoever serves it too.
    fn hang_up(&mut self, sid: u64) {
        if let Some((_, c)) = self.sessions.get(&sid).copied() {
            self.after(self.lag, Event::ToClient(c, sid, None));
            self.after(Duration::ZERO, Event::FromClient(sid, None));
        }
        self.splices.remove(&sid);
    }

    /// Closes a session unless something has come that was not read yet.
    fn part(&mut self, sid: u64) {
        if !self.unread.contains(&sid) {
            return self.hang_up(sid);
        }
        let now = self.at();
        let Some((n, _)) = self.sessions.get(&sid).copied() else { return };
        if let Some((_, splice)) = self.splices.get_mut(&sid) {
            splice.gait.stirs(now);
        } else if let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[n].kind {
            field.stirs(now, sid);
        }
    }

    fn phase(&self, n: usize) -> Phase {
        match &self.nodes[n].kind {
            Kind::Forager(Forager { left: Some((since, _)), .. }) => Phase::after(self.now - *since, GRACE),
            _ => Phase::Serves,
        }
    }

    /// One look of a leaving forager at the sessions that came to it.
    fn leaving_turn(&mut self, n: usize) {
        let (now, phase) = (self.at(), self.phase(n));
        let Kind::Forager(Forager { field: Some(field), left: Some((since, again)), .. }) = &mut self.nodes[n].kind
        else {
            return;
        };
        let (since, again) = (*since, *again);
        let through: Vec<u64> = self.splices.iter().filter(|(_, (door, _))| *door == n).map(|(s, _)| *s).collect();
        let idle = through.is_empty() && self.sessions.values().all(|(f, _)| *f != n);
        if phase == Phase::Over || (idle && self.now - since > LATECOMERS) {
            self.stop(n, false);
            if again {
                self.plan(self.now + Duration::from_millis(300), &format!("add forager{}", n - self.queens));
            }
            return;
        }
        match phase {
            Phase::Ends => field.finish(now),
            _ => field.close_resting(now, phase),
        }
        let mut closed = 0;
        for sid in through {
            let Some((_, splice)) = self.splices.get_mut(&sid) else { continue };
            let cuts = phase == Phase::Ends || (phase == Phase::Cuts && splice.is_open());
            let last = if cuts && !splice.is_severed() { splice.sever() } else { String::new() };
            let may = splice.may_close(now, phase, false) && (closed < CLOSED_AT_ONCE || phase == Phase::Ends);
            self.tell(sid, self.lag, last);
            if may {
                closed += 1;
                self.part(sid);
            }
        }
        self.drain(n);
        self.plan(self.now + Duration::from_millis(50), &format!("turn {n}"));
    }

    fn reach_instance(&mut self, n: usize, life: u32, conn: u64, i: usize, text: &str) {
        if self.conns.get(&(n, life, conn)) != Some(&i) || self.instances[i].dark {
            return;
        }
        if !self.instances[i].up {
            self.conns.remove(&(n, life, conn));
            return self.after(Duration::from_millis(1), Event::FromInstance(n, life, conn, i, None));
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
            self.instances[i].take(self.now, line_key((n, life, conn)), text, &mut self.log, &mut self.judge);
        let lost = self.instances[i].lose && text.contains("QUERY c") && self.rng.u32(0..6) == 0;
        if !answer.is_empty() && !lost {
            let delay = WORK + self.delay();
            self.after(delay, Event::FromInstance(n, life, conn, i, Some(answer)));
        }
        if end {
            self.after(WORK * 2, Event::FromInstance(n, life, conn, i, None));
        }
    }

    // ---- clients ----------------------------------------------------------------------------

    fn client_next(&mut self, c: usize) {
        if !self.clients_on || self.clients[c].session.is_some() || !self.clients[c].script.is_empty() {
            return;
        }
        let up: Vec<usize> = (self.queens..self.nodes.len())
            .filter(|n| match &self.nodes[*n].kind {
                Kind::Forager(Forager { field: Some(field), .. }) => field.ready(self.base + self.now),
                _ => false,
            })
            .collect();
        if up.is_empty() {
            return self.after(Duration::from_millis(200), Event::Client(c));
        }
        let mut n = up[self.rng.usize(0..up.len())];
        let sid = self.next_session;
        self.next_session += 1;
        let key = self.keys[c % self.keys.len()].clone();
        let hello = format!("CONNECT {} {key}\r\n", ROUTES[self.clients[c].route]);
        let (homes, newest) = match &self.nodes[n].kind {
            Kind::Forager(Forager { field: Some(field), .. }) => (field.homes(&hello), field.newest()),
            _ => (Vec::new(), 0),
        };
        // The first carrier that can be reached, or the forager itself.
        for ip in homes {
            let Some(home) = self.node_of(ip) else { continue };
            if !self.nodes[home].up || self.cuts.contains(&(n, home)) {
                continue;
            }
            if let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[home].kind
                && field.accept_carried(sid)
            {
                self.splices.insert(sid, (n, Splice::new(newest)));
                self.carried += 1;
                let told = carry::revision_line(newest);
                self.after(Duration::from_millis(2), Event::FromClient(sid, Some(told)));
                n = home;
                break;
            }
        }
        self.sessions.insert(sid, (n, c));
        if !self.splices.contains_key(&sid)
            && let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[n].kind
        {
            field.accept(sid);
        }
        let client = &mut self.clients[c];
        client.forager = n;
        client.session = Some(sid);
        client.values.clear();
        client.asked = Some((String::new(), "CONNECT".into()));
        client.reply.clear();
        self.client_sends(sid, Some(hello));
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
        let Some(sid) = client.session else { return };
        let Some((id, text)) = client.script.pop_front() else {
            // The operation has succeeded.
            self.judge.served += 1;
            for id in self.clients[c].write_ids.clone() {
                self.judge.ends.insert(id, End::Acked);
            }
            self.clients[c].asked = None;
            let pause = Duration::from_millis(self.rng.u64(20..120));
            return self.after(pause, Event::ToClient(c, sid, Some(String::new())));
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
        self.client_sends(sid, Some(format!("QUERY {id} {text}\r\n")));
    }

    /// What a client sends, by way of the forager that it came to.
    fn client_sends(&mut self, sid: u64, text: Option<String>) {
        let now = self.at();
        let text = match (text, self.splices.get_mut(&sid)) {
            (Some(text), Some((_, splice))) if splice.is_severed() => {
                let last = splice.refuse(now, text.as_bytes());
                let ends = splice.may_close(now, Phase::Serves, true);
                if let Some((_, c)) = self.sessions.get(&sid).copied()
                    && !last.is_empty()
                {
                    self.after(self.lag * 2, Event::ToClient(c, sid, Some(last)));
                    if ends {
                        self.after(self.lag * 2, Event::ToClient(c, sid, None));
                    }
                }
                return;
            }
            (Some(text), Some((door, splice))) => {
                let Kind::Forager(Forager { field: Some(field), .. }) = &self.nodes[*door].kind else { return };
                Some(String::from_utf8_lossy(&splice.client_said(now, text.as_bytes(), field.newest())).into_owned())
            }
            (text, _) => text,
        };
        self.after(self.lag, Event::FromClient(sid, text));
    }

    fn client_hears(&mut self, c: usize, sid: u64, text: Option<String>) {
        if self.clients[c].session != Some(sid) {
            return;
        }
        let Some(text) = text else { return self.client_cut(c, sid) };
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
            return self.client_fails(c, sid, &code);
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
                    self.judge.acks.push((self.now, format!("s{sid}"), t, n));
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

    fn client_cut(&mut self, c: usize, sid: u64) {
        let asked = self.clients[c].asked.take();
        self.sessions.remove(&sid);
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

    fn client_fails(&mut self, c: usize, sid: u64, code: &str) {
        let promise = brood::request::verdict::is_promise(code);
        let end = if promise || !self.clients[c].commit_sent { End::Promised } else { End::Unclear };
        self.note_end(c, end);
        self.clients[c].script.clear();
        let again = end == End::Promised && self.clients[c].tries < 3;
        // A fresh session: the failed try may have left a transaction behind.
        self.after(Duration::from_millis(1), Event::FromClient(sid, None));
        self.sessions.remove(&sid);
        if let Kind::Forager(Forager { field: Some(field), .. }) = &mut self.nodes[self.clients[c].forager].kind {
            field.client_gone(self.base + self.now, sid);
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

    fn any_queen(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.queens).filter(|q| self.nodes[*q].up && !self.nodes[*q].frozen).collect();
        (!up.is_empty()).then(|| up[self.rng.usize(0..up.len())])
    }

    fn target(&self, who: &str) -> Vec<usize> {
        match who {
            "leader" => self.leader().into_iter().collect(),
            "follower" => (0..self.queens).find(|q| Some(*q) != self.leader()).into_iter().collect(),
            "followers" => (0..self.queens).filter(|q| Some(*q) != self.leader()).collect(),
            "queens" => (0..self.queens).collect(),
            "foragers" => (self.queens..self.nodes.len()).collect(),
            _ => match who.strip_prefix("queen").map(str::parse::<usize>) {
                Some(Ok(n)) => vec![n],
                _ => who
                    .strip_prefix("forager")
                    .and_then(|n| n.parse::<usize>().ok())
                    .map(|n| self.queens + n)
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
                    if let Some(q) = self.any_queen() {
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
                if let Some(q) = self.any_queen() {
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
                    if let Some(q) = self.any_queen() {
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
                if let (Some(i), Some(q)) = (replica, self.any_queen()) {
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
                // From the other queens only: foragers, instances and operators reach it on.
                let reach = if words.get(2) == Some(&"core") { self.queens } else { self.nodes.len() };
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
                    let Kind::Forager(f) = &mut self.nodes[n].kind else { continue };
                    let Some(field) = &mut f.field else { continue };
                    if f.left.is_none() {
                        f.left = Some((at, again));
                        field.leave(now);
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
                    self.plan(self.now + gap * at as u32, &format!("restart forager{}", n - self.queens));
                }
            }
            "severed" => {
                let sid: u64 = who.parse().unwrap_or(0);
                let now = self.at();
                if let Some((_, splice)) = self.splices.get(&sid) {
                    if splice.may_close(now, Phase::Serves, false) {
                        self.part(sid);
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
        for (n, life, conn) in conns {
            self.after(Duration::from_millis(1), Event::FromInstance(n, life, conn, i, None));
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
                Kind::Queen(Queen { royal: Some(royal), .. }) => royal.ledger().revision(),
                Kind::Forager(Forager { field: Some(field), .. }) => field.revision(),
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

    fn leading(&self) -> Option<&Royal> {
        match &self.nodes[self.leader()?].kind {
            Kind::Queen(Queen { royal: Some(royal), .. }) => Some(royal),
            _ => None,
        }
    }

    /// The service's epoch, by the leader's ledger.
    pub fn epoch(&self) -> u64 {
        self.leading().and_then(|r| r.ledger().epochs.get(SERVICE)).map_or(0, |e| e.epoch)
    }

    pub fn voters(&self) -> Vec<usize> {
        let Some(royal) = self.leading() else { return Vec::new() };
        royal.raft().voters().iter().filter_map(|v| self.node_of(v.ip)).collect()
    }
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1)
}

fn line_key((n, life, conn): (usize, u32, u64)) -> u64 {
    ((n as u64) << 48) | (u64::from(life) << 32) | conn
}

fn word_of(text: &str) -> String {
    text.split([' ', '\r']).next().unwrap_or_default().to_owned()
}
