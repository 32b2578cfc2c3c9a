//! What lives for one request.

pub mod error;
pub mod statement;
