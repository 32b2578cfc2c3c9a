//! Clients: their calls, and the answers that they get.

use super::World;
use super::event::Event;
use super::node_views::disk_views;
use crate::checker::{CheckResult, broken};
use crate::node::{Answer, Call};
use crate::register::CallKind;
use crate::schedule::{Target, When, ms};
use lichenfield_engine::version::control_state::Command;
use std::time::Duration;

/// A client that was redirected calls the leader this much later.
const REDIRECT_DELAY: Duration = ms(2);

impl World<'_> {
    pub(super) fn call(&mut self, at: Target, call: Call, command: Command) {
        let slot = self.slot(at);
        self.after(Duration::ZERO, Event::ClientChange { slot, call, command });
    }

    pub(super) fn answer(&mut self, call: Call, answer: Answer, happened: &mut Vec<When>) -> CheckResult {
        if let Answer::NotLeader(ip) = answer {
            let slot = self.machines.iter().position(|m| m.ip == ip);
            if let Some(slot) = slot.filter(|_| self.register.redirected(call)) {
                self.after(REDIRECT_DELAY, Event::ClientRead { slot, call });
                return Ok(());
            }
        }
        let index = match self.register.answered(call, answer)? {
            Some(CallKind::Put { put_index, .. }) => {
                self.quiet_period = self.quiet_period.map(|_| true);
                let put = &self.register.puts[put_index].raw;
                self.checker.find(|c| matches!(c, Command::Configure { raw, .. } if raw == put))
            }
            Some(CallKind::Drain { id }) => {
                self.checker.find(|c| matches!(c, Command::DrainInstance { id: i } if *i == id))
            }
            Some(CallKind::Read) => {
                self.checker.counts.reads += 1;
                return Ok(());
            }
            None => return Ok(()),
        };
        let Some(index) = index else {
            return broken("an acknowledged change is lost", "it was never committed".to_owned());
        };
        self.checker.record_acknowledgement(self.now, index);
        happened.push(When::ChangeAcknowledged);
        let disks = disk_views(&self.machines);
        self.checker.acknowledged_is_electable(&disks)?;
        if self.schedule.exceeds_tolerance {
            return Ok(());
        }
        self.checker.acknowledged_survives_loss(&disks, self.losses_left(None))
    }
}
