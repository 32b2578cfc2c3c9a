//! Clients' sessions: from bytes to lines, from lines to requests.

use super::limits::SESSION_INPUT_MAX;
use super::statements::Query;
use super::{Effect, Pooler, SessionId};
use crate::connection::client_session::{Session, Transaction};
use crate::connection::framing::NextLine;
use crate::process::forwarding;
use crate::request::error::RequestError;
use crate::request::statement::{self, split_word};
use std::time::Instant;

/// What processing a session's input has come to.
enum NextInput {
    /// The session's next line has to wait, or there is none.
    Wait,
    /// This is the next line.
    Line(String),
    /// The client broke the protocol: it gets this error, and the session ends.
    Violation(RequestError),
}

impl Pooler {
    /// A client has connected.
    pub fn accept_session(&mut self, session_id: SessionId) {
        self.sessions.insert(session_id, Session::new());
    }

    /// Whether this daemon serves the session itself, and it has not ended.
    pub fn has_session(&self, session_id: SessionId) -> bool {
        self.sessions.contains(session_id)
    }

    /// Bytes have come from a client.
    pub fn handle_client_bytes(&mut self, now: Instant, session_id: SessionId, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.input.push(bytes);
        if session.input.buffered() > SESSION_INPUT_MAX {
            let error = RequestError::rejected("TOOBIG", "too many bytes are queued");
            return self.refuse_session(now, session_id, &error);
        }
        self.process_input(now, session_id);
    }

    /// Bytes have come from a client that are not read yet.
    pub fn note_unread_bytes(&mut self, now: Instant, session_id: SessionId) {
        if let Some(session) = self.sessions.get_mut(session_id) {
            session.client_activity.note_input(now);
        }
    }

    /// A client's connection has ended.
    pub fn handle_client_closed(&mut self, now: Instant, session_id: SessionId) {
        self.end_session(now, session_id);
    }

    /// Sends an error and closes the session.
    pub(super) fn refuse_session(&mut self, now: Instant, session_id: SessionId, error: &RequestError) {
        self.send_to_client(session_id, error.line());
        self.close_session(now, session_id);
    }

    /// Closes the session at once.
    pub(super) fn close_session(&mut self, now: Instant, session_id: SessionId) {
        if self.sessions.contains(session_id) {
            self.effects.push(Effect::CloseClient(session_id));
        }
        self.end_session(now, session_id);
    }

    /// Forgets the session and frees its connection.
    fn end_session(&mut self, now: Instant, session_id: SessionId) {
        let Some(session) = self.sessions.remove(session_id) else { return };
        if let Some(connection_id) = session.statement.and_then(|statement| statement.connection_id()) {
            self.detach_connection(now, connection_id);
        } else if let Some(connection_id) = session.transaction.connection_id() {
            self.roll_back(now, connection_id);
        }
    }

    // Input.

    /// Processes the session's lines until one has to wait.
    pub(super) fn process_input(&mut self, now: Instant, session_id: SessionId) {
        loop {
            match self.next_input(session_id) {
                NextInput::Wait => return,
                NextInput::Line(line) => self.handle_line(now, session_id, &line),
                NextInput::Violation(error) => return self.refuse_session(now, session_id, &error),
            }
        }
    }

    /// Processes the input of all sessions that have some.
    pub(super) fn process_waiting_input(&mut self, now: Instant) {
        let waiting: Vec<SessionId> =
            self.sessions.ids_where(|_, session| session.statement.is_none() && session.input.buffered() > 0).collect();
        for session_id in waiting {
            self.process_input(now, session_id);
        }
    }

    fn next_input(&mut self, session_id: SessionId) -> NextInput {
        let is_closing = self.is_closing();
        let Some(session) = self.sessions.get_mut(session_id) else { return NextInput::Wait };
        if session.statement.is_some() {
            return NextInput::Wait;
        }
        let behind = !is_closing && self.configuration.is_behind(session.required_revision);
        // A line that names a newer revision is read in any case.
        if behind && session.input.buffered() > 0 && !session.input.starts_with(forwarding::REVISION_KEYWORD) {
            return NextInput::Wait;
        }
        match session.input.next_line() {
            NextLine::Partial => NextInput::Wait,
            NextLine::Line(line) => NextInput::Line(line),
            NextLine::TooLong => {
                NextInput::Violation(RequestError::rejected("TOOBIG", "a message may have 1 MiB at most"))
            }
            NextLine::Malformed => {
                NextInput::Violation(RequestError::malformed("not a UTF-8 line that ends with CRLF"))
            }
        }
    }

    fn handle_line(&mut self, now: Instant, session_id: SessionId, line: &str) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        let (verb, rest) = split_word(line);
        match verb {
            "BYE" => self.close_session(now, session_id),
            forwarding::REVISION_KEYWORD if session.forwarded_revision.is_some() => {
                session.required_revision = session.required_revision.max(rest.parse().unwrap_or(0));
            }
            "CONNECT" if !session.open => self.handle_connect(now, session_id, rest),
            "QUERY" if session.open => self.handle_query(now, session_id, rest),
            _ => self.refuse_session(now, session_id, &RequestError::malformed("unexpected message")),
        }
    }

    // Requests.

    fn handle_connect(&mut self, now: Instant, session_id: SessionId, arguments: &str) {
        let (database, key) = split_word(arguments);
        if let Err(error) = self.authorize_connect(database, key) {
            return self.refuse_session(now, session_id, &error);
        }
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        session.database = database.to_owned();
        session.key = key.to_owned();
        session.open = true;
        session.opened_at = Some(now);
        session.client_activity.note_input(now);
        let service = self.configuration.route(database).map(|route| route.service.clone());
        if let Some(service) = service {
            self.note_service_use(now, &service);
        }
        self.send_to_client(session_id, "READY I -\r\n".into());
    }

    fn authorize_connect(&self, database: &str, key: &str) -> Result<(), RequestError> {
        if self.is_closing() {
            return Err(RequestError::busy("the pooler is shutting down; reconnect to another one"));
        }
        self.configuration.authorize(database, key).map(|_tenant| ())
    }

    fn handle_query(&mut self, now: Instant, session_id: SessionId, arguments: &str) {
        if let Some(session) = self.sessions.get_mut(session_id) {
            session.client_activity.note_statement(now);
            session.idle_since = None;
        }
        let (id, text) = split_word(arguments);
        match statement::parse(text) {
            Some(statement) if !id.is_empty() => {
                self.handle_statement(now, session_id, Query { id, text, statement });
            }
            _ => self.reply_rejection(now, session_id, &RequestError::malformed("the statement cannot be parsed")),
        }
    }

    /// The session's transaction has been idle for as long as it may: it is rolled back, and its client notified with
    /// its next statement.
    pub(super) fn transaction_idle_timer_due(&mut self, now: Instant, session_id: SessionId, statement_count: u64) {
        let Some(session) = self.sessions.get_mut(session_id) else { return };
        if !is_transaction_idle(session, statement_count) {
            return;
        }
        if let Some(connection_id) = session.transaction.connection_id() {
            session.transaction = Transaction::Failed { notified: false };
            self.roll_back(now, connection_id);
        }
    }
}

/// Whether the session's transaction has been idle since its statement count was this.
pub(super) fn is_transaction_idle(session: &Session, statement_count: u64) -> bool {
    session.client_activity.statement_count == statement_count
        && session.idle_since.is_some()
        && session.statement.is_none()
}
