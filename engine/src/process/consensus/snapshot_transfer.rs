//! Snapshots on their way: encoded, being sent, being received.

use super::{Snapshot, SnapshotId};
use crate::digest::digest;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A received snapshot is never longer than this, in bytes.
const SNAPSHOT_BYTES_MAX: u64 = 16 << 20;

/// A snapshot as it is sent.
#[derive(Debug)]
pub(super) struct EncodedSnapshot {
    pub id: SnapshotId,
    bytes: Vec<u8>,
}

impl EncodedSnapshot {
    pub fn new(snapshot: &Snapshot) -> Option<Rc<Self>> {
        let bytes = bincode::serde::encode_to_vec(snapshot, bincode::config::standard()).ok()?;
        let id = SnapshotId {
            index: snapshot.index,
            term: snapshot.term,
            length: bytes.len() as u64,
            digest: digest(&bytes),
        };
        Some(Rc::new(EncodedSnapshot { id, bytes }))
    }
}

/// A snapshot being sent to a peer, one chunk at a time. It is held until it is installed there, whatever
/// newer one there is by then.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    encoded: Rc<EncodedSnapshot>,
    /// The peer has received all bytes before this one.
    offset: u64,
    /// When the chunk at `offset` was last sent.
    sent_at: Option<Instant>,
}

impl SnapshotTransfer {
    pub fn new(encoded: Rc<EncodedSnapshot>) -> Self {
        SnapshotTransfer { encoded, offset: 0, sent_at: None }
    }

    pub fn id(&self) -> SnapshotId {
        self.encoded.id
    }

    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the current chunk was sent less than `timeout` ago, and so may still be answered.
    pub fn is_chunk_in_flight(&self, now: Instant, timeout: Duration) -> bool {
        self.sent_at.is_some_and(|sent_at| now.duration_since(sent_at) < timeout)
    }

    /// The chunk at the current offset, which is sent now.
    pub fn send_chunk(&mut self, now: Instant, chunk_bytes: usize) -> Vec<u8> {
        self.sent_at = Some(now);
        let bytes = &self.encoded.bytes;
        let start = (self.offset as usize).min(bytes.len());
        bytes[start..].iter().take(chunk_bytes).copied().collect()
    }

    /// The peer reports how much it has received; true if the chunk there is to be sent next.
    pub fn on_response(&mut self, snapshot: SnapshotId, offset: u64) -> bool {
        if self.id() != snapshot || self.offset == offset {
            return false;
        }
        self.offset = offset.min(snapshot.length);
        self.sent_at = None;
        true
    }
}

/// A snapshot being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub id: SnapshotId,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts to receive a snapshot, unless it is too long.
    pub fn new(id: SnapshotId) -> Option<Self> {
        (id.length <= SNAPSHOT_BYTES_MAX).then_some(IncomingSnapshot { id, bytes: Vec::new() })
    }

    /// The number of bytes received.
    pub fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    pub fn is_complete(&self) -> bool {
        self.received() >= self.id.length
    }

    /// Takes a chunk if it is the next one.
    pub fn receive(&mut self, offset: u64, chunk: &[u8]) {
        if offset == self.received() && (chunk.len() as u64) <= self.id.length - offset {
            self.bytes.extend_from_slice(chunk);
        }
    }

    /// The received snapshot, unless it was damaged on its way.
    pub fn decode(&self) -> Option<Snapshot> {
        if digest(&self.bytes) != self.id.digest {
            return None;
        }
        let decoded = bincode::serde::decode_from_slice(&self.bytes, bincode::config::standard());
        decoded.ok().map(|(snapshot, _)| snapshot)
    }
}
