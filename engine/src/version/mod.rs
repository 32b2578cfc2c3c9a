//! What lives for a version: the operator's configuration, and the state that the log decides.

pub mod config;
pub mod control_state;
pub mod electorate;
