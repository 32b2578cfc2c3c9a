//! A client's session: its variables, prepared statements, transaction and current statement.

pub use super::pending_statement::{PendingStatement, PreparedExecution, StatementKind, StatementStage};
pub use super::position::Position;
pub use super::transaction::Transaction;

use super::draining::{ClientActivity, DrainPhase, SessionState};
use super::framing::LineReader;
use crate::request::statement::Shape;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// A commit of the session's own, which its later reads may have to see.
#[derive(Debug, Clone)]
pub struct OwnCommit {
    /// The service that it was made on.
    pub service: String,
    /// Its position.
    pub position: Position,
    /// When it was acknowledged.
    pub acknowledged_at: Instant,
}

/// A client's session.
#[derive(Debug)]
pub struct Session {
    /// The database named in `CONNECT`.
    pub database: String,
    /// The API key given in `CONNECT`.
    pub key: String,
    /// Whether `CONNECT` has been accepted.
    pub open: bool,
    /// When it was.
    pub opened_at: Option<Instant>,
    /// Bytes received from the client and not yet processed.
    pub input: LineReader,
    /// Session variables, replayed on whatever connection serves the session.
    pub variables: BTreeMap<String, String>,
    /// Prepared statements by the session's name for them.
    pub prepared: HashMap<String, Shape>,
    /// The transaction.
    pub transaction: Transaction,
    /// The statement under way; a session has one at a time.
    pub statement: Option<PendingStatement>,
    /// The newest own commit.
    pub last_own_commit: Option<OwnCommit>,
    /// Since when a bound transaction has had no statement.
    pub idle_since: Option<Instant>,
    /// What the client was last seen to do.
    pub client_activity: ClientActivity,
    /// For a forwarded session: the pooler that forwards it has been asked to close it, in this phase.
    pub close_requested: Option<DrainPhase>,
    /// For a session that another pooler forwards: the configuration revision last sent to that one.
    pub forwarded_revision: Option<u64>,
    /// The session's input is not processed before this configuration revision is in force here.
    pub required_revision: u64,
}

impl Session {
    /// A session before `CONNECT`.
    pub fn new() -> Self {
        Session {
            database: String::new(),
            key: String::new(),
            open: false,
            opened_at: None,
            input: LineReader::default(),
            variables: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: Transaction::None,
            statement: None,
            last_own_commit: None,
            idle_since: None,
            client_activity: ClientActivity::default(),
            close_requested: None,
            forwarded_revision: None,
            required_revision: 0,
        }
    }

    /// A session that another pooler forwards.
    pub fn forwarded() -> Self {
        Session { forwarded_revision: Some(0), ..Session::new() }
    }

    /// What the session has open, as far as closing it depends on that.
    pub fn session_state(&self) -> SessionState {
        match self.transaction {
            _ if self.statement.is_some() || self.input.buffered() > 0 => SessionState::Busy,
            Transaction::None => SessionState::Idle,
            _ => SessionState::InTransaction,
        }
    }
}

impl Default for Session {
    fn default() -> Self {
        Self::new()
    }
}
