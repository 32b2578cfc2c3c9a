//! A machine and the daemon on it.

use super::{HostIndex, network};
use lichenfield_engine::connection::shutdown::Shutdown;
use lichenfield_engine::process::consensus::{PersistentState, Write};
use lichenfield_engine::process::controller::Controller;
use lichenfield_engine::process::dissemination::tree::DisseminationTree;
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::pooler::Pooler;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

/// A process on a host: it ends with the incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId {
    pub(super) host: HostIndex,
    pub(super) incarnation: u32,
}

/// A write that a controller has given to its disk.
pub(super) struct PendingWrite {
    pub(super) number: u64,
    pub(super) write: Write,
}

/// A message that waits for a write to be on the disk.
pub(super) struct HeldMessage {
    pub(super) after: u64,
    pub(super) to: Ipv4Addr,
    pub(super) message: PeerMessage,
}

/// A controller and its disk.
pub(super) struct ControllerNode {
    pub(super) controller: Option<Box<Controller>>,
    pub(super) disk: PersistentState,
    /// Writes that are not on the disk yet.
    pub(super) pending_writes: VecDeque<PendingWrite>,
    pub(super) held_messages: Vec<HeldMessage>,
    /// Number of the last write given to the disk.
    pub(super) written: u64,
    /// Number of the last write on the disk.
    pub(super) durable: u64,
    /// Whether a sync is under way.
    pub(super) syncing: bool,
}

/// A pooler's shutdown.
#[derive(Debug, Clone, Copy)]
pub(super) struct Drain {
    pub(super) shutdown: Shutdown,
    /// Whether it is started again.
    pub(super) restarts: bool,
}

/// A pooler and its dissemination tree.
pub(super) struct PoolerNode {
    pub(super) pooler: Option<Box<Pooler>>,
    pub(super) tree: Option<Box<DisseminationTree>>,
    /// Revision of the configuration at the last check.
    pub(super) revision: u64,
    /// Newest revision acknowledged when this process began.
    pub(super) revision_at_start: u64,
    pub(super) drain: Option<Drain>,
}

/// The daemon that runs on a host.
pub(super) enum Daemon {
    Controller(ControllerNode),
    Pooler(PoolerNode),
}

/// A machine with one daemon.
pub(super) struct Host {
    pub(super) daemon: Daemon,
    pub(super) ip: Ipv4Addr,
    /// Counts starts and stops.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// Removed for good, or not added yet.
    pub(super) removed: bool,
    pub(super) frozen: bool,
    /// When the process's next tick is scheduled.
    pub(super) tick_at: Option<Duration>,
}

impl Host {
    /// A machine for a controller, with an empty disk of a given id.
    pub(super) fn controller(index: HostIndex, disk_id: u64) -> Self {
        Host::new(
            index,
            Daemon::Controller(ControllerNode {
                controller: None,
                disk: empty_disk(disk_id),
                pending_writes: VecDeque::new(),
                held_messages: Vec::new(),
                written: 0,
                durable: 0,
                syncing: false,
            }),
        )
    }

    /// A machine for a pooler.
    pub(super) fn pooler(index: HostIndex) -> Self {
        let node = PoolerNode { pooler: None, tree: None, revision: 0, revision_at_start: 0, drain: None };
        Host::new(index, Daemon::Pooler(node))
    }

    fn new(index: HostIndex, daemon: Daemon) -> Self {
        Host {
            daemon,
            ip: network::address(index),
            incarnation: 0,
            up: false,
            removed: false,
            frozen: false,
            tick_at: None,
        }
    }

    /// Whether clients and other poolers can connect to the pooler of this host.
    pub(super) fn accepts_clients(&self) -> bool {
        match &self.daemon {
            Daemon::Pooler(node) => {
                node.pooler.is_some() && node.drain.is_none_or(|drain| drain.shutdown.is_accepting())
            }
            Daemon::Controller(_) => false,
        }
    }

    /// The running controller, if this host has one.
    pub(super) fn running_controller(&self) -> Option<&Controller> {
        match &self.daemon {
            Daemon::Controller(node) => node.controller.as_deref(),
            Daemon::Pooler(_) => None,
        }
    }

    /// The running controller, to be changed.
    pub(super) fn running_controller_mut(&mut self) -> Option<&mut Controller> {
        match &mut self.daemon {
            Daemon::Controller(node) => node.controller.as_deref_mut(),
            Daemon::Pooler(_) => None,
        }
    }

    /// The running pooler, if this host has one.
    pub(super) fn running_pooler(&self) -> Option<&Pooler> {
        match &self.daemon {
            Daemon::Pooler(node) => node.pooler.as_deref(),
            Daemon::Controller(_) => None,
        }
    }

    /// The running pooler, to be changed.
    pub(super) fn running_pooler_mut(&mut self) -> Option<&mut Pooler> {
        match &mut self.daemon {
            Daemon::Pooler(node) => node.pooler.as_deref_mut(),
            Daemon::Controller(_) => None,
        }
    }
}

/// A disk that nothing was written to.
pub(super) fn empty_disk(id: u64) -> PersistentState {
    PersistentState { id, ..PersistentState::default() }
}
