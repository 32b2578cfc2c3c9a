//! A client's session: its values, its prepared names, its transaction.

use super::draining::{ClientActivity, DrainPhase, SessionState};
use super::framing::LineReader;
use crate::request::statement::Shape;
use crate::version::config::Route;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// A position in an instance's log; positions of a later term are later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub term: u64,
    pub number: u64,
}

impl Position {
    pub fn read(text: &str) -> Option<Position> {
        let (term, number) = text.split_once('.')?;
        Some(Position { term: term.parse().ok()?, number: number.parse().ok()? })
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

#[derive(Debug)]
pub enum Transaction {
    None,
    /// Begun by the client, not yet at an instance.
    Lazy {
        read: bool,
        began: Instant,
        route: Route,
    },
    /// On an instance's connection.
    Bound {
        conn: u64,
        read: bool,
        began: Instant,
        route: Route,
    },
    /// Failed; only its end is taken, once its client has been told.
    Failed {
        told: bool,
    },
}

impl Transaction {
    pub fn state(&self) -> char {
        match self {
            Transaction::None => 'I',
            Transaction::Lazy { .. } | Transaction::Bound { .. } => 'T',
            Transaction::Failed { .. } => 'E',
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    Read,
    Write,
    Commit,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementStage {
    /// Not given to any connection.
    Waiting,
    /// The connection is being readied; the statement itself has not been sent.
    Setup(u64),
    /// Sent at this moment.
    Sent(u64, Instant),
}

/// A statement that goes to an instance.
#[derive(Debug)]
pub struct PendingStatement {
    pub number: u64,
    pub id: String,
    pub text: String,
    pub kind: StatementKind,
    /// For `RUN`: the shape, and what follows the name.
    pub run: Option<(Shape, String)>,
    pub route: Route,
    pub tenant: String,
    pub arrived: Instant,
    pub stage: StatementStage,
    /// Instances that turned this try away or fell silent.
    pub tried: Vec<String>,
    /// Answers that promised it had not run, so far.
    pub promises: u32,
    /// Its tenant's limit lets it through, or it has waited for that.
    pub admitted: bool,
    pub waited_for_rights: bool,
    /// It stands in the usage counts.
    pub counted: bool,
    /// Since when it waits for a connection.
    pub queued: Option<Instant>,
}

#[derive(Debug)]
pub struct Session {
    pub database: String,
    pub key: String,
    /// Set once `CONNECT` was answered.
    pub open: bool,
    pub opened: Option<Instant>,
    pub lines: LineReader,
    pub values: BTreeMap<String, String>,
    pub prepared: HashMap<String, Shape>,
    pub transaction: Transaction,
    pub statement: Option<PendingStatement>,
    /// The newest own commit: its service, position, and when it was acknowledged.
    pub last_own_commit: Option<(String, Position, Instant)>,
    /// Since when the transaction rests.
    pub idle_since: Option<Instant>,
    pub client_activity: ClientActivity,
    /// The pooler that passes it on was asked to close it, at this stage of leaving.
    pub close_requested: Option<DrainPhase>,
    /// Statements of the current transaction that were sent to an instance.
    pub statements_sent: u32,
    /// Passed on by another pooler, which was last told this version.
    pub forwarded_revision: Option<u64>,
    /// Its lines wait until this version is known here.
    pub required_revision: u64,
}

impl Session {
    pub fn new() -> Self {
        Session {
            database: String::new(),
            key: String::new(),
            open: false,
            opened: None,
            lines: LineReader::default(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: Transaction::None,
            statement: None,
            last_own_commit: None,
            idle_since: None,
            client_activity: ClientActivity::default(),
            close_requested: None,
            statements_sent: 0,
            forwarded_revision: None,
            required_revision: 0,
        }
    }

    pub fn session_state(&self) -> SessionState {
        match self.transaction {
            _ if self.statement.is_some() || self.lines.waiting() > 0 => SessionState::Busy,
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
