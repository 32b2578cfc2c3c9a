//! Statements: answered here, or made pending for an instance.

use super::timers::{StatementRef, Timer};
use super::{Pooler, SessionId};
use crate::connection::client_session::{
    PendingStatement, PreparedExecution, StatementKind, StatementStage, Transaction,
};
use crate::request::error::RequestError;
use crate::request::statement::{Shape, Statement};
use crate::version::config::Route;
use std::time::Instant;

/// A statement that needs an instance.
struct InstanceWork {
    kind: StatementKind,
    prepared: Option<PreparedExecution>,
}

impl InstanceWork {
    fn plain(kind: StatementKind) -> Self {
        InstanceWork { kind, prepared: None }
    }

    fn prepared(shape: Shape, arguments: String) -> Self {
        let kind = if shape.write { StatementKind::Write } else { StatementKind::Read };
        InstanceWork { kind, prepared: Some(PreparedExecution { shape, arguments }) }
    }
}

/// A client's `QUERY` line.
pub(super) struct Query<'a> {
    /// The client's id for it.
    pub id: &'a str,
    /// The statement's text.
    pub text: &'a str,
    /// The statement.
    pub statement: Statement,
}

/// The route and tenant of a statement.
struct Authorization {
    route: Route,
    tenant: String,
}

impl Pooler {
    /// Handles a statement of the client.
    pub(super) fn handle_statement(&mut self, now: Instant, session_id: SessionId, query: Query) {
        let Query { id, text, statement } = query;
        if self.is_closing() {
            return self.refuse_at_shutdown(now, session_id);
        }
        let Some(session) = self.sessions.get(session_id) else { return };
        if let Transaction::Failed { notified } = session.transaction {
            return self.answer_in_failed_transaction(now, session_id, &statement, notified);
        }
        let Some(work) = self.answer_or_assign(now, session_id, statement) else { return };
        let Some(Authorization { route, tenant }) = self.authorize_statement(now, session_id) else { return };
        let pending = PendingStatement {
            number: self.next_statement_number,
            id: id.to_owned(),
            text: text.to_owned(),
            kind: work.kind,
            prepared: work.prepared,
            route,
            tenant,
            received_at: now,
            stage: StatementStage::Waiting,
            tried_instances: Vec::new(),
            refusals: 0,
            admitted: false,
            waited_for_rights: false,
            counted: false,
            queued_at: None,
        };
        self.submit(now, session_id, pending);
    }

    /// In a failed transaction only its end is accepted. A client that has not been sent the error yet gets it now.
    fn answer_in_failed_transaction(
        &mut self,
        now: Instant,
        session_id: SessionId,
        statement: &Statement,
        notified: bool,
    ) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.transaction = match statement {
            Statement::Rollback | Statement::Commit => Transaction::None,
            _ => Transaction::Failed { notified: true },
        };
        let error = match statement {
            Statement::Rollback => return self.reply_done(now, session_id, false),
            Statement::Commit => RequestError::aborted("the transaction had failed and is rolled back"),
            _ if !notified => RequestError::aborted("the transaction was rolled back before this statement"),
            _ => RequestError::malformed("the transaction has failed"),
        };
        self.reply_rejection(now, session_id, &error);
    }

    /// Answers a statement that needs no instance; returns what an instance has to do for any other.
    fn answer_or_assign(&mut self, now: Instant, session_id: SessionId, statement: Statement) -> Option<InstanceWork> {
        let session = self.sessions.get_mut(session_id)?;
        let in_transaction = !session.transaction.is_none();
        match statement {
            Statement::Set { name, value } => {
                session.variables.insert(name, value);
                self.reply_done(now, session_id, true);
            }
            Statement::Prepare { name, shape } => {
                session.prepared.insert(name, shape);
                self.reply_done(now, session_id, true);
            }
            Statement::Forget { name } => match session.prepared.remove(&name) {
                Some(_) => self.reply_done(now, session_id, true),
                None => self.reply_rejection(now, session_id, &unknown_name(&name)),
            },
            Statement::Begin { .. } if in_transaction => {
                self.reply_rejection(now, session_id, &RequestError::malformed("a transaction is open already"));
            }
            Statement::Begin { read } => self.begin_transaction(now, session_id, read),
            Statement::Commit | Statement::Rollback if !in_transaction => {
                self.reply_rejection(now, session_id, &RequestError::malformed("no transaction is open"));
            }
            Statement::Rollback => self.roll_back_transaction(now, session_id),
            Statement::Commit => return Some(InstanceWork::plain(StatementKind::Commit)),
            Statement::Read => return Some(InstanceWork::plain(StatementKind::Read)),
            Statement::Write => return Some(InstanceWork::plain(StatementKind::Write)),
            Statement::Run { name, rest } => match session.prepared.get(&name) {
                Some(shape) => return Some(InstanceWork::prepared(shape.clone(), rest)),
                None => self.reply_error(now, session_id, &unknown_name(&name)),
            },
        }
        None
    }

    /// Begins a transaction; nothing is sent to an instance before its first statement.
    fn begin_transaction(&mut self, now: Instant, session_id: SessionId, read: bool) {
        if !self.may_begin_transactions() {
            return self.refuse_at_shutdown(now, session_id);
        }
        let Some(Authorization { route, .. }) = self.authorize_statement(now, session_id) else { return };
        if let Some(session) = self.sessions.get_mut(session_id) {
            session.transaction = Transaction::Lazy { read, began_at: now, route };
        }
        self.reply_done(now, session_id, true);
    }

    fn roll_back_transaction(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        let transaction = std::mem::replace(&mut session.transaction, Transaction::None);
        if let Some(connection_id) = transaction.connection_id() {
            self.roll_back(now, connection_id);
        }
        self.reply_done(now, session_id, false);
    }

    /// The route and tenant in force for the session's next statement. A session that is not allowed to go on gets an
    /// error; one whose key is not valid any more is closed.
    fn authorize_statement(&mut self, now: Instant, session_id: SessionId) -> Option<Authorization> {
        let session = self.sessions.get(session_id)?;
        self.configuration.current()?;
        match self.configuration.authorize(&session.database, &session.key) {
            Ok(tenant) => match self.configuration.route(&session.database) {
                Some(route) => return Some(Authorization { route: route.clone(), tenant }),
                None => self.reply_error(now, session_id, &RequestError::rejected("NODB", "no such database")),
            },
            Err(error) => {
                self.reply_error(now, session_id, &error);
                self.close_session(now, session_id);
            }
        }
        None
    }

    /// Sends the statement on its way. A transaction keeps the route that it began with.
    fn submit(&mut self, now: Instant, session_id: SessionId, mut pending: PendingStatement) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if let Some(route) = session.transaction.route() {
            pending.route = route.clone();
        }
        let connection_id = session.transaction.connection_id();
        let service = pending.route.service.clone();
        let statement_ref = StatementRef { session_id, number: pending.number };
        let deadline = now + pending.route.deadline;
        session.statement = Some(pending);
        self.next_statement_number += 1;
        self.note_service_use(now, &service);
        self.timers.schedule(deadline, Timer::Deadline(statement_ref));
        match connection_id {
            Some(connection_id) => self.continue_transaction(now, session_id, connection_id),
            None => self.dispatch(now, session_id),
        }
    }
}

fn unknown_name(name: &str) -> RequestError {
    RequestError::rejected("UNKNOWN", format!("no prepared statement {name}"))
}
