//! Keys of the disseminated parts of the state, as the updates of `process::dissemination` carry them.
//!
//! A letter for the kind, a slash, and a name where there are several of the kind.

/// The configuration in force.
pub const CONFIG: &str = "c/";
/// The voters.
pub const VOTERS: &str = "q/";

/// A service's epoch.
pub fn epoch(service: &str) -> String {
    format!("e/{service}")
}

/// An instance that announced its end.
pub fn draining_instance(id: &str) -> String {
    format!("d/{id}")
}

/// A pooler's share of the capped connections.
pub fn pooler_share(pooler: &str) -> String {
    format!("s/{pooler}")
}
