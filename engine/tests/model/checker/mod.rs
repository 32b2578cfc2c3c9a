//! The checker of the log. It sees what the controllers write, apply, commit and acknowledge, and checks
//! Raft's safety properties (Raft, figure 3) and the durability that an acknowledgement promises.
//!
//! - `log_writes`: log matching, snapshots, applied entries
//! - `controller_views`: election safety, leader completeness, commits, convergence
//! - `electability`: overlap of majorities, and whether acknowledged changes survive losses

mod controller_views;
mod electability;
mod log_writes;

use crate::disk::{Disk, StoredLog};
use crate::schedule::Slot;
use lichenfield_engine::process::consensus::{Entry, PersistentState, Role};
use lichenfield_engine::version::control_state::{Command, ControlState, Outcome};
use lichenfield_engine::version::electorate::{Electorate, VoterId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The longest message delay. A message may be received by the controller's next incarnation and report a state from before its start.
const MESSAGE_DELAY_MAX: Duration = Duration::from_secs(1);

/// A violated property: its name, and the details.
#[derive(Debug, Clone)]
pub struct Violation {
    pub kind: &'static str,
    pub what: String,
}

pub type CheckResult = Result<(), Violation>;

pub fn broken(kind: &'static str, what: String) -> CheckResult {
    Err(Violation { kind, what })
}

/// What the checker sees of a running controller after a step.
pub struct ControllerView<'a> {
    pub slot: Slot,
    pub incarnation: u32,
    pub role: Role,
    pub term: u64,
    pub commit: u64,
    pub electorate: &'a Electorate,
    pub confirmed: bool,
    pub current: bool,
    pub control_state: &'a ControlState,
    pub disk: &'a Disk,
}

/// A disk that exists, and the state of its controller.
pub struct DiskView<'a> {
    pub running: bool,
    /// Whether it may become a voter, so that its loss counts towards the tolerance.
    pub in_quorum: bool,
    pub disk: &'a Disk,
    /// Whether its controller runs and leads.
    pub leads: bool,
}

impl DiskView<'_> {
    /// The state by which it votes or starts an election now.
    fn log(&self) -> &PersistentState {
        if self.running { &self.disk.memory } else { &self.disk.synced }
    }
}

#[derive(Debug, Default)]
struct IncarnationState {
    commit: u64,
    /// The commit index last checked against the disks.
    checked_commit: u64,
    applied: u64,
    /// The last term that it led, and the last term in which it stopped leading.
    leads: u64,
    led: u64,
    /// Its electorate after its last step.
    electorate: Electorate,
    current: bool,
    /// The index acknowledged to clients when this incarnation began, or shortly before.
    acknowledged: u64,
}

/// The leader of a term.
#[derive(Debug, Clone, Copy)]
struct TermLeader {
    id: VoterId,
    incarnation: u32,
    elected_at: Duration,
}

/// What was observed so far.
#[derive(Debug, Default)]
pub struct Checker {
    /// The leader of each term, its incarnation, and when it began to lead.
    leaders: BTreeMap<u64, TermLeader>,
    /// Each entry ever written, by index and term, with the term of the entry before it.
    entries: HashMap<(u64, u64), (Entry, Option<u64>)>,
    pub committed: Vec<Entry>,
    committed_at: Vec<Duration>,
    /// The terms in which entries were committed; an entry's own may be lower.
    committed_in: Vec<u64>,
    reference: ControlState,
    /// The accepted configurations, in order.
    pub chain: Vec<Vec<u8>>,
    outcomes: Vec<Outcome>,
    states: Vec<u64>,
    /// The committed electorates, by index; the founders' electorate has index 0.
    electorates: Vec<(u64, Electorate)>,
    incarnations: BTreeMap<Slot, IncarnationState>,
    /// The highest index acknowledged to a client.
    pub acknowledged: u64,
    acknowledged_at: Vec<(Duration, u64)>,
    /// What was durable on the lost disks.
    lost_disks: Vec<PersistentState>,
    pub counts: Counts,
}

/// What a run has covered.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub terms: usize,
    pub committed: usize,
    pub acknowledged: usize,
    pub reads: usize,
    pub electorates: usize,
    pub snapshots: usize,
    pub restored: usize,
    pub truncated: usize,
    pub lost_disks: usize,
}

pub fn majority(of: usize) -> usize {
    of / 2 + 1
}

fn holds(stored: &PersistentState, index: u64, term: u64) -> bool {
    stored.snapshot.index >= index || stored.term_at(index) == Some(term)
}

impl Checker {
    pub fn set_founders(&mut self, electorate: Electorate) {
        self.electorates.push((0, electorate));
    }

    pub fn counts(&self) -> Counts {
        let (terms, committed) = (self.leaders.len(), self.committed.len());
        Counts {
            terms,
            committed,
            electorates: self.electorates.len(),
            lost_disks: self.lost_disks.len(),
            ..self.counts
        }
    }

    fn committed_term(&self, index: u64) -> Option<u64> {
        if index == 0 { Some(0) } else { self.committed.get(index as usize - 1).map(|e| e.term) }
    }

    /// The entry at an index was acknowledged to a client.
    pub fn record_acknowledgement(&mut self, now: Duration, index: u64) {
        self.counts.acknowledged += 1;
        self.acknowledged = self.acknowledged.max(index);
        self.acknowledged_at.push((now, self.acknowledged));
    }

    pub fn begin_incarnation(&mut self, now: Duration, slot: Slot) {
        let acknowledged = self
            .acknowledged_at
            .iter()
            .rev()
            .find(|(at, _)| *at + MESSAGE_DELAY_MAX <= now)
            .map_or(0, |(_, index)| *index);
        self.incarnations.insert(slot, IncarnationState { acknowledged, ..IncarnationState::default() });
    }

    pub fn lost(&mut self, disk: &Disk) {
        self.lost_disks.push(disk.synced.clone());
    }

    /// The index of the last committed entry whose command satisfies a condition.
    pub fn find(&self, fits: impl Fn(&Command) -> bool) -> Option<u64> {
        self.committed.iter().rposition(|e| fits(&e.command)).map(|at| at as u64 + 1)
    }

    pub fn last_electorate(&self) -> Option<&Electorate> {
        self.electorates.last().map(|(_, e)| e)
    }

    pub fn control_state(&self) -> &ControlState {
        &self.reference
    }
}
