//! Replies to clients that the pooler makes itself, and what follows any reply.

use super::timers::Timer;
use super::{Effect, Pooler, SessionId};
use crate::connection::client_session::Transaction;
use crate::connection::draining::DrainPhase;
use crate::process::forwarding;
use crate::request::error::RequestError;
use std::time::Instant;

impl Pooler {
    /// Sends text to the client. The pooler that forwards a session is first sent the configuration revision by which
    /// the session is served, if that has changed.
    pub(super) fn send_to_client(&mut self, session_id: SessionId, text: String) {
        let revision = self.revision();
        let session = self.sessions.get_mut(session_id);
        if let Some(forwarded_revision) = session.and_then(|session| session.forwarded_revision.as_mut())
            && *forwarded_revision != revision
        {
            *forwarded_revision = revision;
            self.effects.push(Effect::SendToClient(session_id, forwarding::revision_line(revision)));
        }
        self.effects.push(Effect::SendToClient(session_id, text));
    }

    /// Answers a statement that needed no instance. `operation_expected`: it only prepares an operation.
    pub(super) fn reply_done(&mut self, now: Instant, session_id: SessionId, operation_expected: bool) {
        let Some(session) = self.sessions.get(session_id) else { return };
        let state = session.transaction.state();
        self.send_to_client(session_id, format!("DONE -\r\nREADY {state} -\r\n"));
        self.start_idle_timer(now, session_id);
        self.note_answered(now, session_id, operation_expected);
    }

    /// Answers the statement with an error that fails its transaction, if there is one.
    pub(super) fn reply_error(&mut self, now: Instant, session_id: SessionId, error: &RequestError) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if !session.transaction.is_none() {
            session.transaction = Transaction::Failed { notified: true };
        }
        self.reply_rejection(now, session_id, error);
    }

    /// Answers the statement with an error that leaves its transaction as it is.
    pub(super) fn reply_rejection(&mut self, now: Instant, session_id: SessionId, error: &RequestError) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.statement = None;
        let state = session.transaction.state();
        self.send_to_client(session_id, format!("{}READY {state} -\r\n", error.line()));
        self.start_idle_timer(now, session_id);
        self.note_answered(now, session_id, false);
    }

    /// A transaction on a connection is idle from now on until its next statement.
    pub(super) fn start_idle_timer(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if session.transaction.is_bound() {
            session.idle_since = Some(now);
            let statement_count = session.client_activity.statement_count;
            let timeout = self.configuration.transaction_idle_timeout();
            self.timers.schedule(now + timeout, Timer::TransactionIdle { session_id, statement_count });
        }
    }

    /// The client has its answer: the session may be closed now, if it has to be at all. `operation_expected`: the
    /// statement only prepared an operation.
    pub(super) fn note_answered(&mut self, now: Instant, session_id: SessionId, operation_expected: bool) {
        let should_close = self.draining_since.is_some() || self.should_move(now, session_id);
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.client_activity.note_answer(operation_expected);
        if !should_close {
            return;
        }
        // A client whose transaction failed has been notified; all that is left is to end it.
        let failed =
            matches!(session.transaction, Transaction::Failed { notified: true }) && session.statement.is_none();
        let state = session.session_state();
        if failed || session.client_activity.may_close(now, state, DrainPhase::Draining, true) {
            self.request_close(session_id, DrainPhase::Draining);
        }
    }
}
