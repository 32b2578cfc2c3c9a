//! What daemons say to each other, in `bincode` frames.

use super::raft;
use super::repair::{Digests, Fact};
use super::views::Card;
use crate::version::ledger::{Command, Mark, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Dance {
    /// Who I am; the first thing seeds tell each other.
    Hello {
        card: Card,
        voter: Option<raft::VoterId>,
        founding: bool,
        /// Other daemons that keep the log, as known to the one that greets.
        known: Vec<Card>,
    },
    Raft(raft::Message),
    Propose {
        mark: Mark,
        command: Command,
    },
    /// The leader has the proposal: the proposer's first timer ends, its second begins.
    Heard {
        mark: Mark,
    },
    Decided {
        mark: Mark,
        outcome: Outcome,
    },
    /// Not from the leader: ask there.
    Elsewhere {
        mark: Mark,
    },
    /// Instances' liveness, as (id, call count, age of the beat).
    Beats {
        beats: Vec<(String, u64, Duration)>,
        digests: Digests,
    },
    /// A child asks to be fed.
    Attach {
        card: Card,
    },
    Welcome {
        pulse: Pulse,
    },
    /// No room; try one of these.
    Full {
        others: Vec<Card>,
    },
    Detach,
    Facts(Vec<Fact>),
    Pulse(Pulse),
    /// Ranges that differ, with the versions held in them.
    Compare {
        ranges: Vec<u8>,
        versions: Vec<(String, u64)>,
    },
    Shuffle {
        cards: Vec<Card>,
        answer: bool,
    },
    Ask(Ask),
    Grant(Grant),
    /// Not by this daemon: that one leads.
    Led {
        leader: Ipv4Addr,
    },
    /// The leader wants leases for this epoch back.
    Recall {
        service: String,
        epoch: u64,
    },
    Returned {
        service: String,
        epoch: u64,
    },
}

/// A parent's sign of life: how old its news is, who leads, and digests of its copies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// Age of the newest sign of the leader.
    pub age: Duration,
    pub depth: u8,
    pub leader: Option<Ipv4Addr>,
    pub digests: Digests,
}

/// What a forager tells the leader now and then, asking for leases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub nonce: u64,
    pub node: String,
    pub zone: String,
    /// The life of the process; counts of an earlier one stand beside these.
    pub life: u64,
    /// Requests begun by window and tenant, whole so far.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Primaries seen: service, epoch, how long it has been silent although asked.
    pub sights: Vec<Sight>,
    /// Busy connections lately, over all instances.
    pub demand: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    pub service: String,
    pub epoch: u64,
    pub failing: bool,
    /// It answered READONLY: it has lost the lead.
    pub deposed: bool,
    /// Age of the last answer.
    pub heard: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub nonce: u64,
    /// Service, epoch: leases from the asking on.
    pub leases: Vec<(String, u64)>,
    pub span: Duration,
    /// Windows up to and including this one are reported; no need to tell of them again.
    pub reported: Option<u64>,
    /// Of the leader's copies, for those whose news comes late.
    pub digests: Digests,
}

/// Frames are bounded; nothing daemons say comes near this.
pub const FRAME_MAX: usize = 8 << 20;

pub fn encode(dance: &Dance) -> Vec<u8> {
    bincode::serde::encode_to_vec(dance, bincode::config::standard()).unwrap_or_default()
}

pub fn decode(bytes: &[u8]) -> Option<Dance> {
    let (dance, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard()).ok()?;
    (used == bytes.len()).then_some(dance)
}
