//! The control plane's state machine: the log, the registry, the tree's root and the duties.

use super::dance::{Dance, Grant};
use super::duties::{self, Duties, Probed, Scene};
use super::raft::{self, Parameters, Raft, Role, Snapshot, Stored, Write};
use super::registry::{self, Beat, Registry};
use super::relay::Relay;
use super::repair::{Fact, Instance, Value};
use super::settings::{Bounds, Settings};
use super::views::{Card, Views};
use crate::version::config;
use crate::version::electorate::{Voter, VoterId};
use crate::version::ledger::{Command, Ledger, Mark, Outcome};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

pub type Token = u64;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub location: Option<String>,
}

impl Response {
    fn json(status: u16, value: &serde_json::Value) -> Self {
        Response { status, body: value.to_string().into_bytes(), location: None }
    }

    fn error(status: u16, why: &str) -> Self {
        Response::json(status, &serde_json::json!({"error": why}))
    }

    fn ok() -> Self {
        Response::json(200, &serde_json::json!({}))
    }
}

#[derive(Debug)]
pub enum Effect {
    Write(u64, Write),
    /// To be let out once the write with this number is durable (0: at once).
    Send(Ipv4Addr, Dance, u64),
    Reply(Token, Response),
    Probe {
        token: u64,
        instance: Instance,
        text: String,
    },
    Call {
        token: u64,
        path: &'static str,
        fence: u64,
        body: String,
    },
    Note(String),
    /// Something that threatens a rule: the ring is written out.
    Alarm(String),
}

#[derive(Debug, Clone)]
enum Purpose {
    /// A caller waits for it until then.
    Answer(Token, Instant),
    Duty,
}

#[derive(Debug)]
struct Proposal {
    command: Command,
    purpose: Purpose,
    /// The leader has it; before that the shorter timer runs.
    heard: bool,
    due: Instant,
}

/// The paper's two client timers: until the leader has the proposal, and until it is decided.
const HEARD_TIMER: Duration = Duration::from_millis(150);
const DECIDED_TIMER: Duration = Duration::from_millis(900);
/// Callers move on after a second of silence; they are answered before.
const ANSWER_BY: Duration = Duration::from_millis(850);
const ANSWER_CONFIG_BY: Duration = Duration::from_millis(4000);
/// Between queens: how often liveness and digests are exchanged.
const GOSSIP: Duration = Duration::from_millis(1000);
const DUTY_TICK: Duration = Duration::from_millis(25);
const HELLO: Duration = Duration::from_millis(200);
const JOIN: Duration = Duration::from_millis(300);
/// Daemons that keep the log and were not heard for this long are forgotten, unless they are seeds or vote.
const QUEEN_GONE: Duration = Duration::from_secs(60);
/// A leader counts as confirmed this long after a round began that a majority answered.
pub const CONFIRM: Duration = Duration::from_millis(400);
/// Timers armed for a tick are never nearer than this.
const BREATH: Duration = Duration::from_millis(2);

pub struct Royal {
    card: Card,
    seeds: Vec<Ipv4Addr>,
    in_quorum: bool,
    bootstrap: bool,
    raft: Raft,
    ledger: Ledger,
    registry: Registry,
    relay: Relay,
    duties: Duties,
    /// Other daemons that keep the log.
    queens: BTreeMap<Ipv4Addr, (Card, Instant)>,
    founders: BTreeMap<Ipv4Addr, VoterId>,
    proposer: u64,
    serial: u64,
    proposals: BTreeMap<u64, Proposal>,
    reads: BTreeMap<u64, Token>,
    /// Reads that found no leader yet.
    next_read: u64,
    published: u64,
    hello_due: Instant,
    join_due: Instant,
    gossip_due: Instant,
    duty_due: Instant,
    /// The time of day at the last tick, since 1970.
    wall: Duration,
    was: Role,
    pending: VecDeque<Effect>,
}

impl Royal {
    pub fn new(now: Instant, settings: &Settings, stored: Stored, mut rng: fastrand::Rng) -> Self {
        let card = Card {
            name: settings.node_name.clone(),
            ip: settings.ip,
            zone: settings.zone.clone(),
            control: settings.listen.control,
            age: 0,
        };
        let seeds: Vec<Ipv4Addr> = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
        let t = Duration::from_millis(settings.election.t_ms);
        let parameters = Parameters::new(t, CONFIRM, settings.tolerance.machines);
        let proposer = rng.u64(1..);
        let raft = Raft::new(now, settings.ip, parameters, stored, rng.fork());
        let relay =
            Relay::new(now, Views::new(card.clone(), rng.fork()), seeds.clone(), true, settings.limits.link_mbps);
        let beat = Duration::from_millis(settings.beat_ms);
        let bounds: Bounds = settings.timing_bounds.clone();
        let duties = Duties::new(now, &settings.node_name, bounds, beat, settings.platform.clone());
        let mut royal = Royal {
            card,
            seeds,
            in_quorum: settings.in_quorum,
            bootstrap: settings.bootstrap,
            raft,
            ledger: Ledger::default(),
            registry: Registry::default(),
            relay,
            duties,
            queens: BTreeMap::new(),
            founders: BTreeMap::new(),
            proposer,
            serial: 0,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            published: 0,
            hello_due: now,
            join_due: now,
            gossip_due: now + GOSSIP / 2,
            duty_due: now,
            wall: Duration::ZERO,
            was: Role::Follower,
            pending: VecDeque::new(),
        };
        royal.turn(now);
        royal
    }

    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.pending).into()
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.duties.set_bounds(bounds);
    }

    fn send(&mut self, to: Ipv4Addr, dance: Dance) {
        self.pending.push_back(Effect::Send(to, dance, 0));
    }

    /// Every other daemon that may keep the log: the seeds are only the first of them.
    fn others(&self) -> BTreeSet<Ipv4Addr> {
        let voters = self.raft.voters().into_iter().map(|v| v.ip);
        let mut all: BTreeSet<Ipv4Addr> =
            self.seeds.iter().copied().chain(self.queens.keys().copied()).chain(voters).collect();
        all.remove(&self.card.ip);
        all
    }

    // ---- the log ----------------------------------------------------------------------------

    /// Takes what the parts want done, until they want nothing more.
    fn turn(&mut self, now: Instant) {
        loop {
            let effects = self.raft.effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    raft::Effect::Write(number, write) => self.pending.push_back(Effect::Write(number, write)),
                    raft::Effect::Send(to, message, after) => {
                        self.pending.push_back(Effect::Send(to, Dance::Raft(message), after))
                    }
                    raft::Effect::Restore(snapshot) => self.restore(&snapshot),
                    raft::Effect::Apply(index, entry) => self.apply(now, index, &entry),
                    raft::Effect::Readable(read) => {
                        if let Some(token) = self.reads.remove(&read) {
                            let response = self.newest();
                            self.pending.push_back(Effect::Reply(token, response));
                        }
                    }
                    raft::Effect::Unreadable(read) => {
                        if let Some(token) = self.reads.remove(&read) {
                            self.pending
                                .push_back(Effect::Reply(token, Response::error(503, "the leader changed; ask again")));
                        }
                    }
                }
            }
        }
        let role = self.raft.role();
        if self.was == Role::Leader && role != Role::Leader {
            self.duties.stop();
            self.pending.push_back(Effect::Note(format!("no longer leading; term {}", self.raft.term())));
        }
        if self.was != Role::Leader && role == Role::Leader {
            let took = self.raft.elections.last().map_or(0, |d| d.as_millis());
            self.pending.push_back(Effect::Note(format!("leading term {} after {took} ms", self.raft.term())));
            self.proposals.values_mut().for_each(|p| p.due = now);
        }
        self.was = role;
        if self.raft.wants_snapshot() {
            let state = bincode::serde::encode_to_vec(&self.ledger, bincode::config::standard()).unwrap_or_default();
            if !state.is_empty() {
                self.raft.compact(state);
                return self.turn(now);
            }
        }
        self.publish();
        self.relay.root_heard(now, self.sign_of_leader(now));
        for (to, dance) in self.relay.messages() {
            self.send(to, dance);
        }
        for effect in self.duties.effects() {
            match effect {
                duties::Effect::Propose(command) => {
                    self.propose(now, command, Purpose::Duty);
                    self.turn(now);
                }
                duties::Effect::Probe { token, instance, text } => {
                    self.pending.push_back(Effect::Probe { token, instance, text })
                }
                duties::Effect::Call { token, path, fence, body } => {
                    self.pending.push_back(Effect::Call { token, path, fence, body })
                }
                duties::Effect::Send(to, dance) => self.send(to, dance),
                duties::Effect::Note(note) => self.pending.push_back(Effect::Note(note)),
            }
        }
    }

    /// The leader's address while there are signs of it.
    fn sign_of_leader(&self, now: Instant) -> Option<Ipv4Addr> {
        match self.raft.role() {
            Role::Leader => self.raft.confirmed(now).then_some(self.card.ip),
            _ => self.raft.leader().map(|v| v.ip),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard()) {
            Ok((ledger, _)) => self.ledger = ledger,
            Err(e) => self.pending.push_back(Effect::Alarm(format!("a snapshot can't be read: {e}"))),
        }
    }

    fn apply(&mut self, now: Instant, index: u64, entry: &raft::Entry) {
        let outcome = self.ledger.apply(index, entry.mark, &entry.command);
        self.duties.applied(&entry.command);
        if entry.mark.proposer == self.proposer && entry.mark.serial != 0 {
            self.decided(now, entry.mark, &outcome);
        }
    }

    /// Turns what changed in the ledger into facts for the tree.
    fn publish(&mut self) {
        // A queen that has just started knows only its last snapshot: foragers that start beside it must
        // not take that for the newest.
        if !self.raft.current() || self.published == self.ledger.index {
            return;
        }
        let mut facts = Vec::new();
        for (key, version) in &self.ledger.changed {
            if *version <= self.published {
                continue;
            }
            let value = match key.split_once('/') {
                Some(("c", _)) => self.ledger.config.as_ref().map(|c| Value::Config(c.raw.clone())),
                Some(("e", service)) => self.ledger.epochs.get(service).map(|e| Value::Epoch {
                    service: service.to_owned(),
                    epoch: e.epoch,
                    primary: e.primary.clone(),
                    term: e.term,
                    closed: e.closed,
                }),
                Some(("d", id)) => Some(Value::Drain { id: id.to_owned() }),
                Some(("q", _)) => Some(Value::Queens(self.ledger.voters.iter().map(|v| v.ip).collect())),
                Some(("s", name)) => {
                    Some(Value::Share { name: name.to_owned(), part: self.ledger.parts.get(name).cloned() })
                }
                _ => None,
            };
            if let Some(value) = value {
                facts.push(Fact { key: key.clone(), version: *version, value });
            }
        }
        self.published = self.ledger.index;
        if !facts.is_empty() {
            self.relay.publish(facts);
        }
    }

    fn propose(&mut self, now: Instant, command: Command, purpose: Purpose) {
        self.serial += 1;
        let proposal = Proposal { command, purpose, heard: false, due: now };
        self.proposals.insert(self.serial, proposal);
        self.push_proposals(now);
    }

    /// Sends proposals whose timer has run out to whoever leads now.
    fn push_proposals(&mut self, now: Instant) {
        let due: Vec<u64> = self.proposals.iter().filter(|(_, p)| now >= p.due).map(|(s, _)| *s).collect();
        for serial in due {
            let mark = Mark { proposer: self.proposer, serial };
            let Some(proposal) = self.proposals.get_mut(&serial) else { continue };
            if let Purpose::Answer(token, by) = proposal.purpose
                && now >= by
            {
                self.proposals.remove(&serial);
                self.pending.push_back(Effect::Reply(token, Response::error(503, "no decision yet; ask again")));
                continue;
            }
            let command = proposal.command.clone();
            proposal.due = now + HEARD_TIMER;
            if self.raft.role() == Role::Leader {
                proposal.due = now + DECIDED_TIMER;
                self.raft.propose(now, mark, command);
            } else if matches!(proposal.purpose, Purpose::Duty) {
                // Duties belong to a lead that is over.
                self.proposals.remove(&serial);
            } else if let Some(leader) = self.raft.leader() {
                proposal.heard = false;
                self.send(leader.ip, Dance::Propose { mark, command });
            }
        }
    }

    fn decided(&mut self, _now: Instant, mark: Mark, outcome: &Outcome) {
        let Some(proposal) = self.proposals.remove(&mark.serial) else { return };
        if let Purpose::Answer(token, _) = proposal.purpose {
            let response = match outcome {
                Outcome::Done => Response::ok(),
                Outcome::Outrun { current } => Response::json(
                    412,
                    &serde_json::json!({"error": "another version is in place", "revision": current}),
                ),
                Outcome::Invalid { why } => Response::error(400, why),
            };
            self.pending.push_back(Effect::Reply(token, response));
        }
    }

    // ---- inputs -----------------------------------------------------------------------------

    pub fn durable(&mut self, now: Instant, write: u64) {
        self.raft.durable(now, write);
        self.turn(now);
    }

    pub fn dance(&mut self, now: Instant, from: Ipv4Addr, dance: Dance) {
        if let Some(rest) = self.relay.receive(now, from, dance) {
            self.other_dance(now, from, rest);
        }
        let news = self.relay.news();
        for fact in &news {
            if let Value::Instance(instance) = &fact.value {
                self.registry.learn(now, fact.version, instance);
            }
        }
        self.turn(now);
    }

    fn other_dance(&mut self, now: Instant, from: Ipv4Addr, dance: Dance) {
        match dance {
            Dance::Hello { card, voter, founding, known } => {
                if card.control.is_some() {
                    let new = self.queens.insert(from, (card.clone(), now)).is_none_or(|(c, _)| c.control.is_none());
                    if new {
                        let hello = self.hello();
                        self.send(from, hello);
                    }
                }
                for card in known.into_iter().filter(|c| c.ip != self.card.ip && c.control.is_some()) {
                    self.queens.entry(card.ip).or_insert((card, now));
                }
                self.relay.views.take(std::slice::from_ref(&card));
                if let Some(id) = voter.filter(|_| founding && self.seeds.contains(&from)) {
                    self.founders.insert(from, id);
                    self.found();
                }
            }
            Dance::Raft(message) => {
                let unknown = || Card { name: from.to_string(), ip: from, zone: String::new(), control: None, age: 0 };
                self.queens.entry(from).or_insert_with(|| (unknown(), now)).1 = now;
                self.raft.receive(now, message);
            }
            Dance::Propose { mark, command } => {
                if self.raft.role() != Role::Leader {
                    self.send(from, Dance::Elsewhere { mark });
                } else if let Some(outcome) = self.ledger.result(mark).cloned() {
                    self.send(from, Dance::Decided { mark, outcome });
                } else if self.raft.propose(now, mark, command).is_some() {
                    self.send(from, Dance::Heard { mark });
                } else {
                    // It hands its lead on, or has too much under way.
                    self.send(from, Dance::Elsewhere { mark });
                }
            }
            Dance::Heard { mark } => {
                if let Some(p) = self.proposals.get_mut(&mark.serial).filter(|_| mark.proposer == self.proposer) {
                    p.heard = true;
                    p.due = now + DECIDED_TIMER;
                }
            }
            Dance::Decided { mark, outcome } if mark.proposer == self.proposer => self.decided(now, mark, &outcome),
            Dance::Elsewhere { .. } => {}
            Dance::Beats { beats, digests } => {
                self.registry.heard(now, &beats);
                let ranges = self.relay.copies.differing(&digests);
                if !ranges.is_empty() {
                    let versions = self.relay.copies.versions(&ranges);
                    self.send(from, Dance::Compare { ranges, versions });
                }
            }
            Dance::Ask(ask) => {
                if !self.raft.confirmed(now) {
                    if let Some(leader) = self.raft.leader().filter(|l| l.ip != self.card.ip) {
                        self.send(from, Dance::Led { leader: leader.ip });
                    }
                    return;
                }
                let (nonce, sum) = (ask.nonce, ask.sum);
                let scene = Scene {
                    now,
                    term: self.raft.term(),
                    ledger: &self.ledger,
                    registry: &self.registry,
                    wall: Duration::ZERO,
                    confirm: CONFIRM,
                };
                let (leases, reported, pours) = self.duties.asked(&scene, from, ask);
                let digests = (sum != self.relay.copies.sum()).then(|| self.relay.copies.digests());
                let (span, term) = (duties::LEASE, self.raft.term());
                self.send(from, Dance::Grant(Grant { nonce, leases, span, reported, digests, term, pours }));
            }
            Dance::Dip { nonce, node, life, needs } if self.raft.confirmed(now) => {
                let term = self.raft.term();
                let pours = self.duties.pour(now, term, &self.ledger, (&node, life), false, needs);
                self.send(from, Dance::Poured { nonce, span: duties::LEASE, term, pours });
            }
            Dance::Returned { service, epoch } => {
                self.duties.returned(from, &service, epoch);
                self.duty_due = now;
            }
            _ => {}
        }
    }

    fn hello(&self) -> Dance {
        let founding = self.bootstrap && self.in_quorum;
        let known = self.queens.values().map(|(c, _)| c.clone()).collect();
        Dance::Hello { card: self.card.clone(), voter: Some(self.raft.me().id), founding, known }
    }

    /// This daemon is about to end.
    pub fn leave(&mut self, now: Instant) {
        self.raft.leave(now);
        self.turn(now);
    }

    /// Whether this daemon, told to leave, is not needed any more.
    pub fn may_end(&self) -> bool {
        self.raft.may_end()
    }

    /// Where callers of `control` find another daemon that keeps the log.
    fn control_of(&self, ip: Ipv4Addr) -> Option<SocketAddrV4> {
        if ip == self.card.ip { self.card.control } else { self.queens.get(&ip).and_then(|(c, _)| c.control) }
    }

    /// Fixes the first electorate: the seeds that vote, once each has told its identity.
    fn found(&mut self) {
        if !self.bootstrap || !self.in_quorum || !self.raft.voters().is_empty() || !self.seeds.contains(&self.card.ip) {
            return;
        }
        let mut voters: Vec<Voter> = vec![self.raft.me()];
        for seed in self.seeds.iter().filter(|s| **s != self.card.ip) {
            match self.founders.get(seed) {
                Some(id) => voters.push(Voter { id: *id, ip: *seed }),
                None => return,
            }
        }
        voters.sort_unstable();
        voters.dedup();
        self.raft.found(voters);
    }

    pub fn probed(&mut self, now: Instant, token: u64, result: Probed) {
        self.duties.probed(now, token, result);
        self.duty_due = now;
    }

    pub fn called(&mut self, now: Instant, token: u64, status: Option<u16>) {
        self.duties.called(now, token, status);
        self.duty_due = now;
    }

    /// Whether a call to the platform may go out at this moment.
    pub fn may_call(&self, now: Instant, fence: u64) -> bool {
        self.raft.confirmed(now) && self.raft.term() == fence
    }

    pub fn next_due(&self) -> Instant {
        let mut due = self.raft.next_due().min(self.relay.next_due()).min(self.gossip_due);
        due = due.min(self.hello_due);
        if !self.raft.is_voter() || self.raft.leader().is_none() {
            due = due.min(self.join_due);
        }
        if self.raft.role() == Role::Leader {
            due = due.min(self.duty_due);
        }
        for p in self.proposals.values() {
            due = due.min(p.due);
        }
        due
    }

    /// `wall` is the time of day since 1970.
    pub fn tick(&mut self, now: Instant, wall: Duration) {
        self.wall = wall;
        self.raft.tick(now);
        self.turn(now);
        if now >= self.hello_due {
            self.hello_due = now + if self.raft.voters().is_empty() { HELLO } else { HELLO * 25 };
            let hello = self.hello();
            for to in self.others() {
                self.send(to, hello.clone());
            }
            self.queens.retain(|_, (_, heard)| now.duration_since(*heard) < QUEEN_GONE);
            self.found();
        }
        if now >= self.join_due {
            self.join_due = now + JOIN;
            let outside = !self.raft.is_voter()
                && (!self.bootstrap || !self.raft.voters().is_empty() || !self.seeds.contains(&self.card.ip));
            // A voter that finds no leader for so long may have been retired while it was away.
            let lost = self.raft.leader().is_none() && !self.raft.voters().is_empty();
            if outside || lost {
                for to in self.others() {
                    self.raft.join(to, self.in_quorum);
                }
            }
        }
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP;
            let beats = self.registry.recent(now, GOSSIP + GOSSIP / 2);
            let digests = self.relay.copies.digests();
            for to in self.others() {
                self.send(to, Dance::Beats { beats: beats.clone(), digests });
            }
            for id in self.registry.forget(now) {
                self.relay.copies.drop_key(&registry::key(&id));
            }
        }
        self.push_proposals(now);
        self.relay.tick(now);
        if self.raft.confirmed(now) && now >= self.duty_due {
            self.duty_due = now + DUTY_TICK;
            let scene = Scene {
                now,
                term: self.raft.term(),
                ledger: &self.ledger,
                registry: &self.registry,
                wall,
                confirm: CONFIRM,
            };
            self.duties.drive(&scene);
        } else if now >= self.duty_due {
            self.duty_due = now + DUTY_TICK;
        }
        self.turn(now);
    }

    /// The earliest moment worth waking for.
    pub fn wake(&self, now: Instant) -> Instant {
        self.next_due().max(now + BREATH)
    }

    // ---- HTTP -------------------------------------------------------------------------------

    pub fn request(&mut self, now: Instant, token: Token, request: Request) {
        if let Some(response) = self.answer(now, token, request) {
            self.pending.push_back(Effect::Reply(token, response));
        }
        self.turn(now);
    }

    fn answer(&mut self, now: Instant, token: Token, request: Request) -> Option<Response> {
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("PUT", "/api/config") => self.put_config(now, token, request),
            ("GET", "/api/config") => self.get_config(now, token),
            ("GET", "/api/history") => {
                let history = serde_json::to_value(&self.ledger.history).unwrap_or_default();
                Some(Response::json(200, &serde_json::json!({ "changes": history })))
            }
            ("GET", "/api/status") => Some(Response::json(200, &self.status(now))),
            (method, path) => match path.strip_prefix("/api/instances/") {
                Some(id) if !id.is_empty() && !id.contains('/') => match method {
                    "PUT" => self.beat(now, token, id, &request.body),
                    "DELETE" => self.instance_ends(now, token, id),
                    _ => Some(Response::error(405, "PUT or DELETE")),
                },
                _ => Some(Response::error(404, "no such path")),
            },
        }
    }

    fn put_config(&mut self, now: Instant, token: Token, request: Request) -> Option<Response> {
        let Some(if_match) = request.if_match.as_deref().and_then(|m| m.trim().trim_matches('"').parse().ok()) else {
            return Some(Response::error(400, "If-Match must give the number of the version this builds on"));
        };
        if let Err(why) = config::read(&request.body) {
            return Some(Response::error(400, &why));
        }
        if self.raft.leader().is_none() {
            return Some(Response::error(503, "no leader; ask again"));
        }
        let by = now + ANSWER_CONFIG_BY;
        self.propose(
            now,
            Command::Configure { if_match, raw: request.body, by: self.card.name.clone(), at: self.wall },
            Purpose::Answer(token, by),
        );
        None
    }

    fn get_config(&mut self, now: Instant, token: Token) -> Option<Response> {
        match self.raft.role() {
            Role::Leader => {
                self.next_read += 1;
                self.reads.insert(self.next_read, token);
                self.raft.read(now, self.next_read);
                None
            }
            _ => {
                let control = self.raft.leader().and_then(|l| self.control_of(l.ip));
                Some(match control {
                    Some(address) => Response {
                        status: 307,
                        body: Vec::new(),
                        location: Some(format!("http://{address}/api/config")),
                    },
                    None => Response::error(503, "no leader known; ask again"),
                })
            }
        }
    }

    fn newest(&self) -> Response {
        match &self.ledger.config {
            Some(version) => Response { status: 200, body: version.raw.clone(), location: None },
            None => Response::error(404, "no configuration yet"),
        }
    }

    fn beat(&mut self, now: Instant, token: Token, id: &str, body: &[u8]) -> Option<Response> {
        let beat: Beat = match serde_json::from_slice(body) {
            Ok(beat) => beat,
            Err(e) => return Some(Response::error(400, &format!("can't be read: {e}"))),
        };
        let draining = beat.status == "draining";
        if let Some(fact) = self.registry.beat(now, id, &beat) {
            self.spread(fact);
            self.duty_due = now;
        }
        if draining { self.note_leaving(now, token, id) } else { Some(Response::ok()) }
    }

    /// That an instance leaves is in the log before anybody hears so: whatever restarts, it stays known.
    fn note_leaving(&mut self, now: Instant, token: Token, id: &str) -> Option<Response> {
        if self.ledger.drains.iter().any(|d| d == id) {
            return Some(Response::ok());
        }
        let by = now + ANSWER_BY;
        self.propose(now, Command::Drain { id: id.to_owned() }, Purpose::Answer(token, by));
        None
    }

    fn instance_ends(&mut self, now: Instant, token: Token, id: &str) -> Option<Response> {
        if let Some(fact) = self.registry.leave(now, id) {
            self.spread(fact);
            self.duty_due = now;
        }
        self.note_leaving(now, token, id)
    }

    /// To the own children in the tree, and to the other roots for theirs.
    fn spread(&mut self, fact: Fact) {
        for to in self.others() {
            self.send(to, Dance::Facts(vec![fact.clone()]));
        }
        self.relay.publish(vec![fact]);
    }

    pub fn status(&self, now: Instant) -> serde_json::Value {
        let instances: Vec<_> = self
            .registry
            .all()
            .map(|i| {
                serde_json::json!({"id": i.id, "service": i.service, "address": i.address, "zone": i.zone,
                    "role": if i.primary { "primary" } else { "replica" },
                    "status": if i.gone { "gone" } else if i.draining { "draining" } else { "ready" },
                    "silent-ms": self.registry.silence(now, &i.id).map(|s| s.as_millis() as u64)})
            })
            .collect();
        let epochs: BTreeMap<_, _> = self
            .ledger
            .epochs
            .iter()
            .map(|(s, e)| {
                (
                    s.clone(),
                    serde_json::json!({"epoch": e.epoch, "primary": e.primary, "term": e.term, "closed": e.closed}),
                )
            })
            .collect();
        let leader = self.raft.leader();
        serde_json::json!({
            "node": self.card.name,
            "role": format!("{:?}", self.raft.role()).to_lowercase(),
            "term": self.raft.term(),
            "leader": leader.map(|l| l.ip.to_string()),
            "leader-control": leader.and_then(|l| self.control_of(l.ip)).map(|a| a.to_string()),
            "commit": self.raft.commit(),
            "last": self.raft.last_index(),
            "voters": self.raft.voters().iter().map(|v| v.ip.to_string()).collect::<Vec<_>>(),
            "config-revision": self.ledger.revision(),
            "daemons-seen": self.relay.views.cards().iter().map(|c| c.name.clone()).collect::<Vec<_>>(),
            "instances": instances,
            "primaries": epochs,
            "drains": self.ledger.drains.len(),
            "shares": self.ledger.parts,
            "duties": self.duties.describe(now),
            "candidate-timeout-ms": self.raft.candidate_timeout().as_millis() as u64,
        })
    }
}
