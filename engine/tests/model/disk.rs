//! A controller's disk: what is synced, what is only written, what waits to be written.

use super::schedule::Kept;
use lichenfield_engine::process::consensus::{Entry, PersistentState, Write};
use lichenfield_engine::version::control_state::Command;
use lichenfield_engine::version::electorate::{Electorate, Voter, VoterId};
use std::collections::VecDeque;

/// Looking into what is stored: the only place that knows how the log and the snapshot lie there.
pub trait Log {
    fn last(&self) -> u64;
    fn last_term(&self) -> u64;
    fn term_at(&self, index: u64) -> Option<u64>;
    fn entry(&self, index: u64) -> Option<&Entry>;
    /// The newest electorate, committed or not, and where it stands.
    fn electorate(&self) -> (u64, &Electorate);
    /// The newest before an index.
    fn electorate_before(&self, index: u64) -> &Electorate;
    /// Whether this log could be that of a voter who votes for one whose log ends so.
    fn yields_to(&self, last_term: u64, last: u64) -> bool {
        (last_term, last) >= (self.last_term(), self.last())
    }
}

impl Log for PersistentState {
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
    /// What no loss of power takes.
    pub synced: PersistentState,
    /// What the controller believes that it has written: its memory.
    pub memory: PersistentState,
    /// Writes that are not synced, and how many of them are with the disk.
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

    /// What is synced, in a line.
    pub fn told(&self) -> String {
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

    /// Gives the disk all that waits; true if there was something and the disk was free.
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

    /// What was with the disk is durable; the number of the last such write.
    pub fn end_sync(&mut self) -> Option<u64> {
        let mut durable = None;
        for (number, write) in self.queue.drain(..self.with_disk) {
            self.synced.apply(write);
            durable = Some(number);
        }
        self.with_disk = 0;
        durable
    }

    /// The process is gone. Whatever the crash left is read and synced before anything rests on it.
    pub fn crash(&mut self, kept: Kept) {
        let kept = match kept {
            Kept::All => self.with_disk,
            Kept::Nothing => 0,
            Kept::First(n) => n.min(self.with_disk),
        };
        for (_, write) in self.queue.drain(..).take(kept) {
            self.synced.apply(write);
        }
        self.with_disk = 0;
        self.memory = self.synced.clone();
    }
}
