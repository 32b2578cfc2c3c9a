//! Who changed what in the configuration, for operators; names only, no keys.
//!
//! Served as JSON by `/api/history`: the names of the fields are part of that interface.

use crate::version::config::Document;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Changes kept in the history.
const CHANGE_HISTORY_KEPT: usize = 64;
/// Names listed in each part of a change; the rest is given as a number.
const NAMES_LISTED_PER_CHANGE: usize = 20;

/// What one accepted configuration changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The new revision.
    pub revision: u64,
    /// The revision in force before.
    pub built_on: u64,
    /// The controller that took the request.
    pub by: String,
    /// Time of day at that controller, since 1970.
    pub at: Duration,
    /// Routes, by name.
    pub routes: NameDifference,
    /// Backends, by name.
    pub backends: NameDifference,
    /// Customers, by name.
    pub customers: NameDifference,
}

impl ConfigChange {
    /// The change from one document to the next; without an old one everything is added.
    pub(super) fn between(old: Option<Document>, new: &Document, built_on: u64, by: &str, at: Duration) -> Self {
        let (routes, backends, customers) =
            old.map_or_else(Default::default, |old| (old.routes, old.backends, old.customers));
        ConfigChange {
            revision: new.revision,
            built_on,
            by: by.to_owned(),
            at,
            routes: NameDifference::between(&routes, &new.routes, |route| &route.name),
            backends: NameDifference::between(&backends, &new.backends, |backend| &backend.name),
            customers: NameDifference::between(&customers, &new.customers, |customer| &customer.name),
        }
    }
}

/// Appends a change and forgets the oldest one above the limit.
pub(super) fn record(history: &mut VecDeque<ConfigChange>, change: ConfigChange) {
    history.push_back(change);
    if history.len() > CHANGE_HISTORY_KEPT {
        history.pop_front();
    }
}

/// Names that were added, removed, or stand for something else now; each in alphabetical order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NameDifference {
    /// Names that the new document has and the old one lacks.
    pub added: Vec<String>,
    /// Names that the old document has and the new one lacks.
    pub removed: Vec<String>,
    /// Names in both whose entries differ.
    pub changed: Vec<String>,
}

impl NameDifference {
    fn between<T: PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &String) -> Self {
        let old: BTreeMap<&String, &T> = old.iter().map(|entry| (name(entry), entry)).collect();
        let new: BTreeMap<&String, &T> = new.iter().map(|entry| (name(entry), entry)).collect();
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).copied().collect();
        let mut difference = NameDifference::default();
        for name in names {
            match (old.get(name), new.get(name)) {
                (None, Some(_)) => difference.added.push(name.clone()),
                (Some(_), None) => difference.removed.push(name.clone()),
                (before, after) if before != after => difference.changed.push(name.clone()),
                _ => {}
            }
        }
        shorten(&mut difference.added);
        shorten(&mut difference.removed);
        shorten(&mut difference.changed);
        difference
    }
}

/// Replaces the names above the limit by their number.
fn shorten(names: &mut Vec<String>) {
    if names.len() > NAMES_LISTED_PER_CHANGE {
        let more = names.len() - NAMES_LISTED_PER_CHANGE;
        names.truncate(NAMES_LISTED_PER_CHANGE);
        names.push(format!("and {more} more"));
    }
}
