//! Preparing a connection for a session, and sending the statement.

use super::timeouts::SETUP_TIMEOUT;
use super::timers::{StatementRef, Timer};
use super::{ConnectionId, Effect, Pooler, SessionId, retry};
use crate::connection::backend_connection::{ConnectionState, ExpectedAnswer};
use crate::connection::client_session::{StatementKind, StatementStage, Transaction};
use std::time::Instant;

impl Pooler {
    /// Assigns an idle connection to the session, prepares it, and begins the session's transaction on it if there is
    /// one. `epoch`: of the lease that covers it, if the instance is the primary.
    pub(super) fn assign_connection(
        &mut self,
        now: Instant,
        session_id: SessionId,
        connection_id: ConnectionId,
        epoch: Option<u64>,
    ) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        debug_assert!(!session.transaction.is_bound(), "an open transaction goes on where it is open");
        let Some(statement) = &mut session.statement else { return };
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.state = ConnectionState::Busy(session_id);
        connection.epoch = epoch;
        connection.setup_error = None;
        let mut texts = connection.align(&session.variables, statement.shape());
        statement.stage = StatementStage::Setup(connection_id);
        texts.extend(self.begin_text(session_id, epoch));
        if texts.is_empty() {
            return self.send_statement(now, session_id, connection_id);
        }
        self.send_setup(now, connection_id, &texts);
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.since = now;
        }
        self.timers.schedule(now + SETUP_TIMEOUT, Timer::Connection { connection_id, since: now });
    }

    /// The statement that begins a lazy transaction; on a replica it waits for the position that freshness requires.
    fn begin_text(&self, session_id: SessionId, epoch: Option<u64>) -> Option<String> {
        let (session, statement) = self.sessions.with_statement(session_id)?;
        let Transaction::Lazy { read, began_at, .. } = &session.transaction else { return None };
        let begin = if *read { "BEGIN READ" } else { "BEGIN" };
        let position = if epoch.is_none() { self.required_position(session, statement, *began_at) } else { None };
        Some(match position {
            Some(position) => format!("WAITFOR {position} {begin}"),
            None => begin.to_owned(),
        })
    }

    /// Sends statements whose answers the client does not see.
    fn send_setup(&mut self, now: Instant, connection_id: ConnectionId, texts: &[String]) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        let mut batch = String::new();
        for text in texts {
            batch.push_str("QUERY - ");
            batch.push_str(text);
            batch.push_str("\r\n");
            connection.expect(ExpectedAnswer::Setup, now);
        }
        self.effects.push(Effect::SendToBackend(connection_id, batch));
    }

    /// Sends a further statement of a transaction on its connection.
    pub(super) fn continue_transaction(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId) {
        if let Some(statement) = self.sessions.statement_mut(session_id) {
            // From here on the statement shares the fate of the connection.
            statement.stage = StatementStage::Setup(connection_id);
        }
        if !self.may_use_connection(now, connection_id) {
            return self.close_connection(now, connection_id);
        }
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return };
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        // A `RESET` within a transaction could end it, but none is sent here: sessions never unset variables.
        let texts = connection.align(&session.variables, statement.shape());
        if texts.is_empty() {
            return self.send_statement(now, session_id, connection_id);
        }
        self.send_setup(now, connection_id, &texts);
    }

    /// Whether work may be sent on the connection and its answers acknowledged: a connection to the primary needs its
    /// lease.
    pub(super) fn may_use_connection(&self, now: Instant, connection_id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(connection_id) else { return true };
        connection.epoch.is_none_or(|epoch| self.services.is_covered(now, &connection.service, epoch))
    }

    /// Sends the session's statement on a connection that is prepared for it.
    pub(super) fn send_statement(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId) {
        if !self.connections.contains(connection_id) {
            return;
        }
        if !self.may_use_connection(now, connection_id) {
            return self.close_connection(now, connection_id);
        }
        let wait = if self.must_prove_freshness(session_id, connection_id) {
            match self.wait_prefix(session_id) {
                Some(wait) => wait,
                None => return self.return_to_dispatch(now, session_id, connection_id),
            }
        } else {
            String::new()
        };
        self.transmit(now, session_id, connection_id, &wait);
        self.count_usage(session_id);
        self.schedule_hedge(now, session_id);
    }

    /// Whether the statement is a read outside a transaction, on a replica.
    fn must_prove_freshness(&self, session_id: SessionId, connection_id: ConnectionId) -> bool {
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return false };
        let on_replica = self.connections.get(connection_id).is_some_and(|connection| connection.epoch.is_none());
        on_replica && session.transaction.is_none() && statement.kind == StatementKind::Read
    }

    /// The prefix by which the replica waits for the position that freshness requires, if one is proven.
    fn wait_prefix(&self, session_id: SessionId) -> Option<String> {
        let (session, statement) = self.sessions.with_statement(session_id)?;
        let position = self.required_position(session, statement, statement.received_at)?;
        Some(format!("WAITFOR {position} "))
    }

    /// The proof of freshness has expired while the connection was being prepared.
    fn return_to_dispatch(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId) {
        if let Some(statement) = self.sessions.statement_mut(session_id) {
            statement.stage = StatementStage::Waiting;
        }
        self.release_connection(now, connection_id);
        self.dispatch(now, session_id);
    }

    fn transmit(&mut self, now: Instant, session_id: SessionId, connection_id: ConnectionId, wait: &str) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        let Some(statement) = &mut session.statement else { return };
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        let text = match &statement.prepared {
            None => statement.text.clone(),
            Some(execution) => {
                let name = connection.prepared.get(&execution.shape).cloned().unwrap_or_default();
                format!("RUN {name} {}", execution.arguments)
            }
        };
        connection.expect(ExpectedAnswer::Statement, now);
        connection.since = now;
        statement.stage = StatementStage::Sent(connection_id, now);
        let line = format!("QUERY {} {wait}{text}\r\n", statement.id);
        self.effects.push(Effect::SendToBackend(connection_id, line));
    }

    /// Counts the statement for its tenant, once. A transaction counts once, with its first statement.
    fn count_usage(&mut self, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        let Some(statement) = &mut session.statement else { return };
        if !session.transaction.is_answered() && !std::mem::replace(&mut statement.counted, true) {
            self.usage.count(&statement.tenant);
        }
    }

    /// An instance guarantees that the statement was not executed: it does not count.
    pub(super) fn uncount_usage(&mut self, session_id: SessionId) {
        let Some(statement) = self.sessions.statement_mut(session_id) else { return };
        if std::mem::take(&mut statement.counted) {
            self.usage.uncount(&statement.tenant);
        }
    }

    fn schedule_hedge(&mut self, now: Instant, session_id: SessionId) {
        let Some((session, statement)) = self.sessions.with_statement(session_id) else { return };
        if !retry::may_hedge(statement.kind, &session.transaction) {
            return;
        }
        let statement_ref = StatementRef { session_id, number: statement.number };
        let timeout = self.hedge_timeout(session_id);
        self.timers.schedule(now + timeout, Timer::Hedge(statement_ref));
    }
}
