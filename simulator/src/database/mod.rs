//! A stand-in for a database group: instances that speak the published protocol and replicate a log of commits
//! without content.

mod candidate_isolation;
mod group_log;
mod protocol;

pub use candidate_isolation::{CandidateIsolation, IsolationChange};
pub use group_log::{GroupLog, LogEntry, promote};
pub use protocol::{GroupContext, InstanceConnection, Response};

use lichenfield_engine::connection::client_session::Position;
use std::collections::HashMap;
use std::time::Duration;

/// How long after a commit a replica has received it.
const REPLICATION_DELAY: Duration = Duration::from_millis(3);
/// How long after a commit a replica has applied it.
const APPLY_DELAY: Duration = Duration::from_millis(60);
/// While statements that prepare a connection are refused: one in this many is.
const REFUSED_SETUP_INTERVAL: u64 = 2;
/// The codes of these refusals, in turn.
const SETUP_REFUSAL_CODES: [&str; 2] = ["FAILED", "BUSY"];
/// The position before the first commit.
const LOG_START: Position = Position { term: 1, number: 0 };

/// One instance of a database group.
#[derive(Debug)]
pub struct DatabaseInstance {
    /// Its id, `i-NUMBER`.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes writes.
    pub is_primary: bool,
    /// The newest term it knows.
    pub term: u64,
    /// Whether the process runs.
    pub up: bool,
    /// Whether it neither receives nor sends anything while its connections stay open.
    pub isolated: bool,
    /// Whether it receives no commits.
    pub replication_stopped: bool,
    /// Whether it drains before it ends.
    pub draining: bool,
    /// Removed for good.
    pub removed: bool,
    /// Last position received.
    pub received: Position,
    /// Whether some answers are dropped.
    pub drops_answers: bool,
    /// Whether it refuses some of the statements that prepare a connection.
    pub refuses_setup: bool,
    /// Statements that prepare a connection, since it refuses some.
    setup_statements: u64,
    /// Whether it sends no more heartbeats.
    pub heartbeats_stopped: bool,
    /// When a controller acknowledged that it drains or ends.
    pub drain_acknowledged_at: Option<Duration>,
    connections: HashMap<u64, InstanceConnection>,
    heartbeat_count: u64,
}

impl DatabaseInstance {
    /// A running instance with an empty log.
    pub fn new(id: String, service: &str, zone: String, is_primary: bool) -> Self {
        DatabaseInstance {
            id,
            service: service.to_owned(),
            zone,
            is_primary,
            term: LOG_START.term,
            up: true,
            isolated: false,
            replication_stopped: false,
            draining: false,
            removed: false,
            received: LOG_START,
            drops_answers: false,
            refuses_setup: false,
            setup_statements: 0,
            heartbeats_stopped: false,
            drain_acknowledged_at: None,
            connections: HashMap::new(),
            heartbeat_count: 0,
        }
    }

    /// Address of the instance; the port tells instances apart.
    pub fn address(&self) -> String {
        format!("10.9.0.1:{}", self.id.trim_start_matches("i-"))
    }

    /// Body of the next heartbeat to a controller.
    pub fn next_heartbeat(&mut self) -> serde_json::Value {
        self.heartbeat_count += 1;
        serde_json::json!({
            "service": self.service,
            "address": self.address(),
            "zone": self.zone,
            "revision": "v1",
            "capacity": 5,
            "status": if self.draining { "draining" } else { "ready" },
            "warmup-left-ms": 0,
            "read-from": if self.is_primary { "primary" } else { "replica" },
            "call-count": self.heartbeat_count,
        })
    }

    /// Forgets a connection.
    pub fn close_connection(&mut self, connection: u64) {
        self.connections.remove(&connection);
    }

    /// Forgets all connections.
    pub fn close_all_connections(&mut self) {
        self.connections.clear();
    }

    /// A replica receives what was committed up to now, less the replication delay.
    pub fn replicate(&mut self, now: Duration, log: &GroupLog) {
        if self.is_primary || self.replication_stopped || !self.up {
            return;
        }
        let newest = log.entries.iter().rev().find(|entry| entry.committed_at + REPLICATION_DELAY <= now);
        if let Some(entry) = newest {
            let term_start = Position { term: log.term, number: 0 };
            self.received = entry.position.max(term_start).max(self.received);
        }
        self.term = log.term;
    }

    /// The code by which a statement that prepares a connection is refused, if it is.
    fn setup_refusal(&mut self) -> Option<&'static str> {
        if !self.refuses_setup {
            return None;
        }
        self.setup_statements += 1;
        if !self.setup_statements.is_multiple_of(REFUSED_SETUP_INTERVAL) {
            return None;
        }
        let refusals = self.setup_statements / REFUSED_SETUP_INTERVAL;
        SETUP_REFUSAL_CODES.get(refusals as usize % SETUP_REFUSAL_CODES.len()).copied()
    }

    /// The last position that a read sees.
    fn applied(&self, now: Duration, log: &GroupLog) -> Position {
        if self.is_primary {
            return self.received;
        }
        let is_applied = |entry: &&LogEntry| entry.committed_at + APPLY_DELAY <= now && entry.position <= self.received;
        let newest = log.entries.iter().rev().find(is_applied);
        newest.map_or(Position { term: self.term.min(1), number: 0 }, |entry| entry.position)
    }
}
