//! What is on disk.

use super::{Voter, VoterId};
use crate::version::ledger::{Command, Mark};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub mark: Mark,
    pub command: Command,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<Voter>,
    pub state: Vec<u8>,
}

/// What is on disk.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    pub id: VoterId,
    pub term: u64,
    pub vote: Option<VoterId>,
    pub snapshot: Snapshot,
    /// Entries from `snapshot.index + 1` on.
    pub log: Vec<Entry>,
}

impl Stored {
    /// What a write leaves on disk; false if it does not fit what is there.
    pub fn take(&mut self, write: Write) -> bool {
        if let Some((term, vote)) = write.hard {
            (self.term, self.vote) = (term, vote);
        }
        if let Some(from) = write.truncate {
            self.log.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
        }
        if let Some(snapshot) = write.snapshot {
            let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
            self.log.drain(..covered.min(self.log.len()));
            self.snapshot = snapshot;
        }
        for (index, entry) in write.entries {
            let Some(at) = index.checked_sub(self.snapshot.index + 1).map(|at| at as usize) else { return false };
            if at > self.log.len() {
                return false;
            }
            self.log.truncate(at);
            self.log.push(entry);
        }
        true
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub hard: Option<(u64, Option<VoterId>)>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate: Option<u64>,
    pub entries: Vec<(u64, Entry)>,
    pub snapshot: Option<Snapshot>,
}
