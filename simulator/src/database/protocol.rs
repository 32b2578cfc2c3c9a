//! The published protocol as the stand-in instance speaks it, and the checks on what reaches it.

use super::{DatabaseInstance, GroupLog};
use crate::judge::{Commit, ExpectedState, Judge, TransactionNumber, Violation};
use lichenfield_engine::connection::client_session::Position;
use lichenfield_engine::connection::framing::{LineReader, NextLine};
use lichenfield_engine::request::statement::{self, Statement, split_word};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What the instances of a group share while one of them handles input.
pub struct GroupContext<'a> {
    /// Since the group's beginning.
    pub now: Duration,
    /// The group's log.
    pub log: &'a mut GroupLog,
    /// Checks statements and records commits.
    pub judge: &'a mut Judge,
}

/// What an instance answers to input on a connection.
#[derive(Debug, Default)]
pub struct Response {
    /// Lines to send.
    pub text: String,
    /// Whether the instance closes the connection after them.
    pub closes: bool,
}

impl Response {
    fn open(text: String) -> Self {
        Response { text, closes: false }
    }

    fn closing(text: &str) -> Self {
        Response { text: text.to_owned(), closes: true }
    }
}

/// Transaction state of a connection, as `READY` states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum TransactionState {
    #[default]
    Idle,
    InTransaction,
    Failed,
}

impl TransactionState {
    fn code(self) -> char {
        match self {
            TransactionState::Idle => 'I',
            TransactionState::InTransaction => 'T',
            TransactionState::Failed => 'E',
        }
    }
}

/// A connection as the instance sees it.
#[derive(Debug, Default)]
pub struct InstanceConnection {
    lines: LineReader,
    accepted: bool,
    state: TransactionState,
    /// The open transaction.
    transaction: TransactionNumber,
    /// Writes of the open transaction.
    pending_writes: Vec<String>,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
}

impl InstanceConnection {
    fn ready(&self, position: Position) -> String {
        format!("READY {} {position}\r\n", self.state.code())
    }

    fn done(&self, position: Position) -> Response {
        Response::open(format!("DONE -\r\n{}", self.ready(position)))
    }

    fn done_write(&self, position: Position) -> Response {
        Response::open(format!("DONE {}.stamp\r\n{}", position.number, self.ready(position)))
    }

    fn error(&self, code: &str, detail: &str, position: Position) -> Response {
        Response::open(format!("ERROR {code} {detail}\r\n{}", self.ready(position)))
    }

    /// An error that fails the open transaction, if there is one.
    fn fail(&mut self, code: &str, detail: &str, position: Position) -> Response {
        if self.state == TransactionState::InTransaction {
            self.state = TransactionState::Failed;
        }
        self.error(code, detail, position)
    }
}

/// A statement that reads or writes data.
struct DataStatement<'a> {
    id: &'a str,
    is_write: bool,
    /// What the prepared name stands for, if the statement runs one.
    shape: Option<String>,
}

impl DatabaseInstance {
    /// Handles bytes received on a connection, which is opened by its first bytes.
    pub fn receive(&mut self, connection_id: u64, bytes: &str, context: &mut GroupContext) -> Response {
        let mut connection = self.connections.remove(&connection_id).unwrap_or_default();
        connection.lines.push(bytes.as_bytes());
        let mut response = Response::default();
        while let NextLine::Line(line) = connection.lines.next_line() {
            let part = self.handle_line(&mut connection, &line, context);
            response.text.push_str(&part.text);
            if part.closes {
                response.closes = true;
                return response;
            }
        }
        self.connections.insert(connection_id, connection);
        response
    }

    fn handle_line(&mut self, connection: &mut InstanceConnection, line: &str, context: &mut GroupContext) -> Response {
        let (verb, rest) = split_word(line);
        match verb {
            "CONNECT" => self.handle_connect(connection, rest),
            "QUERY" if connection.accepted => self.handle_query(connection, rest, context),
            _ => Response::closing(""),
        }
    }

    /// `CONNECT SERVICE TENANT [INSTANCE]`
    fn handle_connect(&self, connection: &mut InstanceConnection, rest: &str) -> Response {
        let fields: Vec<&str> = rest.split(' ').collect();
        let other_service = fields.first() != Some(&self.service.as_str());
        if other_service || fields.get(2).is_some_and(|id| *id != self.id) {
            return Response::closing("ERROR WRONGHOST another\r\n");
        }
        connection.accepted = true;
        connection.state = TransactionState::Idle;
        Response::open(connection.ready(self.received))
    }

    /// `QUERY ID [WAITFOR POSITION] STATEMENT`
    fn handle_query(
        &mut self,
        connection: &mut InstanceConnection,
        rest: &str,
        context: &mut GroupContext,
    ) -> Response {
        let (id, mut body) = split_word(rest);
        if let Some(tail) = body.strip_prefix("WAITFOR ") {
            let (position, tail) = split_word(tail);
            let wanted = Position::parse(position);
            // This stand-in does not wait: what is not applied yet is answered as lagging.
            if wanted.is_some_and(|wanted| self.applied(context.now, context.log) < wanted) {
                return connection.error("LAGGING", &self.id, self.received);
            }
            body = tail;
        }
        match split_word(body) {
            ("STATUS", "") => self.status(connection),
            ("RESET", "") => {
                connection.values.clear();
                connection.prepared.clear();
                connection.done(self.received)
            }
            ("STEPDOWN", term) if term.parse::<u64>().is_ok() => {
                self.step_down(term.parse().unwrap_or_default());
                self.status(connection)
            }
            _ => self.handle_statement(connection, id, body, context),
        }
    }

    fn status(&self, connection: &InstanceConnection) -> Response {
        let role = if self.is_primary { "primary" } else { "replica" };
        let row = format!("ROW {role} {} {} 0 0 0 0\r\nDONE -\r\n", self.term, self.received);
        Response::open(row + &connection.ready(self.received))
    }

    fn step_down(&mut self, term: u64) {
        if term > self.term {
            self.is_primary = false;
            self.term = term;
        }
    }

    fn handle_statement(
        &mut self,
        connection: &mut InstanceConnection,
        id: &str,
        body: &str,
        context: &mut GroupContext,
    ) -> Response {
        let Some(statement) = statement::parse(body) else {
            return connection.fail("MALFORMED", &self.id, self.received);
        };
        let ends_transaction = matches!(statement, Statement::Commit | Statement::Rollback);
        if connection.state == TransactionState::Failed && !ends_transaction {
            return connection.fail("MALFORMED", &self.id, self.received);
        }
        if matches!(statement, Statement::Set { .. } | Statement::Prepare { .. })
            && let Some(code) = self.setup_refusal()
        {
            return connection.fail(code, &self.id, self.received);
        }
        match statement {
            Statement::Set { name, value } => {
                connection.values.insert(name, value);
            }
            Statement::Prepare { name, shape } => {
                connection.prepared.insert(name, format!("{} {}", shape.verb(), shape.text));
            }
            Statement::Forget { name } => {
                connection.prepared.remove(&name);
            }
            Statement::Begin { read } => {
                if !read && !self.is_primary {
                    return connection.fail("READONLY", &self.id, self.received);
                }
                connection.state = TransactionState::InTransaction;
                connection.transaction = context.judge.begin_transaction();
                connection.pending_writes.clear();
            }
            Statement::Rollback => {
                connection.state = TransactionState::Idle;
                connection.pending_writes.clear();
            }
            Statement::Commit => return self.commit_transaction(connection, id, context),
            Statement::Read => {
                return self.run_data(connection, DataStatement { id, is_write: false, shape: None }, context);
            }
            Statement::Write => {
                return self.run_data(connection, DataStatement { id, is_write: true, shape: None }, context);
            }
            Statement::Run { name, .. } => {
                let Some(shape) = connection.prepared.get(&name).cloned() else {
                    return connection.fail("UNKNOWN", &self.id, self.received);
                };
                let is_write = shape.starts_with("WRITE");
                return self.run_data(connection, DataStatement { id, is_write, shape: Some(shape) }, context);
            }
        }
        connection.done(self.received)
    }

    fn commit_transaction(
        &mut self,
        connection: &mut InstanceConnection,
        id: &str,
        context: &mut GroupContext,
    ) -> Response {
        context.judge.record_run(id, connection.transaction);
        let failed = connection.state == TransactionState::Failed;
        connection.state = TransactionState::Idle;
        if failed {
            return connection.error("ABORTED", "failed", self.received);
        }
        let writes = std::mem::take(&mut connection.pending_writes);
        if writes.is_empty() {
            return connection.done_write(self.received);
        }
        if !self.is_primary {
            return connection.error("READONLY", &self.id, self.received);
        }
        let position = self.commit(writes, context);
        connection.done_write(position)
    }

    fn run_data(
        &mut self,
        connection: &mut InstanceConnection,
        statement: DataStatement,
        context: &mut GroupContext,
    ) -> Response {
        check_session_state(connection, &statement, context);
        if connection.state == TransactionState::InTransaction {
            context.judge.record_run(statement.id, connection.transaction);
        }
        if !statement.is_write {
            let seen = self.applied(context.now, context.log);
            let row = format!("ROW {seen}\r\nDONE 0.stamp\r\n");
            return Response::open(row + &connection.ready(self.received));
        }
        if !self.is_primary {
            return connection.fail("READONLY", &self.id, self.received);
        }
        let id = statement.id.to_owned();
        if connection.state == TransactionState::InTransaction {
            connection.pending_writes.push(id);
            return connection.done_write(self.received);
        }
        let position = self.commit(vec![id], context);
        connection.done_write(position)
    }

    /// Commits writes. A deposed primary that does not know it commits to its own log only.
    fn commit(&mut self, statements: Vec<String>, context: &mut GroupContext) -> Position {
        let position = Position { term: self.term, number: self.received.number + 1 };
        self.received = position;
        if self.term == context.log.term {
            context.log.append(context.now, position);
        }
        let is_late = self.term < context.log.term;
        context.judge.commits.push(Commit { position, is_late, statements, truncated: is_late });
        position
    }
}

/// A statement must have been sent by a client, and must find the session state that its client has set.
fn check_session_state(connection: &InstanceConnection, statement: &DataStatement, context: &mut GroupContext) {
    let now = context.now;
    let id = statement.id.to_owned();
    let Some(ExpectedState { values, shape }) = context.judge.expected.get(statement.id).cloned() else {
        return context.judge.report(now, Violation::UnknownStatement { statement: id });
    };
    if values != connection.values {
        let found = connection.values.clone();
        let violation = Violation::WrongSessionValues { statement: id.clone(), found, expected: values };
        context.judge.report(now, violation);
    }
    if shape != statement.shape {
        let found = statement.shape.clone();
        context.judge.report(now, Violation::WrongShape { statement: id, found, expected: shape });
    }
}
