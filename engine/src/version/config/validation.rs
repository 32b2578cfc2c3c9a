//! Reading and checking a document.
//!
//! The verdict depends on the document's bytes alone: controllers reach it separately when they apply the log.

use super::document::{Customer, Document, ReadConsistency, RouteEntry};
use garde::Validate;
use std::collections::{HashMap, HashSet};

/// Why a document is refused. The first fault found is named, in the order of the document.
///
/// The text goes into the replicated state as the result of the refused change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// Not JSON, or not of this form.
    #[error("can't be read whole: {reason}")]
    Malformed {
        /// Message of the JSON reader, with the position.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("{reason}")]
    InvalidField {
        /// The fields' paths and what is wrong with each.
        reason: String,
    },
    /// Two backends have the same name.
    #[error("two backends share a name")]
    DuplicateBackend,
    /// A route leads to a service that is not among the backends.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service that it names.
        service: String,
    },
    /// Two routes stand for the same place.
    #[error("route {route} shares host and prefix with another")]
    DuplicateRoute {
        /// Name of the later route.
        route: String,
    },
    /// A route whose reads may go to replicas does not say how far these may lag.
    #[error("route {route} lacks stale_ms")]
    MissingStaleness {
        /// Name of the route.
        route: String,
    },
    /// A key would stand for two customers.
    #[error("customer {customer} shares a key with another")]
    SharedKey {
        /// Name of the later customer.
        customer: String,
    },
}

/// Reads and checks a document.
///
/// # Errors
/// The first fault found.
pub fn parse(raw: &[u8]) -> Result<Document, ConfigError> {
    let document: Document =
        serde_json::from_slice(raw).map_err(|error| ConfigError::Malformed { reason: error.to_string() })?;
    document
        .validate()
        .map_err(|report| ConfigError::InvalidField { reason: report.to_string().replace('\n', "; ") })?;
    let services = check_backends(&document)?;
    check_routes(&document.routes, &services)?;
    check_keys(&document.customers)?;
    Ok(document)
}

/// Gives the names of the backends.
fn check_backends(document: &Document) -> Result<HashSet<&str>, ConfigError> {
    let services: HashSet<&str> = document.backends.iter().map(|backend| backend.name.as_str()).collect();
    if services.len() != document.backends.len() {
        return Err(ConfigError::DuplicateBackend);
    }
    Ok(services)
}

fn check_routes(routes: &[RouteEntry], services: &HashSet<&str>) -> Result<(), ConfigError> {
    let mut places = HashSet::new();
    for route in routes {
        let name = || route.name.clone();
        if !services.contains(route.service.as_str()) {
            return Err(ConfigError::UnknownService { route: name(), service: route.service.clone() });
        }
        if !places.insert((route.hostname.as_str(), route.path_prefix.as_str())) {
            return Err(ConfigError::DuplicateRoute { route: name() });
        }
        if route.consistency != ReadConsistency::Primary && route.max_staleness_ms.is_none() {
            return Err(ConfigError::MissingStaleness { route: name() });
        }
    }
    Ok(())
}

fn check_keys(customers: &[Customer]) -> Result<(), ConfigError> {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for customer in customers {
        for key in &customer.api_keys {
            if owners.insert(key, &customer.name).is_some_and(|other| other != customer.name) {
                return Err(ConfigError::SharedKey { customer: customer.name.clone() });
            }
        }
    }
    Ok(())
}
