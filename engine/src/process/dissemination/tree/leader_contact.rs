//! What a daemon knows of the leader: who it is, when it was last in contact with its quorum, and whether it
//! answers this daemon directly.

use super::{HEARTBEAT_INTERVAL, STALE_CONTACT_AGE};
use crate::process::peer_message::Heartbeat;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A period in which the leader has answered without a long pause.
#[derive(Debug, Clone, Copy)]
struct AnswerPeriod {
    first: Instant,
    last: Instant,
}

/// What a daemon knows of the leader.
#[derive(Debug, Default)]
pub(super) struct LeaderContact {
    leader: Option<Ipv4Addr>,
    /// When the leader is last known to have been in contact with its quorum.
    last_contact_at: Option<Instant>,
    /// The leader's answers to this daemon itself.
    answers: Option<AnswerPeriod>,
}

impl LeaderContact {
    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        self.leader
    }

    /// Time since the last known contact.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.last_contact_at.map(|at| now.duration_since(at))
    }

    /// The leader answered this daemon directly.
    pub(super) fn note_answer(&mut self, now: Instant) {
        match &mut self.answers {
            Some(period) if now.duration_since(period.last) < STALE_CONTACT_AGE => period.last = now,
            answers => *answers = Some(AnswerPeriod { first: now, last: now }),
        }
    }

    /// Whether the leader has been answering for a while: only then can another parent know more recent
    /// contacts than one whose heartbeats report old ones.
    pub(super) fn is_answering(&self, now: Instant) -> bool {
        self.answers.is_some_and(|period| {
            now.duration_since(period.last) < STALE_CONTACT_AGE
                && now.duration_since(period.first) > STALE_CONTACT_AGE + HEARTBEAT_INTERVAL
        })
    }

    /// At a root: what the log's own traffic shows.
    pub(super) fn note_log(&mut self, as_of: Option<Instant>, leader: Option<Ipv4Addr>) {
        self.leader = leader;
        self.last_contact_at = self.last_contact_at.max(as_of);
    }

    /// What the parent's heartbeat reports. The more recent contact decides who leads.
    pub(super) fn note_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let contact_at = now.checked_sub(heartbeat.leader_contact_age);
        if contact_at > self.last_contact_at {
            self.last_contact_at = contact_at;
            self.leader = heartbeat.leader;
        } else if self.leader.is_none() {
            self.leader = heartbeat.leader;
        }
    }
}
