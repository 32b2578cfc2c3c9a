//! Digests over ranges of keys, by which two daemons find where their copies differ.

use super::update::Update;
use crate::digest::digest;

/// The number of ranges that keys are divided into, by their hash.
pub const RANGES: usize = 8;

/// One digest for each range. It does not depend on the order in which updates came.
pub type Digests = [u64; RANGES];

/// Spreads versions over all bits of a digest; the golden ratio, as a fraction of 2^64.
const VERSION_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The range that a key falls into.
pub(super) fn range_of(key: &str) -> usize {
    (digest(key.as_bytes()) >> 32) as usize % RANGES
}

/// What an update contributes to its range's digest, by exclusive or.
pub(super) fn contribution(update: &Update) -> u64 {
    digest(update.key.as_bytes()).rotate_left(17) ^ update.version.wrapping_mul(VERSION_MULTIPLIER)
}

/// One digest over all ranges.
pub fn combine_digests(digests: &Digests) -> u64 {
    digests.iter().fold(0, |sum, digest| sum.rotate_left(7) ^ digest)
}
