//! The log in memory: a snapshot, and entries from somewhat before it on.

use super::{Entry, PersistentState, Snapshot};
use crate::version::control_state::Command;
use crate::version::electorate::{Electorate, VoterId};
use std::collections::VecDeque;

/// Bytes of entries kept behind the snapshot, so that whoever is a little behind needs no snapshot; and while
/// a live follower still wants them.
const TAIL_BYTES: usize = 1 << 20;
const TAIL_BYTES_WANTED: usize = 16 << 20;

pub(super) struct Log {
    pub snapshot: Snapshot,
    /// The entry before the first one here; never beyond the snapshot.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// The newest electorate, committed or not, and where it stands; 0: in the snapshot.
    electorate: Electorate,
    electorate_index: u64,
}

impl Log {
    pub fn new(stored: PersistentState) -> Self {
        let mut log = Log {
            snapshot: stored.snapshot,
            base_index: stored.base_index,
            base_term: stored.base_term,
            entries: stored.log.into(),
            electorate: Electorate::default(),
            electorate_index: 0,
        };
        log.find_electorate();
        log
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub fn base(&self) -> (u64, u64) {
        (self.base_index, self.base_term)
    }

    /// Entries kept, also those behind the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn at(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.base_index + 1).map(|at| at as usize)
    }

    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.at(index)?)
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index { Some(self.base_term) } else { self.entry(index).map(|e| e.term) }
    }

    /// Entries from this index on.
    pub fn from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(self.at(index).unwrap_or(0))
    }

    /// The entry before the first one of the term that this index is of; not before `floor`.
    pub fn before_term_of(&self, index: u64, floor: u64) -> u64 {
        let term = self.term_at(index);
        let mut before = index;
        while before > floor && self.term_at(before) == term {
            before -= 1;
        }
        before.max(floor)
    }

    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    pub fn electorate_index(&self) -> u64 {
        self.electorate_index
    }

    /// Whether this voter was in the electorate before the newest one.
    pub fn was_voter(&self, id: VoterId) -> bool {
        let before =
            (self.snapshot.index + 1..self.electorate_index).rev().find_map(|at| match &self.entry(at)?.command {
                Command::ChangeElectorate { electorate } => Some(electorate),
                _ => None,
            });
        before.unwrap_or(&self.snapshot.electorate).has(id)
    }

    /// To be called whenever the log's end or the snapshot changed.
    fn find_electorate(&mut self) {
        let newer = self.last_index() - self.snapshot.index;
        let found = self.entries.iter().enumerate().rev().take(newer as usize).find_map(|(at, e)| match &e.command {
            Command::ChangeElectorate { electorate } => Some((self.base_index + 1 + at as u64, electorate.clone())),
            _ => None,
        });
        (self.electorate_index, self.electorate) = found.unwrap_or((0, self.snapshot.electorate.clone()));
    }

    pub fn push(&mut self, entry: Entry) -> u64 {
        if let Command::ChangeElectorate { electorate } = &entry.command {
            (self.electorate_index, self.electorate) = (self.last_index() + 1, electorate.clone());
        }
        self.entries.push_back(entry);
        self.last_index()
    }

    /// Drops the entries from this index on.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate(self.at(from).unwrap_or(0));
        self.find_electorate();
    }

    /// Puts the snapshot of a first electorate in place, before anything is in the log.
    pub fn found(&mut self, electorate: Electorate) {
        self.snapshot.electorate = electorate;
        self.find_electorate();
    }

    /// The state that the entries up to `index` led to.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.term_at(index) else { return };
        let mut electorate = self.snapshot.electorate.clone();
        for i in self.snapshot.index + 1..=index {
            if let Some(Command::ChangeElectorate { electorate: newer }) = self.entry(i).map(|e| &e.command) {
                electorate = newer.clone();
            }
        }
        self.snapshot = Snapshot { index, term, electorate, state };
        self.find_electorate();
    }

    /// Drops what lies further behind the snapshot than is worth keeping, so many entries at most; `wanted`: a live follower wants the
    /// entries after this one. Gives the last entry dropped, if any was.
    pub fn trim(&mut self, entries: u64, wanted: Option<u64>) -> Option<u64> {
        let (mut to, mut bytes) = (self.snapshot.index, 0);
        while to > self.base_index {
            bytes += self.entry(to).map_or(0, Entry::size);
            let worth = bytes <= TAIL_BYTES && self.snapshot.index - to < entries;
            let needed = bytes <= TAIL_BYTES_WANTED && wanted.is_some_and(|w| w < to);
            if !worth && !needed {
                break;
            }
            to -= 1;
        }
        let term = self.term_at(to)?;
        if to == self.base_index {
            return None;
        }
        self.entries.drain(..(to - self.base_index) as usize);
        (self.base_index, self.base_term) = (to, term);
        Some(to)
    }

    /// A snapshot from elsewhere; false if nothing of the log fits it, and none stays.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        let fits = self.term_at(snapshot.index) == Some(snapshot.term);
        if !fits {
            self.entries.clear();
            (self.base_index, self.base_term) = (snapshot.index, snapshot.term);
        }
        self.snapshot = snapshot;
        self.find_electorate();
        fits
    }
}
