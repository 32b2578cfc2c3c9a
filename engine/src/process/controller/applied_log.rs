//! What the log hands over to the state machine: committed entries and snapshots.

use super::{Controller, Effect};
use crate::process::consensus::{Entry, Snapshot};
use crate::version::control_state::{Command, Outcome};
use std::time::Instant;

impl Controller {
    /// Replaces the state by a snapshot's.
    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard()) {
            Ok((control_state, _)) => self.control_state = control_state,
            Err(error) => {
                let line = format!("a snapshot can't be read: {error}");
                self.pending_effects.push_back(Effect::LogError(line));
            }
        }
    }

    /// Applies the committed entry at this index, and answers whoever proposed it here.
    pub(super) fn apply_entry(&mut self, now: Instant, index: u64, entry: &Entry) {
        let outcome = self.control_state.apply(index, entry.proposal_id, &entry.command);
        self.leadership.on_applied(&entry.command);
        if outcome == Outcome::Accepted && matches!(entry.command, Command::Configure { .. }) {
            self.proposals.make_waiting_due(now);
        }
        if self.proposals.is_own(entry.proposal_id) && entry.proposal_id.serial != 0 {
            self.finish_proposal(entry.proposal_id, &outcome);
        }
    }

    /// Hands the log a snapshot of the state when it wants one, so that it can drop entries; whether it did.
    pub(super) fn compact_log(&mut self) -> bool {
        if !self.raft.is_snapshot_due() {
            return false;
        }
        let state = bincode::serde::encode_to_vec(&self.control_state, bincode::config::standard()).unwrap_or_default();
        if state.is_empty() {
            return false;
        }
        self.raft.compact(state);
        true
    }
}
