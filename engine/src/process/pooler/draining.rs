//! Shutting down: sessions are closed as they become idle, then transactions are rolled back, then everyone gets the
//! true state of its request.

use super::retry::{self, TransactionScope};
use super::{Effect, Pooler, SessionId};
use crate::connection::client_session::{Session, Transaction};
use crate::connection::draining::{DrainPhase, SESSIONS_CLOSED_PER_STEP};
use crate::process::forwarding;
use crate::request::error::RequestError;
use std::time::Instant;

impl Pooler {
    /// The process shuts down: no new sessions; idle ones are closed, and transactions may end.
    pub fn begin_draining(&mut self, now: Instant) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(now);
        self.close_idle_sessions(now, DrainPhase::Draining);
        self.request_leases(now);
    }

    /// While shutting down: closes the sessions that may be closed in this phase, a few at a time.
    pub fn close_idle_sessions(&mut self, now: Instant, phase: DrainPhase) {
        self.drain_phase = self.drain_phase.max(phase);
        if phase >= DrainPhase::RollingBack {
            self.roll_back_idle_transactions(now);
        }
        if !self.link_is_responsive(now) {
            return;
        }
        self.request_closing(phase, |_, session| {
            session.open && session.client_activity.may_close(now, session.session_state(), phase, false)
        });
    }

    /// The end: whoever still waits gets the true state of its request, at once. To be called until no session is left.
    pub fn close_all_sessions(&mut self, now: Instant) {
        self.drain_phase = DrainPhase::Closing;
        for session_id in self.sessions.ids() {
            let Some(session) = self.sessions.get(session_id) else { continue };
            let error = session.statement.as_ref().map(|statement| {
                retry::shutdown_error(statement.stage, statement.kind, TransactionScope::of(&session.transaction))
            });
            if let Some(error) = error {
                self.fail_statement(now, session_id, &error);
            }
            self.process_input(now, session_id);
            self.request_close(session_id, DrainPhase::Closing);
        }
        self.finish_input(now);
    }

    /// Statements of clients that wait for their answers.
    pub fn open_statements(&self) -> usize {
        self.sessions.ids_where(|_, session| session.statement.is_some()).count()
    }

    /// The last phase of the shutdown: no statement is begun.
    pub(super) fn is_closing(&self) -> bool {
        self.drain_phase >= DrainPhase::Closing
    }

    /// Whether transactions may begin. One that began now would be rolled back before its client had ended it.
    pub(super) fn may_begin_transactions(&self) -> bool {
        self.drain_phase < DrainPhase::RollingBack
    }

    /// Whether what is sent now arrives soon. The leader's answers come by the same link as the clients' statements:
    /// where they are late, a statement may be on its way to a session that seems idle, and its client would learn late
    /// that the session was closed.
    pub fn link_is_responsive(&self, now: Instant) -> bool {
        self.leader.is_responsive(now)
    }

    /// Rolls back transactions without a statement; their clients are notified with their next statement.
    fn roll_back_idle_transactions(&mut self, now: Instant) {
        let mut connection_ids = Vec::new();
        for session in self.sessions.values_mut() {
            let open = matches!(session.transaction, Transaction::Lazy { .. } | Transaction::Bound { .. });
            if session.statement.is_some() || !open {
                continue;
            }
            let failed = Transaction::Failed { notified: false };
            connection_ids.extend(std::mem::replace(&mut session.transaction, failed).connection_id());
        }
        for connection_id in connection_ids {
            self.roll_back(now, connection_id);
        }
    }

    /// Requests the closing of some sessions that satisfy a condition, a few at a time, each once in a phase.
    pub(super) fn request_closing(&mut self, phase: DrainPhase, may_close: impl Fn(SessionId, &Session) -> bool) {
        let not_requested =
            |session_id, session: &Session| session.close_requested < Some(phase) && may_close(session_id, session);
        let session_ids: Vec<SessionId> =
            self.sessions.ids_where(not_requested).take(SESSIONS_CLOSED_PER_STEP).collect();
        for session_id in session_ids {
            self.request_close(session_id, phase);
        }
    }

    /// Requests that the session is closed. A forwarded session is closed by the pooler that its client is connected to,
    /// which alone knows whether unread bytes have arrived.
    pub(super) fn request_close(&mut self, session_id: SessionId, phase: DrainPhase) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if session.forwarded_revision.is_none() {
            self.effects.push(Effect::CloseClientIfIdle(session_id));
        } else if session.close_requested < Some(phase) {
            session.close_requested = Some(phase);
            self.effects.push(Effect::SendToClient(session_id, forwarding::CLOSE_REQUEST_LINE.into()));
        }
    }

    /// A statement that comes in the last phase is not begun.
    pub(super) fn refuse_at_shutdown(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if session.transaction.is_none() {
            let error = RequestError::busy("the pooler is shutting down; reconnect to another one");
            return self.reply_error(now, session_id, &error);
        }
        let failed = Transaction::Failed { notified: true };
        let transaction = std::mem::replace(&mut session.transaction, failed);
        if let Some(connection_id) = transaction.connection_id() {
            self.roll_back(now, connection_id);
        }
        let error = RequestError::aborted("the pooler is shutting down; the transaction is rolled back");
        self.reply_error(now, session_id, &error);
    }
}
