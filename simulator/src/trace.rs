//! A digest of all that a simulated world sends, in order: two runs that agree in it behaved alike.

use std::net::Ipv4Addr;
use std::time::Duration;

/// Set in the environment, it asks for a line `trace NAME DIGEST` for each scenario.
pub const VARIABLE: &str = "LICHENFIELD_TRACE";

/// An end of what is sent. Daemons go by their addresses: names may change.
#[derive(Debug, Clone, Copy)]
pub enum Party {
    Daemon(Ipv4Addr),
    Instance(usize),
    /// The session that a client has with a daemon.
    Session(u64),
    /// None, where a client's session is with no daemon any more.
    Unserved,
    /// An operator's or instance's call.
    Caller(u64),
    Platform,
}

impl Party {
    fn bytes(self) -> [u8; 9] {
        let (kind, number) = match self {
            Party::Daemon(ip) => (0, u64::from(u32::from(ip))),
            Party::Instance(n) => (1, n as u64),
            Party::Session(id) => (2, id),
            Party::Unserved => (3, 0),
            Party::Caller(token) => (4, token),
            Party::Platform => (5, 0),
        };
        let mut bytes = [kind; 9];
        bytes[1..].copy_from_slice(&number.to_le_bytes());
        bytes
    }
}

#[derive(Default)]
pub struct Trace {
    hasher: blake3::Hasher,
}

impl Trace {
    /// One, if the environment asks for it.
    pub fn from_environment() -> Option<Self> {
        std::env::var_os(VARIABLE).map(|_| Trace::default())
    }

    pub fn sent(&mut self, at: Duration, from: Party, to: Party, bytes: &[u8]) {
        self.hasher.update(&(at.as_nanos() as u64).to_le_bytes());
        self.hasher.update(&from.bytes());
        self.hasher.update(&to.bytes());
        self.hasher.update(&(bytes.len() as u64).to_le_bytes());
        self.hasher.update(bytes);
    }

    /// Takes another trace as a part of this one.
    pub fn add(&mut self, part: &Trace) {
        self.hasher.update(part.digest().as_bytes());
    }

    pub fn digest(&self) -> blake3::Hash {
        self.hasher.finalize()
    }
}
