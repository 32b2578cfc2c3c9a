//! What lives for a connection: a client's session and the pooled connections to instances.

pub mod instance;
pub mod lines;
pub mod parting;
pub mod session;
