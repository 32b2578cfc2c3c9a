//! All sessions of the process.

use super::timers::StatementRef;
use crate::connection::SessionId;
use crate::connection::client_session::{PendingStatement, Session};
use std::collections::HashMap;

/// Sessions by id.
#[derive(Debug)]
pub(super) struct SessionTable {
    sessions: HashMap<SessionId, Session>,
}

impl SessionTable {
    pub(super) fn new() -> Self {
        SessionTable { sessions: HashMap::new() }
    }

    pub(super) fn insert(&mut self, session_id: SessionId, session: Session) {
        self.sessions.insert(session_id, session);
    }

    pub(super) fn remove(&mut self, session_id: SessionId) -> Option<Session> {
        self.sessions.remove(&session_id)
    }

    pub(super) fn get(&self, session_id: SessionId) -> Option<&Session> {
        self.sessions.get(&session_id)
    }

    pub(super) fn get_mut(&mut self, session_id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&session_id)
    }

    pub(super) fn contains(&self, session_id: SessionId) -> bool {
        self.sessions.contains_key(&session_id)
    }

    pub(super) fn ids(&self) -> Vec<SessionId> {
        self.sessions.keys().copied().collect()
    }

    /// The ids of the sessions that satisfy a condition.
    pub(super) fn ids_where(&self, condition: impl Fn(SessionId, &Session) -> bool) -> impl Iterator<Item = SessionId> {
        self.sessions
            .iter()
            .filter(move |(session_id, session)| condition(**session_id, session))
            .map(|(session_id, _)| *session_id)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.sessions.values_mut()
    }

    /// The session's statement under way.
    pub(super) fn statement(&self, session_id: SessionId) -> Option<&PendingStatement> {
        self.get(session_id)?.statement.as_ref()
    }

    /// The session's statement under way.
    pub(super) fn statement_mut(&mut self, session_id: SessionId) -> Option<&mut PendingStatement> {
        self.get_mut(session_id)?.statement.as_mut()
    }

    /// The session together with its statement under way.
    pub(super) fn with_statement(&self, session_id: SessionId) -> Option<(&Session, &PendingStatement)> {
        let session = self.get(session_id)?;
        Some((session, session.statement.as_ref()?))
    }

    /// The statement that a timer names, unless it is over.
    pub(super) fn find(&self, statement: StatementRef) -> Option<&PendingStatement> {
        self.statement(statement.session_id).filter(|pending| pending.number == statement.number)
    }
}
