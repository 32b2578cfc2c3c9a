//! What happens in the world, and the order in which it does.

use crate::network::Wire;
use crate::node::Call;
use crate::schedule::Slot;
use lichenfield_engine::version::control_state::Command;
use std::net::Ipv4Addr;
use std::time::Duration;

pub(super) enum Event {
    /// A message arrives.
    Deliver { slot: Slot, from: Ipv4Addr, wire: Box<Wire> },
    /// A controller's timer expires.
    Tick { slot: Slot },
    /// The sync with this number is done.
    SyncDone { slot: Slot, sync: u64 },
    /// A process starts.
    Start { slot: Slot, incarnation: u32 },
    /// A frozen process resumes.
    Resume { slot: Slot, incarnation: u32 },
    /// A process that shuts down ends once it may, or at `deadline`; it returns after `restart_after`, or never.
    ShutdownPoll { slot: Slot, incarnation: u32, deadline: Duration, restart_after: Option<Duration> },
    /// The step of the schedule with this index is due.
    Step { index: usize },
    /// A client sends a change.
    ClientChange { slot: Slot, call: Call, command: Command },
    /// A client sends a read.
    ClientRead { slot: Slot, call: Call },
    /// A change is proposed in the quiet period with this number.
    Probe { quiet_period: u32 },
    /// A quiet period ends.
    QuietPeriodEnd,
    /// The run ends.
    End,
}

impl Event {
    /// The machine that the event waits for while that is frozen.
    pub(super) fn slot(&self) -> Option<Slot> {
        match self {
            Event::Deliver { slot, .. } | Event::Tick { slot } | Event::SyncDone { slot, .. } => Some(*slot),
            Event::ShutdownPoll { slot, .. } | Event::ClientChange { slot, .. } | Event::ClientRead { slot, .. } => {
                Some(*slot)
            }
            _ => None,
        }
    }

    /// The process that the event is for; it is dropped when that has ended.
    pub(super) fn incarnation(&self) -> Option<(Slot, u32)> {
        match self {
            Event::Start { slot, incarnation }
            | Event::Resume { slot, incarnation }
            | Event::ShutdownPoll { slot, incarnation, .. } => Some((*slot, *incarnation)),
            _ => None,
        }
    }
}

/// An event at its time; events of the same time happen in the order in which they were queued.
pub(super) struct Queued {
    pub(super) at: Duration,
    /// Counts the queued events.
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
