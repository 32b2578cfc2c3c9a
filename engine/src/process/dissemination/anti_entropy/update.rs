//! The updates that are disseminated, and what they hold.

use crate::process::forwarding::PoolerShare;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The key of the update that holds [`UpdateValue::Voters`].
pub const VOTERS_KEY: &str = "q/";

/// A versioned value. Of two updates with the same key, the one with the higher version holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// What the value is about.
    pub key: String,
    /// Grows with each change of the value.
    pub version: u64,
    /// The value.
    pub value: UpdateValue,
}

/// The key and version of an update, as compared by anti-entropy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The update's key.
    pub key: String,
    /// The version held.
    pub version: u64,
}

/// What an update is about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpdateValue {
    /// The configuration, as the operator sent it.
    Config(Vec<u8>),
    /// The configuration in transit.
    Compressed {
        /// The version that it is compressed against; `None` if it is compressed by itself.
        base: Option<u64>,
        /// A `zstd` frame.
        bytes: Vec<u8>,
    },
    /// The epoch of a service, with its primary.
    Epoch {
        /// The service.
        service: String,
        /// Grows with each change of the primary.
        epoch: u64,
        /// The primary's instance.
        primary: String,
        /// The primary's own term.
        term: u64,
        /// Whether the epoch has ended and no other has begun.
        closed: bool,
    },
    /// An instance that is to be drained.
    DrainInstance {
        /// The instance.
        id: String,
    },
    /// Whether a pooler counts for the shares.
    PoolerShare {
        /// The pooler's name.
        name: String,
        /// Its share; `None` if it no longer counts.
        share: Option<PoolerShare>,
    },
    /// An instance of the database.
    Instance(Instance),
    /// The addresses of the controllers that vote.
    Voters(Vec<Ipv4Addr>),
}

/// What an instance of the database reports of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes connections.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its capacity.
    pub capacity: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it has ended or was declared dead.
    pub gone: bool,
    /// Whether it is the primary.
    pub primary: bool,
    /// How much longer it warms up, in milliseconds.
    pub warmup_left_ms: u64,
}
