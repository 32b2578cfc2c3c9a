//! Quiet periods: all faults end, and the checks of liveness apply.

use super::World;
use super::event::Event;
use super::machine::Machine;
use super::node_views::{controller_view, disk_views};
use crate::checker::{CheckResult, broken, majority};
use crate::schedule::{OPERATORS, SurvivingWrites, Target, ms};
use std::time::Duration;

/// In a quiet period a change is proposed this often until one is accepted.
const PROBE_INTERVAL: Duration = ms(300);

impl World<'_> {
    pub(super) fn begin_quiet_period(&mut self, span: Duration) -> CheckResult {
        self.links.heal();
        self.waiting.clear();
        for slot in 0..self.machines.len() {
            self.machines[slot].slow_disk = None;
            self.machines[slot].lost_until = Duration::ZERO;
            self.count_as_lost(slot, Duration::ZERO);
            if self.machines[slot].disk.busy() {
                self.machines[slot].sync += 1;
                let event = Event::SyncDone { slot, sync: self.machines[slot].sync };
                self.after(ms(1), event);
            }
            self.resume(slot)?;
            match self.machines[slot].returns_after_shutdown {
                Some(true) => self.stop(slot, SurvivingWrites::All)?,
                Some(false) => self.remove_machine(slot)?,
                None => {}
            }
            self.start(slot)?;
        }
        self.quiet_period = Some(false);
        self.quiet_periods += 1;
        self.queue(self.now + span, Event::QuietPeriodEnd);
        self.after(PROBE_INTERVAL, Event::Probe { quiet_period: self.quiet_periods });
        Ok(())
    }

    /// In a quiet period a change is proposed until one is accepted.
    pub(super) fn probe(&mut self, number: u32) -> CheckResult {
        if number == self.quiet_periods && self.quiet_period == Some(false) {
            let (call, command) = self.register.put(OPERATORS);
            self.call(Target::Leader, call, command);
            self.after(PROBE_INTERVAL, Event::Probe { quiet_period: number });
        }
        Ok(())
    }

    /// The quiet period has been long enough to catch up: the cluster must work again.
    pub(super) fn end_quiet_period(&mut self) -> CheckResult {
        if self.schedule.exceeds_tolerance {
            self.quiet_period = None;
            return self.check_in_force();
        }
        if self.quiet_period.take() != Some(true) {
            return broken("no progress", "no change was taken while all was well".to_owned());
        }
        let there: Vec<&Machine> = self.machines.iter().filter(|m| !m.gone && m.in_quorum).collect();
        let Some(electorate) = self.checker.last_electorate() else { return Ok(()) };
        let voters = &electorate.voters;
        let there_vote = voters.iter().filter(|v| there.iter().any(|m| m.disk.id() == v.id)).count();
        let odd = there.len() - usize::from(there.len().is_multiple_of(2));
        if electorate.is_joint() || there_vote < odd || there_vote < majority(voters.len()) + self.schedule.tolerance {
            let what = format!("{voters:x?} of {} machines", there.len());
            return broken("the electorate is not back", what);
        }
        self.machines.iter_mut().for_each(|m| m.is_recovering = false);
        let disks = disk_views(&self.machines);
        self.checker.acknowledged_survives_loss(&disks, self.losses_left(None))?;
        self.check_in_force()
    }

    pub(super) fn check_in_force(&self) -> CheckResult {
        self.register.check_in_force(&self.checker.chain, &self.checker.control_state().draining_instances)
    }

    /// After the last quiet period all controllers have applied the same entries.
    pub(super) fn check_convergence(&mut self) -> CheckResult {
        if self.schedule.exceeds_tolerance {
            return self.check_in_force();
        }
        for slot in 0..self.machines.len() {
            let now = self.instant(slot);
            if let Some(node) = &self.machines[slot].node {
                self.checker.check_caught_up(&controller_view(slot, &self.machines[slot], node, now))?;
            }
        }
        self.check_in_force()
    }
}
