//! What daemons say to each other, in `bincode` frames.

use super::nectar::{Need, Pour};
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
    /// A forager is short of rights now and does not wait until it asks again anyway.
    Dip {
        nonce: u64,
        node: String,
        life: u64,
        needs: Vec<Need>,
    },
    Poured {
        nonce: u64,
        span: Duration,
        term: u64,
        pours: Vec<Pour>,
    },
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
    /// To the leader, by a daemon that keeps the log: what is committed, and does a majority still stand behind it?
    ReadIndex {
        nonce: u64,
    },
    /// Up to here; a majority last answered a round begun this long ago.
    Indexed {
        nonce: u64,
        commit: u64,
        age: Duration,
    },
}

/// A parent's sign of life: how old its news is, who leads, and what tells whether copies differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// Age of the newest sign of the leader.
    pub age: Duration,
    pub depth: u8,
    pub leader: Option<Ipv4Addr>,
    /// Over all digests; they themselves only where they have changed since the last pulse.
    pub sum: u64,
    pub digests: Option<Digests>,
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
    /// The services that leases are asked for.
    pub wants: Vec<String>,
    /// Primaries seen: service, epoch, how long it has been silent although asked.
    pub sights: Vec<Sight>,
    /// Connections at work, over all instances.
    pub demand: u32,
    /// Over the digests of the copies here.
    pub sum: u64,
    /// The rights held for tenants with a limit, where something has changed; for a leader that this
    /// forager has not told yet (`known` is the last one's term), of all.
    pub needs: Vec<Need>,
    pub known: u64,
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
    /// Service, epoch, as far as asked for: leases from the asking on.
    pub leases: Vec<(String, u64)>,
    pub span: Duration,
    /// Windows up to and including this one are reported; no need to tell of them again.
    pub reported: Option<u64>,
    /// Of the leader's copies, for one whose copies differ.
    pub digests: Option<Digests>,
    pub term: u64,
    pub pours: Vec<Pour>,
}

/// Frames are bounded; nothing daemons say comes near this.
pub const FRAME_MAX: usize = 8 << 20;

/// Longer ones are packed on the way: links are thin, and bytes between zones dear.
const PACK_FROM: usize = 1024;
const LEVEL: i32 = 1;
const PLAIN: u8 = 0;
const PACKED: u8 = 1;

pub fn encode(dance: &Dance) -> Vec<u8> {
    let mut bytes = vec![PLAIN];
    let config = bincode::config::standard();
    if bincode::serde::encode_into_std_write(dance, &mut bytes, config).is_err() {
        return Vec::new();
    }
    if bytes.len() > PACK_FROM
        && let Ok(packed) = zstd::bulk::compress(&bytes[1..], LEVEL)
    {
        bytes.truncate(1);
        bytes[0] = PACKED;
        bytes.extend_from_slice(&packed);
    }
    bytes
}

pub fn decode(bytes: &[u8]) -> Option<Dance> {
    let (kind, body) = bytes.split_first()?;
    let config = bincode::config::standard();
    let whole = |body: &[u8]| {
        let (dance, used) = bincode::serde::decode_from_slice(body, config).ok()?;
        (used == body.len()).then_some(dance)
    };
    match *kind {
        PLAIN => whole(body),
        PACKED => {
            let length = zstd::zstd_safe::get_frame_content_size(body).ok()??;
            let length = usize::try_from(length).ok().filter(|n| *n <= FRAME_MAX)?;
            whole(&zstd::bulk::decompress(body, length).ok()?)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_messages_are_packed_and_torn_ones_are_refused() {
        let facts = |n: usize| {
            let fact = |i| Fact {
                key: format!("d/i-{i}"),
                version: i as u64,
                value: super::super::repair::Value::Drain { id: format!("i-{i}") },
            };
            Dance::Facts((0..n).map(fact).collect())
        };
        for n in [0, 3, 400] {
            let bytes = encode(&facts(n));
            assert_eq!(decode(&bytes), Some(facts(n)));
            assert!(bytes.len() < 4000, "{} bytes", bytes.len());
            for cut in [0, 1, bytes.len() / 2, bytes.len() - 1] {
                assert_eq!(decode(&bytes[..cut]), None, "{n} facts cut at {cut}");
            }
        }
        assert_eq!(decode(&[7, 0, 0]), None);
    }
}
