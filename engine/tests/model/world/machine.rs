//! Machines: processes that start, stop, freeze and shut down, and disks that are lost.

use super::event::Event;
use super::node_views::{disk_views, raft};
use super::{CONFIRMATION_WINDOW, World};
use crate::checker::CheckResult;
use crate::disk::Disk;
use crate::network::{Wire, hash_parts};
use crate::node::{Answer, Node, Setup};
use crate::schedule::{CATCH_UP, Slot, SurvivingWrites, Target, ms};
use lichenfield_engine::process::consensus::{Parameters, WriteNumber};
use lichenfield_engine::version::electorate::VoterId;
use std::net::Ipv4Addr;
use std::time::Duration;

/// T of the simulated controllers.
const T: Duration = ms(150);
/// Bytes of a snapshot's chunk: small, so that each snapshot takes several.
const CHUNK_BYTES: usize = 400;
/// A process that shuts down checks this often whether it may end, and ends in any case after the timeout.
const SHUTDOWN_POLL_INTERVAL: Duration = ms(10);
pub(super) const SHUTDOWN_TIMEOUT: Duration = ms(3000);

/// A message that waits for a write.
pub(super) struct UnsentMessage {
    pub(super) after: WriteNumber,
    pub(super) to: Ipv4Addr,
    pub(super) wire: Wire,
}

/// A disk whose syncs take longer by `sync`, until a moment.
#[derive(Clone, Copy)]
pub(super) struct SlowDisk {
    pub(super) sync: Duration,
    pub(super) until: Duration,
}

/// A machine: a disk, and perhaps a running controller.
pub(super) struct Machine {
    pub(super) ip: Ipv4Addr,
    pub(super) disk: Disk,
    pub(super) in_quorum: bool,
    pub(super) node: Option<Node>,
    /// Counts the processes that ran here.
    pub(super) incarnation: u32,
    /// It was removed for good.
    pub(super) gone: bool,
    /// It is shutting down; true if it will return.
    pub(super) returns_after_shutdown: Option<bool>,
    /// Its disk was lost or is new, and no quiet period has ended since.
    pub(super) is_recovering: bool,
    /// Until then it counts as lost because of another fault, with time to catch up.
    pub(super) lost_until: Duration,
    /// The events of a frozen machine, which wait until it resumes.
    pub(super) frozen: Option<Vec<Event>>,
    /// How far its clock is ahead.
    pub(super) clock_offset: Duration,
    pub(super) tick_at: Option<Duration>,
    /// Messages that wait for a write.
    pub(super) unsent: Vec<UnsentMessage>,
    /// The newest durable write.
    pub(super) durable: WriteNumber,
    /// The sync under way.
    pub(super) sync: u64,
    /// Syncs take longer.
    pub(super) slow_disk: Option<SlowDisk>,
}

impl World<'_> {
    pub(super) fn add_machine(&mut self, in_quorum: bool) -> Slot {
        let slot = self.machines.len();
        self.machines.push(Machine {
            ip: Ipv4Addr::new(10, 0, 0, slot as u8 + 1),
            disk: Disk::new(self.fresh_id(slot, 0)),
            in_quorum,
            node: None,
            incarnation: 0,
            gone: false,
            returns_after_shutdown: None,
            is_recovering: true,
            lost_until: Duration::ZERO,
            frozen: None,
            clock_offset: Duration::ZERO,
            tick_at: None,
            unsent: Vec::new(),
            durable: 0,
            sync: 0,
            slow_disk: None,
        });
        slot
    }

    pub(super) fn fresh_id(&self, slot: Slot, incarnation: u32) -> VoterId {
        hash_parts(&[self.schedule.seed, 1, slot as u64, u64::from(incarnation)]) >> 32 | 1
    }

    /// Starts a process from what is synced on the disk.
    pub(super) fn start(&mut self, slot: Slot) -> CheckResult {
        let now = self.instant(slot);
        let machine = &mut self.machines[slot];
        if machine.gone || machine.node.is_some() {
            return Ok(());
        }
        let seed = hash_parts(&[self.schedule.seed, 2, slot as u64, u64::from(machine.incarnation)]);
        let setup = Setup {
            ip: machine.ip,
            parameters: Parameters {
                retained_entries: self.schedule.tail,
                snapshot_chunk_bytes: CHUNK_BYTES,
                ..Parameters::new(T, CONFIRMATION_WINDOW, self.schedule.tolerance)
            },
            in_quorum: machine.in_quorum,
            compact_after: self.schedule.compact_after,
            rng: fastrand::Rng::with_seed(seed),
        };
        let stored = machine.disk.synced.clone();
        let founds = stored.snapshot.electorate.is_empty() && self.founders.iter().any(|f| f.id == stored.id);
        machine.tick_at = None;
        machine.unsent.clear();
        machine.durable = 0;
        let mut node = Node::new(now, stored, setup);
        if founds {
            node.raft.bootstrap(self.founders.clone());
        }
        machine.node = Some(node);
        self.checker.begin_incarnation(self.now, slot);
        self.run_step(slot)
    }

    /// The process ends without notice; of the writes under way `kept` survive.
    pub(super) fn stop(&mut self, slot: Slot, kept: SurvivingWrites) -> CheckResult {
        let machine = &mut self.machines[slot];
        machine.incarnation += 1;
        (machine.frozen, machine.returns_after_shutdown) = (None, None);
        machine.sync += 1;
        machine.disk.crash(kept);
        let Some(node) = machine.node.take() else { return Ok(()) };
        for call in node.calls() {
            self.register.answered(call, Answer::Unclear)?;
        }
        self.checker.acknowledged_is_electable(&disk_views(&self.machines))
    }

    /// The process ends without notice, and another starts after a while.
    pub(super) fn restart_after(&mut self, slot: Slot, kept: SurvivingWrites, down: Duration) -> CheckResult {
        self.count_as_lost(slot, down);
        self.stop(slot, kept)?;
        let incarnation = self.machines[slot].incarnation;
        self.after(down, Event::Start { slot, incarnation });
        Ok(())
    }

    /// A frozen process handles what has waited for it.
    pub(super) fn resume(&mut self, slot: Slot) -> CheckResult {
        for event in self.machines[slot].frozen.take().unwrap_or_default() {
            let event = match event {
                Event::Tick { .. } => {
                    self.machines[slot].tick_at = Some(self.now);
                    Event::Tick { slot }
                }
                event => event,
            };
            self.handle_event(event)?;
        }
        Ok(())
    }

    /// Begins an orderly shutdown; with `restart_after` the machine returns that long after its end.
    pub(super) fn begin_shutdown(&mut self, slot: Slot, restart_after: Option<Duration>) -> CheckResult {
        self.input(slot, |node, now| node.raft.begin_shutdown(now))?;
        let machine = &mut self.machines[slot];
        machine.returns_after_shutdown = Some(restart_after.is_some());
        let incarnation = machine.incarnation;
        let deadline = self.now + SHUTDOWN_TIMEOUT;
        self.after(SHUTDOWN_POLL_INTERVAL, Event::ShutdownPoll { slot, incarnation, deadline, restart_after });
        Ok(())
    }

    /// Ends a process that shuts down once it may end, or at the deadline.
    pub(super) fn poll_shutdown(
        &mut self,
        slot: Slot,
        deadline: Duration,
        restart_after: Option<Duration>,
    ) -> CheckResult {
        let machine = &self.machines[slot];
        let incarnation = machine.incarnation;
        if self.now < deadline && raft(machine).is_some_and(|raft| !raft.may_shut_down()) {
            self.after(SHUTDOWN_POLL_INTERVAL, Event::ShutdownPoll { slot, incarnation, deadline, restart_after });
            return Ok(());
        }
        match restart_after {
            Some(down) => {
                self.stop(slot, SurvivingWrites::All)?;
                self.after(down, Event::Start { slot, incarnation: incarnation + 1 });
            }
            None => self.remove_machine(slot)?,
        }
        Ok(())
    }

    /// Removes a machine for good.
    pub(super) fn remove_machine(&mut self, slot: Slot) -> CheckResult {
        self.wipe(slot)?;
        self.machines[slot].gone = true;
        Ok(())
    }

    /// Whether this disk may be lost: fewer machines than the tolerance allows count as lost.
    pub(super) fn may_lose_disk(&self, slot: Slot) -> bool {
        let machine = &self.machines[slot];
        !machine.gone && (self.schedule.exceeds_tolerance || !machine.in_quorum || self.losses_left(Some(slot)) > 0)
    }

    /// The disk is lost; its successor has another identity.
    pub(super) fn wipe(&mut self, slot: Slot) -> CheckResult {
        self.stop(slot, SurvivingWrites::All)?;
        let id = self.fresh_id(slot, self.machines[slot].incarnation);
        let machine = &mut self.machines[slot];
        machine.is_recovering = true;
        let old = std::mem::replace(&mut machine.disk, Disk::new(id));
        self.checker.lost(&old);
        self.checker.acknowledged_is_electable(&disk_views(&self.machines))
    }

    /// All machines lose power, and each returns within `down`.
    pub(super) fn power_all(&mut self, kept: SurvivingWrites, down: Duration) -> CheckResult {
        for slot in 0..self.machines.len() {
            if !self.machines[slot].gone {
                let draw = hash_parts(&[self.schedule.seed, 3, slot as u64, self.now.as_micros() as u64]) % 1000;
                self.restart_after(slot, kept, down.mul_f64(draw as f64 / 1000.0))?;
            }
        }
        Ok(())
    }

    /// How many more disks may be lost at this moment, not counting `besides` as lost.
    pub(super) fn losses_left(&self, besides: Option<Slot>) -> usize {
        let counts = |m: &Machine| !m.gone && m.in_quorum && (m.is_recovering || m.lost_until > self.now);
        let lost = self.machines.iter().enumerate().filter(|(slot, m)| Some(*slot) != besides && counts(m)).count();
        self.schedule.tolerance.saturating_sub(lost)
    }

    /// A fault affects a machine for a while; it counts as lost until it has had time to catch up afterwards.
    pub(super) fn count_as_lost(&mut self, slot: Slot, span: Duration) {
        let until = self.now + span + CATCH_UP;
        let machine = &mut self.machines[slot];
        machine.lost_until = machine.lost_until.max(until);
    }

    /// The machine that a step applies to now.
    pub(super) fn slot(&self, target: Target) -> Slot {
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
}
