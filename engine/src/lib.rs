//! lichenfield's logic as state machines without I/O: each takes inputs (bytes, messages, the time) and returns what to
//! send, write and answer. Nothing here opens a socket, reads a clock or starts a thread, so the same code runs in the
//! daemons and under simulated time.
//!
//! The layout follows life spans:
//!
//! - [`request`]: what lives for one request: statements, and the errors that clients get;
//! - [`connection`]: client sessions and pooled connections to instances;
//! - [`version`]: the configuration, and the state that the replicated log decides;
//! - [`process`]: everything that lives as long as the daemon.

#![warn(missing_docs)]

pub mod connection;
pub mod digest;
pub mod process;
pub mod request;
pub mod version;
