//! A controller's step: an input, the outputs that follow from it, and the checks after it.

use super::event::Event;
use super::machine::{SlowDisk, UnsentMessage};
use super::node_views::{controller_view, disk_views, raft};
use super::{CONFIRMATION_WINDOW, World};
use crate::checker::{CheckResult, broken};
use crate::network::Wire;
use crate::node::{Node, NodeOutput};
use crate::schedule::{Slot, When};
use lichenfield_engine::process::consensus::{Entry, MessageBody, Raft, Role, Write, WriteNumber};
use lichenfield_engine::version::control_state::Command;
use std::net::Ipv4Addr;
use std::time::Instant;

impl World<'_> {
    /// Passes one input to a controller, and performs its outputs.
    pub(super) fn input(&mut self, slot: Slot, input: impl FnOnce(&mut Node, Instant)) -> CheckResult {
        let now = self.instant(slot);
        let Some(node) = &mut self.machines[slot].node else { return Ok(()) };
        input(node, now);
        self.run_step(slot)
    }

    pub(super) fn tick(&mut self, slot: Slot) -> CheckResult {
        if self.machines[slot].tick_at != Some(self.now) {
            return Ok(());
        }
        self.machines[slot].tick_at = None;
        let me = self.machines[slot].ip;
        let others: Vec<Ipv4Addr> = self.machines.iter().map(|m| m.ip).filter(|ip| *ip != me).collect();
        self.input(slot, |node, now| node.tick(now, &others))
    }

    pub(super) fn synced(&mut self, slot: Slot, sync: u64) -> CheckResult {
        let machine = &mut self.machines[slot];
        if machine.sync != sync || machine.node.is_none() {
            return Ok(());
        }
        let Some(number) = machine.disk.end_sync() else { return Ok(()) };
        machine.durable = number;
        self.input(slot, |node, now| node.raft.on_write_durable(now, number))?;
        self.checker.acknowledged_is_electable(&disk_views(&self.machines))
    }

    /// Performs a controller's outputs, checks it, and triggers the faults that waited for what happened.
    pub(super) fn run_step(&mut self, slot: Slot) -> CheckResult {
        let Some(node) = &mut self.machines[slot].node else { return Ok(()) };
        let outputs = node.run_step();
        let wrote = outputs.iter().any(|output| matches!(output, NodeOutput::Write { .. }));
        let mut happened = Vec::new();
        for output in outputs {
            self.perform(slot, output, &mut happened)?;
        }
        self.send_released(slot, &mut happened);
        self.begin_sync(slot);
        self.schedule_tick(slot);
        self.check_view(slot, wrote, &mut happened)?;
        for event in happened {
            self.trigger_faults(event)?;
        }
        Ok(())
    }

    fn perform(&mut self, slot: Slot, output: NodeOutput, happened: &mut Vec<When>) -> CheckResult {
        match output {
            NodeOutput::Write { number, write } => self.write(slot, number, write, happened)?,
            NodeOutput::Send { to, wire, after } if after > self.machines[slot].durable => {
                self.machines[slot].unsent.push(UnsentMessage { after, to, wire });
            }
            NodeOutput::Send { to, wire, .. } => self.send(slot, to, wire, happened),
            NodeOutput::Restored(snapshot) => self.checker.restored(slot, &snapshot)?,
            NodeOutput::Applied(applied) => {
                let term = raft(&self.machines[slot]).map_or(0, Raft::term);
                self.checker.applied(self.now, slot, term, &applied)?;
            }
            NodeOutput::Answer(call, answer) => self.answer(call, answer, happened)?,
        }
        Ok(())
    }

    fn write(&mut self, slot: Slot, number: WriteNumber, write: Write, happened: &mut Vec<When>) -> CheckResult {
        let is_change = |entry: &Entry| matches!(entry.command, Command::ChangeElectorate { .. });
        let changes_electorate = write.entries.iter().any(|indexed| is_change(&indexed.entry));
        let has_snapshot = write.snapshot.as_ref().is_some_and(|snapshot| snapshot.index > 0);
        let disk = &mut self.machines[slot].disk;
        if !disk.write(number, write.clone()) {
            return broken("a write does not fit the log", format!("{slot}: {write:?}"));
        }
        self.checker.wrote(&self.machines[slot].disk.memory, &write)?;
        if changes_electorate && self.leads(slot) {
            let disks = disk_views(&self.machines);
            self.checker.check_admitted(self.now, &self.machines[slot].disk.memory, &disks)?;
            happened.push(When::ElectorateAppended);
        }
        if has_snapshot {
            happened.push(When::Snapshot);
        }
        Ok(())
    }

    /// Sends the messages whose write is durable.
    fn send_released(&mut self, slot: Slot, happened: &mut Vec<When>) {
        let machine = &mut self.machines[slot];
        let durable = machine.durable;
        let (ready, waiting): (Vec<UnsentMessage>, _) =
            machine.unsent.drain(..).partition(|message| message.after <= durable);
        machine.unsent = waiting;
        for message in ready {
            self.send(slot, message.to, message.wire, happened);
        }
    }

    pub(super) fn leads(&self, slot: Slot) -> bool {
        self.machines[slot].node.as_ref().is_some_and(|n| n.raft.role() == Role::Leader)
    }

    pub(super) fn check_view(&mut self, slot: Slot, wrote: bool, happened: &mut Vec<When>) -> CheckResult {
        let now = self.instant(slot);
        let machine = &self.machines[slot];
        let Some(node) = &machine.node else { return Ok(()) };
        let seen = controller_view(slot, machine, node, now);
        let terms = self.checker.counts().terms;
        self.checker.check_view(self.now, &seen, CONFIRMATION_WINDOW)?;
        if self.checker.counts().terms > terms {
            happened.push(When::LeaderElected);
        }
        let disks = disk_views(&self.machines);
        self.checker.check_committed_durably(&seen, &disks, self.schedule.tolerance)?;
        if wrote || !happened.is_empty() {
            self.checker.check_electorates_overlap(&disks)?;
        }
        Ok(())
    }

    pub(super) fn send(&mut self, from: Slot, to: Ipv4Addr, wire: Wire, happened: &mut Vec<When>) {
        if matches!(&wire, Wire::Raft(m) if matches!(m.body, MessageBody::VoteResponse { granted: true })) {
            happened.push(When::VoteSent);
        }
        let Some(slot) = self.machines.iter().position(|m| m.ip == to) else { return };
        if !self.links.open(self.now, from, slot) {
            return;
        }
        let nth = self.links.next(from, slot);
        let me = self.machines[from].ip;
        for at in self.fates.message(self.now, self.quiet_period.is_some(), from, slot, nth) {
            self.queue(at, Event::Deliver { slot, from: me, wire: Box::new(wire.clone()) });
        }
    }

    pub(super) fn begin_sync(&mut self, slot: Slot) {
        if !self.machines[slot].disk.begin_sync() {
            return;
        }
        let nth = self.machines[slot].disk.syncs;
        let usual = self.fates.sync(self.now, self.quiet_period.is_some(), slot, nth);
        let machine = &mut self.machines[slot];
        machine.sync += 1;
        let takes = match machine.slow_disk {
            // A stalled disk recovers at the end of the span.
            Some(SlowDisk { sync, until }) if self.now < until => usual + sync.min(until - self.now),
            _ => usual,
        };
        let event = Event::SyncDone { slot, sync: machine.sync };
        self.after(takes, event);
    }

    pub(super) fn schedule_tick(&mut self, slot: Slot) {
        let now = self.instant(slot);
        let machine = &mut self.machines[slot];
        let Some(node) = &machine.node else { return };
        let at = self.now + node.due(now).duration_since(now);
        if machine.tick_at.is_none_or(|tick_at| at < tick_at || tick_at < self.now) {
            machine.tick_at = Some(at);
            self.queue(at, Event::Tick { slot });
        }
    }
}
