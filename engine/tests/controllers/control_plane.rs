//! A small control plane on simulated time: links that can be cut, disks, frozen processes, and callers from outside.

use lichenfield_engine::process::consensus::{PersistentState, Role, Write};
use lichenfield_engine::process::controller::{Controller, Effect, Request, RequestToken, Response};
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How long a message takes between controllers.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// How long a sync of a disk takes.
const SYNC_DURATION: Duration = Duration::from_millis(2);
/// How many messages a kernel holds for a process that does not read.
const MAX_UNREAD_MESSAGES: usize = 24;

enum Event {
    Tick,
    Deliver(Ipv4Addr, Box<PeerMessage>),
    Synced(u64),
}

/// An event, and whose it is; void when the node has been restarted since.
struct ScheduledEvent {
    node: usize,
    incarnation: u64,
    event: Event,
}

struct NumberedWrite {
    number: u64,
    write: Write,
}

/// A message that waits for a write to be durable.
struct HeldMessage {
    after_write: u64,
    to: Ipv4Addr,
    message: PeerMessage,
}

/// A controller's process and disk.
struct Node {
    controller: Option<Controller>,
    disk: PersistentState,
    writes: VecDeque<NumberedWrite>,
    held: Vec<HeldMessage>,
    durable_write: u64,
    syncing: bool,
    incarnation: u64,
    /// While it is frozen: the messages that came.
    unread: Option<Vec<(Ipv4Addr, PeerMessage)>>,
    tick_at: Option<Instant>,
}

/// The answer to a call.
pub struct Reply {
    pub at: Instant,
    pub response: Response,
}

/// A message to a daemon that is no controller.
#[derive(Debug)]
pub struct SentMessage {
    pub from: usize,
    pub to: Ipv4Addr,
    pub message: PeerMessage,
}

pub struct ControlPlane {
    pub now: Instant,
    started_at: Instant,
    nodes: Vec<Node>,
    events: BTreeMap<(Instant, u64), ScheduledEvent>,
    /// The last number given to an event or a call.
    last_number: u64,
    cut_links: BTreeSet<(usize, usize)>,
    /// The log's messages come to this node so much later.
    pub raft_delay: Option<(usize, Duration)>,
    pub replies: BTreeMap<RequestToken, Reply>,
    /// The messages to daemons that are no controllers.
    pub sent_outside: Vec<SentMessage>,
}

/// A controller's address.
pub fn controller_ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

/// Some pooler's address.
pub fn pooler_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 9, number)
}

fn settings(node: usize, controllers: usize, bootstrap: bool) -> Settings {
    let seeds: Vec<String> = (0..controllers.min(3)).map(|seed| format!("\"{}:80\"", controller_ip(seed))).collect();
    let text = format!(
        "node-name = \"q{node}\"\nip = \"{0}\"\nzone = \"z\"\ninternal-ports = [7000, 7001]\nseed-nodes = [{1}]\n\
         bootstrap = {bootstrap}\nin-quorum = true\n[tolerance]\nmachines = 1\n[listen]\ncontrol = \"{0}:80\"\n",
        controller_ip(node),
        seeds.join(",")
    );
    Settings::read(&text).expect("the harness's own settings")
}

/// A configuration with one service.
pub fn document(revision: u64, service: &str) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[{{"name":"{service}"}}]}}"#).into_bytes()
}

fn request(method: &str, path: &str, body: &[u8]) -> Request {
    Request { method: method.into(), path: path.into(), if_match: None, body: body.to_vec() }
}

impl Node {
    /// A node with an empty disk that does not run yet.
    fn new(id: u64) -> Self {
        Node {
            controller: None,
            disk: PersistentState { id, ..PersistentState::default() },
            writes: VecDeque::new(),
            held: Vec::new(),
            durable_write: 0,
            syncing: false,
            incarnation: 0,
            unread: None,
            tick_at: None,
        }
    }

    /// The term that the controller leads, if it leads.
    fn leading_term(&self) -> Option<u64> {
        let raft = self.controller.as_ref()?.raft();
        (raft.role() == Role::Leader).then_some(raft.term())
    }
}

impl ControlPlane {
    /// A control plane with a leader.
    pub fn new(controllers: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(3600);
        let mut control_plane = ControlPlane {
            now,
            started_at: now,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            last_number: 0,
            cut_links: BTreeSet::new(),
            raft_delay: None,
            replies: BTreeMap::new(),
            sent_outside: Vec::new(),
        };
        for node in 0..controllers {
            control_plane.nodes.push(Node::new(node as u64 + 1));
            control_plane.start(node, controllers, true);
        }
        control_plane.run(3000);
        control_plane.leader();
        control_plane
    }

    fn start(&mut self, n: usize, controllers: usize, bootstrap: bool) {
        let settings = settings(n, controllers, bootstrap);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        let rng = fastrand::Rng::with_seed(100 * node.incarnation + n as u64);
        node.controller = Some(Controller::new(self.now, &settings, node.disk.clone(), rng));
        node.durable_write = 0;
        node.syncing = false;
        node.tick_at = None;
        self.perform_effects(n);
    }

    pub fn stop(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.controller = None;
        node.incarnation += 1;
        for write in node.writes.drain(..) {
            node.disk.apply(write.write);
        }
        node.held.clear();
    }

    pub fn restart(&mut self, n: usize) {
        self.stop(n);
        self.start(n, self.nodes.len(), false);
    }

    pub fn controller(&self, n: usize) -> &Controller {
        self.nodes[n].controller.as_ref().expect("it runs")
    }

    /// The controller that leads the highest term.
    pub fn leader(&self) -> usize {
        let leaders = self.nodes.iter().enumerate().filter_map(|(n, node)| Some((node.leading_term()?, n)));
        leaders.max().expect("a controller leads").1
    }

    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (0..self.nodes.len()).filter(|n| *n != leader).collect()
    }

    /// Cuts all links between these controllers and the others; daemons outside reach all of them.
    pub fn isolate(&mut self, isolated: &[usize]) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if isolated.contains(&from) != isolated.contains(&to) {
                    self.cut_links.insert((from, to));
                }
            }
        }
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Whether such a message is on its way to a controller.
    pub fn is_in_flight(&self, to: usize, matches: impl Fn(&PeerMessage) -> bool) -> bool {
        self.events.values().any(|scheduled| match &scheduled.event {
            Event::Deliver(_, message) => scheduled.node == to && matches(message),
            _ => false,
        })
    }

    pub fn freeze(&mut self, n: usize) {
        self.nodes[n].unread = Some(Vec::new());
    }

    /// The process runs again; the messages that came meanwhile are read only by [`ControlPlane::read`].
    pub fn thaw(&mut self, n: usize) -> Vec<(Ipv4Addr, PeerMessage)> {
        self.nodes[n].tick_at = None;
        self.nodes[n].unread.take().unwrap_or_default()
    }

    pub fn read(&mut self, n: usize, unread: Vec<(Ipv4Addr, PeerMessage)>) {
        for (from, message) in unread {
            self.deliver(from, n, message);
        }
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some(key) = self.events.keys().next().copied().filter(|(at, _)| *at <= until) {
            let Some(ScheduledEvent { node: n, incarnation, event }) = self.events.remove(&key) else { continue };
            self.now = self.now.max(key.0);
            if self.nodes[n].incarnation != incarnation || self.nodes[n].controller.is_none() {
                continue;
            }
            match &mut self.nodes[n].unread {
                Some(_) => self.handle_event_frozen(n, event),
                None => self.handle_event(n, event),
            }
        }
        self.now = until;
    }

    /// What happens around a frozen process.
    fn handle_event_frozen(&mut self, n: usize, event: Event) {
        let unread = self.nodes[n].unread.as_mut().expect("it is frozen");
        match event {
            Event::Deliver(from, message) if unread.len() < MAX_UNREAD_MESSAGES => unread.push((from, *message)),
            Event::Synced(number) => self.schedule(MESSAGE_DELAY * 10, n, Event::Synced(number)),
            _ => {}
        }
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        match event {
            Event::Tick => {
                self.nodes[n].tick_at = None;
                self.tick(n);
            }
            Event::Deliver(from, message) => self.deliver(from, n, *message),
            Event::Synced(number) => self.finish_sync(n, number),
        }
    }

    fn finish_sync(&mut self, n: usize, number: u64) {
        let (node, now) = (&mut self.nodes[n], self.now);
        while node.writes.front().is_some_and(|write| write.number <= number) {
            let durable = node.writes.pop_front().expect("there is a first write");
            node.disk.apply(durable.write);
        }
        node.durable_write = number;
        node.syncing = false;
        if let Some(controller) = &mut node.controller {
            controller.on_write_durable(now, number);
        }
        self.perform_effects(n);
    }

    /// The controller is asked to end.
    pub fn begin_shutdown(&mut self, n: usize) {
        let now = self.now;
        if let Some(controller) = &mut self.nodes[n].controller {
            controller.begin_shutdown(now);
        }
        self.perform_effects(n);
    }

    pub fn tick(&mut self, n: usize) {
        let (now, wall_clock) = (self.now, self.now.duration_since(self.started_at));
        if let Some(controller) = &mut self.nodes[n].controller {
            controller.tick(now, wall_clock);
        }
        self.perform_effects(n);
    }

    /// A message reaches a controller now.
    pub fn deliver(&mut self, from: Ipv4Addr, n: usize, message: PeerMessage) {
        let now = self.now;
        if let Some(controller) = &mut self.nodes[n].controller {
            controller.handle_peer_message(now, from, message);
        }
        self.perform_effects(n);
    }

    /// A call from outside; its answer comes among the replies.
    pub fn request(&mut self, n: usize, request: Request) -> RequestToken {
        self.last_number += 1;
        let (token, now) = (self.last_number, self.now);
        if let Some(controller) = &mut self.nodes[n].controller {
            controller.request(now, token, request);
        }
        self.perform_effects(n);
        token
    }

    pub fn get(&mut self, n: usize, path: &str) -> RequestToken {
        self.request(n, request("GET", path, b""))
    }

    pub fn delete(&mut self, n: usize, path: &str) -> RequestToken {
        self.request(n, request("DELETE", path, b""))
    }

    pub fn put_config(&mut self, n: usize, if_match: u64, body: &[u8]) -> RequestToken {
        self.put_config_if_match(n, Some(&if_match.to_string()), body)
    }

    /// With any text as `If-Match`.
    pub fn put_config_if_match(&mut self, n: usize, if_match: Option<&str>, body: &[u8]) -> RequestToken {
        let if_match = if_match.map(str::to_owned);
        self.request(n, Request { if_match, ..request("PUT", "/api/config", body) })
    }

    /// An instance's heartbeat.
    pub fn heartbeat(&mut self, n: usize, id: &str, status: &str, call_count: u64) -> RequestToken {
        let body = format!(
            r#"{{"service":"s","address":"10.1.0.1:1","zone":"z","status":"{status}","read-from":"replica","call-count":{call_count}}}"#
        );
        self.request(n, request("PUT", &format!("/api/instances/{id}"), body.as_bytes()))
    }

    /// The status that a call was answered with by now.
    pub fn status(&self, token: RequestToken) -> Option<u16> {
        self.replies.get(&token).map(|reply| reply.response.status)
    }

    fn schedule(&mut self, delay: Duration, n: usize, event: Event) {
        self.last_number += 1;
        let scheduled = ScheduledEvent { node: n, incarnation: self.nodes[n].incarnation, event };
        self.events.insert((self.now + delay, self.last_number), scheduled);
    }

    fn perform_effects(&mut self, n: usize) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        let Some(controller) = &mut node.controller else { return };
        let mut outgoing = Vec::new();
        for effect in controller.effects() {
            match effect {
                Effect::Write { number, write } => node.writes.push_back(NumberedWrite { number, write }),
                Effect::Send { to, message, after_write } if after_write > node.durable_write => {
                    node.held.push(HeldMessage { after_write, to, message });
                }
                Effect::Send { to, message, .. } => outgoing.push((to, message)),
                Effect::Reply(token, response) => {
                    self.replies.insert(token, Reply { at: now, response });
                }
                _ => {}
            }
        }
        let durable_write = node.durable_write;
        let released = node.held.extract_if(.., |held| held.after_write <= durable_write);
        outgoing.extend(released.map(|held| (held.to, held.message)));
        let next_wakeup = controller.next_wakeup(now);
        self.begin_sync(n);
        for (to, message) in outgoing {
            self.send(n, to, message);
        }
        if self.nodes[n].tick_at.is_none_or(|at| next_wakeup < at) {
            self.nodes[n].tick_at = Some(next_wakeup);
            self.schedule(next_wakeup - now, n, Event::Tick);
        }
    }

    /// One sync makes all writes durable that wait.
    fn begin_sync(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.syncing {
            return;
        }
        if let Some(last) = node.writes.back() {
            let number = last.number;
            node.syncing = true;
            self.schedule(SYNC_DURATION, n, Event::Synced(number));
        }
    }

    fn send(&mut self, from: usize, to: Ipv4Addr, message: PeerMessage) {
        match (0..self.nodes.len()).find(|node| controller_ip(*node) == to) {
            Some(node) if self.cut_links.contains(&(from, node)) => {}
            Some(node) => {
                let is_raft = matches!(message, PeerMessage::Raft(_));
                let extra = self.raft_delay.filter(|(delayed, _)| *delayed == node && is_raft);
                let delay = MESSAGE_DELAY + extra.map_or(Duration::ZERO, |(_, delay)| delay);
                self.schedule(delay, node, Event::Deliver(controller_ip(from), Box::new(message)));
            }
            None => self.sent_outside.push(SentMessage { from, to, message }),
        }
    }
}
