//! What a leader knows of each peer that it replicates the log to (Raft §5.3, figure 2).

use super::snapshot_transfer::SnapshotTransfer;
use crate::version::electorate::{Voter, VoterId};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// The state of replication to one voter or learner.
#[derive(Debug)]
pub(super) struct Progress {
    pub ip: Ipv4Addr,
    /// When replication to this peer began.
    pub tracked_since: Instant,
    /// The newest round at that time.
    pub tracked_since_round: u64,
    /// It is outside the electorate and asked to become a voter.
    pub wants_to_vote: bool,
    /// When it last asked to leave the electorate because it shuts down.
    pub leave_requested_at: Option<Instant>,
    /// The index of the next entry to send to it (nextIndex).
    pub next_index: u64,
    /// The highest index up to which its durable log is known to match the leader's (matchIndex).
    pub match_index: u64,
    /// The newest round that it answered.
    pub answered_round: u64,
    /// The nonce of its last response, to be echoed; 0 before the first.
    pub last_nonce: u32,
    pub last_response_at: Option<Instant>,
    /// Entries on their way. No more are sent until they are acknowledged or taken for lost.
    pub inflight: Option<InflightAppend>,
    /// A snapshot on its way.
    pub snapshot_transfer: Option<SnapshotTransfer>,
    /// How far a learner has caught up.
    pub catch_up: CatchUpRound,
}

/// Entries on their way to a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct InflightAppend {
    /// The round of their message.
    pub round: u64,
    pub last_index: u64,
    pub sent_at: Instant,
}

impl Progress {
    /// The state of a peer that the log is sent to from `next_index` on, beginning after `round`.
    pub fn new(now: Instant, ip: Ipv4Addr, next_index: u64, round: u64) -> Self {
        Progress {
            ip,
            tracked_since: now,
            tracked_since_round: round,
            wants_to_vote: false,
            leave_requested_at: None,
            next_index,
            match_index: 0,
            answered_round: 0,
            last_nonce: 0,
            last_response_at: None,
            inflight: None,
            snapshot_transfer: None,
            catch_up: CatchUpRound::new(now, next_index - 1),
        }
    }

    pub fn voter(&self, id: VoterId) -> Voter {
        Voter { id, ip: self.ip }
    }

    /// Whether it responded less than `span` ago.
    pub fn responded_within(&self, now: Instant, span: Duration) -> bool {
        self.last_response_at.is_some_and(|at| now.duration_since(at) < span)
    }

    /// The time since its last response, or since replication to it began if it never responded.
    pub fn silence(&self, now: Instant) -> Duration {
        now.duration_since(self.last_response_at.unwrap_or(self.tracked_since))
    }

    /// It answered a message of this round.
    pub fn record_response(&mut self, now: Instant, round: u64) {
        self.last_response_at = Some(now);
        self.answered_round = self.answered_round.max(round);
    }

    /// Its log matches up to `index`; the leader's log ends at `last_index`.
    pub fn on_append_accepted(&mut self, now: Instant, round: u64, index: u64, last_index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        // Responses come in the order of the messages, so one to a later round means that the batch was lost.
        let acknowledged = self.match_index;
        if self.inflight.is_some_and(|inflight| inflight.last_index <= acknowledged || inflight.round < round) {
            self.inflight = None;
        }
        if self.snapshot_transfer.as_ref().is_some_and(|transfer| transfer.id().index <= acknowledged) {
            self.snapshot_transfer = None;
        }
        self.catch_up.on_progress(now, self.match_index, last_index);
    }

    /// Its log does not match; it asks for the entries after `index`. The leader's log begins after
    /// `base_index`. While the peer needs a snapshot that is on its way, the rejection says nothing new.
    pub fn on_append_rejected(&mut self, index: u64, base_index: u64) {
        if self.snapshot_transfer.is_some() && self.next_index <= base_index {
            return;
        }
        self.snapshot_transfer = None;
        self.next_index = (index + 1).min(self.next_index.saturating_sub(1)).max(self.match_index + 1);
        self.inflight = None;
    }

    /// Takes an append that was sent more than `timeout` ago for lost.
    pub fn expire_inflight(&mut self, now: Instant, timeout: Duration) {
        if self.inflight.is_some_and(|inflight| now.duration_since(inflight.sent_at) > timeout) {
            self.inflight = None;
        }
    }

    /// The index after which the peer needs the log: where the snapshot being sent ends, or where it matches.
    pub fn needs_log_after(&self) -> u64 {
        self.snapshot_transfer.as_ref().map_or(self.match_index, |transfer| transfer.id().index)
    }
}

/// How a learner catches up (Raft dissertation §4.2.1): in rounds, each to where the log ended when the
/// round began. A learner whose last round was short lacks no more than what was appended meanwhile,
/// however busy the log is.
#[derive(Debug)]
pub(super) struct CatchUpRound {
    began_at: Instant,
    target_index: u64,
    /// The duration of the last completed round.
    last_duration: Option<Duration>,
}

impl CatchUpRound {
    fn new(now: Instant, target_index: u64) -> Self {
        CatchUpRound { began_at: now, target_index, last_duration: None }
    }

    /// Completes the round if its target is reached, and begins the next one.
    fn on_progress(&mut self, now: Instant, match_index: u64, last_index: u64) {
        if match_index >= self.target_index {
            self.last_duration = Some(now.duration_since(self.began_at));
            (self.began_at, self.target_index) = (now, last_index);
        }
    }

    /// Whether the last round took at most `limit`, and the current one has not taken longer yet.
    pub fn is_short(&self, now: Instant, limit: Duration) -> bool {
        let last_was_short = self.last_duration.is_some_and(|duration| duration <= limit);
        last_was_short && now.duration_since(self.began_at) <= limit
    }
}
