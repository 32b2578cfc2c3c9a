//! The faults of a run and their times: drawn from a seed (`draw`), recorded, printed, and shrunk (`shrink`).
//!
//! A schedule has two parts. The *steps* (crashes, cuts, wipes, calls of clients) are drawn before the
//! run. The *fates* (a message lost, late or doubled, a sync that takes long) are drawn while it goes on
//! and recorded under the name of what they apply to, "the nth message from a to b". Everything that has
//! no fate takes its default, so a run is a function of its schedule, and any part of a schedule is a
//! schedule too. What a step may do is decided when it is due (a disk is never lost beyond the
//! tolerance), so dropping other steps can't make it break the contract.

mod draw;
mod shrink;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A machine, by its index in the world's list; an empty machine at a new address has an index of its own.
pub type Slot = usize;

/// The machine that a step applies to, decided when it is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Target {
    Slot(Slot),
    /// The running leader of the highest term, or the first machine if there is none.
    Leader,
    /// The nth machine other than the leader.
    Other(usize),
}

/// Which of the writes in the sync under way survive a crash: a prefix of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SurvivingWrites {
    All,
    Nothing,
    First(usize),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Loss of power; the disk stays.
    Power {
        target: Target,
        kept: SurvivingWrites,
        down: Duration,
    },
    /// The process dies; files stay as they were written.
    Kill {
        target: Target,
        down: Duration,
    },
    /// All machines lose power at once, and return one after the other within `down`.
    PowerAll {
        kept: SurvivingWrites,
        down: Duration,
    },
    /// The machine returns at its address with an empty disk, if the tolerance allows that now.
    Wipe {
        target: Target,
        down: Duration,
    },
    /// It is removed for good, with or without an orderly shutdown, and an empty one starts at a new address.
    Replace {
        target: Target,
        orderly: bool,
        down: Duration,
    },
    /// As many disks as the tolerance allows are lost while the others lose power.
    WipeMost {
        first: Slot,
        down: Duration,
    },
    /// An orderly shutdown: it transfers its leadership, and its process ends a little later.
    Leave {
        target: Target,
        down: Duration,
    },
    Freeze {
        target: Target,
        span: Duration,
    },
    /// The machine's clock jumps, and only that machine's.
    Jump {
        target: Target,
        by: Duration,
    },
    /// Each sync takes longer by `sync`; with `sync` beyond `span` the disk is stalled.
    Disk {
        target: Target,
        sync: Duration,
        span: Duration,
    },
    /// Nothing from the machines of one set reaches those of the other.
    Cut {
        from: u16,
        to: u16,
        span: Duration,
    },
    Isolate {
        target: Target,
        inbound: bool,
        outbound: bool,
        span: Duration,
    },
}

/// A step is due at its time, or at the first such event after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    Now,
    /// A change was acknowledged to a client.
    ChangeAcknowledged,
    /// A granted vote was sent.
    VoteSent,
    /// A leader was elected.
    LeaderElected,
    /// A leader wrote a new electorate to its log.
    ElectorateAppended,
    /// A snapshot was written.
    Snapshot,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Fault(Fault),
    /// An operator sends a change based on the newest version it knows.
    Put {
        operator: usize,
        at: Target,
    },
    /// An operator sends its last change again, unchanged.
    Again {
        operator: usize,
        at: Target,
    },
    Drain {
        at: Target,
    },
    Read {
        at: Target,
    },
    /// All faults end and every machine is back; by the end of the span the cluster must work.
    QuietPeriod {
        span: Duration,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub when: When,
    pub action: Action,
}

/// What a fate applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FateTarget {
    /// The nth message on a link.
    Message { from: Slot, to: Slot, nth: u32 },
    /// The nth sync of a machine's disk.
    Sync { slot: Slot, nth: u32 },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    Lost,
    /// Later by this than it would have been.
    Late(Duration),
    /// Delivered, and delivered once more later by this.
    Twice(Duration),
}

/// The probabilities of the fates, per mille, and the longest delays.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    pub lost: u32,
    pub late: u32,
    pub twice: u32,
    pub tail: Duration,
    pub slow_sync: u32,
    pub sync_tail: Duration,
}

/// A period in which fates are drawn.
#[derive(Debug, Clone, Copy)]
pub struct FaultPeriod {
    pub from: Duration,
    pub until: Duration,
    pub rates: FaultRates,
}

#[derive(Debug, Clone)]
pub struct Schedule {
    /// Also the seed of the election timers, identities and default delays.
    pub seed: u64,
    pub machines: usize,
    /// The last machine is a learner and never votes.
    pub learner: bool,
    pub tolerance: usize,
    /// Disks are lost beyond the tolerance: safety must hold, liveness need not.
    pub exceeds_tolerance: bool,
    /// Applied entries after which the log is compacted.
    pub compact_after: u64,
    /// Entries kept in the log behind a snapshot.
    pub tail: u64,
    pub end: Duration,
    pub steps: Vec<Step>,
    pub fates: BTreeMap<FateTarget, Fate>,
    /// Periods in which fates are drawn; none where they are only looked up.
    pub fault_periods: Vec<FaultPeriod>,
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A machine that is back, or new, counts as caught up after this time.
pub const CATCH_UP: Duration = Duration::from_secs(4);

/// The number of operators that send changes.
pub const OPERATORS: usize = 3;

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Schedule { seed, machines, learner, tolerance, exceeds_tolerance, compact_after, tail, .. } = self;
        let tolerance = format!("tolerance {tolerance}{}", if *exceeds_tolerance { " and beyond" } else { "" });
        let learner = if *learner { ", the last only learns" } else { "" };
        writeln!(
            f,
            "seed {seed}: {machines} machines{learner}, {tolerance}, {compact_after} entries before a snapshot, {tail} behind it"
        )?;
        for step in &self.steps {
            let when = if step.when == When::Now { String::new() } else { format!(" at the next {:?}", step.when) };
            writeln!(f, "  {:?}{when}: {:?}", step.at, step.action)?;
        }
        for (target, fate) in &self.fates {
            writeln!(f, "  {target:?}: {fate:?}")?;
        }
        Ok(())
    }
}
