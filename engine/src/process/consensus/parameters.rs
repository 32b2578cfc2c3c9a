//! The parameters of the algorithm, and the timeouts derived from them.

use std::time::Duration;

/// A leader counts as confirmed this long after the start of a round that a majority answered.
pub const LEADER_CONFIRMATION: Duration = Duration::from_millis(400);

/// Entries kept in the log behind a snapshot, unless set otherwise.
const DEFAULT_RETAINED_ENTRIES: u64 = 1024;
/// Bytes of a chunk of a snapshot, unless set otherwise.
const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;

/// The parameters of [`Raft`](super::Raft).
#[derive(Debug, Clone, Copy)]
pub struct Parameters {
    /// T of Raft Refloated §4.3: follower timeouts are drawn from U(T, 2T), heartbeats are sent every T/2.
    pub election_timeout: Duration,
    /// A leader counts as confirmed this long after the start of a round that a majority answered.
    pub confirmation_window: Duration,
    /// How many disks may be lost at once: a committed entry is on more disks than that.
    pub tolerance: usize,
    /// Entries kept in the log behind a snapshot.
    pub retained_entries: u64,
    /// Bytes of a chunk of a snapshot.
    pub snapshot_chunk_bytes: usize,
}

impl Parameters {
    /// Parameters with the default retained log and chunk size.
    pub fn new(election_timeout: Duration, confirmation_window: Duration, tolerance: usize) -> Self {
        Parameters {
            election_timeout,
            confirmation_window,
            tolerance,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
            snapshot_chunk_bytes: DEFAULT_SNAPSHOT_CHUNK_BYTES,
        }
    }

    /// The time between heartbeats, and between repeated requests to leave: T/2.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        self.election_timeout / 2
    }

    /// A peer that has not responded for 2T is taken for unreachable.
    pub(super) fn peer_timeout(&self) -> Duration {
        self.election_timeout * 2
    }

    /// A disk that has not completed a write for 2T is taken for stalled.
    pub(super) fn disk_timeout(&self) -> Duration {
        self.election_timeout * 2
    }
}
