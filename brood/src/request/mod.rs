//! What lives for one request.

pub mod statement;
pub mod verdict;
