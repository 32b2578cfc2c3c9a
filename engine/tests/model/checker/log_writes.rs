//! Log matching, snapshots and applied entries.

use super::{CheckResult, Checker, broken};
use crate::disk::StoredLog;
use crate::node::{AppliedEntry, encode};
use crate::schedule::Slot;
use lichenfield_engine::digest::digest;
use lichenfield_engine::process::consensus::{IndexedEntry, PersistentState, Snapshot, Write};
use lichenfield_engine::version::control_state::Command;
use lichenfield_engine::version::electorate::Electorate;
use std::time::Duration;

/// Whether this electorate may follow that one: through a joint electorate, one change at a time (Raft §6).
fn follows(old: &Electorate, new: &Electorate) -> bool {
    if old.is_joint() {
        !new.is_joint() && new.voters == old.voters
    } else {
        new == old || (new.is_joint() && new.outgoing == old.voters)
    }
}

impl Checker {
    /// A controller wrote; `memory` is its persistent state including the write. Checks log matching (Raft §5.3).
    pub fn wrote(&mut self, memory: &PersistentState, write: &Write) -> CheckResult {
        self.counts.truncated += usize::from(write.truncate.is_some());
        for IndexedEntry { index, .. } in &write.entries {
            let Some(entry) = memory.entry(*index) else { continue };
            let before = memory.term_at(index - 1);
            let (known, known_before) =
                self.entries.entry((*index, entry.term)).or_insert_with(|| (entry.clone(), before));
            if known != entry || (before.is_some() && known_before.is_some() && before != *known_before) {
                let what = format!("at {index} of term {}: {known:?} after term {known_before:?}", entry.term);
                return broken("logs do not match", format!("{what}, and {entry:?} after term {before:?}"));
            }
            if known_before.is_none() {
                *known_before = before;
            }
            if let Command::ChangeElectorate { electorate: new } = &entry.command {
                let old = memory.electorate_before(*index);
                // A learner that receives its first entry knew no electorate before.
                if !old.is_empty() && !follows(old, new) {
                    let what = format!("{old:x?} became {new:x?} at {index}");
                    return broken("an electorate that may not follow the one before", what);
                }
            }
        }
        if let Some(snapshot) = &write.snapshot {
            self.counts.snapshots += 1;
            self.snapshot_fits(snapshot)?;
        }
        Ok(())
    }

    /// A snapshot holds what is committed up to its index, whoever wrote or restores it.
    fn snapshot_fits(&self, snapshot: &Snapshot) -> CheckResult {
        let index = snapshot.index;
        if index == 0 {
            return Ok(());
        }
        if self.committed_term(index) != Some(snapshot.term) {
            let what = format!("at {index} of term {}, committed is {:?}", snapshot.term, self.committed_term(index));
            return broken("a snapshot of what is not committed", what);
        }
        if digest(&snapshot.state) != self.states[index as usize - 1] {
            return broken("states differ", format!("the snapshot at {index} holds another state"));
        }
        let electorate = self.electorates.iter().rev().find(|(at, _)| *at <= index).map(|(_, e)| e);
        if electorate.is_some_and(|e| *e != snapshot.electorate) {
            return broken("states differ", format!("the snapshot at {index} holds another electorate"));
        }
        Ok(())
    }

    pub fn restored(&mut self, slot: Slot, snapshot: &Snapshot) -> CheckResult {
        self.counts.restored += 1;
        self.snapshot_fits(snapshot)?;
        let incarnation = self.incarnations.entry(slot).or_default();
        if snapshot.index < incarnation.applied {
            let what = format!("{slot} had applied {} and restores {}", incarnation.applied, snapshot.index);
            return broken("a state went back", what);
        }
        incarnation.applied = snapshot.index;
        Ok(())
    }

    pub fn applied(&mut self, now: Duration, slot: Slot, term: u64, applied: &AppliedEntry) -> CheckResult {
        let AppliedEntry { index, entry, outcome } = applied;
        let index = *index;
        let incarnation = self.incarnations.entry(slot).or_default();
        if index != incarnation.applied + 1 {
            return broken("a state went back", format!("{slot} applied {index} after {}", incarnation.applied));
        }
        incarnation.applied = index;
        if index as usize == self.committed.len() + 1 {
            let revision = self.reference.revision();
            let decided = self.reference.apply(index, entry.proposal_id, &entry.command);
            if let Some(version) = self.reference.config.as_ref().filter(|v| v.revision != revision) {
                self.chain.push(version.raw.clone());
            }
            self.states.push(digest(&encode(&self.reference)));
            self.outcomes.push(decided);
            self.committed.push(entry.clone());
            self.committed_at.push(now);
            self.committed_in.push(term);
            if let Command::ChangeElectorate { electorate } = &entry.command {
                self.electorates.push((index, electorate.clone()));
            }
        }
        match (self.committed.get(index as usize - 1), self.outcomes.get(index as usize - 1)) {
            (Some(known), _) if known != entry => {
                broken("committed entries differ", format!("at {index}: {known:?}, and {entry:?} at {slot}"))
            }
            (Some(_), Some(known)) if known == outcome => Ok(()),
            (_, known) => broken("states differ", format!("at {index}: {known:?}, and {outcome:?} at {slot}")),
        }
    }
}
