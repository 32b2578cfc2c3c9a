//! The values held in the replicated state.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The number that the document gives itself.
    pub revision: u64,
    /// The document as it was sent.
    pub raw: Vec<u8>,
}

/// Who may serve a service's primary work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Epoch {
    /// Number of the epoch; the first is 1.
    pub epoch: u64,
    /// Id of the primary instance.
    pub primary: String,
    /// The database's term that the primary leads.
    pub term: u64,
    /// No lease is granted for a closed epoch.
    pub closed: bool,
    /// The instance that the platform was last asked to promote in this epoch.
    pub candidate: Option<String>,
    /// The controller that last committed to calling the platform about this service; kept from epoch to epoch.
    pub caller: Option<String>,
}

/// What is reported for a usage window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Requests by tenant.
    pub counts: BTreeMap<String, u64>,
    /// The controller that fixed the counts.
    pub reporter: String,
}
