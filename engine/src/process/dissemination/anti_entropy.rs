//! UpdateStore of updates: compared by digests over ranges of keys, mended from the newer.

use crate::digest::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One thing that daemons tell each other; the newer version stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub key: String,
    pub version: u64,
    pub value: UpdateValue,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpdateValue {
    /// The operator's configuration, as sent.
    Config(Vec<u8>),
    /// The same on its way: against the copy of that version, or whole.
    Compressed {
        base: Option<u64>,
        bytes: Vec<u8>,
    },
    Epoch {
        service: String,
        epoch: u64,
        primary: String,
        term: u64,
        closed: bool,
    },
    DrainInstance {
        id: String,
    },
    /// A pooler that counts for the shares, or that no longer does.
    PoolerShare {
        name: String,
        part: Option<super::super::forwarding::PoolerShare>,
    },
    Instance(Instance),
    /// The daemons that keep the log and vote.
    Voters(Vec<std::net::Ipv4Addr>),
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub gone: bool,
    pub primary: bool,
    pub warmup_left_ms: u64,
}

/// Ranges that keys fall into, by their hash.
pub const RANGES: usize = 8;

pub type Digests = [u64; RANGES];

fn range(key: &str) -> usize {
    (digest(key.as_bytes()) >> 32) as usize % RANGES
}

/// Steps from one version of the configuration to the next that are kept for those a little behind.
const STEPS: usize = 16;
/// A configuration is longer than this at no operator's.
const TEXT_MAX: usize = 8 << 20;
const LEVEL: i32 = 3;

#[derive(Debug, Default)]
pub struct UpdateStore {
    updates: BTreeMap<String, Update>,
    digests: Digests,
    /// The last steps by which the configuration came to be what it is, each against the one before.
    steps: VecDeque<Update>,
    /// The configuration packed whole, once somebody has needed it.
    whole: Option<Update>,
}

/// One figure over all digests.
pub fn combine_digests(digests: &Digests) -> u64 {
    digests.iter().fold(0, |sum, d| sum.rotate_left(7) ^ d)
}

fn sum(update: &Update) -> u64 {
    digest(update.key.as_bytes()).rotate_left(17) ^ update.version.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl UpdateStore {
    /// Takes a update if it is newer than what is held; gives it as held, and as it is to be passed on. A
    /// step against a version that is not held is not taken: the next comparison brings what is missing.
    pub fn take(&mut self, update: &Update) -> Option<(Update, Update)> {
        let old = self.updates.get(&update.key);
        if old.is_some_and(|held| held.version >= update.version) {
            return None;
        }
        let held = match &update.value {
            UpdateValue::Compressed { base, bytes } => {
                let against = match (base, old) {
                    (None, _) => &[][..],
                    (Some(base), Some(Update { version, value: UpdateValue::Config(text), .. })) if version == base => {
                        text
                    }
                    _ => return None,
                };
                let length = zstd::zstd_safe::get_frame_content_size(bytes).ok()??.min(TEXT_MAX as u64) as usize;
                let text = zstd::bulk::Decompressor::with_dictionary(against).ok()?.decompress(bytes, length).ok()?;
                Update { value: UpdateValue::Config(text), ..update.clone() }
            }
            _ => update.clone(),
        };
        let mut passed = update.clone();
        if let UpdateValue::Config(text) = &held.value {
            if let (UpdateValue::Config(_), Some(Update { version, value: UpdateValue::Config(old), .. })) =
                (&update.value, old)
            {
                passed.value = pack(Some((*version, old)), text);
            } else if matches!(update.value, UpdateValue::Config(_)) {
                passed.value = pack(None, text);
            }
            self.whole = None;
            if let UpdateValue::Compressed { base: Some(_), .. } = passed.value {
                self.steps.push_back(passed.clone());
                if self.steps.len() > STEPS {
                    self.steps.pop_front();
                }
            } else {
                self.steps.clear();
            }
        }
        let at = range(&update.key);
        self.digests[at] ^= old.map_or(0, sum) ^ sum(&held);
        self.updates.insert(update.key.clone(), held.clone());
        Some((held, passed))
    }

    pub fn get(&self, key: &str) -> Option<&Update> {
        self.updates.get(key)
    }

    pub fn remove(&mut self, key: &str) {
        if let Some(update) = self.updates.remove(key) {
            self.digests[range(key)] ^= sum(&update);
        }
    }

    pub fn digests(&self) -> Digests {
        self.digests
    }

    pub fn digest_sum(&self) -> u64 {
        combine_digests(&self.digests)
    }

    /// The ranges in which these copies differ from others.
    pub fn differing_ranges(&self, theirs: &Digests) -> Vec<u8> {
        (0..RANGES).filter(|r| self.digests[*r] != theirs[*r]).map(|r| r as u8).collect()
    }

    /// The versions held in these ranges.
    pub fn versions(&self, ranges: &[u8]) -> Vec<(String, u64)> {
        self.within(ranges).map(|f| (f.key.clone(), f.version)).collect()
    }

    /// What the other side lacks or holds older, given the versions it told.
    pub fn newer_than(&mut self, ranges: &[u8], theirs: &[(String, u64)]) -> Vec<Update> {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|(k, v)| (k.as_str(), *v)).collect();
        let newer = |f: &&Update| theirs.get(f.key.as_str()).is_none_or(|v| *v < f.version);
        let mut updates: Vec<Update> = self.within(ranges).filter(newer).cloned().collect();
        if let Some(at) = updates.iter().position(|f| matches!(f.value, UpdateValue::Config(_))) {
            let config = updates.remove(at);
            let held = theirs.get(config.key.as_str()).copied();
            updates.extend(self.on_the_way(held, config));
        }
        updates
    }

    /// The configuration for one that holds this version of it: the steps since, or the whole.
    fn on_the_way(&mut self, held: Option<u64>, config: Update) -> Vec<Update> {
        let follows = |f: &Update| matches!(f.value, UpdateValue::Compressed { base, .. } if base == held);
        if held.is_some()
            && let Some(at) = self.steps.iter().position(follows)
        {
            return self.steps.iter().skip(at).cloned().collect();
        }
        let whole = self.whole.get_or_insert_with(|| match &config.value {
            UpdateValue::Config(text) => Update { value: pack(None, text), ..config },
            _ => config,
        });
        vec![whole.clone()]
    }

    fn within<'a>(&'a self, ranges: &'a [u8]) -> impl Iterator<Item = &'a Update> {
        self.updates.values().filter(|f| ranges.contains(&(range(&f.key) as u8)))
    }
}

/// Packs a text against an older one that the other side holds.
fn pack(base: Option<(u64, &Vec<u8>)>, text: &[u8]) -> UpdateValue {
    let against = base.map_or(&[][..], |(_, old)| old);
    let packed = zstd::bulk::Compressor::with_dictionary(LEVEL, against).and_then(|mut c| c.compress(text));
    match packed {
        Ok(bytes) => UpdateValue::Compressed { base: base.map(|(version, _)| version), bytes },
        // Only without memory; what is not packed is told as it is.
        Err(_) => UpdateValue::Config(text.to_vec()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn copies_that_diverged_are_mended_from_the_newer_both_ways() {
        let update = |key: &str, version| Update {
            key: key.into(),
            version,
            value: UpdateValue::DrainInstance { id: key.into() },
        };
        let (mut a, mut b) = (UpdateStore::default(), UpdateStore::default());
        for i in 0..40 {
            a.take(&update(&format!("k{i}"), 1 + u64::from(i == 7)));
            if i != 3 {
                b.take(&update(&format!("k{i}"), 1 + u64::from(i == 9)));
            }
        }
        assert!(a.take(&update("k7", 1)).is_none(), "an older version is not taken");
        let ranges = a.differing_ranges(&b.digests());
        assert!(!ranges.is_empty() && ranges.len() <= 3, "only the ranges that differ: {ranges:?}");
        for f in a.newer_than(&ranges, &b.versions(&ranges)) {
            b.take(&f);
        }
        for f in b.newer_than(&ranges, &a.versions(&ranges)) {
            a.take(&f);
        }
        assert_eq!(a.digests(), b.digests());
    }
    #[test]
    fn a_changed_configuration_costs_what_changed_and_gaps_are_mended() {
        let text = |routes: u32, odd: u32| -> Vec<u8> {
            let route = |n: u32| format!("{{\"name\":\"r-{:x}\",\"n\":{n}}},", n.wrapping_mul(2_654_435_761));
            format!("{}{odd}", (0..routes).map(route).collect::<String>()).into_bytes()
        };
        let update = |version, text| Update { key: "c/".into(), version, value: UpdateValue::Config(text) };
        let (mut controller, mut child, mut late) =
            (UpdateStore::default(), UpdateStore::default(), UpdateStore::default());
        let (_, first) = controller.take(&update(4, text(900, 1))).expect("new");
        assert!(child.take(&first).is_some() && late.take(&first).is_some());
        let mut steps = Vec::new();
        for (version, routes) in [(7, 900), (8, 1400), (11, 1399)] {
            let (_, passed) = controller.take(&update(version, text(routes, version as u32))).expect("newer");
            steps.push(passed);
        }
        let UpdateValue::Compressed { base: Some(4), bytes } = &steps[0].value else { panic!("{:?}", steps[0].value) };
        assert!(bytes.len() < 200, "{} bytes for one figure", bytes.len());
        assert!(steps.iter().all(|s| child.take(s).is_some_and(|(_, passed)| passed == *s)), "passed on as they came");
        assert_eq!(child.get("c/"), controller.get("c/"));
        assert!(late.take(&steps[2]).is_none(), "a step against what is not held");
        let ranges = late.differing_ranges(&controller.digests());
        let mended = controller.newer_than(&ranges, &late.versions(&ranges));
        assert_eq!(mended, steps, "only the steps");
        assert!(mended.iter().all(|f| late.take(f).is_some()));
        assert_eq!((late.get("c/"), late.digests()), (controller.get("c/"), controller.digests()));
        let mut fresh = UpdateStore::default();
        let whole = controller.newer_than(&fresh.differing_ranges(&controller.digests()), &[]);
        assert!(whole.len() == 1 && fresh.take(&whole[0]).is_some());
        assert_eq!(fresh.get("c/"), controller.get("c/"));
    }
}
