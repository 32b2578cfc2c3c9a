//! The fields of a configuration document.
//!
//! The names in JSON are part of the operator's interface. The checks on single fields stand here, by `garde`; those
//! that concern several entries are in [`validation`](super::validation).

use garde::Validate;
use serde::Deserialize;

/// The greatest whole number that every reader of JSON takes for the same (RFC 7493, section 2.2).
pub const REVISION_MAX: u64 = (1 << 53) - 1;

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Document {
    /// Number of this version; each accepted one is above the one before.
    #[garde(range(max = REVISION_MAX))]
    pub revision: u64,
    /// The databases that clients may name.
    #[garde(dive)]
    pub routes: Vec<RouteEntry>,
    /// The services that routes lead to.
    #[garde(dive)]
    pub backends: Vec<Backend>,
    /// Limits for every session.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// The tenants.
    #[serde(default)]
    #[garde(dive)]
    pub customers: Vec<Customer>,
}

/// How recent the data must be that a route's reads see; `type` in the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadConsistency {
    /// Every statement goes to the primary.
    Primary,
    /// Reads may go to a replica that is at most `stale_ms` behind.
    #[serde(rename = "bounded", alias = "bounded_stale")]
    BoundedStaleness,
    /// Reads may go to a replica within the same bound that has the tenant's own latest writes.
    #[serde(rename = "own_writes")]
    ReadYourWrites,
}

/// A database that clients may name, and how it is served.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct RouteEntry {
    /// Name for operators.
    #[garde(length(min = 1))]
    pub name: String,
    /// The database's name, as clients give it.
    #[garde(length(min = 1))]
    pub hostname: String,
    /// Part of the route's identity beside the hostname.
    #[serde(default)]
    #[garde(skip)]
    pub path_prefix: String,
    /// How recent the data must be that reads see.
    #[serde(rename = "type")]
    #[garde(skip)]
    pub consistency: ReadConsistency,
    /// Milliseconds within which a request is answered or fails.
    #[garde(range(min = 1))]
    pub deadline_ms: u64,
    /// Milliseconds that a request should take; a quarter of the deadline if absent.
    #[serde(default)]
    #[garde(skip)]
    pub target_ms: Option<u64>,
    /// Order in which waiting requests get a connection: the lowest first.
    #[serde(default)]
    #[garde(skip)]
    pub rank: u32,
    /// Name of the backend.
    #[garde(length(min = 1))]
    pub service: String,
    /// Milliseconds that reads may lag behind the primary; required unless all statements go there.
    #[serde(default, rename = "stale_ms", alias = "max-staleness-ms")]
    #[garde(skip)]
    pub max_staleness_ms: Option<u64>,
    /// Whether clients without a known key are served.
    #[serde(default)]
    #[garde(skip)]
    pub public: bool,
}

/// A service: a primary instance and its replicas.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Backend {
    /// Name that routes and instances refer to.
    #[garde(length(min = 1))]
    pub name: String,
    /// Connections to each instance, of all poolers together.
    #[serde(default = "default_max_connections")]
    #[garde(range(min = 1))]
    pub max_connections: u32,
    /// Replicas that confirm a commit before it is acknowledged; for operators, no daemon acts on it.
    #[serde(default)]
    #[garde(skip)]
    pub sync_replicas: u32,
}

fn default_max_connections() -> u32 {
    100
}

/// Limits for every session.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Milliseconds after which a transaction without a statement is ended.
    #[garde(range(min = 1))]
    pub tx_rest_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { tx_rest_ms: 3000 }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Customer {
    /// The tenant's name.
    #[garde(length(min = 1))]
    pub name: String,
    /// Keys by which its clients are known; no two customers share one.
    #[garde(skip)]
    pub api_keys: Vec<String>,
    /// Listed for operators; no daemon acts on it.
    #[serde(default)]
    #[garde(skip)]
    pub rank: u32,
    /// Operations per second that all poolers together admit; absent or 0 for no limit.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub rate_per_s: Option<f64>,
    /// Operations that may be admitted at once; those of one second if absent.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub burst: Option<f64>,
}
