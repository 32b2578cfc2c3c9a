//! Snapshots: taken of the applied state, installed in place of a log that is behind.

use super::*;

impl Raft {
    /// Takes a snapshot that is ahead of what is committed here. Entries behind it that fit it stay:
    /// this daemon may have told the leader that it holds them.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let fits = self.term_at(snapshot.index) == Some(snapshot.term);
        if fits {
            self.log.drain(..(snapshot.index - self.snapshot.index) as usize);
        } else {
            self.log.clear();
            self.durable = snapshot.index;
            self.writing.iter_mut().for_each(|(_, last)| *last = snapshot.index);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = snapshot.clone();
        self.find_electorate();
        let truncate = (!fits).then_some(0);
        self.write(Write { truncate, snapshot: Some(snapshot.clone()), ..Write::default() });
        self.out.push(Effect::Restore(snapshot));
    }

    /// Replaces the applied part of the log by the state it led to.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.term_at(index) else { return };
        if index == self.snapshot.index {
            return;
        }
        let mut voters = self.snapshot.voters.clone();
        for entry in self.log.drain(..(index - self.snapshot.index) as usize) {
            if let Command::Voters { voters: newer } = entry.command {
                voters = newer;
            }
        }
        self.snapshot = Snapshot { index, term, voters, state };
        self.find_electorate();
        let snapshot = Some(self.snapshot.clone());
        self.write(Write { snapshot, ..Write::default() });
    }

    /// Entries that are applied and could be compacted away.
    pub fn compactable(&self) -> u64 {
        self.applied - self.snapshot.index
    }
}
