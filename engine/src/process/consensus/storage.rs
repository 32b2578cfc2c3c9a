//! What is on disk, and what a write changes there.

use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Electorate, VoterId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub proposal_id: ProposalId,
    pub command: Command,
}

/// What an entry takes beside its command's own data, roughly; bytes.
const ENTRY_BYTES: usize = 64;

impl Entry {
    /// Bytes that it takes on the way and on disk, roughly.
    pub fn size(&self) -> usize {
        ENTRY_BYTES + self.command.size()
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers, and that entry's term.
    pub index: u64,
    pub term: u64,
    pub electorate: Electorate,
    pub state: Vec<u8>,
}

/// What is on disk. The log may reach back behind the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    pub id: VoterId,
    pub term: u64,
    pub vote: Option<VoterId>,
    pub snapshot: Snapshot,
    /// The entry before the first one in `log`; never beyond the snapshot.
    pub base_index: u64,
    pub base_term: u64,
    pub log: Vec<Entry>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub hard_state: Option<(u64, Option<VoterId>)>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate: Option<u64>,
    pub snapshot: Option<Snapshot>,
    /// The log does not fit the snapshot: nothing of it stays.
    pub reset: bool,
    /// Entries up to this index are dropped; the snapshot covers them.
    pub trim: Option<u64>,
    pub entries: Vec<(u64, Entry)>,
}

impl PersistentState {
    pub fn last_index(&self) -> u64 {
        self.base_index + self.log.len() as u64
    }

    /// What a write leaves on disk; false if it does not fit what is there.
    pub fn apply(&mut self, write: Write) -> bool {
        if let Some((term, vote)) = write.hard_state {
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
        if let Some(to) = write.trim {
            let dropped = to.saturating_sub(self.base_index) as usize;
            if dropped > self.log.len() {
                return false;
            }
            if let Some(last) = self.log.drain(..dropped).next_back() {
                (self.base_index, self.base_term) = (to, last.term);
            }
        }
        for (index, entry) in write.entries {
            let Some(at) = index.checked_sub(self.base_index + 1).map(|at| at as usize) else { return false };
            if at > self.log.len() {
                return false;
            }
            self.log.truncate(at);
            self.log.push(entry);
        }
        self.snapshot.index >= self.base_index && self.snapshot.index <= self.last_index()
    }
}
