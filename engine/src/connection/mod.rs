//! What lives for a connection: a client's session and the pooled connections to instances.

pub mod backend_connection;
pub mod client_session;
pub mod draining;
pub mod framing;
