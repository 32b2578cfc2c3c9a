//! Which instances there are, as they tell it themselves.

use super::repair::{Fact, Instance, Value};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The body of a beat.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Beat {
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
struct Bee {
    instance: Instance,
    count: u64,
    /// Raised when an instance begins to count anew.
    life: u64,
    version: u64,
    heard: Instant,
    /// When it last called here itself.
    called: Option<Instant>,
}

/// A beat with a lower count than the last is late, unless the instance was silent this long:
/// then it has begun to count anew.
const ANEW: Duration = Duration::from_secs(3);
const LIFE_SHIFT: u32 = 40;
/// Instances that left are forgotten after this long.
const FORGET: Duration = Duration::from_secs(120);

#[derive(Debug, Default)]
pub struct Registry {
    bees: BTreeMap<String, Bee>,
    /// Ids by service.
    members: BTreeMap<String, BTreeSet<String>>,
}

impl Registry {
    /// Takes a beat; gives the fact to spread if anything others act on has changed.
    pub fn beat(&mut self, now: Instant, id: &str, beat: &Beat) -> Option<Fact> {
        let old = self.bees.get(id);
        let mut life = old.map_or(0, |b| b.life);
        if let Some(old) = old
            && beat.call_count <= old.count
        {
            if now.duration_since(old.heard) < ANEW {
                return None;
            }
            life += 1;
        }
        let instance = Instance {
            id: id.to_owned(),
            service: beat.service.clone(),
            address: beat.address.clone(),
            zone: beat.zone.clone(),
            capacity: beat.capacity,
            draining: beat.status == "draining",
            gone: false,
            primary: beat.read_from == "primary",
            warmup_left_ms: beat.warmup_left_ms,
        };
        let changed = old.is_none_or(|o| {
            Instance { warmup_left_ms: 0, ..o.instance.clone() } != Instance { warmup_left_ms: 0, ..instance.clone() }
        });
        let version = if changed { (life << LIFE_SHIFT) + beat.call_count } else { old.map_or(0, |o| o.version) };
        let fact = changed.then(|| fact(version, instance.clone()));
        self.file(id, &beat.service);
        self.bees.insert(
            id.to_owned(),
            Bee { instance, count: beat.call_count, life, version, heard: now, called: Some(now) },
        );
        fact
    }

    /// The instance says that it is gone.
    pub fn leave(&mut self, now: Instant, id: &str) -> Option<Fact> {
        let bee = self.bees.get_mut(id)?;
        bee.count += 1;
        bee.version = (bee.life << LIFE_SHIFT) + bee.count;
        bee.instance.gone = true;
        bee.instance.draining = true;
        bee.heard = now;
        Some(fact(bee.version, bee.instance.clone()))
    }

    /// A fact from another daemon, already known to be newer than what was held.
    pub fn learn(&mut self, now: Instant, version: u64, instance: &Instance) {
        let (life, count) = (version >> LIFE_SHIFT, version & ((1 << LIFE_SHIFT) - 1));
        if self.bees.get(&instance.id).is_none_or(|b| version > b.version) {
            self.file(&instance.id, &instance.service);
        }
        let bee = self.bees.entry(instance.id.clone()).or_insert_with(|| Bee {
            instance: instance.clone(),
            count,
            life,
            version,
            heard: now,
            called: None,
        });
        if version > bee.version {
            bee.instance = instance.clone();
            bee.version = version;
            bee.life = life;
            bee.count = bee.count.max(count);
            bee.heard = bee.heard.max(now);
        }
    }

    /// What other daemons heard of instances' beats.
    pub fn heard(&mut self, now: Instant, beats: &[(String, u64, Duration)]) {
        for (id, count, age) in beats {
            if let Some(bee) = self.bees.get_mut(id)
                && let Some(at) = now.checked_sub(*age)
            {
                bee.heard = bee.heard.max(at);
                bee.count = bee.count.max(*count);
            }
        }
    }

    /// Instances that called here within `span`, for telling other daemons, who hear the rest themselves.
    pub fn recent(&self, now: Instant, span: Duration) -> Vec<(String, u64, Duration)> {
        let told = |(id, bee): (&String, &Bee)| {
            let age = now.duration_since(bee.called?);
            (age < span).then(|| (id.clone(), bee.count, age))
        };
        self.bees.iter().filter_map(told).collect()
    }

    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.bees.get(id).map(|b| &b.instance)
    }

    pub fn silence(&self, now: Instant, id: &str) -> Option<Duration> {
        self.bees.get(id).map(|b| now.duration_since(b.heard))
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
        if let Some(old) = self.bees.get(id).map(|b| &b.instance.service).filter(|s| *s != service)
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
        self.bees.values().map(|b| &b.instance)
    }

    /// Forgets those long gone; gives their ids.
    pub fn forget(&mut self, now: Instant) -> Vec<String> {
        let old: Vec<String> =
            self.bees.iter().filter(|(_, b)| now.duration_since(b.heard) > FORGET).map(|(id, _)| id.clone()).collect();
        for id in &old {
            if let Some(ids) = self.bees.remove(id).and_then(|b| self.members.get_mut(&b.instance.service)) {
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

fn fact(version: u64, instance: Instance) -> Fact {
    Fact { key: key(&instance.id), version, value: Value::Instance(instance) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn late_beats_change_nothing_and_a_new_count_is_known_after_silence() {
        let mut registry = Registry::default();
        let t = Instant::now();
        let beat = |count, status: &str| Beat {
            service: "s".into(),
            address: "10.0.0.1:1".into(),
            zone: "z".into(),
            capacity: 5,
            status: status.into(),
            warmup_left_ms: 0,
            read_from: "replica".into(),
            call_count: count,
        };
        assert!(registry.beat(t, "i", &beat(4, "ready")).is_some());
        assert!(registry.beat(t, "i", &beat(6, "draining")).is_some());
        assert!(registry.beat(t, "i", &beat(5, "ready")).is_none());
        assert!(registry.get("i").is_some_and(|i| i.draining), "the late one is not believed");
        let later = t + ANEW + Duration::from_millis(1);
        let fact = registry.beat(later, "i", &beat(1, "ready")).expect("counts anew");
        assert!(fact.version > 6, "the new life's versions are above the old one's");
        assert!(registry.leave(later, "i").is_some_and(|f| f.version > fact.version));
    }
}
