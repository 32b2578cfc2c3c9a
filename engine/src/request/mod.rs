//! A client's request: its text on the wire and the errors that answer it.

pub mod error;
pub mod statement;
