//! A configuration as the data plane uses it.

use super::document::{Backend, Customer, Document, ReadConsistency, RouteEntry};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A route's target is its deadline divided by this, unless the document names one.
const DEFAULT_TARGET_DIVISOR: u32 = 4;
/// The tenant that clients without a known key belong to, where they are served.
const PUBLIC_TENANT: &str = "public";

/// A tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Operations per second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

/// How a database's requests are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// How recent the data must be that reads see.
    pub consistency: ReadConsistency,
    /// Name of the backend.
    pub service: String,
    /// Time within which a request is answered or fails.
    pub deadline: Duration,
    /// Time that a request should take.
    pub target: Duration,
    /// How far reads may lag behind the primary.
    pub max_staleness: Duration,
    /// Order in which waiting requests get a connection: the lowest first.
    pub rank: u32,
    /// Whether clients without a known key are served.
    pub public: bool,
}

impl From<&RouteEntry> for Route {
    fn from(entry: &RouteEntry) -> Self {
        let deadline = Duration::from_millis(entry.deadline_ms);
        Route {
            consistency: entry.consistency,
            service: entry.service.clone(),
            deadline,
            target: entry.target_ms.map_or(deadline / DEFAULT_TARGET_DIVISOR, Duration::from_millis),
            max_staleness: Duration::from_millis(entry.max_staleness_ms.unwrap_or(0)),
            rank: entry.rank,
            public: entry.public,
        }
    }
}

/// Why a client is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// No route has this database's name.
    #[error("no such database")]
    UnknownDatabase,
    /// The key is no customer's, and the route is not public.
    #[error("unknown key")]
    UnknownKey,
}

impl AdmissionError {
    /// The code of the `ERROR` line that the client gets.
    pub fn code(self) -> &'static str {
        match self {
            AdmissionError::UnknownDatabase => "NODB",
            AdmissionError::UnknownKey => "DENIED",
        }
    }
}

/// The look-up tables of a configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Number of the version.
    pub revision: u64,
    /// By database name.
    pub routes: HashMap<String, Route>,
    /// By name; the order is the same at all daemons.
    pub backends: BTreeMap<String, Backend>,
    /// The tenant that each key stands for.
    pub tenants_by_key: HashMap<String, String>,
    /// The limits of the tenants that have one.
    pub quotas: HashMap<String, Quota>,
    /// Time after which a transaction without a statement is ended.
    pub idle_transaction_timeout: Duration,
}

impl Configuration {
    /// The tables of a document that was checked.
    pub fn new(document: &Document) -> Self {
        let routes = document.routes.iter().map(|entry| (entry.hostname.clone(), Route::from(entry)));
        let backends = document.backends.iter().map(|backend| (backend.name.clone(), backend.clone()));
        Configuration {
            revision: document.revision,
            routes: routes.collect(),
            backends: backends.collect(),
            tenants_by_key: document.customers.iter().flat_map(keys_of).collect(),
            quotas: quotas(document),
            idle_transaction_timeout: Duration::from_millis(document.limits.tx_rest_ms),
        }
    }

    /// The tenant that a key stands for on this database.
    ///
    /// # Errors
    /// If there is no such database, or the key is unknown and the database is not public.
    pub fn admit(&self, database: &str, key: &str) -> Result<String, AdmissionError> {
        let route = self.routes.get(database).ok_or(AdmissionError::UnknownDatabase)?;
        match self.tenants_by_key.get(key) {
            Some(tenant) => Ok(tenant.clone()),
            None if route.public => Ok(PUBLIC_TENANT.to_owned()),
            None => Err(AdmissionError::UnknownKey),
        }
    }
}

fn keys_of(customer: &Customer) -> impl Iterator<Item = (String, String)> {
    customer.api_keys.iter().map(|key| (key.clone(), customer.name.clone()))
}

/// The limits of the tenants that have one; a burst that is not given is a second's worth.
pub fn quotas(document: &Document) -> HashMap<String, Quota> {
    let limited = |customer: &Customer| {
        let rate = customer.rate_per_s.filter(|rate| *rate > 0.0)?;
        Some((customer.name.clone(), Quota { rate, burst: customer.burst.unwrap_or(rate) }))
    };
    document.customers.iter().filter_map(limited).collect()
}
