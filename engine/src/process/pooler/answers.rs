//! Answers from instances.

use super::{ConnectionId, Effect, Pooler, SessionId, retry};
use crate::connection::backend_connection::{Answer, ExpectedAnswer, ReceivedAnswer};
use crate::connection::client_session::{OwnCommit, StatementKind, Transaction};
use crate::request::error::guarantees_not_executed;
use std::time::Instant;

impl Pooler {
    /// Bytes have come from an instance.
    pub fn handle_backend_bytes(&mut self, now: Instant, connection_id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.push(bytes);
        if let Some(pool) = self.instances.get_mut(&connection.instance) {
            pool.record_response(now);
        }
        while let Some(connection) = self.connections.get_mut(connection_id) {
            match connection.next_answer() {
                Ok(None) => return,
                Ok(Some(received)) => self.handle_answer(now, connection_id, received),
                Err(error) => {
                    let line = format!("instance {}: protocol error: {error}", connection.instance);
                    self.effects.push(Effect::Log(line));
                    return self.close_connection(now, connection_id);
                }
            }
        }
    }

    fn handle_answer(&mut self, now: Instant, connection_id: ConnectionId, received: ReceivedAnswer) {
        self.record_position(now, connection_id, &received);
        match received.expected {
            ExpectedAnswer::Greeting => self.handle_greeting(now, connection_id, &received),
            ExpectedAnswer::Setup => self.handle_setup_answer(now, connection_id, received.answer),
            ExpectedAnswer::Statement => match self.connections.session_of(connection_id) {
                Some(session_id) => self.handle_statement_answer(now, session_id, connection_id, received),
                None => self.reuse_detached_connection(now, connection_id),
            },
            ExpectedAnswer::Rollback if received.answer.state == 'I' => self.release_connection(now, connection_id),
            ExpectedAnswer::Rollback => self.close_connection(now, connection_id),
            ExpectedAnswer::Status => self.finish_position_query(now, connection_id),
        }
    }

    fn handle_greeting(&mut self, now: Instant, connection_id: ConnectionId, greeting: &ReceivedAnswer) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let pool = self.instances.get_mut(&connection.instance);
        match &greeting.answer.code {
            None => {
                if let Some(pool) = pool {
                    pool.record_open_latency(now.duration_since(greeting.sent_at));
                }
                self.release_connection(now, connection_id);
            }
            Some(code) => {
                if let Some(pool) = pool {
                    pool.record_refusal(now, code);
                }
                self.close_connection(now, connection_id);
            }
        }
    }

    // Setup.

    fn handle_setup_answer(&mut self, now: Instant, connection_id: ConnectionId, answer: Answer) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        if let Some(code) = answer.code {
            connection.setup_error.get_or_insert(code);
        }
        if connection.outstanding.is_empty() {
            self.finish_setup(now, connection_id);
        }
    }

    /// The connection is prepared, or that failed.
    fn finish_setup(&mut self, now: Instant, connection_id: ConnectionId) {
        let Some(session_id) = self.connections.session_of(connection_id) else {
            return self.reuse_detached_connection(now, connection_id);
        };
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        match connection.setup_error.take() {
            None => {
                if let Some(session) = self.sessions.get_mut(session_id) {
                    session.transaction.bind(connection_id);
                }
                self.send_statement(now, session_id, connection_id);
            }
            Some(code) => self.handle_setup_failure(now, session_id, connection_id, &code),
        }
    }

    /// Nothing of the client's was sent, but the connection's variables are uncertain now.
    fn handle_setup_failure(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId, code: &str) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let id = connection.instance.clone();
        let in_transaction = connection.transaction_state != 'I';
        if code == "BUSY" {
            self.decrease_concurrency(now, &id);
        }
        // `LAGGING` refuses the `BEGIN`, which comes last: everything before it was done.
        if code == "LAGGING" && !in_transaction {
            self.release_connection(now, connection_id);
        } else {
            self.discard_connection(now, connection_id);
        }
        self.handle_refusal(now, session_id, &id, code);
    }

    pub(super) fn decrease_concurrency(&mut self, now: Instant, id: &str) {
        if let Some(pool) = self.instances.get_mut(id) {
            pool.decrease_concurrency(now, &self.connections);
        }
    }

    // Statements.

    fn handle_statement_answer(
        &mut self,
        now: Instant,
        session_id: SessionId,
        connection_id: ConnectionId,
        received: ReceivedAnswer,
    ) {
        self.record_statement_answer(now, connection_id, &received);
        if self.sessions.statement(session_id).is_none() {
            return;
        }
        // Without its lease, acknowledging it could hide a newer primary's work.
        if !self.may_use_connection(now, connection_id) {
            return self.close_connection(now, connection_id);
        }
        if self.handle_error_answer(now, session_id, connection_id, &received.answer) {
            return;
        }
        self.deliver_answer(now, session_id, connection_id, received.answer);
    }

    fn record_statement_answer(&mut self, now: Instant, connection_id: ConnectionId, received: &ReceivedAnswer) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let Some(pool) = self.instances.get_mut(&connection.instance) else { return };
        pool.record_latency(now.duration_since(received.sent_at));
        if received.answer.code.is_none() {
            pool.increase_concurrency();
        }
        self.instances.mark_serviceable_if_queued(&connection.instance);
    }

    /// Reacts to an error, if the answer is one; whether the statement is tried again, so that its client does not see
    /// the error.
    fn handle_error_answer(
        &mut self,
        now: Instant,
        session_id: SessionId,
        connection_id: ConnectionId,
        answer: &Answer,
    ) -> bool {
        let Some(code) = &answer.code else { return false };
        if guarantees_not_executed(code) || code == "UNKNOWN" {
            self.uncount_usage(session_id);
        }
        let Some(id) = self.connections.get(connection_id).map(|connection| connection.instance.clone()) else {
            return false;
        };
        if code == "BUSY" {
            self.decrease_concurrency(now, &id);
        }
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return false };
        // The error ended the transaction, and the client has no answer from it.
        let transaction_only_statement =
            session.transaction.is_bound() && answer.state != 'T' && !session.transaction.is_answered();
        let only_statement = session.transaction.is_none() || transaction_only_statement;
        if !retry::may_retry_refused(code, statement.kind, only_statement) {
            return false;
        }
        if session.transaction.is_none() {
            self.release_connection(now, connection_id);
        } else {
            self.roll_back(now, connection_id);
        }
        self.handle_refusal(now, session_id, &id, code);
        true
    }

    /// Passes the answer on to the client and goes on with the session's input.
    fn deliver_answer(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId, answer: Answer) {
        self.remember_own_commit(now, session_id, connection_id, &answer);
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.statement = None;
        session.transaction.note_answer();
        let in_transaction = session.transaction.is_bound();
        let mut is_over = !in_transaction;
        match answer.state {
            'I' => {
                session.transaction = Transaction::None;
                is_over = true;
            }
            'E' if in_transaction => {
                session.transaction = Transaction::Failed { notified: true };
                is_over = true;
            }
            _ => {}
        }
        self.send_to_client(session_id, answer.raw);
        if is_over && answer.state == 'I' {
            self.release_connection(now, connection_id);
        } else if is_over {
            self.roll_back(now, connection_id);
        }
        self.start_idle_timer(now, session_id);
        self.note_answered(now, session_id, false);
        self.process_input(now, session_id);
    }

    /// Remembers the position of a successful write or commit, which later reads of the session may have to see.
    fn remember_own_commit(
        &mut self,
        now: Instant,
        session_id: SessionId,
        connection_id: ConnectionId,
        answer: &Answer,
    ) {
        let Some(connection) = self.connections.get(connection_id) else { return };
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        let Some(statement) = &session.statement else { return };
        let commits_write = match (&session.transaction, statement.kind) {
            (Transaction::None, StatementKind::Write) => true,
            (Transaction::Bound { read, .. }, StatementKind::Commit) => !read,
            _ => false,
        };
        if commits_write
            && answer.code.is_none()
            && let Some(position) = answer.position
        {
            let service = connection.service.clone();
            session.last_own_commit = Some(OwnCommit { service, position, acknowledged_at: now });
        }
    }
}
