//! Log replication at the leader (Raft §5.3): proposals, rounds of messages, batches and their responses.

use super::leader_state::LeaderState;
use super::log::{Log, LogPosition};
use super::progress::{InflightAppend, Progress};
use super::{Entry, IndexedEntry, MessageBody, Raft, Role, Write};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Voter, VoterId};
use std::time::Instant;

/// Entries in one message, at most.
const BATCH_ENTRIES_MAX: usize = 64;
/// A batch ends with the entry that takes it beyond this many bytes.
const BATCH_BYTES: usize = 1 << 20;
/// A leader takes no proposal while more bytes of its log than this are uncommitted.
const UNCOMMITTED_BYTES_MAX: usize = 8 << 20;
/// A batch that is not acknowledged within this many T is sent again, whatever else was acknowledged.
const RESEND_AFTER_T: u32 = 4;

/// The fields of [`MessageBody::AppendResponse`].
#[derive(Debug, Clone, Copy)]
pub(super) struct AppendResponse {
    pub round: u64,
    pub success: bool,
    pub index: u64,
    pub nonce: u32,
}

impl Raft {
    /// Begins to send the log to a peer, from `next_index` on.
    pub(super) fn track_peer(&mut self, now: Instant, peer: Voter, next_index: u64) {
        let LeaderState { peers, round, .. } = &mut self.leader_state;
        peers.insert(peer.id, Progress::new(now, peer.ip, next_index, *round));
    }

    /// Appends a proposal and returns its index; `None` if this daemon does not lead, transfers its
    /// leadership or has too much uncommitted. An uncommitted proposal that is in the log is not appended
    /// again.
    pub fn propose(&mut self, now: Instant, proposal_id: ProposalId, command: Command) -> Option<u64> {
        self.clock = now;
        if self.role != Role::Leader {
            return None;
        }
        let first_uncommitted = self.commit_index + 1;
        if proposal_id.serial != 0 {
            let mut uncommitted = self.log.entries_from(first_uncommitted);
            if let Some(offset) = uncommitted.position(|entry| entry.proposal_id == proposal_id) {
                return Some(first_uncommitted + offset as u64);
            }
        }
        if self.is_transferring_leadership(now) || self.uncommitted_bytes() > UNCOMMITTED_BYTES_MAX {
            return None;
        }
        Some(self.append(now, proposal_id, command))
    }

    fn uncommitted_bytes(&self) -> usize {
        self.log.entries_from(self.commit_index + 1).map(Entry::size).sum()
    }

    /// Appends an entry of this term to the leader's log, which it never overwrites (Raft §5.3, leader
    /// append-only), and sends it to the peers.
    pub(super) fn append(&mut self, now: Instant, proposal_id: ProposalId, command: Command) -> u64 {
        let entry = Entry { term: self.term, proposal_id, command };
        let changes_electorate = matches!(entry.command, Command::ChangeElectorate { .. });
        let index = self.log.push(entry.clone());
        if changes_electorate {
            self.track_new_voters(now, index);
        }
        self.write(Write { entries: vec![IndexedEntry { index, entry }], ..Write::default() });
        self.begin_round(now);
        index
    }

    fn track_new_voters(&mut self, now: Instant, next_index: u64) {
        for voter in self.other_voters() {
            if !self.leader_state.peers.contains_key(&voter.id) {
                self.track_peer(now, voter, next_index);
            }
        }
    }

    /// Sends a message to every peer; the responses confirm that this daemon still leads (`read_index.rs`).
    pub(super) fn begin_round(&mut self, now: Instant) {
        self.leader_state.begin_round(now);
        self.leader_state.next_heartbeat_at = Some(now + self.parameters.heartbeat_interval());
        let peers: Vec<VoterId> = self.leader_state.peers.keys().copied().collect();
        for id in peers {
            self.replicate(now, id, true);
        }
        self.confirm_answered_rounds(now);
        self.advance_commit_index();
    }

    /// Sends a peer the entries that it lacks, unless some are on their way already; with `heartbeat` a
    /// message is sent in any case. A peer that lacks entries which are compacted gets the snapshot.
    pub(super) fn replicate(&mut self, now: Instant, id: VoterId, heartbeat: bool) {
        let base = self.log.base();
        let resend_after = self.parameters.election_timeout * RESEND_AFTER_T;
        let Some(peer) = self.leader_state.peers.get_mut(&id) else { return };
        peer.expire_inflight(now, resend_after);
        if peer.next_index <= base.index {
            let to = peer.voter(id);
            if heartbeat {
                self.send_append(id, base, Vec::new());
            }
            self.send_snapshot(now, to);
            return;
        }
        let prev_index = peer.next_index - 1;
        let entries = if peer.inflight.is_none() { next_batch(&self.log, peer.next_index) } else { Vec::new() };
        if entries.is_empty() && !heartbeat {
            return;
        }
        if !entries.is_empty() {
            let (round, last_index) = (self.leader_state.round, prev_index + entries.len() as u64);
            peer.inflight = Some(InflightAppend { round, last_index, sent_at: now });
        }
        let prev_term = self.log.term_at(prev_index).unwrap_or(0);
        self.send_append(id, LogPosition { term: prev_term, index: prev_index }, entries);
    }

    /// Sends AppendEntries with the entries after `prev`.
    fn send_append(&mut self, id: VoterId, prev: LogPosition, entries: Vec<Entry>) {
        let Some(peer) = self.leader_state.peers.get(&id) else { return };
        let body = MessageBody::AppendEntries {
            round: self.leader_state.round,
            prev_index: prev.index,
            prev_term: prev.term,
            entries,
            leader_commit: self.commit_index,
            echoed_nonce: peer.last_nonce,
            confirmed_round: self.leader_state.confirmed_round,
        };
        self.send(peer.voter(id), body);
    }

    /// A peer has answered AppendEntries in this term.
    pub(super) fn on_append_response(&mut self, now: Instant, from: Voter, response: AppendResponse) {
        let (last_index, base) = (self.log.last_index(), self.log.base());
        let Some(peer) = self.leader_state.peers.get_mut(&from.id) else { return };
        peer.last_nonce = response.nonce;
        peer.record_response(now, response.round);
        peer.ip = from.ip;
        if response.success {
            peer.on_append_accepted(now, response.round, response.index, last_index);
        } else {
            peer.on_append_rejected(response.index, base.index);
        }
        let lacks_entries = peer.next_index <= last_index;
        self.confirm_answered_rounds(now);
        self.advance_commit_index();
        if lacks_entries {
            self.replicate(now, from.id, false);
        }
        self.transfer_leadership(now);
        self.advance_membership(now);
    }
}

/// The entries of the next message, from an index on.
fn next_batch(log: &Log, from: u64) -> Vec<Entry> {
    let mut batch = Vec::new();
    let mut bytes = 0;
    for entry in log.entries_from(from).take(BATCH_ENTRIES_MAX) {
        bytes += entry.size();
        batch.push(entry.clone());
        if bytes > BATCH_BYTES {
            break;
        }
    }
    batch
}
