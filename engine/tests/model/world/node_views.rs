//! What the checker sees of the machines.

use super::machine::Machine;
use crate::checker::{ControllerView, DiskView};
use crate::node::Node;
use crate::schedule::Slot;
use lichenfield_engine::process::consensus::{Raft, Role};
use std::time::Instant;

pub(super) fn raft(machine: &Machine) -> Option<&Raft> {
    machine.node.as_ref().map(|n| &n.raft)
}

pub(super) fn controller_view<'a>(
    slot: Slot,
    machine: &'a Machine,
    node: &'a Node,
    now: Instant,
) -> ControllerView<'a> {
    ControllerView {
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

/// The disks that exist, including those of machines that are down.
pub(super) fn disk_views(machines: &[Machine]) -> Vec<DiskView<'_>> {
    let there = machines.iter().filter(|m| !m.gone);
    there
        .map(|m| DiskView {
            running: m.node.is_some(),
            in_quorum: m.in_quorum,
            disk: &m.disk,
            leads: raft(m).is_some_and(|r| r.role() == Role::Leader),
        })
        .collect()
}
