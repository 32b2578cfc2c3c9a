//! Contact with a majority of the electorate: how old the state of this daemon may be, what it may answer by that, and
//! every reason for which it answers a call with 503 ([`Unavailable`]).
//!
//! The age is the log's ([`crate::process::consensus::Raft::last_quorum_contact`]): measured on the monotonic clock from
//! something that this daemon itself sent. So neither a message that lay unread while the process was frozen, nor a
//! leader that does not know yet that it was deposed, makes the state look younger than it is.

use super::Controller;
use crate::process::peer_message::PeerMessage;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Contact is lost after this many election timeouts without proof of it; an election takes far less.
const CONTACT_LOST_AFTER_ELECTION_TIMEOUTS: u32 = 8;
/// A child that asks again within this time of being rejected gets no answer, so that it waits before it tries
/// elsewhere.
const REJECTION_INTERVAL: Duration = Duration::from_millis(600);

/// Why a call is answered with 503. The caller may ask again, here or at another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Unavailable {
    /// This daemon was asked to end, and takes no more changes.
    #[error("this daemon is about to end; ask another")]
    ShuttingDown,
    /// It can't know whether something has changed: it was not in contact with a majority for too long.
    #[error("out of contact with a majority; ask another daemon")]
    OutOfContact,
    /// A change of the configuration has no leader to go to.
    #[error("no leader; ask again")]
    NoLeader,
    /// A read has no leader to be redirected to, or this daemon is out of contact and can't vouch for the one it knows.
    #[error("no leader known; ask again")]
    NoLeaderForRead,
    /// The leader was deposed before a majority confirmed it for a read, or was not confirmed in time.
    #[error("the leader changed; ask again")]
    ReadNotConfirmed,
    /// The log has not decided in time.
    #[error("no decision yet; ask again")]
    NoDecisionYet,
    /// The change builds on a version so old that nobody knows any more whether it was accepted.
    #[error("built on a version too old to tell what became of it")]
    OutcomeUnknown,
}

/// Judges whether the state here is recent enough to answer from.
pub(super) struct QuorumGate {
    max_contact_age: Duration,
    /// When each child was last rejected.
    rejected_at: BTreeMap<Ipv4Addr, Instant>,
}

impl QuorumGate {
    pub(super) fn new(election_timeout: Duration) -> Self {
        QuorumGate {
            max_contact_age: election_timeout * CONTACT_LOST_AFTER_ELECTION_TIMEOUTS,
            rejected_at: BTreeMap::new(),
        }
    }
}

impl Controller {
    /// Whether this daemon knows everything that was decided until a moment ago.
    pub fn has_quorum_contact(&self, now: Instant) -> bool {
        let last_contact = self.raft.last_quorum_contact();
        last_contact.is_some_and(|at| now.duration_since(at) <= self.quorum_gate.max_contact_age)
    }

    /// Fails where this daemon is out of contact with a majority.
    pub(super) fn require_quorum_contact(&self, now: Instant) -> Result<(), Unavailable> {
        if self.has_quorum_contact(now) { Ok(()) } else { Err(Unavailable::OutOfContact) }
    }

    /// Rejects a new child in the tree while this daemon is out of contact, and names other controllers instead;
    /// whether the message was such a request and is dealt with.
    pub(super) fn rejects_attach(&mut self, now: Instant, from: Ipv4Addr, message: &PeerMessage) -> bool {
        if !matches!(message, PeerMessage::Attach { .. }) || self.has_quorum_contact(now) {
            return false;
        }
        let rejected_at = &mut self.quorum_gate.rejected_at;
        rejected_at.retain(|_, at| now.duration_since(*at) < REJECTION_INTERVAL);
        let is_first_request = rejected_at.insert(from, now).is_none();
        if is_first_request {
            let controllers = self.membership.descriptors().filter(|controller| controller.control.is_some());
            let others = controllers.cloned().collect();
            self.send(from, PeerMessage::AttachRejected { alternatives: others });
        }
        true
    }
}
