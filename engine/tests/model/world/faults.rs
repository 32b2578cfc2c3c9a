//! The steps of the schedule, and the faults among them.

use super::World;
use super::event::Event;
use super::machine::{SHUTDOWN_TIMEOUT, SlowDisk};
use crate::checker::CheckResult;
use crate::schedule::{Action, Fault, Slot, Step, SurvivingWrites, Target, When};
use std::time::Duration;

impl World<'_> {
    /// Takes the step of the schedule with this index.
    pub(super) fn step(&mut self, index: usize) -> CheckResult {
        let Step { when, action, .. } = &self.schedule.steps[index];
        match action.clone() {
            Action::Fault(fault) if *when == When::Now => self.fault(fault)?,
            Action::Fault(fault) => self.waiting.push((*when, fault)),
            Action::Put { operator, at } => {
                let (call, command) = self.register.put(operator);
                self.call(at, call, command);
            }
            Action::Again { operator, at } => {
                if let Some((call, command)) = self.register.again(operator) {
                    self.call(at, call, command);
                }
            }
            Action::Drain { at } => {
                let (call, command) = self.register.drain();
                self.call(at, call, command);
            }
            Action::Read { at } => {
                let call = self.register.read();
                let slot = self.slot(at);
                self.after(Duration::ZERO, Event::ClientRead { slot, call });
            }
            Action::QuietPeriod { span } => self.begin_quiet_period(span)?,
        }
        Ok(())
    }

    /// Applies a fault that waited for this event.
    pub(super) fn trigger_faults(&mut self, event: When) -> CheckResult {
        let Some(at) = self.waiting.iter().position(|(when, _)| *when == event) else { return Ok(()) };
        let (_, fault) = self.waiting.remove(at);
        self.fault(fault)
    }

    /// Applies a fault now.
    fn fault(&mut self, fault: Fault) -> CheckResult {
        match fault {
            Fault::Power { target, kept, down } => self.restart_after(self.slot(target), kept, down)?,
            Fault::Kill { target, down } => self.restart_after(self.slot(target), SurvivingWrites::All, down)?,
            Fault::PowerAll { kept, down } => self.power_all(kept, down)?,
            Fault::Wipe { target, down } => self.wipe_and_restart(self.slot(target), down)?,
            Fault::WipeMost { first, down } => self.wipe_most(first, down)?,
            Fault::Replace { target, orderly, down } => self.replace(self.slot(target), orderly, down)?,
            Fault::Leave { target, down } => {
                let slot = self.slot(target);
                self.count_as_lost(slot, SHUTDOWN_TIMEOUT + down);
                self.begin_shutdown(slot, Some(down))?;
            }
            Fault::Freeze { target, span } => self.freeze(self.slot(target), span),
            Fault::Jump { target, by } => self.jump_clock(self.slot(target), by),
            Fault::Disk { target, sync, span } => {
                let slot = self.slot(target);
                self.count_as_lost(slot, span);
                self.machines[slot].slow_disk = Some(SlowDisk { sync, until: self.now + span });
            }
            Fault::Cut { from, to, span } => self.cut(from, to, span),
            Fault::Isolate { target, inbound, outbound, span } => {
                self.isolate(self.slot(target), inbound, outbound, span)
            }
        }
        Ok(())
    }

    fn wipe_and_restart(&mut self, slot: Slot, down: Duration) -> CheckResult {
        if self.may_lose_disk(slot) {
            self.wipe(slot)?;
            let incarnation = self.machines[slot].incarnation;
            self.after(down, Event::Start { slot, incarnation });
        }
        Ok(())
    }

    /// Wipes as many disks as the tolerance allows, and cuts the power of all machines if there were any.
    fn wipe_most(&mut self, first: Slot, down: Duration) -> CheckResult {
        let mut lost = 0;
        for offset in 0..self.machines.len() {
            let slot = self.slot(Target::Slot(first + offset));
            if lost < self.schedule.tolerance && self.machines[slot].in_quorum && self.may_lose_disk(slot) {
                self.wipe(slot)?;
                lost += 1;
            }
        }
        if lost > 0 {
            self.power_all(SurvivingWrites::Nothing, down)?;
        }
        Ok(())
    }

    fn replace(&mut self, slot: Slot, orderly: bool, down: Duration) -> CheckResult {
        if !self.may_lose_disk(slot) {
            return Ok(());
        }
        let new = self.add_machine(self.machines[slot].in_quorum);
        self.count_as_lost(new, down);
        self.after(down, Event::Start { slot: new, incarnation: 0 });
        if orderly {
            // It counts as lost from now on.
            self.machines[slot].is_recovering = true;
            self.begin_shutdown(slot, None)
        } else {
            self.remove_machine(slot)
        }
    }

    fn freeze(&mut self, slot: Slot, span: Duration) {
        self.count_as_lost(slot, span);
        let machine = &mut self.machines[slot];
        if machine.node.is_some() && machine.frozen.is_none() {
            machine.frozen = Some(Vec::new());
            let incarnation = machine.incarnation;
            self.after(span, Event::Resume { slot, incarnation });
        }
    }

    fn jump_clock(&mut self, slot: Slot, by: Duration) {
        self.count_as_lost(slot, Duration::ZERO);
        self.machines[slot].clock_offset += by;
        self.machines[slot].tick_at = None;
        self.schedule_tick(slot);
    }

    /// Cuts the links from one set of machines to another, each given by a bit per machine.
    fn cut(&mut self, from: u16, to: u16, span: Duration) {
        let until = self.now + span;
        let slots = 0..self.machines.len();
        for (sender, receiver) in slots.clone().flat_map(|a| slots.clone().map(move |b| (a, b))) {
            if from >> (sender % 16) & 1 == 1 && to >> (receiver % 16) & 1 == 1 {
                self.links.cut(sender, receiver, until);
                self.count_as_lost(sender, span);
                self.count_as_lost(receiver, span);
            }
        }
    }

    fn isolate(&mut self, slot: Slot, inbound: bool, outbound: bool, span: Duration) {
        let until = self.now + span;
        self.count_as_lost(slot, span);
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
