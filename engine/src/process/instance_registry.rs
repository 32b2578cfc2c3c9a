//! Which instances there are, as they tell it themselves.

use super::dissemination::anti_entropy::{Instance, Update, UpdateValue};
use super::peer_message::InstanceLiveness;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The body of a heartbeat.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceHeartbeat {
    pub service: String,
    pub address: String,
    pub zone: String,
    #[serde(default)]
    pub capacity: u32,
    pub status: String,
    #[serde(default)]
    pub warmup_left_ms: u64,
    #[serde(default)]
    pub read_from: String,
    pub call_count: u64,
}

#[derive(Debug)]
struct InstanceRecord {
    instance: Instance,
    count: u64,
    /// Raised when an instance begins to count anew.
    incarnation: u64,
    version: u64,
    heard: Instant,
    /// When it last called here itself.
    called: Option<Instant>,
}

/// A heartbeat with a lower count than the last is late, unless the instance was silent this long:
/// then it has begun to count anew.
const ANEW: Duration = Duration::from_secs(3);
const LIFE_SHIFT: u32 = 40;
/// Instances that left are forgotten after this long.
const FORGET: Duration = Duration::from_secs(120);

#[derive(Debug, Default)]
pub struct InstanceRegistry {
    records: BTreeMap<String, InstanceRecord>,
    /// Ids by service.
    members: BTreeMap<String, BTreeSet<String>>,
}

impl InstanceRegistry {
    /// Takes a heartbeat; gives the update to spread if anything others act on has changed.
    pub fn record_heartbeat(&mut self, now: Instant, id: &str, heartbeat: &InstanceHeartbeat) -> Option<Update> {
        let old = self.records.get(id);
        let mut incarnation = old.map_or(0, |b| b.incarnation);
        if let Some(old) = old
            && heartbeat.call_count <= old.count
        {
            if now.duration_since(old.heard) < ANEW {
                return None;
            }
            incarnation += 1;
        }
        let instance = Instance {
            id: id.to_owned(),
            service: heartbeat.service.clone(),
            address: heartbeat.address.clone(),
            zone: heartbeat.zone.clone(),
            capacity: heartbeat.capacity,
            draining: heartbeat.status == "draining",
            gone: false,
            primary: heartbeat.read_from == "primary",
            warmup_left_ms: heartbeat.warmup_left_ms,
        };
        let changed = old.is_none_or(|o| {
            Instance { warmup_left_ms: 0, ..o.instance.clone() } != Instance { warmup_left_ms: 0, ..instance.clone() }
        });
        let version =
            if changed { (incarnation << LIFE_SHIFT) + heartbeat.call_count } else { old.map_or(0, |o| o.version) };
        let update = changed.then(|| update(version, instance.clone()));
        self.file(id, &heartbeat.service);
        self.records.insert(
            id.to_owned(),
            InstanceRecord {
                instance,
                count: heartbeat.call_count,
                incarnation,
                version,
                heard: now,
                called: Some(now),
            },
        );
        update
    }

    /// The instance says that it is gone.
    pub fn mark_gone(&mut self, now: Instant, id: &str) -> Option<Update> {
        let record = self.records.get_mut(id)?;
        record.count += 1;
        record.version = (record.incarnation << LIFE_SHIFT) + record.count;
        record.instance.gone = true;
        record.instance.draining = true;
        record.heard = now;
        Some(update(record.version, record.instance.clone()))
    }

    /// A update from another daemon, already known to be newer than what was held.
    pub fn apply_update(&mut self, now: Instant, version: u64, instance: &Instance) {
        let (incarnation, count) = (version >> LIFE_SHIFT, version & ((1 << LIFE_SHIFT) - 1));
        if self.records.get(&instance.id).is_none_or(|b| version > b.version) {
            self.file(&instance.id, &instance.service);
        }
        let record = self.records.entry(instance.id.clone()).or_insert_with(|| InstanceRecord {
            instance: instance.clone(),
            count,
            incarnation,
            version,
            heard: now,
            called: None,
        });
        if version > record.version {
            record.instance = instance.clone();
            record.version = version;
            record.incarnation = incarnation;
            record.count = record.count.max(count);
            record.heard = record.heard.max(now);
        }
    }

    /// What other daemons heard of instances' heartbeats.
    pub fn note_heartbeats(&mut self, now: Instant, heartbeats: &[InstanceLiveness]) {
        for InstanceLiveness { id, heartbeat_count: count, age } in heartbeats {
            if let Some(record) = self.records.get_mut(id)
                && let Some(at) = now.checked_sub(*age)
            {
                record.heard = record.heard.max(at);
                record.count = record.count.max(*count);
            }
        }
    }

    /// Instances that called here within `span`, for telling other daemons, who hear the rest themselves.
    pub fn recent_heartbeats(&self, now: Instant, span: Duration) -> Vec<InstanceLiveness> {
        let told = |(id, record): (&String, &InstanceRecord)| {
            let age = now.duration_since(record.called?);
            (age < span).then(|| InstanceLiveness { id: id.clone(), heartbeat_count: record.count, age })
        };
        self.records.iter().filter_map(told).collect()
    }

    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.records.get(id).map(|b| &b.instance)
    }

    pub fn silence(&self, now: Instant, id: &str) -> Option<Duration> {
        self.records.get(id).map(|b| now.duration_since(b.heard))
    }

    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        let ids = self.members.get(service).into_iter().flatten();
        ids.filter_map(|id| self.get(id)).filter(|i| !i.gone)
    }

    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.members.keys()
    }

    /// Files an instance under its service, and no longer under another.
    fn file(&mut self, id: &str, service: &str) {
        if let Some(old) = self.records.get(id).map(|b| &b.instance.service).filter(|s| *s != service)
            && let Some(ids) = self.members.get_mut(old)
        {
            ids.remove(id);
        }
        match self.members.get_mut(service) {
            Some(ids) if ids.contains(id) => {}
            Some(ids) => drop(ids.insert(id.to_owned())),
            None => drop(self.members.insert(service.to_owned(), BTreeSet::from([id.to_owned()]))),
        }
    }

    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.records.values().map(|b| &b.instance)
    }

    /// Forgets those long gone; gives their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let old: Vec<String> = self
            .records
            .iter()
            .filter(|(_, b)| now.duration_since(b.heard) > FORGET)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &old {
            if let Some(ids) = self.records.remove(id).and_then(|b| self.members.get_mut(&b.instance.service)) {
                ids.remove(id);
            }
        }
        self.members.retain(|_, ids| !ids.is_empty());
        old
    }
}

pub fn key(id: &str) -> String {
    format!("i/{id}")
}

fn update(version: u64, instance: Instance) -> Update {
    Update { key: key(&instance.id), version, value: UpdateValue::Instance(instance) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn late_beats_change_nothing_and_a_new_count_is_known_after_silence() {
        let mut registry = InstanceRegistry::default();
        let t = Instant::now();
        let heartbeat = |count, status: &str| InstanceHeartbeat {
            service: "s".into(),
            address: "10.0.0.1:1".into(),
            zone: "z".into(),
            capacity: 5,
            status: status.into(),
            warmup_left_ms: 0,
            read_from: "replica".into(),
            call_count: count,
        };
        assert!(registry.record_heartbeat(t, "i", &heartbeat(4, "ready")).is_some());
        assert!(registry.record_heartbeat(t, "i", &heartbeat(6, "draining")).is_some());
        assert!(registry.record_heartbeat(t, "i", &heartbeat(5, "ready")).is_none());
        assert!(registry.get("i").is_some_and(|i| i.draining), "the late one is not believed");
        let later = t + ANEW + Duration::from_millis(1);
        let update = registry.record_heartbeat(later, "i", &heartbeat(1, "ready")).expect("counts anew");
        assert!(update.version > 6, "the new incarnation's versions are above the old one's");
        assert!(registry.mark_gone(later, "i").is_some_and(|f| f.version > update.version));
    }
}
