//! A few controllers' logs on simulated time: links that keep order, disks that take their time.

use lichenfield_engine::process::consensus::{
    Effect, Message, MessageBody, Parameters, PersistentState, Raft, Role, Write,
};
use lichenfield_engine::version::control_state::{Command, ControlState, Outcome, ProposalId};
use lichenfield_engine::version::electorate::Voter;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

pub const T: Duration = Duration::from_millis(150);
const LINK: Duration = Duration::from_millis(1);
const JOIN: Duration = Duration::from_millis(300);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

enum Event {
    Message(usize, Message),
    Synced(usize, u32),
    Tick(usize, u32),
    Join(usize, u32),
}

pub struct Node {
    pub raft: Option<Raft>,
    pub disk: PersistentState,
    pub control_state: ControlState,
    /// What a sync takes, and what writing a KB takes besides.
    pub sync: Duration,
    pub per_kb: Duration,
    incarnation: u32,
    writes: VecDeque<(u64, Write)>,
    syncing: usize,
    durable: u64,
    held: Vec<(u64, Ipv4Addr, Message)>,
    /// Marks decided here, with how.
    pub decided: BTreeMap<u64, Outcome>,
}

pub struct Cluster {
    pub now: Duration,
    base: Instant,
    pub nodes: Vec<Node>,
    tolerance: usize,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: fastrand::Rng,
    pub cut: Vec<usize>,
    /// Of the messages, this share is lost.
    pub loss: f64,
    /// Bytes of state and number of messages sent as snapshots, and as entries, to each node.
    pub pieces: BTreeMap<usize, (usize, usize)>,
    pub entries: BTreeMap<usize, usize>,
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

impl Cluster {
    /// `founders` of `size` machines found the electorate; the others are off.
    pub fn new(size: usize, founders: usize, tolerance: usize) -> Self {
        let disk = |n: usize| PersistentState { id: 100 + n as u64, ..PersistentState::default() };
        let node = |n| Node {
            raft: None,
            disk: disk(n),
            control_state: ControlState::default(),
            sync: ms(2),
            per_kb: Duration::ZERO,
            incarnation: 0,
            writes: VecDeque::new(),
            syncing: 0,
            durable: 0,
            held: Vec::new(),
            decided: BTreeMap::new(),
        };
        let mut cluster = Cluster {
            now: Duration::ZERO,
            base: Instant::now() + Duration::from_secs(3600),
            nodes: (0..size).map(node).collect(),
            tolerance,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(7),
            cut: Vec::new(),
            loss: 0.0,
            pieces: BTreeMap::new(),
            entries: BTreeMap::new(),
        };
        let voters: Vec<Voter> = (0..founders).map(|n| Voter { id: 100 + n as u64, ip: address(n) }).collect();
        for n in 0..founders {
            cluster.start(n);
            cluster.raft(n).bootstrap(voters.clone());
            cluster.drain(n);
        }
        cluster
    }

    pub fn raft(&mut self, n: usize) -> &mut Raft {
        self.nodes[n].raft.as_mut().expect("it runs")
    }

    pub fn at(&self) -> Instant {
        self.base + self.now
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn start(&mut self, n: usize) {
        let (now, rng) = (self.at(), self.rng.fork());
        let parameters = Parameters::new(T, ms(400), self.tolerance);
        let node = &mut self.nodes[n];
        node.raft = Some(Raft::new(now, address(n), parameters, node.disk.clone(), rng));
        node.incarnation += 1;
        (node.control_state, node.durable, node.syncing) = (ControlState::default(), 0, 0);
        let incarnation = node.incarnation;
        self.after(JOIN, Event::Join(n, incarnation));
        self.drain(n);
    }

    /// Its power is lost, and with it what was not synced.
    pub fn stop(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.raft = None;
        node.incarnation += 1;
        node.writes.clear();
        node.held.clear();
    }

    /// Back at the old address with an empty disk.
    pub fn wipe(&mut self, n: usize) {
        self.stop(n);
        let id = self.nodes[n].disk.id + 1000;
        self.nodes[n].disk = PersistentState { id, ..PersistentState::default() };
        self.start(n);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.raft.as_ref().filter(|r| r.role() == Role::Leader).map(Raft::term);
        let all = self.nodes.iter().enumerate();
        all.filter_map(|(at, n)| leads(n).map(|term| (term, at))).max().map(|(_, at)| at)
    }

    /// Proposes at the leader; whether it was taken.
    pub fn propose(&mut self, serial: u64, command: Command) -> bool {
        let Some(leader) = self.leader() else { return false };
        let now = self.at();
        let taken = self.raft(leader).propose(now, ProposalId { proposer: 1, serial }, command).is_some();
        self.drain(leader);
        taken
    }

    /// Whether a proposal is decided at the leader.
    pub fn decided(&self, serial: u64) -> bool {
        self.leader().is_some_and(|l| self.nodes[l].control_state.result(ProposalId { proposer: 1, serial }).is_some())
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.at();
        self.raft(n).begin_shutdown(now);
        self.drain(n);
    }

    pub fn drain(&mut self, n: usize) {
        let mut sends = Vec::new();
        let node = &mut self.nodes[n];
        let Some(raft) = &mut node.raft else { return };
        loop {
            let effects = raft.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::Write { number, write } => node.writes.push_back((number, write)),
                    Effect::Send { to, message, after } => node.held.push((after, to, message)),
                    Effect::Restore(snapshot) => {
                        let read = bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard());
                        node.control_state = read.expect("a whole state").0;
                    }
                    Effect::Apply { index, entry } => {
                        let outcome = node.control_state.apply(index, entry.proposal_id, &entry.command);
                        if entry.proposal_id.proposer == 1 {
                            node.decided.insert(entry.proposal_id.serial, outcome);
                        }
                    }
                    Effect::ReadReady(_) | Effect::ReadFailed(_) => {}
                }
            }
            if raft.is_snapshot_due() {
                let state = bincode::serde::encode_to_vec(&node.control_state, bincode::config::standard());
                raft.compact(state.expect("it can be written"));
            }
        }
        let durable = node.durable;
        node.held.retain(|(after, to, message)| {
            let ready = *after <= durable;
            if ready {
                sends.push((*to, message.clone()));
            }
            !ready
        });
        let (incarnation, due) = (node.incarnation, raft.next_due());
        if node.syncing == 0 && !node.writes.is_empty() {
            node.syncing = node.writes.len();
            let bytes: usize = node.writes.iter().map(|(_, w)| size(w)).sum();
            let takes = node.sync + node.per_kb * (bytes / 1024) as u32;
            self.after(takes, Event::Synced(n, incarnation));
        }
        let wait = due.saturating_duration_since(self.at()).max(ms(1));
        self.after(wait, Event::Tick(n, incarnation));
        for (to, message) in sends {
            let to = usize::from(to.octets()[3]) - 1;
            match &message.body {
                MessageBody::InstallSnapshot { bytes, .. } => {
                    let sent = self.pieces.entry(to).or_default();
                    (sent.0, sent.1) = (sent.0 + bytes.len(), sent.1 + 1);
                }
                MessageBody::AppendEntries { entries, .. } => *self.entries.entry(to).or_default() += entries.len(),
                _ => {}
            }
            let lost = self.cut.contains(&n) || self.cut.contains(&to) || self.rng.f64() < self.loss;
            if !lost {
                self.after(LINK, Event::Message(to, message));
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_while(end, |_| true);
        self.now = end;
    }

    /// Runs until something holds; whether it did within the span.
    pub fn until(&mut self, span: Duration, mut holds: impl FnMut(&Cluster) -> bool) -> bool {
        let end = self.now + span;
        self.run_while(end, |c| !holds(c));
        holds(self)
    }

    fn run_while(&mut self, end: Duration, mut goes_on: impl FnMut(&Cluster) -> bool) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end || !goes_on(self) {
                return;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&number) else { continue };
            self.perform(event);
        }
    }

    fn perform(&mut self, event: Event) {
        let now = self.at();
        match event {
            Event::Message(n, message) => {
                if let Some(raft) = &mut self.nodes[n].raft {
                    raft.handle_message(now, message);
                    self.drain(n);
                }
            }
            Event::Synced(n, incarnation) => {
                let node = &mut self.nodes[n];
                if node.incarnation != incarnation {
                    return;
                }
                for (number, write) in node.writes.drain(..node.syncing) {
                    assert!(node.disk.apply(write), "a write leaves a gap");
                    node.durable = number;
                }
                node.syncing = 0;
                let durable = node.durable;
                self.raft(n).on_write_durable(now, durable);
                self.drain(n);
            }
            Event::Tick(n, incarnation) => {
                if self.nodes[n].incarnation == incarnation && now >= self.raft(n).next_due() {
                    self.raft(n).tick(now);
                    self.drain(n);
                }
            }
            Event::Join(n, incarnation) => {
                if self.nodes[n].incarnation != incarnation {
                    return;
                }
                self.after(JOIN, Event::Join(n, incarnation));
                if !self.raft(n).is_voter() {
                    for other in (0..self.nodes.len()).filter(|o| *o != n) {
                        self.raft(n).request_to_join(address(other), true);
                    }
                    self.drain(n);
                }
            }
        }
    }
}

fn size(write: &Write) -> usize {
    write.entries.iter().map(|indexed| indexed.entry.size()).sum::<usize>()
        + write.snapshot.as_ref().map_or(0, |s| s.state.len())
}
