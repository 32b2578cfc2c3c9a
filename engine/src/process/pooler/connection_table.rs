//! All pooled connections of the process.

use crate::connection::backend_connection::{BackendConnection, ConnectionState};
use crate::connection::{ConnectionId, SessionId};
use std::collections::HashMap;

/// Connections by id.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: HashMap<ConnectionId, BackendConnection>,
    next_id: ConnectionId,
}

impl ConnectionTable {
    pub(super) fn new() -> Self {
        ConnectionTable { connections: HashMap::new(), next_id: 1 }
    }

    /// Adds a connection under a new id.
    pub(super) fn insert(&mut self, connection: BackendConnection) -> ConnectionId {
        let connection_id = self.next_id;
        self.next_id += 1;
        self.connections.insert(connection_id, connection);
        connection_id
    }

    pub(super) fn remove(&mut self, connection_id: ConnectionId) -> Option<BackendConnection> {
        self.connections.remove(&connection_id)
    }

    pub(super) fn get(&self, connection_id: ConnectionId) -> Option<&BackendConnection> {
        self.connections.get(&connection_id)
    }

    pub(super) fn get_mut(&mut self, connection_id: ConnectionId) -> Option<&mut BackendConnection> {
        self.connections.get_mut(&connection_id)
    }

    pub(super) fn contains(&self, connection_id: ConnectionId) -> bool {
        self.connections.contains_key(&connection_id)
    }

    pub(super) fn is_idle(&self, connection_id: ConnectionId) -> bool {
        self.get(connection_id).is_some_and(BackendConnection::is_idle)
    }

    pub(super) fn is_opening(&self, connection_id: ConnectionId) -> bool {
        self.get(connection_id).is_some_and(BackendConnection::is_opening)
    }

    /// Whether the connection was opened for this tenant.
    pub(super) fn belongs_to(&self, connection_id: ConnectionId, tenant: &str) -> bool {
        self.get(connection_id).is_some_and(|connection| connection.tenant == tenant)
    }

    /// The session that the connection serves.
    pub(super) fn session_of(&self, connection_id: ConnectionId) -> Option<SessionId> {
        match self.get(connection_id)?.state {
            ConnectionState::Busy(session_id) => Some(session_id),
            _ => None,
        }
    }

    /// Connections that serve a session.
    pub(super) fn busy_count(&self) -> usize {
        self.connections.values().filter(|connection| matches!(connection.state, ConnectionState::Busy(_))).count()
    }

    /// Connections in use under the lease of this epoch.
    pub(super) fn in_use_under_lease(&self, service: &str, epoch: u64) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.service == service && connection.epoch == Some(epoch))
            .filter(|(_, connection)| !connection.is_idle())
            .map(|(connection_id, _)| *connection_id)
            .collect()
    }
}
