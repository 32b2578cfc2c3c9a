//! Prints a run event by event.

use super::World;
use super::event::Event;
use super::node_views::raft;
use crate::disk::StoredLog;

/// Characters of an event that are printed.
const TRACE_WIDTH: usize = 260;

impl World<'_> {
    pub(super) fn print_event(&self, event: &Event) {
        let what = match event {
            Event::Deliver { slot, from, wire } => format!("{slot} <- {}: {wire:?}", from.octets()[3] - 1),
            Event::SyncDone { slot, .. } => format!("{slot} synced"),
            Event::Start { slot, .. } => format!("{slot} starts"),
            Event::Resume { slot, .. } => format!("{slot} resumes"),
            Event::Step { index } => format!("{:?}", self.schedule.steps[*index]),
            Event::QuietPeriodEnd => "the quiet period ends".to_owned(),
            _ => return,
        };
        let what: String = what.chars().take(TRACE_WIDTH).collect();
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
}
