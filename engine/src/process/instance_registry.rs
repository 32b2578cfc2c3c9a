//! The instances as they report themselves by heartbeats.
//!
//! Every controller keeps a registry. A change that others act on becomes an [`Update`] of the dissemination; that an
//! instance lives is only exchanged among controllers, as the age of its latest heartbeat.

use super::dissemination::anti_entropy::{Instance, Update, UpdateValue};
use super::peer_message::InstanceLiveness;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The body of a heartbeat; the names in JSON are part of the instances' interface.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceHeartbeat {
    /// The service that the instance belongs to.
    pub service: String,
    /// Address that poolers connect to.
    pub address: String,
    /// Zone of the instance.
    pub zone: String,
    /// Connections that it takes; 0 if it does not say.
    #[serde(default)]
    pub capacity: u32,
    /// `draining` once it announced its end.
    pub status: String,
    /// Milliseconds until it is warmed up.
    #[serde(default)]
    pub warmup_left_ms: u64,
    /// `primary` if it leads its database.
    #[serde(default)]
    pub read_from: String,
    /// Number of this heartbeat, which rises until the instance restarts.
    pub call_count: u64,
}

impl InstanceHeartbeat {
    /// Whether the instance announces its end.
    pub fn is_draining(&self) -> bool {
        self.status == "draining"
    }

    fn is_primary(&self) -> bool {
        self.read_from == "primary"
    }

    fn describe(&self, id: &str) -> Instance {
        Instance {
            id: id.to_owned(),
            service: self.service.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            capacity: self.capacity,
            draining: self.is_draining(),
            gone: false,
            primary: self.is_primary(),
            warmup_left_ms: self.warmup_left_ms,
        }
    }
}

/// A heartbeat with no higher count than the last is late, unless the instance was silent for this long: then it was
/// restarted and counts from the beginning.
const RESTARTED_AFTER_SILENCE: Duration = Duration::from_secs(3);
/// Instances are forgotten after this long without a heartbeat.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// Bits of an update's version that hold the count of heartbeats; those above hold the incarnation.
const COUNT_BITS: u32 = 40;

/// Orders the states of an instance: those of a later incarnation are newer, whatever their count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StateNumber {
    /// Raised when an instance counts from the beginning again.
    incarnation: u64,
    /// Heartbeats counted in the incarnation.
    count: u64,
}

impl StateNumber {
    fn version(self) -> u64 {
        (self.incarnation << COUNT_BITS) + self.count
    }

    fn of_version(version: u64) -> Self {
        StateNumber { incarnation: version >> COUNT_BITS, count: version & ((1 << COUNT_BITS) - 1) }
    }
}

#[derive(Debug)]
struct InstanceRecord {
    instance: Instance,
    /// Of the latest heartbeat known, here or at another controller.
    number: StateNumber,
    /// Version of the update that `instance` was last disseminated by.
    version: u64,
    /// The latest heartbeat, here or at another controller.
    last_heartbeat_at: Instant,
    /// The latest heartbeat that was sent to this controller itself.
    last_direct_heartbeat_at: Option<Instant>,
}

/// The instances known to a controller.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    records: BTreeMap<String, InstanceRecord>,
    ids_by_service: BTreeMap<String, BTreeSet<String>>,
}

impl InstanceRegistry {
    /// Takes a heartbeat; gives the update to disseminate if anything that others act on has changed.
    pub fn record_heartbeat(&mut self, now: Instant, id: &str, heartbeat: &InstanceHeartbeat) -> Option<Update> {
        let old = self.records.get(id);
        let number = next_number(now, old, heartbeat.call_count)?;
        let instance = heartbeat.describe(id);
        let unchanged = old.filter(|old| same_but_for_warmup(&old.instance, &instance));
        let version = unchanged.map_or(number.version(), |old| old.version);
        let update = unchanged.is_none().then(|| update(version, instance.clone()));
        self.index_by_service(id, &heartbeat.service);
        let record =
            InstanceRecord { instance, number, version, last_heartbeat_at: now, last_direct_heartbeat_at: Some(now) };
        self.records.insert(id.to_owned(), record);
        update
    }

    /// The instance reports its end; gives the update to disseminate.
    pub fn mark_gone(&mut self, now: Instant, id: &str) -> Option<Update> {
        let record = self.records.get_mut(id)?;
        record.number.count += 1;
        record.version = record.number.version();
        record.instance.gone = true;
        record.instance.draining = true;
        record.last_heartbeat_at = now;
        Some(update(record.version, record.instance.clone()))
    }

    /// Takes an update from another daemon, already known to be newer than what was disseminated here before.
    pub fn apply_update(&mut self, now: Instant, version: u64, instance: &Instance) {
        let number = StateNumber::of_version(version);
        if self.records.get(&instance.id).is_none_or(|record| version > record.version) {
            self.index_by_service(&instance.id, &instance.service);
        }
        let record = self.records.entry(instance.id.clone()).or_insert_with(|| InstanceRecord {
            instance: instance.clone(),
            number,
            version,
            last_heartbeat_at: now,
            last_direct_heartbeat_at: None,
        });
        if version > record.version {
            record.instance = instance.clone();
            record.version = version;
            record.number.incarnation = number.incarnation;
            record.number.count = record.number.count.max(number.count);
            record.last_heartbeat_at = record.last_heartbeat_at.max(now);
        }
    }

    /// Takes the heartbeats that another controller received.
    pub fn note_heartbeats(&mut self, now: Instant, heartbeats: &[InstanceLiveness]) {
        for InstanceLiveness { id, heartbeat_count, age } in heartbeats {
            if let Some(record) = self.records.get_mut(id)
                && let Some(at) = now.checked_sub(*age)
            {
                record.last_heartbeat_at = record.last_heartbeat_at.max(at);
                record.number.count = record.number.count.max(*heartbeat_count);
            }
        }
    }

    /// The heartbeats that were sent to this controller itself less than `max_age` ago, for the other controllers, which
    /// know of the rest.
    pub fn recent_heartbeats(&self, now: Instant, max_age: Duration) -> Vec<InstanceLiveness> {
        let recent = |(id, record): (&String, &InstanceRecord)| {
            let age = now.duration_since(record.last_direct_heartbeat_at?);
            (age < max_age).then(|| InstanceLiveness { id: id.clone(), heartbeat_count: record.number.count, age })
        };
        self.records.iter().filter_map(recent).collect()
    }

    /// An instance's latest state, also if it is gone.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.records.get(id).map(|record| &record.instance)
    }

    /// Age of an instance's latest heartbeat.
    pub fn silence(&self, now: Instant, id: &str) -> Option<Duration> {
        self.records.get(id).map(|record| now.duration_since(record.last_heartbeat_at))
    }

    /// A service's instances that are not gone, by id.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        let ids = self.ids_by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.get(id)).filter(|instance| !instance.gone)
    }

    /// The services that have instances, gone ones included, by name.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.ids_by_service.keys()
    }

    /// All instances, gone ones included, by id.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.records.values().map(|record| &record.instance)
    }

    /// Forgets the instances without a heartbeat for long; gives their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let is_expired = |record: &InstanceRecord| now.duration_since(record.last_heartbeat_at) > FORGOTTEN_AFTER;
        let expired = self.records.iter().filter(|(_, record)| is_expired(record));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            let Some(record) = self.records.remove(id) else { continue };
            if let Some(ids) = self.ids_by_service.get_mut(&record.instance.service) {
                ids.remove(id);
            }
        }
        self.ids_by_service.retain(|_, ids| !ids.is_empty());
        expired
    }

    /// Indexes an instance under its service, and no longer under another.
    fn index_by_service(&mut self, id: &str, service: &str) {
        let old = self.records.get(id).map(|record| &record.instance.service).filter(|old| *old != service);
        if let Some(ids) = old.and_then(|old| self.ids_by_service.get_mut(old)) {
            ids.remove(id);
        }
        match self.ids_by_service.get_mut(service) {
            Some(ids) if ids.contains(id) => {}
            Some(ids) => drop(ids.insert(id.to_owned())),
            None => drop(self.ids_by_service.insert(service.to_owned(), BTreeSet::from([id.to_owned()]))),
        }
    }
}

/// The number of a heartbeat's state, or none if the heartbeat is late.
fn next_number(now: Instant, old: Option<&InstanceRecord>, count: u64) -> Option<StateNumber> {
    let Some(old) = old else { return Some(StateNumber { incarnation: 0, count }) };
    let incarnation = old.number.incarnation;
    if count > old.number.count {
        return Some(StateNumber { incarnation, count });
    }
    let restarted = now.duration_since(old.last_heartbeat_at) >= RESTARTED_AFTER_SILENCE;
    restarted.then_some(StateNumber { incarnation: incarnation + 1, count })
}

/// Whether two states differ in the remaining warm-up time at most, which falls with every heartbeat.
fn same_but_for_warmup(old: &Instance, new: &Instance) -> bool {
    Instance { warmup_left_ms: new.warmup_left_ms, ..old.clone() } == *new
}

/// The key of an instance's updates.
pub fn key(id: &str) -> String {
    format!("i/{id}")
}

fn update(version: u64, instance: Instance) -> Update {
    Update { key: key(&instance.id), version, value: UpdateValue::Instance(instance) }
}

#[cfg(test)]
mod tests;
