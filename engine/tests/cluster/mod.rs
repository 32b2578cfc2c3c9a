//! The consensus of a few controllers in simulated time, with links that keep order and disks that take time.

use lichenfield_engine::process::consensus::{
    Effect, Message, MessageBody, Parameters, PersistentState, Raft, Role, Write, WriteNumber,
};
use lichenfield_engine::version::control_state::{Command, ControlState, Outcome, ProposalId};
use lichenfield_engine::version::electorate::Voter;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

pub const T: Duration = Duration::from_millis(150);
const LINK_DELAY: Duration = Duration::from_millis(1);
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

enum Event {
    Message { node: usize, message: Message },
    Synced { node: usize, incarnation: u32 },
    Tick { node: usize, incarnation: u32 },
    Join { node: usize, incarnation: u32 },
}

/// A message that waits for a write.
struct UnsentMessage {
    after: WriteNumber,
    to: Ipv4Addr,
    message: Message,
}

/// What was sent of snapshots.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTraffic {
    pub bytes: usize,
    pub messages: usize,
}

pub struct Node {
    pub raft: Option<Raft>,
    pub disk: PersistentState,
    pub control_state: ControlState,
    /// The duration of a sync, and that of each KB written in addition.
    pub sync: Duration,
    pub per_kb: Duration,
    incarnation: u32,
    writes: VecDeque<(WriteNumber, Write)>,
    syncing: usize,
    durable: WriteNumber,
    unsent: Vec<UnsentMessage>,
    /// The outcomes of the proposals applied here, by serial number.
    pub decided: BTreeMap<u64, Outcome>,
}

impl Node {
    /// Performs the effects of the log until there are none; returns the messages that may be sent, or
    /// `None` if the node does not run.
    fn perform_effects(&mut self) -> Option<Vec<(Ipv4Addr, Message)>> {
        loop {
            let effects = self.raft.as_mut()?.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.perform(effect);
            }
            let raft = self.raft.as_mut()?;
            if raft.is_snapshot_due() {
                let state = bincode::serde::encode_to_vec(&self.control_state, bincode::config::standard());
                raft.compact(state.expect("a control state can be encoded"));
            }
        }
        let durable = self.durable;
        let (ready, unsent): (Vec<UnsentMessage>, _) =
            self.unsent.drain(..).partition(|unsent| unsent.after <= durable);
        self.unsent = unsent;
        Some(ready.into_iter().map(|ready| (ready.to, ready.message)).collect())
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write { number, write } => self.writes.push_back((number, write)),
            Effect::Send { to, message, after } => self.unsent.push(UnsentMessage { after, to, message }),
            Effect::Restore(snapshot) => {
                let decoded = bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard());
                self.control_state = decoded.expect("a whole state").0;
            }
            Effect::Apply { index, entry } => {
                let outcome = self.control_state.apply(index, entry.proposal_id, &entry.command);
                if entry.proposal_id.proposer == 1 {
                    self.decided.insert(entry.proposal_id.serial, outcome);
                }
            }
            Effect::ReadReady(_) | Effect::ReadFailed(_) => {}
        }
    }

    /// Begins a sync of all waiting writes and returns its duration, unless there are none or one is under way.
    fn begin_sync(&mut self) -> Option<Duration> {
        if self.syncing > 0 || self.writes.is_empty() {
            return None;
        }
        self.syncing = self.writes.len();
        let bytes: usize = self.writes.iter().map(|(_, write)| size(write)).sum();
        Some(self.sync + self.per_kb * (bytes / 1024) as u32)
    }
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
    /// The share of messages that is lost.
    pub loss: f64,
    /// The chunks of snapshots, and the number of entries, sent to each node.
    pub snapshot_chunks: BTreeMap<usize, SnapshotTraffic>,
    pub entries: BTreeMap<usize, usize>,
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

impl Cluster {
    /// The first `founders` of `size` machines form the first electorate; the others are off.
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
            unsent: Vec::new(),
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
            snapshot_chunks: BTreeMap::new(),
            entries: BTreeMap::new(),
        };
        let voters: Vec<Voter> = (0..founders).map(|n| Voter { id: 100 + n as u64, ip: address(n) }).collect();
        for n in 0..founders {
            cluster.start(n);
            cluster.raft(n).bootstrap(voters.clone());
            cluster.step(n);
        }
        cluster
    }

    pub fn raft(&mut self, n: usize) -> &mut Raft {
        self.nodes[n].raft.as_mut().expect("the node runs")
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
        self.after(JOIN_INTERVAL, Event::Join { node: n, incarnation });
        self.step(n);
    }

    /// The node loses power, and with it what was not synced.
    pub fn stop(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.raft = None;
        node.incarnation += 1;
        node.writes.clear();
        node.unsent.clear();
    }

    /// The node is back at its address with an empty disk.
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

    /// Proposes at the leader; whether it was appended.
    pub fn propose(&mut self, serial: u64, command: Command) -> bool {
        let Some(leader) = self.leader() else { return false };
        let now = self.at();
        let taken = self.raft(leader).propose(now, ProposalId { proposer: 1, serial }, command).is_some();
        self.step(leader);
        taken
    }

    /// Whether a proposal is applied at the leader.
    pub fn decided(&self, serial: u64) -> bool {
        self.leader().is_some_and(|l| self.nodes[l].control_state.result(ProposalId { proposer: 1, serial }).is_some())
    }

    pub fn begin_shutdown(&mut self, n: usize) {
        let now = self.at();
        self.raft(n).begin_shutdown(now);
        self.step(n);
    }

    /// Performs the effects of a node's log until there are none, sends what may be sent, and schedules its
    /// next sync and tick.
    pub fn step(&mut self, n: usize) {
        let Some(sends) = self.nodes[n].perform_effects() else { return };
        let due = self.raft(n).next_due();
        let node = &mut self.nodes[n];
        let incarnation = node.incarnation;
        if let Some(duration) = node.begin_sync() {
            self.after(duration, Event::Synced { node: n, incarnation });
        }
        let wait = due.saturating_duration_since(self.at()).max(ms(1));
        self.after(wait, Event::Tick { node: n, incarnation });
        for (to, message) in sends {
            self.send(n, usize::from(to.octets()[3]) - 1, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        match &message.body {
            MessageBody::InstallSnapshot { bytes, .. } => {
                let sent = self.snapshot_chunks.entry(to).or_default();
                (sent.bytes, sent.messages) = (sent.bytes + bytes.len(), sent.messages + 1);
            }
            MessageBody::AppendEntries { entries, .. } => *self.entries.entry(to).or_default() += entries.len(),
            _ => {}
        }
        let lost = self.cut.contains(&from) || self.cut.contains(&to) || self.rng.f64() < self.loss;
        if !lost {
            self.after(LINK_DELAY, Event::Message { node: to, message });
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_while(end, |_| true);
        self.now = end;
    }

    /// Runs until a condition holds; whether it did within the span.
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
            Event::Message { node: n, message } => {
                if let Some(raft) = &mut self.nodes[n].raft {
                    raft.handle_message(now, message);
                    self.step(n);
                }
            }
            Event::Synced { node: n, incarnation } => {
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
                self.step(n);
            }
            Event::Tick { node: n, incarnation } => {
                if self.nodes[n].incarnation == incarnation && now >= self.raft(n).next_due() {
                    self.raft(n).tick(now);
                    self.step(n);
                }
            }
            Event::Join { node: n, incarnation } => {
                if self.nodes[n].incarnation != incarnation {
                    return;
                }
                self.after(JOIN_INTERVAL, Event::Join { node: n, incarnation });
                if !self.raft(n).is_voter() {
                    for other in (0..self.nodes.len()).filter(|o| *o != n) {
                        self.raft(n).request_to_join(address(other), true);
                    }
                    self.step(n);
                }
            }
        }
    }
}

fn size(write: &Write) -> usize {
    write.entries.iter().map(|indexed| indexed.entry.size()).sum::<usize>()
        + write.snapshot.as_ref().map_or(0, |s| s.state.len())
}
