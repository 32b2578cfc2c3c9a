//! The world: simulated time, machines, and the queue of what happens next. The judges look after
//! every step of a controller.

use super::disk::{Disk, Log};
use super::judge::{Counts, HealthCheckState, Held, Judge, RequestError, Violation, broken, majority};
use super::network::{Fates, Links, Wire, mix};
use super::node::{Answer, Call, Node, Out, Setup};
use super::register::{Kind, Register};
use super::schedule::{Act, CATCH_UP, Fate, Fault, Kept, OPERATORS, Schedule, Slot, Step, Target, Thing, When, ms};
use lichenfield_engine::process::consensus::{MessageBody, Parameters, Raft, Role};
use lichenfield_engine::version::control_state::Command;
use lichenfield_engine::version::electorate::{Electorate, Voter, VoterId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const T: Duration = ms(150);
const CONFIRM: Duration = ms(400);
/// Bytes of a snapshot's piece: small, so that each goes in several.
const PIECE: usize = 400;
/// Founders are the seeds: three machines, whatever the size.
const SEEDS: usize = 3;
/// A process that leaves looks so often whether it may end, and ends this long after it said so in any case.
const LOOK: Duration = ms(10);
const PATIENCE: Duration = ms(3000);
/// A client that was sent on calls there this much later.
const REDIRECT: Duration = ms(2);
/// At rest a change is sent so often until one is taken.
const PROBE: Duration = ms(300);
/// Last, it is looked at whether all hold the same, this long after the last rest.
const LEVEL: Duration = ms(500);
/// Characters of an event that are printed.
const TELLS: usize = 260;

enum Event {
    Arrives(Slot, Ipv4Addr, Box<Wire>),
    Tick(Slot),
    Synced(Slot, u64),
    Starts(Slot, u32),
    Thaws(Slot, u32),
    /// A process that leaves ends once it may, or at that moment; for good, or to return after a while.
    Leaves(Slot, u32, Duration, Option<Duration>),
    Step(usize),
    Calls(Slot, Call, Command),
    Reads(Slot, Call),
    Probe(u32),
    Rested,
    Last,
}

struct Machine {
    ip: Ipv4Addr,
    disk: Disk,
    in_quorum: bool,
    node: Option<Node>,
    /// Counts the processes that ran here.
    incarnation: u32,
    /// It will never be back.
    gone: bool,
    /// It was told to end; for good, or to return.
    leaving: Option<bool>,
    /// Its disk was lost, or it is new, and it has not had its time in calm since.
    unsafe_yet: bool,
    /// Until then it counts as lost for other trouble: a while after it is over.
    lost_until: Duration,
    /// What happens to a frozen machine waits here.
    frozen: Option<Vec<Event>>,
    /// How far its clock is ahead.
    ahead: Duration,
    armed: Option<Duration>,
    held: Vec<(u64, Ipv4Addr, Wire)>,
    durable: u64,
    /// The sync under way.
    sync: u64,
    slow: Option<(Duration, Duration)>,
}

struct Queued(Duration, u64, Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What became of a run.
pub struct Run {
    pub broken: Option<(Duration, Violation)>,
    pub fates: BTreeMap<Thing, Fate>,
    pub counts: Counts,
}

pub struct World<'a> {
    schedule: &'a Schedule,
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<Queued>>,
    queued: u64,
    machines: Vec<Machine>,
    founders: Vec<Voter>,
    fates: Fates,
    links: Links,
    judge: Judge,
    register: Register,
    /// Faults that wait for an event.
    waiting: Vec<(When, Fault)>,
    /// The rest that is going on, by its number, and whether a change was taken in it.
    resting: Option<bool>,
    rests: u32,
    tells: bool,
}

impl<'a> World<'a> {
    /// `told`: each step of each controller is printed.
    pub fn run(schedule: &'a Schedule, told: bool) -> Run {
        let mut world = World::new(schedule);
        world.tells = told;
        let mut error = world.begin();
        while let (Ok(()), Some(Reverse(Queued(at, _, event)))) = (&error, world.queue.pop()) {
            world.now = at;
            if matches!(event, Event::Last) {
                error = world.level();
                break;
            }
            error = world.happens(event);
        }
        let counts = world.judge.counts();
        Run { broken: error.err().map(|v| (world.now, v)), fates: world.fates.recorded(), counts }
    }

    fn new(schedule: &'a Schedule) -> Self {
        World {
            schedule,
            base: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            queued: 0,
            machines: Vec::new(),
            founders: Vec::new(),
            fates: Fates::new(schedule),
            links: Links::default(),
            judge: Judge::default(),
            register: Register::new(OPERATORS + 1),
            waiting: Vec::new(),
            resting: None,
            rests: 0,
            tells: false,
        }
    }

    fn begin(&mut self) -> RequestError {
        for slot in 0..self.schedule.machines {
            self.add_machine(!self.schedule.learner || slot + 1 < self.schedule.machines);
        }
        let founders = self.machines.iter().take(SEEDS).map(|m| Voter { id: m.disk.id(), ip: m.ip });
        self.founders = founders.collect();
        self.founders.sort_unstable();
        self.judge.founded(Electorate::new(self.founders.clone()));
        for slot in 0..self.machines.len() {
            // All start within 0.3 s of each other.
            let lot = mix(&[self.schedule.seed, 5, slot as u64]) % 300;
            self.queue(ms(lot), Event::Starts(slot, 0));
        }
        for (at, step) in self.schedule.steps.iter().enumerate() {
            self.queue(step.at, Event::Step(at));
        }
        self.queue(self.schedule.end + LEVEL, Event::Last);
        Ok(())
    }

    fn add_machine(&mut self, in_quorum: bool) -> Slot {
        let slot = self.machines.len();
        self.machines.push(Machine {
            ip: Ipv4Addr::new(10, 0, 0, slot as u8 + 1),
            disk: Disk::new(self.fresh_id(slot, 0)),
            in_quorum,
            node: None,
            incarnation: 0,
            gone: false,
            leaving: None,
            unsafe_yet: true,
            lost_until: Duration::ZERO,
            frozen: None,
            ahead: Duration::ZERO,
            armed: None,
            held: Vec::new(),
            durable: 0,
            sync: 0,
            slow: None,
        });
        slot
    }

    fn fresh_id(&self, slot: Slot, incarnation: u32) -> VoterId {
        mix(&[self.schedule.seed, 1, slot as u64, u64::from(incarnation)]) >> 32 | 1
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse(Queued(at, self.queued, event)));
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.queue(self.now + pause, event);
    }

    fn instant(&self, slot: Slot) -> Instant {
        self.base + self.now + self.machines[slot].ahead
    }

    // ---- events -----------------------------------------------------------------------------

    fn happens(&mut self, event: Event) -> RequestError {
        if self.tells {
            self.tell(&event);
        }
        let concerned = match &event {
            Event::Arrives(slot, ..) | Event::Tick(slot) | Event::Synced(slot, _) => Some(*slot),
            Event::Leaves(slot, ..) | Event::Calls(slot, ..) | Event::Reads(slot, _) => Some(*slot),
            _ => None,
        };
        if let Some(slot) = concerned {
            let machine = &mut self.machines[slot];
            if let Some(waiting) = &mut machine.frozen {
                waiting.push(event);
                return Ok(());
            }
        }
        match event {
            Event::Arrives(slot, from, wire) => self.act(slot, |node, now| node.receive(now, from, *wire)),
            Event::Tick(slot) => self.tick(slot),
            Event::Synced(slot, sync) => self.synced(slot, sync),
            Event::Calls(slot, call, command) => self.act(slot, |node, now| node.propose(now, call, command)),
            Event::Reads(slot, call) => self.act(slot, |node, now| node.read(now, call)),
            Event::Starts(slot, incarnation) if incarnation == self.machines[slot].incarnation => self.start(slot),
            Event::Thaws(slot, incarnation) if incarnation == self.machines[slot].incarnation => self.thaw(slot),
            Event::Leaves(slot, incarnation, by, back) if incarnation == self.machines[slot].incarnation => {
                self.leaves(slot, by, back)
            }
            Event::Step(at) => self.step(at),
            Event::Probe(rest) => self.probe(rest),
            Event::Rested => self.rested(),
            Event::Starts(..) | Event::Thaws(..) | Event::Leaves(..) | Event::Last => Ok(()),
        }
    }

    fn tell(&self, event: &Event) {
        let what = match event {
            Event::Arrives(slot, from, wire) => format!("{slot} <- {}: {wire:?}", from.octets()[3] - 1),
            Event::Synced(slot, _) => format!("{slot} synced"),
            Event::Starts(slot, _) => format!("{slot} starts"),
            Event::Thaws(slot, _) => format!("{slot} thaws"),
            Event::Step(at) => format!("{:?}", self.schedule.steps[*at]),
            Event::Rested => "rested".to_owned(),
            _ => return,
        };
        let what: String = what.chars().take(TELLS).collect();
        println!("{:?} {what}", self.now);
        for (slot, machine) in self.machines.iter().enumerate() {
            let Some(raft) = raft(machine) else { continue };
            let ips: Vec<u8> = raft.voters().iter().map(|v| v.ip.octets()[3] - 1).collect();
            let frozen = if machine.frozen.is_some() { " frozen" } else { "" };
            println!(
                "    {slot} {:?} term {} last {} synced {} commit {} voters {ips:?}{frozen}",
                raft.role(),
                raft.term(),
                raft.last_index(),
                machine.disk.synced.last(),
                raft.commit_index()
            );
        }
    }

    /// One input to a controller, and what follows from it.
    fn act(&mut self, slot: Slot, input: impl FnOnce(&mut Node, Instant)) -> RequestError {
        let now = self.instant(slot);
        let Some(node) = &mut self.machines[slot].node else { return Ok(()) };
        input(node, now);
        self.turn(slot)
    }

    fn tick(&mut self, slot: Slot) -> RequestError {
        if self.machines[slot].armed != Some(self.now) {
            return Ok(());
        }
        self.machines[slot].armed = None;
        let me = self.machines[slot].ip;
        let others: Vec<Ipv4Addr> = self.machines.iter().map(|m| m.ip).filter(|ip| *ip != me).collect();
        self.act(slot, |node, now| node.tick(now, &others))
    }

    fn synced(&mut self, slot: Slot, sync: u64) -> RequestError {
        let machine = &mut self.machines[slot];
        if machine.sync != sync || machine.node.is_none() {
            return Ok(());
        }
        let Some(number) = machine.disk.end_sync() else { return Ok(()) };
        machine.durable = number;
        self.act(slot, |node, now| node.raft.on_write_durable(now, number))?;
        self.judge.told_is_kept(&held(&self.machines))
    }

    fn start(&mut self, slot: Slot) -> RequestError {
        let now = self.instant(slot);
        let machine = &mut self.machines[slot];
        if machine.gone || machine.node.is_some() {
            return Ok(());
        }
        let seed = mix(&[self.schedule.seed, 2, slot as u64, u64::from(machine.incarnation)]);
        let setup = Setup {
            ip: machine.ip,
            parameters: Parameters {
                retained_entries: self.schedule.tail,
                snapshot_chunk_bytes: PIECE,
                ..Parameters::new(T, CONFIRM, self.schedule.tolerance)
            },
            in_quorum: machine.in_quorum,
            log_kept: self.schedule.log_kept,
            rng: fastrand::Rng::with_seed(seed),
        };
        let stored = machine.disk.synced.clone();
        let founds = stored.snapshot.electorate.is_empty() && self.founders.iter().any(|f| f.id == stored.id);
        machine.armed = None;
        machine.held.clear();
        machine.durable = 0;
        let mut node = Node::new(now, stored, setup);
        if founds {
            node.raft.bootstrap(self.founders.clone());
        }
        machine.node = Some(node);
        self.judge.begins(self.now, slot);
        self.turn(slot)
    }

    fn stop(&mut self, slot: Slot, kept: Kept) -> RequestError {
        let machine = &mut self.machines[slot];
        machine.incarnation += 1;
        (machine.frozen, machine.leaving) = (None, None);
        machine.sync += 1;
        machine.disk.crash(kept);
        let Some(node) = machine.node.take() else { return Ok(()) };
        for call in node.calls() {
            self.register.answered(call, Answer::Unclear)?;
        }
        self.judge.told_is_kept(&held(&self.machines))
    }

    fn stop_for(&mut self, slot: Slot, kept: Kept, down: Duration) -> RequestError {
        self.troubled(slot, down);
        self.stop(slot, kept)?;
        let incarnation = self.machines[slot].incarnation;
        self.after(down, Event::Starts(slot, incarnation));
        Ok(())
    }

    fn thaw(&mut self, slot: Slot) -> RequestError {
        for event in self.machines[slot].frozen.take().unwrap_or_default() {
            let event = match event {
                Event::Tick(_) => {
                    self.machines[slot].armed = Some(self.now);
                    Event::Tick(slot)
                }
                event => event,
            };
            self.happens(event)?;
        }
        Ok(())
    }

    // ---- a controller's turn ---------------------------------------------------------------------

    fn turn(&mut self, slot: Slot) -> RequestError {
        let Some(node) = &mut self.machines[slot].node else { return Ok(()) };
        let outs = node.turn();
        let mut happened = Vec::new();
        let mut wrote = false;
        for out in outs {
            match out {
                Out::Write(number, write) => {
                    wrote = true;
                    let leads = self.leads(slot);
                    let changes = write
                        .entries
                        .iter()
                        .any(|indexed| matches!(indexed.entry.command, Command::ChangeElectorate { .. }));
                    let snapshot = write.snapshot.as_ref().is_some_and(|s| s.index > 0);
                    let disk = &mut self.machines[slot].disk;
                    if !disk.write(number, write.clone()) {
                        return broken("a write does not fit the log", format!("{slot}: {write:?}"));
                    }
                    self.judge.wrote(&self.machines[slot].disk.memory, &write)?;
                    if changes && leads {
                        let disks = held(&self.machines);
                        self.judge.admitted(self.now, &self.machines[slot].disk.memory, &disks)?;
                        happened.push(When::Changing);
                    }
                    if snapshot {
                        happened.push(When::Snapshot);
                    }
                }
                Out::Send(to, wire, after) if after > self.machines[slot].durable => {
                    self.machines[slot].held.push((after, to, wire));
                }
                Out::Send(to, wire, _) => self.send(slot, to, wire, &mut happened),
                Out::Restored(snapshot) => self.judge.restored(slot, &snapshot)?,
                Out::Applied(index, entry, outcome) => {
                    let term = raft(&self.machines[slot]).map_or(0, Raft::term);
                    self.judge.applied(self.now, (slot, term), (index, &entry, &outcome))?;
                }
                Out::Answer(call, answer) => self.answer(call, answer, &mut happened)?,
            }
        }
        let machine = &mut self.machines[slot];
        let durable = machine.durable;
        let (ready, waiting) = machine.held.drain(..).partition(|(after, ..)| *after <= durable);
        machine.held = waiting;
        let ready: Vec<(u64, Ipv4Addr, Wire)> = ready;
        for (_, to, wire) in ready {
            self.send(slot, to, wire, &mut happened);
        }
        self.begin_sync(slot);
        self.arm(slot);
        self.look(slot, wrote, &mut happened)?;
        for event in happened {
            self.provoke(event)?;
        }
        Ok(())
    }

    fn leads(&self, slot: Slot) -> bool {
        self.machines[slot].node.as_ref().is_some_and(|n| n.raft.role() == Role::Leader)
    }

    fn look(&mut self, slot: Slot, wrote: bool, happened: &mut Vec<When>) -> RequestError {
        let now = self.instant(slot);
        let machine = &self.machines[slot];
        let Some(node) = &machine.node else { return Ok(()) };
        let seen = see(slot, machine, node, now);
        let terms = self.judge.counts().terms;
        self.judge.look(self.now, &seen, CONFIRM)?;
        if self.judge.counts().terms > terms {
            happened.push(When::Leads);
        }
        let disks = held(&self.machines);
        self.judge.committed_durably(&seen, &disks, self.schedule.tolerance)?;
        if wrote || !happened.is_empty() {
            self.judge.electorates_overlap(&disks)?;
        }
        Ok(())
    }

    fn send(&mut self, from: Slot, to: Ipv4Addr, wire: Wire, happened: &mut Vec<When>) {
        if matches!(&wire, Wire::Raft(m) if matches!(m.body, MessageBody::VoteResponse { granted: true })) {
            happened.push(When::Voted);
        }
        let Some(slot) = self.machines.iter().position(|m| m.ip == to) else { return };
        if !self.links.open(self.now, from, slot) {
            return;
        }
        let nth = self.links.next(from, slot);
        let me = self.machines[from].ip;
        for at in self.fates.message(self.now, self.resting.is_some(), from, slot, nth) {
            self.queue(at, Event::Arrives(slot, me, Box::new(wire.clone())));
        }
    }

    fn begin_sync(&mut self, slot: Slot) {
        if !self.machines[slot].disk.begin_sync() {
            return;
        }
        let nth = self.machines[slot].disk.syncs;
        let usual = self.fates.sync(self.now, self.resting.is_some(), slot, nth);
        let machine = &mut self.machines[slot];
        machine.sync += 1;
        let takes = match machine.slow {
            // A disk that hangs is back at the end of the span.
            Some((sync, until)) if self.now < until => usual + sync.min(until - self.now),
            _ => usual,
        };
        let event = Event::Synced(slot, machine.sync);
        self.after(takes, event);
    }

    fn arm(&mut self, slot: Slot) {
        let now = self.instant(slot);
        let machine = &mut self.machines[slot];
        let Some(node) = &machine.node else { return };
        let at = self.now + node.due(now).duration_since(now);
        if machine.armed.is_none_or(|armed| at < armed || armed < self.now) {
            machine.armed = Some(at);
            self.queue(at, Event::Tick(slot));
        }
    }

    // ---- clients ----------------------------------------------------------------------------

    fn answer(&mut self, call: Call, answer: Answer, happened: &mut Vec<When>) -> RequestError {
        if let Answer::NotLeader(ip) = answer {
            let slot = self.machines.iter().position(|m| m.ip == ip);
            if let Some(slot) = slot.filter(|_| self.register.redirected(call)) {
                self.after(REDIRECT, Event::Reads(slot, call));
                return Ok(());
            }
        }
        let index = match self.register.answered(call, answer)? {
            Some(Kind::Put { order, .. }) => {
                self.resting = self.resting.map(|_| true);
                let put = &self.register.puts[order].raw;
                self.judge.find(|c| matches!(c, Command::Configure { raw, .. } if raw == put))
            }
            Some(Kind::Drain { id }) => self.judge.find(|c| matches!(c, Command::DrainInstance { id: i } if *i == id)),
            Some(Kind::Read) => {
                self.judge.counts.reads += 1;
                return Ok(());
            }
            None => return Ok(()),
        };
        let Some(index) = index else {
            return broken("what was told is lost", "it was never committed".to_owned());
        };
        self.judge.tells(self.now, index);
        happened.push(When::PrimaryReports);
        let disks = held(&self.machines);
        self.judge.told_is_kept(&disks)?;
        if self.schedule.bold {
            return Ok(());
        }
        self.judge.told_survives(&disks, self.may_still_be_lost(None))
    }

    /// How many more disks may be lost at this moment, one of them this machine's.
    fn may_still_be_lost(&self, besides: Option<Slot>) -> usize {
        let counts = |m: &Machine| !m.gone && m.in_quorum && (m.unsafe_yet || m.lost_until > self.now);
        let lost = self.machines.iter().enumerate().filter(|(slot, m)| Some(*slot) != besides && counts(m)).count();
        self.schedule.tolerance.saturating_sub(lost)
    }

    /// StoreError for a machine; it counts as lost until it has had its time afterwards.
    fn troubled(&mut self, slot: Slot, span: Duration) {
        let until = self.now + span + CATCH_UP;
        let machine = &mut self.machines[slot];
        machine.lost_until = machine.lost_until.max(until);
    }

    fn slot(&self, target: Target) -> Slot {
        let there: Vec<Slot> = (0..self.machines.len()).filter(|s| !self.machines[*s].gone).collect();
        let leader = there
            .iter()
            .copied()
            .filter(|s| self.leads(*s))
            .max_by_key(|s| self.machines[*s].node.as_ref().map(|n| n.raft.term()));
        let besides: Vec<Slot> = there.iter().copied().filter(|s| Some(*s) != leader).collect();
        match target {
            Target::Slot(n) => there[n % there.len()],
            Target::Leader => leader.unwrap_or(there[0]),
            Target::Other(n) => besides[n % besides.len()],
        }
    }

    // ---- steps ------------------------------------------------------------------------------

    fn step(&mut self, at: usize) -> RequestError {
        let Step { when, act, .. } = &self.schedule.steps[at];
        match act.clone() {
            Act::Fault(fault) if *when == When::Now => self.fault(fault)?,
            Act::Fault(fault) => self.waiting.push((*when, fault)),
            Act::Put { operator, at } => {
                let (call, command) = self.register.put(operator);
                self.call(at, call, command);
            }
            Act::Again { operator, at } => {
                if let Some((call, command)) = self.register.again(operator) {
                    self.call(at, call, command);
                }
            }
            Act::Drain { at } => {
                let (call, command) = self.register.drain();
                self.call(at, call, command);
            }
            Act::Read { at } => {
                let call = self.register.read();
                let slot = self.slot(at);
                self.after(Duration::ZERO, Event::Reads(slot, call));
            }
            Act::Rest { span } => self.rest(span)?,
        }
        Ok(())
    }

    fn call(&mut self, at: Target, call: Call, command: Command) {
        let slot = self.slot(at);
        self.after(Duration::ZERO, Event::Calls(slot, call, command));
    }

    /// Something happened that faults may have waited for.
    fn provoke(&mut self, event: When) -> RequestError {
        let Some(at) = self.waiting.iter().position(|(when, _)| *when == event) else { return Ok(()) };
        let (_, fault) = self.waiting.remove(at);
        self.fault(fault)
    }

    fn fault(&mut self, fault: Fault) -> RequestError {
        match fault {
            Fault::Power { who, kept, down } => self.stop_for(self.slot(who), kept, down)?,
            Fault::Kill { who, down } => self.stop_for(self.slot(who), Kept::All, down)?,
            Fault::PowerAll { kept, down } => self.power_all(kept, down)?,
            Fault::Wipe { who, down } => {
                let slot = self.slot(who);
                if self.may_lose(slot) {
                    self.wipe(slot)?;
                    let incarnation = self.machines[slot].incarnation;
                    self.after(down, Event::Starts(slot, incarnation));
                }
            }
            Fault::WipeMost { first, down } => {
                let mut lost = 0;
                for n in 0..self.machines.len() {
                    let slot = self.slot(Target::Slot(first + n));
                    if lost < self.schedule.tolerance && self.machines[slot].in_quorum && self.may_lose(slot) {
                        self.wipe(slot)?;
                        lost += 1;
                    }
                }
                if lost > 0 {
                    self.power_all(Kept::Nothing, down)?;
                }
            }
            Fault::Replace { who, orderly, down } => {
                let slot = self.slot(who);
                if self.may_lose(slot) {
                    let new = self.add_machine(self.machines[slot].in_quorum);
                    self.troubled(new, down);
                    self.after(down, Event::Starts(new, 0));
                    if orderly {
                        // It counts as lost from now on.
                        self.machines[slot].unsafe_yet = true;
                        self.leave(slot, None)?;
                    } else {
                        self.end(slot)?;
                    }
                }
            }
            Fault::Leave { who, down } => {
                let slot = self.slot(who);
                self.troubled(slot, PATIENCE + down);
                self.leave(slot, Some(down))?;
            }
            Fault::Freeze { who, span } => {
                let slot = self.slot(who);
                self.troubled(slot, span);
                let machine = &mut self.machines[slot];
                if machine.node.is_some() && machine.frozen.is_none() {
                    machine.frozen = Some(Vec::new());
                    let incarnation = machine.incarnation;
                    self.after(span, Event::Thaws(slot, incarnation));
                }
            }
            Fault::Jump { who, by } => {
                let slot = self.slot(who);
                self.troubled(slot, Duration::ZERO);
                self.machines[slot].ahead += by;
                self.machines[slot].armed = None;
                self.arm(slot);
            }
            Fault::Disk { who, sync, span } => {
                let slot = self.slot(who);
                self.troubled(slot, span);
                self.machines[slot].slow = Some((sync, self.now + span));
            }
            Fault::Cut { from, to, span } => {
                let until = self.now + span;
                let slots = 0..self.machines.len();
                for (a, b) in slots.clone().flat_map(|a| slots.clone().map(move |b| (a, b))) {
                    if from >> (a % 16) & 1 == 1 && to >> (b % 16) & 1 == 1 {
                        self.links.cut(a, b, until);
                        self.troubled(a, span);
                        self.troubled(b, span);
                    }
                }
            }
            Fault::Isolate { who, inbound, outbound, span } => {
                let (slot, until) = (self.slot(who), self.now + span);
                self.troubled(slot, span);
                for other in 0..self.machines.len() {
                    if inbound {
                        self.links.cut(other, slot, until);
                    }
                    if outbound {
                        self.links.cut(slot, other, until);
                    }
                }
            }
        }
        Ok(())
    }

    /// It is told to end; `back`: to return that long after it has.
    fn leave(&mut self, slot: Slot, back: Option<Duration>) -> RequestError {
        self.act(slot, |node, now| node.raft.begin_shutdown(now))?;
        let machine = &mut self.machines[slot];
        machine.leaving = Some(back.is_some());
        let incarnation = machine.incarnation;
        self.after(LOOK, Event::Leaves(slot, incarnation, self.now + PATIENCE, back));
        Ok(())
    }

    fn leaves(&mut self, slot: Slot, by: Duration, back: Option<Duration>) -> RequestError {
        let machine = &self.machines[slot];
        let incarnation = machine.incarnation;
        if self.now < by && raft(machine).is_some_and(|r| !r.may_shut_down()) {
            self.after(LOOK, Event::Leaves(slot, incarnation, by, back));
            return Ok(());
        }
        match back {
            Some(down) => {
                self.stop(slot, Kept::All)?;
                self.after(down, Event::Starts(slot, incarnation + 1));
            }
            None => self.end(slot)?,
        }
        Ok(())
    }

    /// It is gone for good.
    fn end(&mut self, slot: Slot) -> RequestError {
        self.wipe(slot)?;
        self.machines[slot].gone = true;
        Ok(())
    }

    /// A disk may be lost while fewer machines than the tolerance allows count as lost.
    fn may_lose(&self, slot: Slot) -> bool {
        let machine = &self.machines[slot];
        !machine.gone && (self.schedule.bold || !machine.in_quorum || self.may_still_be_lost(Some(slot)) > 0)
    }

    fn wipe(&mut self, slot: Slot) -> RequestError {
        self.stop(slot, Kept::All)?;
        let id = self.fresh_id(slot, self.machines[slot].incarnation);
        let machine = &mut self.machines[slot];
        machine.unsafe_yet = true;
        let old = std::mem::replace(&mut machine.disk, Disk::new(id));
        self.judge.lost(&old);
        self.judge.told_is_kept(&held(&self.machines))
    }

    fn power_all(&mut self, kept: Kept, down: Duration) -> RequestError {
        for slot in 0..self.machines.len() {
            if !self.machines[slot].gone {
                let lot = mix(&[self.schedule.seed, 3, slot as u64, self.now.as_micros() as u64]) % 1000;
                self.stop_for(slot, kept, down.mul_f64(lot as f64 / 1000.0))?;
            }
        }
        Ok(())
    }

    // ---- rest -------------------------------------------------------------------------------

    fn rest(&mut self, span: Duration) -> RequestError {
        self.links.heal();
        self.waiting.clear();
        for slot in 0..self.machines.len() {
            self.machines[slot].slow = None;
            self.machines[slot].lost_until = Duration::ZERO;
            self.troubled(slot, Duration::ZERO);
            if self.machines[slot].disk.busy() {
                self.machines[slot].sync += 1;
                let event = Event::Synced(slot, self.machines[slot].sync);
                self.after(ms(1), event);
            }
            self.thaw(slot)?;
            match self.machines[slot].leaving {
                Some(true) => self.stop(slot, Kept::All)?,
                Some(false) => self.end(slot)?,
                None => {}
            }
            self.start(slot)?;
        }
        self.resting = Some(false);
        self.rests += 1;
        self.queue(self.now + span, Event::Rested);
        self.after(PROBE, Event::Probe(self.rests));
        Ok(())
    }

    /// At rest somebody keeps asking for a change until one is taken.
    fn probe(&mut self, rest: u32) -> RequestError {
        if rest == self.rests && self.resting == Some(false) {
            let (call, command) = self.register.put(OPERATORS);
            self.call(Target::Leader, call, command);
            self.after(PROBE, Event::Probe(rest));
        }
        Ok(())
    }

    /// The trouble has been over for as long as it takes to catch up.
    fn rested(&mut self) -> RequestError {
        if self.schedule.bold {
            self.resting = None;
            return self.in_force();
        }
        if self.resting.take() != Some(true) {
            return broken("no progress", "no change was taken while all was well".to_owned());
        }
        let there: Vec<&Machine> = self.machines.iter().filter(|m| !m.gone && m.in_quorum).collect();
        let Some(electorate) = self.judge.last_electorate() else { return Ok(()) };
        let voters = &electorate.voters;
        let there_vote = voters.iter().filter(|v| there.iter().any(|m| m.disk.id() == v.id)).count();
        let odd = there.len() - usize::from(there.len().is_multiple_of(2));
        if electorate.is_joint() || there_vote < odd || there_vote < majority(voters.len()) + self.schedule.tolerance {
            let what = format!("{voters:x?} of {} machines", there.len());
            return broken("the electorate is not back", what);
        }
        self.machines.iter_mut().for_each(|m| m.unsafe_yet = false);
        let disks = held(&self.machines);
        self.judge.told_survives(&disks, self.may_still_be_lost(None))?;
        self.in_force()
    }

    fn in_force(&self) -> RequestError {
        self.register.in_force(&self.judge.chain, &self.judge.control_state().draining_instances)
    }

    /// After the last rest all hold the same.
    fn level(&mut self) -> RequestError {
        if self.schedule.bold {
            return self.in_force();
        }
        for slot in 0..self.machines.len() {
            let now = self.instant(slot);
            if let Some(node) = &self.machines[slot].node {
                self.judge.caught_up(&see(slot, &self.machines[slot], node, now))?;
            }
        }
        self.in_force()
    }
}

fn raft(machine: &Machine) -> Option<&Raft> {
    machine.node.as_ref().map(|n| &n.raft)
}

fn see<'a>(slot: Slot, machine: &'a Machine, node: &'a Node, now: Instant) -> HealthCheckState<'a> {
    HealthCheckState {
        slot,
        incarnation: machine.incarnation,
        role: node.raft.role(),
        term: node.raft.term(),
        commit: node.raft.commit_index(),
        electorate: node.raft.electorate(),
        confirmed: node.raft.is_confirmed_leader(now),
        current: node.raft.has_had_quorum_contact(),
        control_state: &node.control_state,
        disk: &machine.disk,
    }
}

/// The disks that there are, also those of machines that are down.
fn held(machines: &[Machine]) -> Vec<Held<'_>> {
    let there = machines.iter().filter(|m| !m.gone);
    there
        .map(|m| Held {
            running: m.node.is_some(),
            in_quorum: m.in_quorum,
            disk: &m.disk,
            leads: raft(m).is_some_and(|r| r.role() == Role::Leader),
        })
        .collect()
}
