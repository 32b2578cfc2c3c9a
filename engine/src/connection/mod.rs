//! State that lives as long as a connection: a client's session, and a pooled connection to an instance.

pub mod backend_connection;
pub mod client_session;
pub mod draining;
pub mod framing;
pub mod pending_statement;
pub mod position;
pub mod shutdown;
pub mod transaction;

/// Identifies a client's session within the process.
pub type SessionId = u64;

/// Identifies a pooled connection to an instance within the process.
pub type ConnectionId = u64;
