//! A controller's disk: what is synced, and the writes that are not.

use super::schedule::SurvivingWrites;
use lichenfield_engine::process::consensus::{Entry, PersistentState, Write};
use lichenfield_engine::version::control_state::Command;
use lichenfield_engine::version::electorate::{Electorate, Voter, VoterId};
use std::collections::VecDeque;

/// Reads the stored log; the only place that knows the layout of log and snapshot.
pub trait StoredLog {
    fn last(&self) -> u64;
    fn last_term(&self) -> u64;
    fn term_at(&self, index: u64) -> Option<u64>;
    fn entry(&self, index: u64) -> Option<&Entry>;
    /// The newest electorate, committed or not, and its index.
    fn electorate(&self) -> (u64, &Electorate);
    /// The newest electorate before an index.
    fn electorate_before(&self, index: u64) -> &Electorate;
    /// Whether a voter with this log votes for a candidate whose log ends so (Raft §5.4.1).
    fn would_vote_for(&self, last_term: u64, last: u64) -> bool {
        (last_term, last) >= (self.last_term(), self.last())
    }
}

impl StoredLog for PersistentState {
    fn last(&self) -> u64 {
        self.base_index + self.log.len() as u64
    }
    fn last_term(&self) -> u64 {
        self.log.last().map_or(self.base_term, |e| e.term)
    }
    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }
    fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index.checked_sub(self.base_index + 1)? as usize)
    }
    fn electorate(&self) -> (u64, &Electorate) {
        let newest = self.last() + 1;
        let at = (self.snapshot.index + 1..newest).rev().find(|at| elects(self.entry(*at)).is_some());
        at.and_then(|at| Some((at, elects(self.entry(at))?))).unwrap_or((0, &self.snapshot.electorate))
    }
    fn electorate_before(&self, index: u64) -> &Electorate {
        let found = (self.base_index + 1..index).rev().find_map(|at| elects(self.entry(at)));
        found.unwrap_or(&self.snapshot.electorate)
    }
}

fn elects(entry: Option<&Entry>) -> Option<&Electorate> {
    match &entry?.command {
        Command::ChangeElectorate { electorate } => Some(electorate),
        _ => None,
    }
}

#[derive(Debug)]
pub struct Disk {
    /// What survives a loss of power.
    pub synced: PersistentState,
    /// What the controller has written, synced or not.
    pub memory: PersistentState,
    /// Writes that are not synced, and how many of them the sync under way covers.
    queue: VecDeque<(u64, Write)>,
    with_disk: usize,
    pub syncs: u32,
}

impl Disk {
    pub fn new(id: VoterId) -> Self {
        Disk::holding(PersistentState { id, ..PersistentState::default() })
    }

    fn holding(stored: PersistentState) -> Self {
        Disk { memory: stored.clone(), synced: stored, queue: VecDeque::new(), with_disk: 0, syncs: 0 }
    }

    /// A one-line description of what is synced.
    pub fn summary(&self) -> String {
        let (at, electorate) = self.synced.electorate();
        let ids = |voters: &[Voter]| voters.iter().map(|v| format!("{:x}", v.id)).collect::<Vec<_>>().join(" ");
        let (now, before) = (ids(&electorate.voters), ids(&electorate.outgoing));
        let (last, term) = (self.synced.last(), self.synced.last_term());
        format!("{:x} ends at {last} of {term}, electorate [{now}] after [{before}] at {at}", self.id())
    }

    pub fn id(&self) -> VoterId {
        self.synced.id
    }

    /// False if the write does not fit what is there.
    pub fn write(&mut self, number: u64, write: Write) -> bool {
        let fits = self.memory.apply(write.clone());
        self.queue.push_back((number, write));
        fits
    }

    /// Begins a sync of all waiting writes; false if there are none or a sync is under way.
    pub fn begin_sync(&mut self) -> bool {
        if self.with_disk > 0 || self.queue.is_empty() {
            return false;
        }
        self.with_disk = self.queue.len();
        self.syncs += 1;
        true
    }

    pub fn busy(&self) -> bool {
        self.with_disk > 0
    }

    /// Completes the sync under way; returns the number of the last write that it covers.
    pub fn end_sync(&mut self) -> Option<u64> {
        let mut durable = None;
        for (number, write) in self.queue.drain(..self.with_disk) {
            self.synced.apply(write);
            durable = Some(number);
        }
        self.with_disk = 0;
        durable
    }

    /// The process has crashed. Whatever the crash left is read and synced before anything relies on it.
    pub fn crash(&mut self, kept: SurvivingWrites) {
        let kept = match kept {
            SurvivingWrites::All => self.with_disk,
            SurvivingWrites::Nothing => 0,
            SurvivingWrites::First(n) => n.min(self.with_disk),
        };
        for (_, write) in self.queue.drain(..).take(kept) {
            self.synced.apply(write);
        }
        self.with_disk = 0;
        self.memory = self.synced.clone();
    }
}
