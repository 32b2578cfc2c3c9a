//! Copies of facts: compared by digests over ranges of keys, mended from the newer.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One thing that daemons tell each other; the newer version stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    pub key: String,
    pub version: u64,
    pub value: Value,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The operator's configuration, as sent.
    Config(Vec<u8>),
    /// The same on its way: against the copy of that version, or whole.
    Packed {
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
    Drain {
        id: String,
    },
    /// A forager that counts for the shares, or that no longer does.
    Share {
        name: String,
        part: Option<super::carry::Part>,
    },
    Instance(Instance),
    /// The daemons that keep the log and vote.
    Queens(Vec<std::net::Ipv4Addr>),
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

/// FNV-1a: no defence against malice is needed between own processes, only equality across builds.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn range(key: &str) -> usize {
    (digest(key.as_bytes()) >> 32) as usize % RANGES
}

/// Steps from one version of the configuration to the next that are kept for those a little behind.
const STEPS: usize = 16;
/// A configuration is longer than this at no operator's.
const TEXT_MAX: usize = 8 << 20;
const LEVEL: i32 = 3;

#[derive(Debug, Default)]
pub struct Copies {
    facts: BTreeMap<String, Fact>,
    digests: Digests,
    /// The last steps by which the configuration came to be what it is, each against the one before.
    steps: VecDeque<Fact>,
    /// The configuration packed whole, once somebody has needed it.
    whole: Option<Fact>,
}

/// One figure over all digests.
pub fn total(digests: &Digests) -> u64 {
    digests.iter().fold(0, |sum, d| sum.rotate_left(7) ^ d)
}

fn sum(fact: &Fact) -> u64 {
    digest(fact.key.as_bytes()).rotate_left(17) ^ fact.version.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Copies {
    /// Takes a fact if it is newer than what is held; gives it as held, and as it is to be passed on. A
    /// step against a version that is not held is not taken: the next comparison brings what is missing.
    pub fn take(&mut self, fact: &Fact) -> Option<(Fact, Fact)> {
        let old = self.facts.get(&fact.key);
        if old.is_some_and(|held| held.version >= fact.version) {
            return None;
        }
        let held = match &fact.value {
            Value::Packed { base, bytes } => {
                let against = match (base, old) {
                    (None, _) => &[][..],
                    (Some(base), Some(Fact { version, value: Value::Config(text), .. })) if version == base => text,
                    _ => return None,
                };
                let length = zstd::zstd_safe::get_frame_content_size(bytes).ok()??.min(TEXT_MAX as u64) as usize;
                let text = zstd::bulk::Decompressor::with_dictionary(against).ok()?.decompress(bytes, length).ok()?;
                Fact { value: Value::Config(text), ..fact.clone() }
            }
            _ => fact.clone(),
        };
        let mut passed = fact.clone();
        if let Value::Config(text) = &held.value {
            if let (Value::Config(_), Some(Fact { version, value: Value::Config(old), .. })) = (&fact.value, old) {
                passed.value = pack(Some((*version, old)), text);
            } else if matches!(fact.value, Value::Config(_)) {
                passed.value = pack(None, text);
            }
            self.whole = None;
            if let Value::Packed { base: Some(_), .. } = passed.value {
                self.steps.push_back(passed.clone());
                if self.steps.len() > STEPS {
                    self.steps.pop_front();
                }
            } else {
                self.steps.clear();
            }
        }
        let at = range(&fact.key);
        self.digests[at] ^= old.map_or(0, sum) ^ sum(&held);
        self.facts.insert(fact.key.clone(), held.clone());
        Some((held, passed))
    }

    pub fn get(&self, key: &str) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub fn drop_key(&mut self, key: &str) {
        if let Some(fact) = self.facts.remove(key) {
            self.digests[range(key)] ^= sum(&fact);
        }
    }

    pub fn digests(&self) -> Digests {
        self.digests
    }

    pub fn sum(&self) -> u64 {
        total(&self.digests)
    }

    /// The ranges in which these copies differ from others.
    pub fn differing(&self, theirs: &Digests) -> Vec<u8> {
        (0..RANGES).filter(|r| self.digests[*r] != theirs[*r]).map(|r| r as u8).collect()
    }

    /// The versions held in these ranges.
    pub fn versions(&self, ranges: &[u8]) -> Vec<(String, u64)> {
        self.within(ranges).map(|f| (f.key.clone(), f.version)).collect()
    }

    /// What the other side lacks or holds older, given the versions it told.
    pub fn newer_than(&mut self, ranges: &[u8], theirs: &[(String, u64)]) -> Vec<Fact> {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|(k, v)| (k.as_str(), *v)).collect();
        let newer = |f: &&Fact| theirs.get(f.key.as_str()).is_none_or(|v| *v < f.version);
        let mut facts: Vec<Fact> = self.within(ranges).filter(newer).cloned().collect();
        if let Some(at) = facts.iter().position(|f| matches!(f.value, Value::Config(_))) {
            let config = facts.remove(at);
            let held = theirs.get(config.key.as_str()).copied();
            facts.extend(self.on_the_way(held, config));
        }
        facts
    }

    /// The configuration for one that holds this version of it: the steps since, or the whole.
    fn on_the_way(&mut self, held: Option<u64>, config: Fact) -> Vec<Fact> {
        let follows = |f: &Fact| matches!(f.value, Value::Packed { base, .. } if base == held);
        if held.is_some()
            && let Some(at) = self.steps.iter().position(follows)
        {
            return self.steps.iter().skip(at).cloned().collect();
        }
        let whole = self.whole.get_or_insert_with(|| match &config.value {
            Value::Config(text) => Fact { value: pack(None, text), ..config },
            _ => config,
        });
        vec![whole.clone()]
    }

    fn within<'a>(&'a self, ranges: &'a [u8]) -> impl Iterator<Item = &'a Fact> {
        self.facts.values().filter(|f| ranges.contains(&(range(&f.key) as u8)))
    }
}

/// Packs a text against an older one that the other side holds.
fn pack(base: Option<(u64, &Vec<u8>)>, text: &[u8]) -> Value {
    let against = base.map_or(&[][..], |(_, old)| old);
    let packed = zstd::bulk::Compressor::with_dictionary(LEVEL, against).and_then(|mut c| c.compress(text));
    match packed {
        Ok(bytes) => Value::Packed { base: base.map(|(version, _)| version), bytes },
        // Only without memory; what is not packed is told as it is.
        Err(_) => Value::Config(text.to_vec()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn copies_that_diverged_are_mended_from_the_newer_both_ways() {
        let fact = |key: &str, version| Fact { key: key.into(), version, value: Value::Drain { id: key.into() } };
        let (mut a, mut b) = (Copies::default(), Copies::default());
        for i in 0..40 {
            a.take(&fact(&format!("k{i}"), 1 + u64::from(i == 7)));
            if i != 3 {
                b.take(&fact(&format!("k{i}"), 1 + u64::from(i == 9)));
            }
        }
        assert!(a.take(&fact("k7", 1)).is_none(), "an older version is not taken");
        let ranges = a.differing(&b.digests());
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
        let fact = |version, text| Fact { key: "c/".into(), version, value: Value::Config(text) };
        let (mut queen, mut child, mut late) = (Copies::default(), Copies::default(), Copies::default());
        let (_, first) = queen.take(&fact(4, text(900, 1))).expect("new");
        assert!(child.take(&first).is_some() && late.take(&first).is_some());
        let mut steps = Vec::new();
        for (version, routes) in [(7, 900), (8, 1400), (11, 1399)] {
            let (_, passed) = queen.take(&fact(version, text(routes, version as u32))).expect("newer");
            steps.push(passed);
        }
        let Value::Packed { base: Some(4), bytes } = &steps[0].value else { panic!("{:?}", steps[0].value) };
        assert!(bytes.len() < 200, "{} bytes for one figure", bytes.len());
        assert!(steps.iter().all(|s| child.take(s).is_some_and(|(_, passed)| passed == *s)), "passed on as they came");
        assert_eq!(child.get("c/"), queen.get("c/"));
        assert!(late.take(&steps[2]).is_none(), "a step against what is not held");
        let ranges = late.differing(&queen.digests());
        let mended = queen.newer_than(&ranges, &late.versions(&ranges));
        assert_eq!(mended, steps, "only the steps");
        assert!(mended.iter().all(|f| late.take(f).is_some()));
        assert_eq!((late.get("c/"), late.digests()), (queen.get("c/"), queen.digests()));
        let mut fresh = Copies::default();
        let whole = queen.newer_than(&fresh.differing(&queen.digests()), &[]);
        assert!(whole.len() == 1 && fresh.take(&whole[0]).is_some());
        assert_eq!(fresh.get("c/"), queen.get("c/"));
    }
}
