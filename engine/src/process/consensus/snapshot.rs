//! Snapshots: taken of the applied state; sent in pieces, and installed where the log is behind.
//!
//! One piece is on its way to a peer at a time, so that what a snapshot takes of a link follows from the
//! round trip. A piece that is not answered is sent again; what has come is kept, and goes on where it
//! stopped, also under another leader that holds the same snapshot. The snapshot being sent is held until
//! it is installed, whatever newer one there is by then, and the log keeps what follows it.

use super::replication::Progress;
use super::{Effect, MessageBody, Raft, Snapshot, SnapshotId, Write};
use crate::digest::digest;
use crate::version::electorate::{Voter, VoterId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A snapshot longer than this is nobody's.
const LENGTH_MAX: u64 = 16 << 20;
/// Entries applied since the last snapshot, and their bytes, from which on another is worth taking.
const WORTH_ENTRIES: u64 = 400;
const WORTH_BYTES: usize = 2 << 20;
/// A follower counts as live this long after it was heard last: the log keeps what it lacks, within bounds.
const LIVE: Duration = Duration::from_secs(2);

/// A snapshot as it travels.
#[derive(Debug)]
pub(super) struct EncodedSnapshot {
    of: SnapshotId,
    bytes: Vec<u8>,
}

impl EncodedSnapshot {
    fn new(snapshot: &Snapshot) -> Option<Rc<Self>> {
        let bytes = bincode::serde::encode_to_vec(snapshot, bincode::config::standard()).ok()?;
        let of = SnapshotId {
            index: snapshot.index,
            term: snapshot.term,
            length: bytes.len() as u64,
            digest: digest(&bytes),
        };
        Some(Rc::new(EncodedSnapshot { of, bytes }))
    }
}

/// A snapshot on its way to a peer.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub of: SnapshotId,
    whole: Rc<EncodedSnapshot>,
    /// The peer has all before it.
    offset: u64,
    /// The piece at `offset` was sent then.
    sent: Option<Instant>,
}

/// A snapshot that is coming in.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub of: SnapshotId,
    bytes: Vec<u8>,
}

impl Raft {
    /// Sends the next piece, unless one is on its way.
    pub(super) fn send_snapshot(&mut self, now: Instant, to: Voter) {
        let patience = self.parameters.election_timeout * 2;
        let round = self.leading.round;
        if self.leading.peers.get(&to.id).is_none_or(|p| p.heard.is_none()) {
            // Nobody is there to take it yet, as far as is known.
            return;
        }
        // One that is so old that the log does not follow on it any more is of no use.
        let (base, _) = self.log.base();
        let of_use = |p: &Progress| p.snapshot_transfer.as_ref().is_some_and(|s| s.of.index >= base);
        if self.leading.peers.get(&to.id).is_some_and(|p| !of_use(p)) {
            let Some(whole) = self.packed() else { return };
            if let Some(peer) = self.leading.peers.get_mut(&to.id) {
                peer.snapshot_transfer = Some(SnapshotTransfer { of: whole.of, whole, offset: 0, sent: None });
            }
        }
        let Some(snapshot_transfer) = self.leading.peers.get_mut(&to.id).and_then(|p| p.snapshot_transfer.as_mut())
        else {
            return;
        };
        if snapshot_transfer.sent.is_some_and(|at| now.duration_since(at) < patience) {
            return;
        }
        snapshot_transfer.sent = Some(now);
        let (of, offset) = (snapshot_transfer.of, snapshot_transfer.offset);
        let from = (offset as usize).min(snapshot_transfer.whole.bytes.len());
        let bytes =
            snapshot_transfer.whole.bytes[from..].iter().take(self.parameters.snapshot_chunk_bytes).copied().collect();
        self.send(to, MessageBody::InstallSnapshot { round, of, offset, bytes });
    }

    /// The newest snapshot as it travels, made when somebody first wants it.
    fn packed(&mut self) -> Option<Rc<EncodedSnapshot>> {
        let snapshot = &self.log.snapshot;
        if self.packed.as_ref().is_none_or(|p| p.of.index != snapshot.index) {
            self.packed = EncodedSnapshot::new(snapshot);
        }
        self.packed.clone()
    }

    /// A peer has so much of the snapshot.
    pub(super) fn snapshot_taken(&mut self, now: Instant, from: Voter, round: u64, of: SnapshotId, offset: u64) {
        let Some(peer) = self.leading.peers.get_mut(&from.id) else { return };
        peer.heard = Some(now);
        peer.round = peer.round.max(round);
        if let Some(snapshot_transfer) = peer.snapshot_transfer.as_mut().filter(|s| s.of == of && s.offset != offset) {
            snapshot_transfer.offset = offset.min(of.length);
            snapshot_transfer.sent = None;
            self.send_snapshot(now, from);
        }
    }

    /// A piece has come. Gives how much is here, or `None` when the whole is installed or not wanted.
    pub(super) fn take_piece(&mut self, of: SnapshotId, offset: u64, bytes: &[u8]) -> Option<u64> {
        if of.index <= self.commit {
            return None;
        }
        if self.incoming.as_ref().is_none_or(|i| i.of != of) {
            if of.length > LENGTH_MAX {
                return Some(0);
            }
            self.incoming = Some(IncomingSnapshot { of, bytes: Vec::new() });
        }
        let incoming = self.incoming.as_mut()?;
        if offset == incoming.bytes.len() as u64 && (bytes.len() as u64) <= of.length - offset {
            incoming.bytes.extend_from_slice(bytes);
        }
        let here = incoming.bytes.len() as u64;
        if here < of.length {
            return Some(here);
        }
        let whole = self.incoming.take()?;
        let read = (digest(&whole.bytes) == of.digest)
            .then(|| bincode::serde::decode_from_slice(&whole.bytes, bincode::config::standard()).ok())
            .flatten();
        match read {
            Some((snapshot, _)) => {
                self.install(snapshot);
                None
            }
            // Damaged on its way: from the beginning.
            None => Some(0),
        }
    }

    /// Takes a snapshot that is ahead of what is committed here. Entries behind it that fit it stay:
    /// this daemon may have told the leader that it holds them.
    fn install(&mut self, snapshot: Snapshot) {
        let fits = self.log.install(snapshot.clone());
        if !fits {
            self.not_durable_from(self.commit + 1);
        }
        (self.commit, self.applied) = (snapshot.index, snapshot.index);
        self.fresh_bytes = 0;
        let trim = self.log.trim(self.parameters.retained_entries, None);
        self.write(Write { reset: !fits, trim, snapshot: Some(snapshot.clone()), ..Write::default() });
        self.out.push(Effect::Restore(snapshot));
    }

    /// Puts the state that the applied entries led to in their place; some of them stay in the log for those
    /// who are a little behind.
    pub fn compact(&mut self, state: Vec<u8>) {
        if self.applied == self.log.snapshot.index {
            return;
        }
        self.log.compact(self.applied, state);
        self.packed = None;
        self.fresh_bytes = 0;
        let trim = self.log.trim(self.parameters.retained_entries, self.wanted());
        let snapshot = Some(self.log.snapshot.clone());
        self.write(Write { snapshot, trim, ..Write::default() });
    }

    /// The entry after which the slowest live follower wants the log.
    fn wanted(&self) -> Option<u64> {
        let live = self.leading.peers.values().filter(|p| p.heard.is_some_and(|h| self.clock.duration_since(h) < LIVE));
        live.map(|p| p.snapshot_transfer.as_ref().map_or(p.matched, |s| s.of.index)).min()
    }

    /// Entries that are applied and not in the snapshot.
    pub fn compactable(&self) -> u64 {
        self.applied - self.log.snapshot.index
    }

    /// Whether enough was applied since the last snapshot for another.
    pub fn wants_snapshot(&self) -> bool {
        self.compactable() > WORTH_ENTRIES || (self.compactable() > 0 && self.fresh_bytes > WORTH_BYTES)
    }

    /// The very first electorate, fixed before the first election and written with the identity.
    pub fn bootstrap(&mut self, voters: Vec<Voter>) {
        if self.log.last_index() == 0 && self.log.snapshot.electorate.is_empty() {
            self.log.found(crate::version::electorate::Electorate::of(voters));
            let snapshot = Some(self.log.snapshot.clone());
            self.write(Write { snapshot, ..Write::default() });
        }
    }

    /// How much of a snapshot a peer has, in bytes: so much, of so much.
    pub fn snapshot_progress(&self, id: VoterId) -> Option<(u64, u64)> {
        let snapshot_transfer = self.leading.peers.get(&id)?.snapshot_transfer.as_ref()?;
        Some((snapshot_transfer.offset, snapshot_transfer.of.length))
    }
}
