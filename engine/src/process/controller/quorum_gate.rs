//! QuorumContact with a majority: how old what this daemon knows may be, and what it answers by that.
//!
//! The age is the log's (`Raft::as_of`): counted on the steady clock from something that this daemon itself sent. So neither
//! a message that lay unread while the process was frozen, nor a leader that does not know yet that it is none, makes it
//! younger than it is.

use super::Controller;
use crate::process::peer_message::PeerMessage;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Out of contact after as many T without a sign; an election takes far less.
const LIMIT: u32 = 8;
/// A child that is turned away again within this hears nothing: it waits before it tries elsewhere.
const TURN: Duration = Duration::from_millis(600);

pub(super) struct QuorumGate {
    limit: Duration,
    turned: BTreeMap<Ipv4Addr, Instant>,
}

impl QuorumGate {
    pub(super) fn new(t: Duration) -> Self {
        QuorumGate { limit: t * LIMIT, turned: BTreeMap::new() }
    }
}

impl Controller {
    /// A daemon out of contact feeds nobody new: it names the others that keep the log instead.
    pub(super) fn turns_away(&mut self, now: Instant, from: Ipv4Addr, message: &PeerMessage) -> bool {
        if !matches!(message, PeerMessage::Attach { .. }) || self.has_quorum_contact(now) {
            return false;
        }
        self.gate.turned.retain(|_, at| now.duration_since(*at) < TURN);
        if self.gate.turned.insert(from, now).is_none() {
            let others = self.controllers.values().map(|(c, _)| c.clone()).filter(|c| c.control.is_some()).collect();
            self.send(from, PeerMessage::AttachRejected { alternatives: others });
        }
        true
    }

    /// Whether this daemon knows everything that was decided until a moment ago.
    pub fn has_quorum_contact(&self, now: Instant) -> bool {
        self.raft.last_quorum_contact().is_some_and(|at| now.duration_since(at) <= self.gate.limit)
    }
}
