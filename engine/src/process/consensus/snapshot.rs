//! Snapshots (Raft §7): taken of the applied state, sent in chunks, and installed where the log lags.
//!
//! One chunk is on its way to a peer at a time, so the share of a link that a snapshot takes follows from
//! the round-trip time. A chunk that is not answered is sent again. What was received is kept, and goes on
//! where it stopped also under another leader that sends the same snapshot. The snapshot being sent is held
//! until it is installed, and the log keeps what follows it.

use super::snapshot_transfer::{EncodedSnapshot, IncomingSnapshot, SnapshotTransfer};
use super::{Effect, MessageBody, Raft, Snapshot, SnapshotId, Write};
use crate::version::electorate::{Electorate, Voter, VoterId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A snapshot is due after more applied entries than this since the last one.
const SNAPSHOT_ENTRIES: u64 = 400;
/// A snapshot is due after more bytes of applied entries than this since the last one.
const SNAPSHOT_BYTES: usize = 2 << 20;
/// The log keeps what a follower lacks, within bounds, until it has been silent for this long.
const LIVE_FOLLOWER_SILENCE: Duration = Duration::from_secs(2);

/// How much of a snapshot a peer has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotProgress {
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes of the whole snapshot.
    pub total_bytes: u64,
}

/// What the log keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedLog {
    /// The index of the last entry that the snapshot covers.
    pub snapshot_index: u64,
    /// The number of entries kept, including those behind the snapshot.
    pub entries: usize,
}

/// The fields of [`MessageBody::InstallSnapshot`].
#[derive(Debug)]
pub(super) struct SnapshotChunk {
    pub round: u64,
    pub snapshot: SnapshotId,
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// The fields of [`MessageBody::SnapshotResponse`].
#[derive(Debug, Clone, Copy)]
pub(super) struct SnapshotResponse {
    pub round: u64,
    pub snapshot: SnapshotId,
    pub offset: u64,
}

/// What became of a chunk.
#[derive(Debug, Clone, Copy)]
enum ChunkOutcome {
    /// The chunk at this offset is wanted next.
    Continue { offset: u64 },
    /// The whole snapshot is installed, or was not needed.
    Done,
}

// ---- taking snapshots -----------------------------------------------------------------------

impl Raft {
    /// Makes the state that the applied entries led to the snapshot. Some of these entries stay in the log
    /// for followers that lag a little.
    pub fn compact(&mut self, state: Vec<u8>) {
        if self.last_applied == self.log.snapshot().index {
            return;
        }
        self.log.compact(self.last_applied, state);
        self.encoded_snapshot = None;
        self.bytes_since_snapshot = 0;
        let trim = self.log.trim(self.parameters.retained_entries, self.slowest_live_follower());
        let snapshot = Some(self.log.snapshot().clone());
        self.write(Write { snapshot, trim, ..Write::default() });
    }

    /// The index after which the slowest live follower needs the log.
    fn slowest_live_follower(&self) -> Option<u64> {
        let peers = self.leader_state.peers.values();
        let live = peers.filter(|peer| peer.responded_within(self.clock, LIVE_FOLLOWER_SILENCE));
        live.map(|peer| peer.needs_log_after()).min()
    }

    /// The number of entries that are applied and not covered by the snapshot.
    pub fn compactable_entries(&self) -> u64 {
        self.last_applied - self.log.snapshot().index
    }

    /// Whether enough was applied since the last snapshot for another one.
    pub fn is_snapshot_due(&self) -> bool {
        let entries = self.compactable_entries();
        entries > SNAPSHOT_ENTRIES || (entries > 0 && self.bytes_since_snapshot > SNAPSHOT_BYTES)
    }

    /// Sets the first electorate, if there is none. It is fixed before the first election, and written as a
    /// snapshot of the empty log.
    pub fn bootstrap(&mut self, voters: Vec<Voter>) {
        if self.log.last_index() == 0 && self.log.snapshot().electorate.is_empty() {
            self.log.bootstrap(Electorate::new(voters));
            let snapshot = Some(self.log.snapshot().clone());
            self.write(Write { snapshot, ..Write::default() });
        }
    }

    /// What the log keeps.
    pub fn retained_log(&self) -> RetainedLog {
        RetainedLog { snapshot_index: self.log.snapshot().index, entries: self.log.len() }
    }
}

// ---- sending, at the leader -----------------------------------------------------------------

impl Raft {
    /// Sends a peer the next chunk, unless one is on its way.
    pub(super) fn send_snapshot(&mut self, now: Instant, to: Voter) {
        // A peer that never responded may not be there to receive it.
        if !self.leader_state.peer_satisfies(to.id, |peer| peer.last_response_at.is_some()) {
            return;
        }
        if !self.ensure_transfer(to.id) {
            return;
        }
        let (round, timeout) = (self.leader_state.round, self.parameters.peer_timeout());
        let peer = self.leader_state.peers.get_mut(&to.id);
        let Some(transfer) = peer.and_then(|peer| peer.snapshot_transfer.as_mut()) else { return };
        if transfer.is_chunk_in_flight(now, timeout) {
            return;
        }
        let bytes = transfer.send_chunk(now, self.parameters.snapshot_chunk_bytes);
        let (snapshot, offset) = (transfer.id(), transfer.offset());
        self.send(to, MessageBody::InstallSnapshot { round, snapshot, offset, bytes });
    }

    /// Begins a transfer of the newest snapshot, unless one is under way that the log still continues. False
    /// if the snapshot cannot be encoded.
    fn ensure_transfer(&mut self, id: VoterId) -> bool {
        let base = self.log.base();
        let is_usable = |transfer: &SnapshotTransfer| transfer.id().index >= base.index;
        if self.leader_state.peer_satisfies(id, |peer| peer.snapshot_transfer.as_ref().is_some_and(is_usable)) {
            return true;
        }
        let Some(encoded) = self.encode_snapshot() else { return false };
        if let Some(peer) = self.leader_state.peers.get_mut(&id) {
            peer.snapshot_transfer = Some(SnapshotTransfer::new(encoded));
        }
        true
    }

    /// The newest snapshot as it is sent, encoded when it is first needed.
    fn encode_snapshot(&mut self) -> Option<Rc<EncodedSnapshot>> {
        let snapshot = self.log.snapshot();
        if self.encoded_snapshot.as_ref().is_none_or(|encoded| encoded.id.index != snapshot.index) {
            self.encoded_snapshot = EncodedSnapshot::new(snapshot);
        }
        self.encoded_snapshot.clone()
    }

    /// A peer reports how much of a snapshot it has received.
    pub(super) fn on_snapshot_response(&mut self, now: Instant, from: Voter, response: SnapshotResponse) {
        let SnapshotResponse { round, snapshot, offset } = response;
        let Some(peer) = self.leader_state.peers.get_mut(&from.id) else { return };
        peer.record_response(now, round);
        let transfer = peer.snapshot_transfer.as_mut();
        if transfer.is_some_and(|transfer| transfer.on_response(snapshot, offset)) {
            self.send_snapshot(now, from);
        }
    }

    /// How much of a snapshot a peer has received, while one is being sent to it.
    pub fn snapshot_progress(&self, id: VoterId) -> Option<SnapshotProgress> {
        let transfer = self.leader_state.peers.get(&id)?.snapshot_transfer.as_ref()?;
        Some(SnapshotProgress { received_bytes: transfer.offset(), total_bytes: transfer.id().length })
    }
}

// ---- receiving, at a follower ---------------------------------------------------------------

impl Raft {
    /// Handles a chunk from the current leader.
    pub(super) fn on_install_snapshot(&mut self, now: Instant, leader: Voter, chunk: SnapshotChunk) {
        self.on_leader_contact(now, leader);
        let SnapshotChunk { round, snapshot, .. } = chunk;
        match self.receive_chunk(chunk) {
            ChunkOutcome::Continue { offset } => {
                self.send(leader, MessageBody::SnapshotResponse { round, snapshot, offset })
            }
            ChunkOutcome::Done => self.send_append_response(leader, round, true, self.commit_index),
        }
    }

    fn receive_chunk(&mut self, chunk: SnapshotChunk) -> ChunkOutcome {
        let id = chunk.snapshot;
        if id.index <= self.commit_index {
            return ChunkOutcome::Done;
        }
        let mut incoming = match self.incoming_snapshot.take_if(|incoming| incoming.id == id) {
            Some(incoming) => incoming,
            None => match IncomingSnapshot::new(id) {
                Some(incoming) => incoming,
                None => return ChunkOutcome::Continue { offset: 0 },
            },
        };
        incoming.receive(chunk.offset, &chunk.bytes);
        if !incoming.is_complete() {
            let offset = incoming.received();
            self.incoming_snapshot = Some(incoming);
            return ChunkOutcome::Continue { offset };
        }
        self.incoming_snapshot = None;
        match incoming.decode() {
            Some(snapshot) => {
                self.install_snapshot(snapshot);
                ChunkOutcome::Done
            }
            // Damaged on its way: start over.
            None => ChunkOutcome::Continue { offset: 0 },
        }
    }

    /// Installs a snapshot that ends beyond the commit index. If the log matches it, the entries after it
    /// stay: this daemon may have acknowledged them to the leader.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let matches = self.log.install_snapshot(snapshot.clone());
        if !matches {
            self.durability.truncate(self.commit_index + 1);
        }
        self.commit_snapshot(snapshot.index);
        let trim = self.log.trim(self.parameters.retained_entries, None);
        self.write(Write { reset: !matches, trim, snapshot: Some(snapshot.clone()), ..Write::default() });
        self.effects.push(Effect::Restore(snapshot));
    }
}
