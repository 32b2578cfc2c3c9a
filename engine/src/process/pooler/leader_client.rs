//! The pooler as a client of the leader: whom requests go to, when the next is due, and which answers are accepted.

use super::limits::LEADER_REQUESTS_REMEMBERED;
use super::timeouts::{LEADER_TIMEOUT, LEASE_REQUEST_INTERVAL, UNCONGESTED_ROUND_TRIP, URGENT_LEASE_REQUEST_DELAY};
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A request to the leader.
#[derive(Debug)]
struct SentRequest {
    nonce: u64,
    sent_at: Instant,
}

/// State of the exchange with the leader.
#[derive(Debug)]
pub(super) struct LeaderClient {
    leader: Option<Ipv4Addr>,
    /// The leader as last announced by the dissemination tree.
    announced_leader: Option<Ipv4Addr>,
    /// All controllers, asked when the leader does not answer.
    controllers: Vec<Ipv4Addr>,
    last_grant_at: Instant,
    /// Of the last lease request.
    round_trip: Duration,
    lease_request_due: Instant,
    last_nonce: u64,
    /// The newest last.
    sent: VecDeque<SentRequest>,
}

impl LeaderClient {
    pub(super) fn new(now: Instant) -> Self {
        LeaderClient {
            leader: None,
            announced_leader: None,
            controllers: Vec::new(),
            last_grant_at: now,
            round_trip: Duration::ZERO,
            lease_request_due: now,
            last_nonce: 0,
            sent: VecDeque::new(),
        }
    }

    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        self.leader
    }

    pub(super) fn set_controllers(&mut self, controllers: &[Ipv4Addr]) {
        if self.controllers != controllers {
            self.controllers = controllers.to_vec();
        }
    }

    /// The dissemination tree announces this leader. A newly announced one is asked at once.
    pub(super) fn announce(&mut self, now: Instant, leader: Option<Ipv4Addr>) {
        if leader.is_some() && leader != self.announced_leader {
            self.announced_leader = leader;
            self.leader = leader;
            self.request_leases_now(now);
        }
    }

    /// A controller that does not lead named the leader.
    pub(super) fn redirect(&mut self, now: Instant, leader: Ipv4Addr) {
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.request_leases_soon(now);
        }
    }

    // When to ask.

    pub(super) fn lease_request_due(&self) -> Instant {
        self.lease_request_due
    }

    pub(super) fn request_leases_now(&mut self, now: Instant) {
        self.lease_request_due = now;
    }

    pub(super) fn request_leases_soon(&mut self, now: Instant) {
        self.lease_request_due = self.lease_request_due.min(now + URGENT_LEASE_REQUEST_DELAY);
    }

    pub(super) fn schedule_next_lease_request(&mut self, now: Instant) {
        self.lease_request_due = now + LEASE_REQUEST_INTERVAL;
    }

    // Whom to ask.

    /// The leader, while it answers.
    pub(super) fn responsive_leader(&self, now: Instant) -> Option<Ipv4Addr> {
        self.leader.filter(|_| now.duration_since(self.last_grant_at) < LEADER_TIMEOUT)
    }

    /// All controllers, and the leader if it is not among them. Asked when the leader does not answer: it may have been
    /// replaced, and only its successor grants.
    pub(super) fn all_candidates(&self) -> Vec<Ipv4Addr> {
        let other = self.leader.filter(|leader| !self.controllers.contains(leader));
        self.controllers.iter().copied().chain(other).collect()
    }

    // Requests and answers.

    /// The nonce for a request that is sent now.
    pub(super) fn next_nonce(&mut self, now: Instant) -> u64 {
        self.last_nonce += 1;
        self.sent.push_back(SentRequest { nonce: self.last_nonce, sent_at: now });
        if self.sent.len() > LEADER_REQUESTS_REMEMBERED {
            self.sent.pop_front();
        }
        self.last_nonce
    }

    /// When the request with this nonce was sent, unless that is too long ago.
    pub(super) fn request_sent_at(&self, nonce: u64) -> Option<Instant> {
        self.sent.iter().find(|request| request.nonce == nonce).map(|request| request.sent_at)
    }

    /// The leader granted what was requested at `sent_at`.
    pub(super) fn note_grant(&mut self, now: Instant, from: Ipv4Addr, sent_at: Instant) {
        self.leader = Some(from);
        self.last_grant_at = now;
        self.round_trip = now.duration_since(sent_at);
    }

    /// Whether the leader answers, and fast.
    pub(super) fn is_responsive(&self, now: Instant) -> bool {
        self.round_trip < UNCONGESTED_ROUND_TRIP && now.duration_since(self.last_grant_at) < LEADER_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
