//! The operator's configuration: read, checked, and turned into look-ups.

use garde::Validate;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The greatest whole number that every reader of JSON takes for the same (RFC 7493, 2.2).
pub const REVISION_MAX: u64 = (1 << 53) - 1;

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Document {
    #[garde(range(max = REVISION_MAX))]
    pub revision: u64,
    #[garde(dive)]
    pub routes: Vec<RouteEntry>,
    #[garde(dive)]
    pub backends: Vec<Backend>,
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    #[serde(default)]
    #[garde(dive)]
    pub customers: Vec<Customer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Primary,
    #[serde(alias = "bounded_stale")]
    Bounded,
    OwnWrites,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct RouteEntry {
    #[garde(length(min = 1))]
    pub name: String,
    #[garde(length(min = 1))]
    pub hostname: String,
    #[serde(default)]
    #[garde(skip)]
    pub path_prefix: String,
    #[serde(rename = "type")]
    #[garde(skip)]
    pub kind: Kind,
    #[garde(range(min = 1))]
    pub deadline_ms: u64,
    #[serde(default)]
    #[garde(skip)]
    pub target_ms: Option<u64>,
    #[serde(default)]
    #[garde(skip)]
    pub rank: u32,
    #[garde(length(min = 1))]
    pub service: String,
    #[serde(default, rename = "stale_ms", alias = "max-staleness-ms")]
    #[garde(skip)]
    pub stale_ms: Option<u64>,
    #[serde(default)]
    #[garde(skip)]
    pub public: bool,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Backend {
    #[garde(length(min = 1))]
    pub name: String,
    #[serde(default = "no_cap")]
    #[garde(range(min = 1))]
    pub max_connections: u32,
    #[serde(default)]
    #[garde(skip)]
    pub sync_replicas: u32,
}

fn no_cap() -> u32 {
    100
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    #[garde(range(min = 1))]
    pub tx_rest_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { tx_rest_ms: 3000 }
    }
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Customer {
    #[garde(length(min = 1))]
    pub name: String,
    #[garde(skip)]
    pub api_keys: Vec<String>,
    #[serde(default)]
    #[garde(skip)]
    pub rank: u32,
    /// Operations a second that all daemons together let through; none for no limit.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub rate_per_s: Option<f64>,
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub burst: Option<f64>,
}

/// A tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
}

/// The limits of those that have one; a burst that is not named is a second's worth.
pub fn quotas(document: &Document) -> HashMap<String, Quota> {
    let limit = |c: &Customer| {
        let rate = c.rate_per_s.filter(|r| *r > 0.0)?;
        Some((c.name.clone(), Quota { rate, burst: c.burst.unwrap_or(rate) }))
    };
    document.customers.iter().filter_map(limit).collect()
}

/// Reads and checks a document; the message names what is wrong.
pub fn read(raw: &[u8]) -> Result<Document, String> {
    let document: Document = serde_json::from_slice(raw).map_err(|e| format!("can't be read whole: {e}"))?;
    document.validate().map_err(|e| e.to_string().replace('\n', "; "))?;
    let services: HashSet<&str> = document.backends.iter().map(|b| b.name.as_str()).collect();
    if services.len() != document.backends.len() {
        return Err("two backends share a name".into());
    }
    let mut places = HashSet::new();
    for route in &document.routes {
        if !services.contains(route.service.as_str()) {
            return Err(format!("route {} names the unknown service {}", route.name, route.service));
        }
        if !places.insert((route.hostname.as_str(), route.path_prefix.as_str())) {
            return Err(format!("route {} shares host and prefix with another", route.name));
        }
        if route.kind != Kind::Primary && route.stale_ms.is_none() {
            return Err(format!("route {} lacks stale_ms", route.name));
        }
    }
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for customer in &document.customers {
        for key in &customer.api_keys {
            if holders.insert(key, &customer.name).is_some_and(|other| other != customer.name) {
                return Err(format!("customer {} shares a key with another", customer.name));
            }
        }
    }
    Ok(document)
}

#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub kind: Kind,
    pub service: String,
    pub deadline: Duration,
    pub target: Duration,
    pub stale: Duration,
    pub rank: u32,
    pub public: bool,
}

/// A configuration as the data plane uses it.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    pub revision: u64,
    /// By database name.
    pub routes: HashMap<String, Route>,
    pub backends: BTreeMap<String, Backend>,
    /// Key to tenant.
    pub keys: HashMap<String, String>,
    /// Tenants whose operations are counted.
    pub quotas: HashMap<String, Quota>,
    pub tx_rest: Duration,
}

/// When a route names no aim, this share of its deadline stands in.
const DEFAULT_TARGET_SHARE: u32 = 4;

impl Configuration {
    pub fn new(document: &Document) -> Self {
        let routes = document
            .routes
            .iter()
            .map(|r| {
                let deadline = Duration::from_millis(r.deadline_ms);
                let route = Route {
                    kind: r.kind,
                    service: r.service.clone(),
                    deadline,
                    target: r.target_ms.map_or(deadline / DEFAULT_TARGET_SHARE, Duration::from_millis),
                    stale: Duration::from_millis(r.stale_ms.unwrap_or(0)),
                    rank: r.rank,
                    public: r.public,
                };
                (r.hostname.clone(), route)
            })
            .collect();
        let keys =
            document.customers.iter().flat_map(|c| c.api_keys.iter().map(|k| (k.clone(), c.name.clone()))).collect();
        Configuration {
            revision: document.revision,
            routes,
            backends: document.backends.iter().map(|b| (b.name.clone(), b.clone())).collect(),
            keys,
            quotas: quotas(document),
            tx_rest: Duration::from_millis(document.limits.tx_rest_ms),
        }
    }

    /// The tenant that a key stands for on this database, or the refusal.
    pub fn admit(&self, database: &str, key: &str) -> Result<String, (&'static str, &'static str)> {
        let route = self.routes.get(database).ok_or(("NODB", "no such database"))?;
        match self.keys.get(key) {
            Some(tenant) => Ok(tenant.clone()),
            None if route.public => Ok("public".to_owned()),
            None => Err(("DENIED", "unknown key")),
        }
    }
}
