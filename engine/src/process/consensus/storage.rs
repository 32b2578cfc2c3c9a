//! The persistent state (Raft, figure 2), and the writes that change it.
//!
//! These types are serialized to disk and, within snapshots and appends, onto the wire: the order and the
//! types of their fields are a format.

use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Electorate, VoterId};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// Who proposed it; the default for entries that the leader appends on its own account.
    pub proposal_id: ProposalId,
    /// The command for the state machine.
    pub command: Command,
}

/// The approximate size of an entry besides its command's own data, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// The approximate size on the wire and on disk, in bytes.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.command.size()
    }
}

/// An entry and its index in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IndexedEntry {
    /// Where it stands in the log.
    pub index: u64,
    /// The entry.
    pub entry: Entry,
}

/// A snapshot of the state machine (Raft §7).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The term of the last entry that it covers.
    pub term: u64,
    /// The newest electorate up to that entry.
    pub electorate: Electorate,
    /// The encoded state of the state machine; empty before the first entry.
    pub state: Vec<u8>,
}

/// The term and the vote given in it, which must survive a restart together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The candidate that got this voter's vote in that term.
    pub vote: Option<VoterId>,
}

/// All that is on disk.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    /// This voter's identity, drawn when the disk was first used.
    pub id: VoterId,
    /// The latest term seen.
    pub term: u64,
    /// The candidate that got this voter's vote in that term.
    pub vote: Option<VoterId>,
    /// The latest snapshot. The log may reach back behind it.
    pub snapshot: Snapshot,
    /// The index of the entry before the first one in `log`; never beyond the snapshot.
    pub base_index: u64,
    /// The term of that entry.
    pub base_term: u64,
    /// The entries after `base_index`.
    pub log: Vec<Entry>,
}

/// A change of the persistent state; its parts are applied in the order of the fields, `entries` last.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate: Option<u64>,
    /// The new snapshot.
    pub snapshot: Option<Snapshot>,
    /// The log does not match the new snapshot, and all of it is dropped.
    pub reset: bool,
    /// Entries up to this index, which the snapshot covers, are dropped.
    pub trim: Option<u64>,
    /// Entries to write; an entry replaces whatever was at its index or after it.
    pub entries: Vec<IndexedEntry>,
}

impl PersistentState {
    /// The index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.log.len() as u64
    }

    /// Applies a write; false if it does not fit the state, for example if it would leave a gap.
    pub fn apply(&mut self, write: Write) -> bool {
        if let Some(HardState { term, vote }) = write.hard_state {
            (self.term, self.vote) = (term, vote);
        }
        if let Some(from) = write.truncate {
            self.log.truncate(from.saturating_sub(self.base_index + 1) as usize);
        }
        if let Some(snapshot) = write.snapshot {
            if write.reset {
                self.log.clear();
                (self.base_index, self.base_term) = (snapshot.index, snapshot.term);
            }
            self.snapshot = snapshot;
        }
        let trimmed = write.trim.is_none_or(|index| self.trim(index));
        trimmed
            && write.entries.into_iter().all(|indexed| self.put(indexed))
            && self.snapshot.index >= self.base_index
            && self.snapshot.index <= self.last_index()
    }

    /// Drops the entries up to `index`; false if the log ends before it.
    fn trim(&mut self, index: u64) -> bool {
        let dropped = index.saturating_sub(self.base_index) as usize;
        if dropped > self.log.len() {
            return false;
        }
        if let Some(last) = self.log.drain(..dropped).next_back() {
            (self.base_index, self.base_term) = (index, last.term);
        }
        true
    }

    /// Writes an entry and drops whatever was at its index or after it; false if that would leave a gap.
    fn put(&mut self, indexed: IndexedEntry) -> bool {
        let Some(offset) = indexed.index.checked_sub(self.base_index + 1) else { return false };
        let offset = offset as usize;
        if offset > self.log.len() {
            return false;
        }
        self.log.truncate(offset);
        self.log.push(indexed.entry);
        true
    }
}
