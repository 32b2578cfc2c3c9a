//! lichenfield's logic as state machines that take inputs and return what to send, write and
//! answer. Nothing here opens a socket, reads a clock or starts a thread: `Instant`s and randomness
//! come in from the caller, so the same code runs under the daemons and under simulated time.
//!
//! The layout follows life spans: what lives for a request, a connection, a version, a process.

pub mod connection;
pub mod digest;
pub mod process;
pub mod request;
pub mod version;
