//! The world: simulated time, machines, and the queue of events. The checker checks every step of a controller.
//!
//! - `event`: what can happen, and in which order
//! - `machine`: processes that start and stop, and disks that are lost
//! - `controller_step`: an input to a controller, and what follows from it
//! - `clients`: calls and answers
//! - `faults`: the steps of the schedule
//! - `quiet_period`: checks of liveness once all faults are over
//! - `node_views`, `trace`: what the checker and the reader see

mod clients;
mod controller_step;
mod event;
mod faults;
mod machine;
mod node_views;
mod quiet_period;
mod trace;

use crate::checker::{CheckResult, Checker, Counts, Violation};
use crate::network::{Fates, Links, hash_parts};
use crate::register::Register;
use crate::schedule::{Fate, FateTarget, Fault, OPERATORS, Schedule, Slot, When, ms};
use event::{Event, Queued};
use lichenfield_engine::version::electorate::{Electorate, Voter};
use machine::Machine;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// How long a leader counts as confirmed.
pub(super) const CONFIRMATION_WINDOW: Duration = ms(400);
/// The founders are the seeds: three machines, whatever the size.
const SEEDS: usize = 3;
/// Convergence is checked this long after the last quiet period.
const FINAL_CHECK_DELAY: Duration = ms(500);

/// The result of a run.
pub struct RunResult {
    pub broken: Option<(Duration, Violation)>,
    pub fates: BTreeMap<FateTarget, Fate>,
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
    checker: Checker,
    register: Register,
    /// Faults that wait for an event.
    waiting: Vec<(When, Fault)>,
    /// Whether a change was accepted in the current quiet period; `None` outside quiet periods.
    quiet_period: Option<bool>,
    quiet_periods: u32,
    trace: bool,
}

impl<'a> World<'a> {
    /// Runs a schedule; with `trace` each event is printed.
    pub fn run(schedule: &'a Schedule, trace: bool) -> RunResult {
        let mut world = World::new(schedule);
        world.trace = trace;
        let mut error = world.begin();
        while let (Ok(()), Some(Reverse(Queued { at, event, .. }))) = (&error, world.queue.pop()) {
            world.now = at;
            if matches!(event, Event::End) {
                error = world.check_convergence();
                break;
            }
            error = world.handle_event(event);
        }
        let counts = world.checker.counts();
        RunResult { broken: error.err().map(|v| (world.now, v)), fates: world.fates.recorded(), counts }
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
            checker: Checker::default(),
            register: Register::new(OPERATORS + 1),
            waiting: Vec::new(),
            quiet_period: None,
            quiet_periods: 0,
            trace: false,
        }
    }

    fn begin(&mut self) -> CheckResult {
        for slot in 0..self.schedule.machines {
            self.add_machine(!self.schedule.learner || slot + 1 < self.schedule.machines);
        }
        let founders = self.machines.iter().take(SEEDS).map(|m| Voter { id: m.disk.id(), ip: m.ip });
        self.founders = founders.collect();
        self.founders.sort_unstable();
        self.checker.set_founders(Electorate::new(self.founders.clone()));
        for slot in 0..self.machines.len() {
            // All start within 0.3 s of each other.
            let draw = hash_parts(&[self.schedule.seed, 5, slot as u64]) % 300;
            self.queue(ms(draw), Event::Start { slot, incarnation: 0 });
        }
        for (index, step) in self.schedule.steps.iter().enumerate() {
            self.queue(step.at, Event::Step { index });
        }
        self.queue(self.schedule.end + FINAL_CHECK_DELAY, Event::End);
        Ok(())
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse(Queued { at, number: self.queued, event }));
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.queue(self.now + pause, event);
    }

    fn instant(&self, slot: Slot) -> Instant {
        self.base + self.now + self.machines[slot].clock_offset
    }

    fn handle_event(&mut self, event: Event) -> CheckResult {
        if self.trace {
            self.print_event(&event);
        }
        if let Some(waiting) = event.slot().and_then(|slot| self.machines[slot].frozen.as_mut()) {
            waiting.push(event);
            return Ok(());
        }
        if event.incarnation().is_some_and(|(slot, incarnation)| incarnation != self.machines[slot].incarnation) {
            return Ok(());
        }
        match event {
            Event::Deliver { slot, from, wire } => self.input(slot, |node, now| node.receive(now, from, *wire)),
            Event::Tick { slot } => self.tick(slot),
            Event::SyncDone { slot, sync } => self.synced(slot, sync),
            Event::ClientChange { slot, call, command } => {
                self.input(slot, |node, now| node.propose(now, call, command))
            }
            Event::ClientRead { slot, call } => self.input(slot, |node, now| node.read(now, call)),
            Event::Start { slot, .. } => self.start(slot),
            Event::Resume { slot, .. } => self.resume(slot),
            Event::ShutdownPoll { slot, deadline, restart_after, .. } => {
                self.poll_shutdown(slot, deadline, restart_after)
            }
            Event::Step { index } => self.step(index),
            Event::Probe { quiet_period } => self.probe(quiet_period),
            Event::QuietPeriodEnd => self.end_quiet_period(),
            Event::End => Ok(()),
        }
    }
}
