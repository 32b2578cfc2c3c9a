//! Failed attempts: refusals, lost connections, late answers and deadlines. What may be tried again is decided in
//! [`super::retry`].

use super::retry::{self, FailedAttempt, TransactionScope};
use super::timeouts::{CONNECTION_LOSS_BACKOFF, HEDGE_TIMEOUT_MIN};
use super::timers::{StatementRef, Timer};
use super::{ConnectionId, Effect, Pooler, SessionId};
use crate::connection::client_session::{StatementKind, StatementStage, Transaction};
use crate::request::error::RequestError;
use std::time::{Duration, Instant};

impl Pooler {
    // Refusals.

    /// An instance guaranteed that the statement was not executed: it is tried elsewhere, or again, or answered. What was
    /// open on the session's connection is rolled back; a transaction that the client has answers from fails with it.
    pub(super) fn handle_refusal(&mut self, now: Instant, session_id: SessionId, id: &str, code: &str) {
        self.log_transaction_move(session_id, id, code);
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.transaction.restart();
        if session.transaction.is_failed() {
            let error = RequestError::aborted("the instance refused to go on; the transaction is rolled back");
            return self.fail_statement(now, session_id, &error);
        }
        let Some(statement) = &mut session.statement else { return };
        statement.stage = StatementStage::Waiting;
        statement.refusals += 1;
        let refusals = statement.refusals;
        let service = statement.route.service.clone();
        if now >= retry::queue_deadline(statement) {
            let error = RequestError::busy("every instance is busy; retry in 50 ms");
            return self.reply_error(now, session_id, &error);
        }
        match code {
            "READONLY" if self.services.get(&service).is_some_and(|state| state.primary == id) => {
                self.note_deposed_primary(now, &service);
                self.dispatch(now, session_id);
            }
            "READONLY" | "LAGGING" => {
                self.avoid_instance(session_id, id);
                self.dispatch(now, session_id);
            }
            _ => self.schedule_retry(now, session_id, retry::refusal_backoff(refusals)),
        }
    }

    /// Logs that a transaction leaves its connection, and whether it has to fail.
    fn log_transaction_move(&mut self, session_id: SessionId, id: &str, cause: &str) {
        let Some(session) = self.sessions.get(session_id) else { return };
        if !session.transaction.is_bound() {
            return;
        }
        let answered = session.transaction.is_answered();
        let stage = session.statement.as_ref().map(|statement| statement.stage);
        let line =
            format!("session {session_id}: transaction leaves {id} after {cause}; answered: {answered}, {stage:?}");
        self.effects.push(Effect::Log(line));
    }

    fn note_deposed_primary(&mut self, now: Instant, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.deposed = true;
        }
        self.leader.request_leases_soon(now);
    }

    /// The statement is not sent to this instance again as a replica.
    fn avoid_instance(&mut self, session_id: SessionId, id: &str) {
        if let Some(statement) = self.sessions.statement_mut(session_id) {
            statement.tried_instances.push(id.to_owned());
        }
    }

    // Lost connections.

    /// The session's connection to the instance is lost.
    pub(super) fn handle_connection_loss(
        &mut self,
        now: Instant,
        session_id: SessionId,
        connection_id: ConnectionId,
        id: &str,
    ) {
        self.log_transaction_move(session_id, id, "the loss of its connection");
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if retry::may_restart_transaction(session, connection_id) {
            session.transaction.restart();
        }
        let Some(statement) = &mut session.statement else {
            if session.transaction.is_bound() {
                // It was idle; the close rolls it back.
                session.transaction = Transaction::Failed { notified: false };
            }
            return;
        };
        if statement.connection_id() != Some(connection_id) {
            return;
        }
        let sent = matches!(statement.stage, StatementStage::Sent(..));
        match retry::after_connection_loss(statement.kind, sent, TransactionScope::of(&session.transaction)) {
            FailedAttempt::Fail(error) => self.fail_statement(now, session_id, &error),
            FailedAttempt::Retry => {
                statement.stage = StatementStage::Waiting;
                self.retry_after_connection_loss(now, session_id);
            }
            FailedAttempt::RetryElsewhere => {
                statement.stage = StatementStage::Waiting;
                self.avoid_instance(session_id, id);
                self.retry_after_connection_loss(now, session_id);
            }
        }
    }

    pub(super) fn retry_after_connection_loss(&mut self, now: Instant, session_id: SessionId) {
        self.schedule_retry(now, session_id, CONNECTION_LOSS_BACKOFF);
    }

    fn schedule_retry(&mut self, now: Instant, session_id: SessionId, backoff: Duration) {
        if let Some(statement) = self.sessions.statement(session_id) {
            let statement_ref = StatementRef { session_id, number: statement.number };
            self.timers.schedule(now + backoff, Timer::Retry(statement_ref));
        }
    }

    /// The statement's backoff is over.
    pub(super) fn retry_timer_due(&mut self, now: Instant, statement_ref: StatementRef) {
        if self.sessions.find(statement_ref).is_some() {
            self.dispatch(now, statement_ref.session_id);
        }
    }

    // Waiting for too long.

    /// The statement gives up waiting for an instance or connection when it may not wait any longer.
    pub(super) fn schedule_queue_timeout(&mut self, now: Instant, session_id: SessionId) {
        if let Some(statement) = self.sessions.statement(session_id) {
            let statement_ref = StatementRef { session_id, number: statement.number };
            let deadline = retry::queue_deadline(statement);
            self.timers.schedule(deadline.max(now), Timer::QueueTimeout(statement_ref));
        }
    }

    pub(super) fn queue_timer_due(&mut self, now: Instant, statement_ref: StatementRef) {
        let session_id = statement_ref.session_id;
        let statement = self.sessions.find(statement_ref);
        if statement.is_some_and(|statement| statement.stage == StatementStage::Waiting) {
            self.remove_from_queues(session_id);
            let error = RequestError::busy("no instance was available; retry in 100 ms");
            self.reply_error(now, session_id, &error);
            self.process_input(now, session_id);
        }
    }

    /// The statement's deadline has passed.
    pub(super) fn deadline_timer_due(&mut self, now: Instant, statement_ref: StatementRef) {
        let session_id = statement_ref.session_id;
        let Some(statement) = self.sessions.find(statement_ref) else { return };
        let Some(session) = self.sessions.get(session_id) else { return };
        let scope = TransactionScope::of(&session.transaction);
        let error = retry::deadline_error(statement.stage, statement.kind, scope);
        let connection_id = statement.connection_id();
        self.remove_from_queues(session_id);
        if let Some(connection_id) = connection_id {
            if error.may_have_executed() || scope != TransactionScope::Started {
                self.detach_connection(now, connection_id);
            } else {
                self.discard_connection(now, connection_id);
            }
        }
        self.fail_statement(now, session_id, &error);
    }

    // Late answers.

    /// How long the statement's answer may take before it counts as late.
    pub(super) fn hedge_timeout(&self, session_id: SessionId) -> Duration {
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return HEDGE_TIMEOUT_MIN };
        let Some(connection_id) = statement.connection_id() else { return HEDGE_TIMEOUT_MIN };
        let connection = self.connections.get(connection_id);
        let pool = connection.and_then(|connection| self.instances.get(&connection.instance));
        retry::hedge_timeout(session, statement, pool.map_or(0.0, |pool| pool.smoothed_latency_ms))
    }

    /// If the answer is late: a read, or a transaction's first statement, is tried on another connection; a later
    /// statement of a transaction fails it, so that the client can begin anew.
    pub(super) fn hedge_timer_due(&mut self, now: Instant, statement_ref: StatementRef) {
        let session_id = statement_ref.session_id;
        let Some(statement) = self.sessions.find(statement_ref) else { return };
        let StatementStage::Sent(connection_id, sent_at) = statement.stage else { return };
        let late_at = sent_at + self.hedge_timeout(session_id);
        if now < late_at {
            self.timers.schedule(late_at, Timer::Hedge(statement_ref));
            return;
        }
        let Some(connection) = self.connections.get(connection_id) else { return };
        let id = connection.instance.clone();
        self.report_failing_primary(now, &id);
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if !session.statement.as_ref().is_some_and(retry::has_hedges_left) {
            return;
        }
        if retry::must_abandon_transaction(session) {
            self.discard_connection(now, connection_id);
            let error = RequestError::aborted("the answer was lost; the transaction is rolled back");
            return self.fail_statement(now, session_id, &error);
        }
        self.log_transaction_move(session_id, &id, "a late answer");
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.transaction.restart();
        if let Some(statement) = &mut session.statement {
            statement.stage = StatementStage::Waiting;
        }
        self.avoid_instance(session_id, &id);
        self.detach_connection(now, connection_id);
        self.dispatch(now, session_id);
    }

    fn report_failing_primary(&mut self, now: Instant, id: &str) {
        let failing = self.instances.get(id).is_some_and(|pool| pool.is_failing(now, &self.connections));
        if failing && self.is_primary(id) {
            self.leader.request_leases_soon(now);
        }
    }

    // Giving up.

    /// Answers the statement with an error that also ends its transaction. After a commit, whatever became of it, the
    /// transaction is over; otherwise it has failed.
    pub(super) fn fail_statement(&mut self, now: Instant, session_id: SessionId, error: &RequestError) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if session.statement.as_ref().is_some_and(|statement| statement.kind == StatementKind::Commit) {
            session.transaction = Transaction::None;
        }
        self.reply_error(now, session_id, error);
        self.process_input(now, session_id);
    }
}
