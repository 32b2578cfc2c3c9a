//! A digest of everything that a simulated world sends, in order: two runs with the same digest behaved alike.

use std::net::Ipv4Addr;
use std::time::Duration;

/// Environment variable that asks for a line `trace NAME DIGEST` for each scenario.
pub const VARIABLE: &str = "LICHENFIELD_TRACE";

/// A sender or receiver. Daemons are identified by address, because names may change.
#[derive(Debug, Clone, Copy)]
pub enum Party {
    /// A controller or pooler.
    Daemon(Ipv4Addr),
    /// A database instance, by index.
    Instance(usize),
    /// The session that a client has with a daemon.
    Session(u64),
    /// No daemon: the session is no longer served by any.
    Unserved,
    /// An HTTP call of an operator or an instance, by token.
    Caller(u64),
    /// The platform's API.
    Platform,
}

impl Party {
    fn bytes(self) -> [u8; 9] {
        let (kind, number) = match self {
            Party::Daemon(ip) => (0, u64::from(u32::from(ip))),
            Party::Instance(index) => (1, index as u64),
            Party::Session(session_id) => (2, session_id),
            Party::Unserved => (3, 0),
            Party::Caller(token) => (4, token),
            Party::Platform => (5, 0),
        };
        let mut bytes = [kind; 9];
        bytes[1..].copy_from_slice(&number.to_le_bytes());
        bytes
    }
}

/// A running digest of what was sent.
#[derive(Default)]
pub struct Trace {
    hasher: blake3::Hasher,
}

impl Trace {
    /// A new trace, if the environment asks for one.
    pub fn from_environment() -> Option<Self> {
        std::env::var_os(VARIABLE).map(|_| Trace::default())
    }

    /// Adds `bytes` sent at `at`, which counts from the world's beginning.
    pub fn record(&mut self, at: Duration, from: Party, to: Party, bytes: &[u8]) {
        self.hasher.update(&(at.as_nanos() as u64).to_le_bytes());
        self.hasher.update(&from.bytes());
        self.hasher.update(&to.bytes());
        self.hasher.update(&(bytes.len() as u64).to_le_bytes());
        self.hasher.update(bytes);
    }

    /// Adds the digest of another trace.
    pub fn append(&mut self, part: &Trace) {
        self.hasher.update(part.digest().as_bytes());
    }

    /// The digest of all that was recorded so far.
    pub fn digest(&self) -> blake3::Hash {
        self.hasher.finalize()
    }
}
