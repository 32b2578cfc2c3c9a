//! The log in memory: a snapshot, and the entries from somewhat before its index on.

use super::{Entry, PersistentState, Snapshot};
use crate::version::control_state::Command;
use crate::version::electorate::{Electorate, VoterId};
use std::collections::VecDeque;

/// Bytes of entries kept behind the snapshot, so that a follower that lags a little needs no snapshot.
const RETAINED_BYTES: usize = 1 << 20;
/// Bytes of entries kept behind the snapshot while a live follower still lacks them.
const RETAINED_BYTES_FOR_FOLLOWER: usize = 16 << 20;

/// The index and term of an entry. Positions compare by term first, as in the check of how up to date a
/// candidate's log is (Raft §5.4.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogPosition {
    pub term: u64,
    pub index: u64,
}

/// The log of one daemon.
///
/// Invariant: `base.index <= snapshot.index <= last_index()`, so every index after the snapshot has its entry.
pub(super) struct Log {
    snapshot: Snapshot,
    /// The entry before the first one in `entries`.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// The newest electorate in the log, committed or not (Raft §6).
    electorate: Electorate,
    /// The index of its entry; 0 if it is the snapshot's.
    electorate_index: u64,
}

impl Log {
    pub fn new(stored: PersistentState) -> Self {
        let mut log = Log {
            snapshot: stored.snapshot,
            base: LogPosition { term: stored.base_term, index: stored.base_index },
            entries: stored.log.into(),
            electorate: Electorate::default(),
            electorate_index: 0,
        };
        log.refresh_electorate();
        log
    }

    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The entry before the first one that is kept.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    pub fn last_position(&self) -> LogPosition {
        let term = self.entries.back().map_or(self.base.term, |entry| entry.term);
        LogPosition { term, index: self.last_index() }
    }

    /// The number of entries kept, including those behind the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|offset| offset as usize)
    }

    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index { Some(self.base.term) } else { self.entry(index).map(|entry| entry.term) }
    }

    /// The entries from an index on.
    pub fn entries_from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(self.offset(index).unwrap_or(0))
    }

    /// The index before the first entry of the term that the entry at `index` is of, but not before `floor`.
    pub fn index_before_term_of(&self, index: u64, floor: u64) -> u64 {
        let term = self.term_at(index);
        let mut before = index;
        while before > floor && self.term_at(before) == term {
            before -= 1;
        }
        before.max(floor)
    }

    // ---- electorate -------------------------------------------------------------------------

    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    pub fn electorate_index(&self) -> u64 {
        self.electorate_index
    }

    /// The electorate that the entry at `index` sets.
    fn electorate_at(&self, index: u64) -> Option<&Electorate> {
        entry_electorate(self.entry(index)?)
    }

    /// Whether this voter was in the electorate before the newest one.
    pub fn was_voter(&self, id: VoterId) -> bool {
        let earlier = self.snapshot.index + 1..self.electorate_index;
        let previous = earlier.rev().find_map(|index| self.electorate_at(index));
        previous.unwrap_or(&self.snapshot.electorate).contains(id)
    }

    /// Finds the newest electorate; to be called whenever the snapshot or the end of the log has changed.
    fn refresh_electorate(&mut self) {
        let after_snapshot = self.snapshot.index + 1..=self.last_index();
        let newest = after_snapshot.rev().find_map(|index| Some((index, self.electorate_at(index)?.clone())));
        (self.electorate_index, self.electorate) = newest.unwrap_or((0, self.snapshot.electorate.clone()));
    }

    /// Sets the first electorate, before anything is in the log.
    pub fn bootstrap(&mut self, electorate: Electorate) {
        self.snapshot.electorate = electorate;
        self.refresh_electorate();
    }

    // ---- the end of the log -----------------------------------------------------------------

    /// Appends an entry and returns its index. An electorate counts from the moment it is in the log
    /// (Raft §6).
    pub fn push(&mut self, entry: Entry) -> u64 {
        if let Some(electorate) = entry_electorate(&entry) {
            (self.electorate_index, self.electorate) = (self.last_index() + 1, electorate.clone());
        }
        self.entries.push_back(entry);
        self.last_index()
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate(self.offset(from).unwrap_or(0));
        self.refresh_electorate();
    }

    // ---- snapshot ---------------------------------------------------------------------------

    /// Makes `state`, which the entries up to `index` led to, the snapshot. The entries stay.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.term_at(index) else { return };
        let covered = self.snapshot.index + 1..=index;
        let newest = covered.rev().find_map(|index| self.electorate_at(index));
        let electorate = newest.unwrap_or(&self.snapshot.electorate).clone();
        self.snapshot = Snapshot { index, term, electorate, state };
        self.refresh_electorate();
    }

    /// Drops entries behind the snapshot, and returns the index of the last one dropped, if any. Kept are
    /// at most `entries` of them within [`RETAINED_BYTES`], and those after `lacking_after`, which a live
    /// follower lacks, within [`RETAINED_BYTES_FOR_FOLLOWER`].
    pub fn trim(&mut self, entries: u64, lacking_after: Option<u64>) -> Option<u64> {
        let (mut index, mut bytes) = (self.snapshot.index, 0);
        while index > self.base.index {
            bytes += self.entry(index).map_or(0, Entry::size);
            let retained = bytes <= RETAINED_BYTES && self.snapshot.index - index < entries;
            let lacking = bytes <= RETAINED_BYTES_FOR_FOLLOWER && lacking_after.is_some_and(|after| after < index);
            if !retained && !lacking {
                break;
            }
            index -= 1;
        }
        let term = self.term_at(index)?;
        if index == self.base.index {
            return None;
        }
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = LogPosition { term, index };
        Some(index)
    }

    /// Takes a snapshot from another daemon. Returns whether the log matches it; otherwise all entries
    /// are dropped (Raft §7).
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if !matches {
            self.entries.clear();
            self.base = LogPosition { term: snapshot.term, index: snapshot.index };
        }
        self.snapshot = snapshot;
        self.refresh_electorate();
        matches
    }
}

/// The electorate that an entry sets.
fn entry_electorate(entry: &Entry) -> Option<&Electorate> {
    match &entry.command {
        Command::ChangeElectorate { electorate } => Some(electorate),
        _ => None,
    }
}
