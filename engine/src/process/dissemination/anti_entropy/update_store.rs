//! A daemon's copies of all updates.

use super::config_compression::{BaseConfig, ConfigHistory, compress, decompress};
use super::digests::{Digests, RANGES, combine_digests, contribution, range_of};
use super::update::{KeyVersion, Update, UpdateValue};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A daemon's copies of all updates, the newest version of each key. The digests always match the copies.
#[derive(Debug, Default)]
pub struct UpdateStore {
    updates: BTreeMap<String, Update>,
    digests: Digests,
    config_history: ConfigHistory,
}

/// An update that was newer than the copy held.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedUpdate {
    /// The update as it is stored, with the configuration decompressed.
    pub stored: Update,
    /// The update as it is passed on, with the configuration compressed.
    pub forwarded: Update,
}

impl UpdateStore {
    /// Stores an update if it is newer than the copy held. A configuration compressed against a version that
    /// is not held is not stored: the next comparison brings what is missing.
    pub fn apply(&mut self, update: &Update) -> Option<AppliedUpdate> {
        let previous = self.updates.get(&update.key);
        if previous.is_some_and(|held| held.version >= update.version) {
            return None;
        }
        let stored = decompressed(update, previous)?;
        let forwarded = compressed(update, previous);
        let previous_contribution = previous.map_or(0, contribution);
        if matches!(stored.value, UpdateValue::Config(_)) {
            self.config_history.push(&forwarded);
        }
        self.digests[range_of(&update.key)] ^= previous_contribution ^ contribution(&stored);
        self.updates.insert(update.key.clone(), stored.clone());
        Some(AppliedUpdate { stored, forwarded })
    }

    /// The copy of an update.
    pub fn get(&self, key: &str) -> Option<&Update> {
        self.updates.get(key)
    }

    /// Drops the copy of an update.
    pub fn remove(&mut self, key: &str) {
        if let Some(update) = self.updates.remove(key) {
            self.digests[range_of(key)] ^= contribution(&update);
        }
    }

    /// The digests of all ranges.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// One digest over all copies.
    pub fn digest_sum(&self) -> u64 {
        combine_digests(&self.digests)
    }

    /// The ranges in which these copies differ from those of another daemon.
    pub fn differing_ranges(&self, theirs: &Digests) -> Vec<u8> {
        (0..RANGES).filter(|range| self.digests[*range] != theirs[*range]).map(|range| range as u8).collect()
    }

    /// The versions held in these ranges.
    pub fn versions(&self, ranges: &[u8]) -> Vec<KeyVersion> {
        self.in_ranges(ranges).map(|update| KeyVersion { key: update.key.clone(), version: update.version }).collect()
    }

    /// What another daemon lacks or holds in an older version, given all that it holds in these ranges.
    pub fn newer_than(&mut self, ranges: &[u8], theirs: &[KeyVersion]) -> Vec<Update> {
        let theirs: BTreeMap<&str, u64> = theirs.iter().map(|held| (held.key.as_str(), held.version)).collect();
        let is_newer = |update: &&Update| theirs.get(update.key.as_str()).is_none_or(|held| *held < update.version);
        let mut updates: Vec<Update> = self.in_ranges(ranges).filter(is_newer).cloned().collect();
        if let Some(at) = updates.iter().position(|update| matches!(update.value, UpdateValue::Config(_))) {
            let config = updates.remove(at);
            let held = theirs.get(config.key.as_str()).copied();
            updates.extend(self.config_history.updates_since(held, config));
        }
        updates
    }

    fn in_ranges<'a>(&'a self, ranges: &'a [u8]) -> impl Iterator<Item = &'a Update> {
        self.updates.values().filter(|update| ranges.contains(&(range_of(&update.key) as u8)))
    }
}

/// An update as it is stored; `None` if it is compressed against a version that is not held, or malformed.
fn decompressed(update: &Update, previous: Option<&Update>) -> Option<Update> {
    let UpdateValue::Compressed { base, bytes } = &update.value else { return Some(update.clone()) };
    let dictionary = match base {
        None => &[][..],
        Some(version) => previous.and_then(BaseConfig::of).filter(|base| base.version == *version)?.text,
    };
    let text = decompress(dictionary, bytes)?;
    Some(Update { value: UpdateValue::Config(text), ..update.clone() })
}

/// An update as it is passed on: a configuration that came uncompressed is compressed, against the previous
/// version if there is one.
fn compressed(update: &Update, previous: Option<&Update>) -> Update {
    match &update.value {
        UpdateValue::Config(text) => {
            let value = compress(previous.and_then(BaseConfig::of), text);
            Update { value, ..update.clone() }
        }
        _ => update.clone(),
    }
}
