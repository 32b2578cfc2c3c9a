//! Copies of facts: compared by digests over ranges of keys, mended from the newer.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
    Shares(super::carry::Parts),
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

#[derive(Debug, Default)]
pub struct Copies {
    facts: BTreeMap<String, Fact>,
}

impl Copies {
    /// Takes a fact if it is newer than what is held; says whether it was.
    pub fn take(&mut self, fact: &Fact) -> bool {
        let newer = self.facts.get(&fact.key).is_none_or(|held| held.version < fact.version);
        if newer {
            self.facts.insert(fact.key.clone(), fact.clone());
        }
        newer
    }

    pub fn get(&self, key: &str) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub fn drop_key(&mut self, key: &str) {
        self.facts.remove(key);
    }

    pub fn digests(&self) -> Digests {
        let mut digests = [0; RANGES];
        for fact in self.facts.values() {
            digests[range(&fact.key)] ^=
                digest(fact.key.as_bytes()).rotate_left(17) ^ fact.version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        digests
    }

    /// The ranges in which these copies differ from others.
    pub fn differing(&self, theirs: &Digests) -> Vec<u8> {
        let mine = self.digests();
        (0..RANGES).filter(|r| mine[*r] != theirs[*r]).map(|r| r as u8).collect()
    }

    /// The versions held in these ranges.
    pub fn versions(&self, ranges: &[u8]) -> Vec<(String, u64)> {
        self.within(ranges).map(|f| (f.key.clone(), f.version)).collect()
    }

    /// What the other side lacks or holds older, given the versions it told.
    pub fn newer_than(&self, ranges: &[u8], theirs: &[(String, u64)]) -> Vec<Fact> {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|(k, v)| (k.as_str(), *v)).collect();
        self.within(ranges).filter(|f| theirs.get(f.key.as_str()).is_none_or(|v| *v < f.version)).cloned().collect()
    }

    fn within<'a>(&'a self, ranges: &'a [u8]) -> impl Iterator<Item = &'a Fact> {
        self.facts.values().filter(|f| ranges.contains(&(range(&f.key) as u8)))
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
        assert!(!a.take(&fact("k7", 1)), "an older version is not taken");
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
}
