//! The controllers of a small core on simulated time: links that can be cut, disks, freezes, and callers from outside.

use lichenfield_engine::process::consensus::{PersistentState, Role, Write};
use lichenfield_engine::process::controller::{Controller, Effect, Request, Response, Token};
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const DELAY: Duration = Duration::from_millis(1);
const SYNC: Duration = Duration::from_millis(2);
/// What a kernel holds for a process that does not read.
const UNREAD: usize = 24;

enum Event {
    Tick,
    Hear(Ipv4Addr, Box<PeerMessage>),
    Synced(u64),
}

struct Seat {
    controller: Option<Controller>,
    disk: PersistentState,
    writes: VecDeque<(u64, Write)>,
    held: Vec<(u64, Ipv4Addr, PeerMessage)>,
    durable: u64,
    syncing: bool,
    incarnation: u64,
    /// What came while it was frozen.
    unread: Option<Vec<(Ipv4Addr, PeerMessage)>>,
    tick_at: Option<Instant>,
}

pub struct Core {
    pub now: Instant,
    began: Instant,
    seats: Vec<Seat>,
    events: BTreeMap<(Instant, u64), (usize, u64, Event)>,
    next: u64,
    cuts: BTreeSet<(usize, usize)>,
    /// The log's messages come to this one so much later.
    pub late: Option<(usize, Duration)>,
    pub replies: BTreeMap<Token, (Instant, Response)>,
    /// What was said to those who are no controllers.
    pub said: Vec<(usize, Ipv4Addr, PeerMessage)>,
}

pub fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

/// Some pooler's address.
pub fn outside(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 9, n)
}

fn settings(n: usize, controllers: usize, bootstrap: bool) -> Settings {
    let seeds: Vec<String> = (0..controllers.min(3)).map(|q| format!("\"{}:80\"", ip(q))).collect();
    let text = format!(
        "node-name = \"q{n}\"\nip = \"{0}\"\nzone = \"z\"\ninternal-ports = [7000, 7001]\nseed-nodes = [{1}]\n\
         bootstrap = {bootstrap}\nin-quorum = true\n[tolerance]\nmachines = 1\n[listen]\ncontrol = \"{0}:80\"\n",
        ip(n),
        seeds.join(",")
    );
    Settings::read(&text).expect("the harness's own settings")
}

pub fn document(revision: u64, service: &str) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[{{"name":"{service}"}}]}}"#).into_bytes()
}

impl Core {
    /// A core with a leader.
    pub fn new(controllers: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(3600);
        let mut core = Core {
            now,
            began: now,
            seats: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            cuts: BTreeSet::new(),
            late: None,
            replies: BTreeMap::new(),
            said: Vec::new(),
        };
        for n in 0..controllers {
            core.seats.push(Seat {
                controller: None,
                disk: PersistentState { id: n as u64 + 1, ..PersistentState::default() },
                writes: VecDeque::new(),
                held: Vec::new(),
                durable: 0,
                syncing: false,
                incarnation: 0,
                unread: None,
                tick_at: None,
            });
            core.start(n, controllers, true);
        }
        core.run(3000);
        core.leader();
        core
    }

    fn start(&mut self, n: usize, controllers: usize, bootstrap: bool) {
        let settings = settings(n, controllers, bootstrap);
        let seat = &mut self.seats[n];
        seat.incarnation += 1;
        let rng = fastrand::Rng::with_seed(100 * seat.incarnation + n as u64);
        seat.controller = Some(Controller::new(self.now, &settings, seat.disk.clone(), rng));
        (seat.durable, seat.syncing, seat.tick_at) = (0, false, None);
        self.perform(n);
    }

    pub fn stop(&mut self, n: usize) {
        let seat = &mut self.seats[n];
        seat.controller = None;
        seat.incarnation += 1;
        for (_, write) in seat.writes.drain(..) {
            seat.disk.apply(write);
        }
        seat.held.clear();
    }

    pub fn restart(&mut self, n: usize) {
        self.stop(n);
        self.start(n, self.seats.len(), false);
    }

    pub fn controller(&self, n: usize) -> &Controller {
        self.seats[n].controller.as_ref().expect("it runs")
    }

    /// Who leads the highest term.
    pub fn leader(&self) -> usize {
        let leads =
            |s: &Seat| s.controller.as_ref().filter(|r| r.raft().role() == Role::Leader).map(|r| r.raft().term());
        let all = self.seats.iter().enumerate().filter_map(|(n, s)| leads(s).map(|term| (term, n)));
        all.max().expect("somebody leads").1
    }

    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (0..self.seats.len()).filter(|n| *n != leader).collect()
    }

    /// Between these and all other controllers nothing goes through; outsiders reach everybody.
    pub fn cut(&mut self, some: &[usize]) {
        for a in 0..self.seats.len() {
            for b in 0..self.seats.len() {
                if some.contains(&a) != some.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether such a message is on its way to a controller.
    pub fn flies(&self, to: usize, what: impl Fn(&PeerMessage) -> bool) -> bool {
        self.events.values().any(|(n, _, event)| *n == to && matches!(event, Event::Hear(_, message) if what(message)))
    }

    pub fn freeze(&mut self, n: usize) {
        self.seats[n].unread = Some(Vec::new());
    }

    /// It wakes; what had come is read only by [`Core::read`].
    pub fn thaw(&mut self, n: usize) -> Vec<(Ipv4Addr, PeerMessage)> {
        self.seats[n].tick_at = None;
        self.seats[n].unread.take().unwrap_or_default()
    }

    pub fn read(&mut self, n: usize, unread: Vec<(Ipv4Addr, PeerMessage)>) {
        unread.into_iter().for_each(|(from, message)| self.say(from, n, message));
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some((at, number)) = self.events.keys().next().copied().filter(|(at, _)| *at <= until) {
            let Some((n, incarnation, event)) = self.events.remove(&(at, number)) else { continue };
            self.now = self.now.max(at);
            if self.seats[n].incarnation != incarnation || self.seats[n].controller.is_none() {
                continue;
            }
            if let Some(unread) = &mut self.seats[n].unread {
                match event {
                    Event::Hear(from, message) if unread.len() < UNREAD => unread.push((from, *message)),
                    Event::Synced(number) => self.after(DELAY * 10, n, Event::Synced(number)),
                    _ => {}
                }
                continue;
            }
            match event {
                Event::Tick => {
                    self.seats[n].tick_at = None;
                    self.tick(n);
                }
                Event::Hear(from, message) => self.say(from, n, *message),
                Event::Synced(number) => {
                    let (seat, now) = (&mut self.seats[n], self.now);
                    while seat.writes.front().is_some_and(|(w, _)| *w <= number) {
                        if let Some((_, write)) = seat.writes.pop_front() {
                            seat.disk.apply(write);
                        }
                    }
                    (seat.durable, seat.syncing) = (number, false);
                    if let Some(controller) = &mut seat.controller {
                        controller.durable(now, number);
                    }
                    self.perform(n);
                }
            }
        }
        self.now = until;
    }

    /// It is told to end.
    pub fn leave(&mut self, n: usize) {
        let now = self.now;
        if let Some(controller) = &mut self.seats[n].controller {
            controller.leave(now);
        }
        self.perform(n);
    }

    pub fn tick(&mut self, n: usize) {
        let (now, wall) = (self.now, self.now.duration_since(self.began));
        if let Some(controller) = &mut self.seats[n].controller {
            controller.tick(now, wall);
        }
        self.perform(n);
    }

    /// A controller hears something now.
    pub fn say(&mut self, from: Ipv4Addr, n: usize, message: PeerMessage) {
        let now = self.now;
        if let Some(controller) = &mut self.seats[n].controller {
            controller.handle_peer_message(now, from, message);
        }
        self.perform(n);
    }

    /// A call from outside; its answer comes among the replies.
    pub fn call(&mut self, n: usize, method: &str, path: &str, if_match: Option<&str>, body: &[u8]) -> Token {
        self.next += 1;
        let (token, now) = (self.next, self.now);
        let if_match = if_match.map(str::to_owned);
        let request = Request { method: method.into(), path: path.into(), if_match, body: body.to_vec() };
        if let Some(controller) = &mut self.seats[n].controller {
            controller.request(now, token, request);
        }
        self.perform(n);
        token
    }

    pub fn put(&mut self, n: usize, if_match: u64, body: &[u8]) -> Token {
        self.call(n, "PUT", "/api/config", Some(&if_match.to_string()), body)
    }

    /// What an instance says of itself.
    pub fn beat(&mut self, n: usize, id: &str, status: &str, count: u64) -> Token {
        let body = format!(
            r#"{{"service":"s","address":"10.1.0.1:1","zone":"z","status":"{status}","read-from":"replica","call-count":{count}}}"#
        );
        self.call(n, "PUT", &format!("/api/instances/{id}"), None, body.as_bytes())
    }

    /// The status that a call was answered with by now.
    pub fn status(&self, token: Token) -> Option<u16> {
        self.replies.get(&token).map(|(_, r)| r.status)
    }

    fn after(&mut self, delay: Duration, n: usize, event: Event) {
        self.next += 1;
        self.events.insert((self.now + delay, self.next), (n, self.seats[n].incarnation, event));
    }

    fn perform(&mut self, n: usize) {
        let (now, seat) = (self.now, &mut self.seats[n]);
        let Some(controller) = &mut seat.controller else { return };
        let mut out = Vec::new();
        for effect in controller.effects() {
            match effect {
                Effect::Write(number, write) => seat.writes.push_back((number, write)),
                Effect::Send(to, message, after) if after > seat.durable => seat.held.push((after, to, message)),
                Effect::Send(to, message, _) => out.push((to, message)),
                Effect::Reply(token, response) => drop(self.replies.insert(token, (now, response))),
                _ => {}
            }
        }
        let durable = seat.durable;
        let (ready, waiting) = seat.held.drain(..).partition(|(after, ..)| *after <= durable);
        seat.held = waiting;
        let ready: Vec<(u64, Ipv4Addr, PeerMessage)> = ready;
        out.extend(ready.into_iter().map(|(_, to, message)| (to, message)));
        let due = controller.next_wakeup(now);
        let sync = seat.writes.back().map(|(number, _)| *number).filter(|_| !seat.syncing);
        if let Some(number) = sync {
            seat.syncing = true;
            self.after(SYNC, n, Event::Synced(number));
        }
        for (to, message) in out {
            match (0..self.seats.len()).find(|q| ip(*q) == to) {
                Some(q) if self.cuts.contains(&(n, q)) => {}
                Some(q) => {
                    let more = self.late.filter(|(late, _)| *late == q && matches!(message, PeerMessage::Raft(_)));
                    let delay = DELAY + more.map_or(Duration::ZERO, |(_, delay)| delay);
                    self.after(delay, q, Event::Hear(ip(n), Box::new(message)));
                }
                None => self.said.push((n, to, message)),
            }
        }
        if self.seats[n].tick_at.is_none_or(|at| due < at) {
            self.seats[n].tick_at = Some(due);
            self.after(due - now, n, Event::Tick);
        }
    }
}
