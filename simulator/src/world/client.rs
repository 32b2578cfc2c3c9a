//! A client of the simulated world: its route, its current attempt, and the statements it sends.

use super::{ClientIndex, HostIndex, SessionId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Every so many operations one sets session values and prepares statements first.
const PREPARING_OPERATIONS: u64 = 3;

/// Routes that clients use, one for each read consistency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientRoute {
    Primary,
    BoundedStaleness,
    ReadYourWrites,
}

impl ClientRoute {
    pub(super) const ALL: [ClientRoute; 3] =
        [ClientRoute::Primary, ClientRoute::BoundedStaleness, ClientRoute::ReadYourWrites];

    /// Its name in the configuration.
    pub(super) fn name(self) -> &'static str {
        match self {
            ClientRoute::Primary => "db-primary",
            ClientRoute::BoundedStaleness => "db-bounded",
            ClientRoute::ReadYourWrites => "db-own",
        }
    }
}

/// A statement that a client sends.
#[derive(Debug, Clone)]
pub(super) struct ClientStatement {
    /// `cCLIENT-OPERATION-ATTEMPT-STATEMENT`; empty for `CONNECT`.
    pub(super) id: String,
    pub(super) text: String,
}

impl ClientStatement {
    pub(super) fn is_connect(&self) -> bool {
        self.id.is_empty()
    }

    pub(super) fn is_read(&self) -> bool {
        self.text.starts_with("READ")
    }

    pub(super) fn is_write(&self) -> bool {
        self.text.starts_with("WRITE")
    }

    pub(super) fn is_run(&self) -> bool {
        self.text.starts_with("RUN")
    }

    pub(super) fn is_commit(&self) -> bool {
        self.text == "COMMIT"
    }
}

/// A client and its current attempt.
#[derive(Debug)]
pub(super) struct Client {
    /// The pooler that serves its session.
    pub(super) pooler: HostIndex,
    pub(super) session: Option<SessionId>,
    pub(super) route: ClientRoute,
    /// Session values that it has set.
    pub(super) values: BTreeMap<String, String>,
    /// Operations begun.
    pub(super) operations: u64,
    /// Attempts at the current operation.
    pub(super) attempts: u32,
    pub(super) attempt_began: Duration,
    /// Statements of the attempt that were not sent yet.
    pub(super) script: VecDeque<ClientStatement>,
    /// The statement that was not answered yet, and its answer so far.
    pub(super) outstanding: Option<ClientStatement>,
    pub(super) reply: String,
    /// Writes of the attempt.
    pub(super) write_ids: Vec<String>,
    /// Reads and writes of the attempt's transaction, if it has begun one.
    pub(super) transaction_ids: Option<Vec<String>>,
    /// Whether the attempt has sent what commits its writes.
    pub(super) commit_sent: bool,
    /// When the attempt's first read or transaction began.
    pub(super) read_since: Option<Duration>,
}

impl Client {
    /// A client without a session.
    pub(super) fn new(index: ClientIndex, pooler: HostIndex) -> Self {
        Client {
            pooler,
            session: None,
            route: ClientRoute::ALL[index % ClientRoute::ALL.len()],
            values: BTreeMap::new(),
            operations: 0,
            attempts: 0,
            attempt_began: Duration::ZERO,
            script: VecDeque::new(),
            outstanding: None,
            reply: String::new(),
            write_ids: Vec::new(),
            transaction_ids: None,
            commit_sent: false,
            read_since: None,
        }
    }

    pub(super) fn begin_attempt(&mut self, now: Duration) {
        self.attempt_began = now;
        self.attempts += 1;
        self.write_ids.clear();
        self.transaction_ids = None;
        self.commit_sent = false;
        self.read_since = None;
    }

    /// The statements of an attempt. `kind` and `extra_values` are random; routes that allow stale reads only read.
    pub(super) fn statements(&self, kind: u32, extra_values: u32) -> Vec<String> {
        let only_reads = self.route == ClientRoute::BoundedStaleness;
        let prepares = self.operations % PREPARING_OPERATIONS == 1;
        let mut statements: Vec<String> = Vec::new();
        if prepares {
            statements.extend((0..=extra_values).map(|number| format!("SET mode{number} {}", self.operations)));
            statements.push("PREPARE q READ other".into());
            statements.push(format!("PREPARE p {}", self.written_shape()));
        }
        let operation: &[&str] = match kind {
            0 | 1 => &["READ thing"],
            2 if !only_reads => &["WRITE thing data"],
            3 if !only_reads => &["BEGIN", "READ thing", "WRITE thing data", "COMMIT"],
            4 if !only_reads && prepares => &["BEGIN", "WRITE thing data", "RUN p thing data", "COMMIT"],
            _ => &["BEGIN READ", "READ thing", "READ other", "COMMIT"],
        };
        statements.extend(operation.iter().map(|text| (*text).to_owned()));
        statements
    }

    /// What it prepares as `p`, another one for each operation, so that connections have to be prepared ever anew.
    pub(super) fn written_shape(&self) -> String {
        format!("WRITE shape{}", self.operations)
    }

    /// Takes note of what a statement means for the attempt, before it is sent.
    pub(super) fn note_sent(&mut self, now: Duration, statement: &ClientStatement) {
        let begins_read = statement.is_read() && self.read_since.is_none();
        if statement.text.starts_with("BEGIN") || begins_read {
            self.read_since = Some(now);
        }
        self.commit_sent |= statement.is_commit() || (statement.is_write() && self.script.is_empty());
        self.reply.clear();
        if statement.text.starts_with("BEGIN") {
            self.transaction_ids = Some(Vec::new());
        } else if !statement.is_commit()
            && let Some(ids) = &mut self.transaction_ids
        {
            ids.push(statement.id.clone());
        }
        if statement.is_write() || statement.is_run() {
            self.write_ids.push(statement.id.clone());
        }
    }

    /// Takes note of an answered `SET`.
    pub(super) fn note_answered(&mut self, statement: &ClientStatement) {
        let assignment = statement.text.strip_prefix("SET ").and_then(|rest| rest.split_once(' '));
        if let Some((name, value)) = assignment {
            self.values.insert(name.to_owned(), value.to_owned());
        }
    }
}
