//! How a configuration change that arrives again is recognised.
//!
//! An operator that got no answer sends the same change again, possibly long after others were accepted. It must be
//! acknowledged if it was accepted and never be accepted a second time. At most one change is accepted on each
//! revision, so that revision and a hash of the document identify it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Accepted changes that a repeat is recognised by, at some 40 bytes each: far more than are made while a repeat of
/// one of them may still arrive.
pub const ACCEPTED_CHANGES_KEPT: usize = 4096;

/// Hash of a document byte by byte; a cryptographic one, so that nobody can craft a second document with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint([u8; blake3::OUT_LEN]);

impl Fingerprint {
    /// The fingerprint of a document as it was sent.
    pub fn of(raw: &[u8]) -> Self {
        Fingerprint(*blake3::hash(raw).as_bytes())
    }
}

/// What is known of a change that was built on a given revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownChange {
    /// This very document was accepted on that revision.
    Same,
    /// Another document was accepted on that revision.
    Other,
    /// None was accepted on that revision.
    None,
    /// Changes on so old a revision are not known any more.
    Forgotten,
}

/// The accepted changes, by the revision that each was built on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChanges {
    by_base: BTreeMap<u64, Fingerprint>,
    /// Changes built on revisions below this are not known any more.
    oldest_known_base: u64,
}

impl AcceptedChanges {
    /// What is known of a change with this fingerprint that was built on `base`.
    pub fn lookup(&self, base: u64, fingerprint: Fingerprint) -> KnownChange {
        match self.by_base.get(&base) {
            Some(accepted) if *accepted == fingerprint => KnownChange::Same,
            Some(_) => KnownChange::Other,
            None if base < self.oldest_known_base => KnownChange::Forgotten,
            None => KnownChange::None,
        }
    }

    /// Records an accepted change and forgets the oldest one above the limit.
    pub fn record(&mut self, base: u64, fingerprint: Fingerprint) {
        self.by_base.insert(base, fingerprint);
        if self.by_base.len() > ACCEPTED_CHANGES_KEPT
            && let Some((oldest, _)) = self.by_base.pop_first()
        {
            self.oldest_known_base = oldest + 1;
        }
    }
}
