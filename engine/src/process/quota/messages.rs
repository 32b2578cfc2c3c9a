//! The parts of a tenant's counter that poolers and the leader send each other.

use super::bounded_counter::{BoundedCounter, HolderId};
use serde::{Deserialize, Serialize};

/// An entry of the matrix R as seen from one of its two holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RightsEntry {
    /// The other holder.
    pub holder: HolderId,
    /// Rights transferred so far, in all.
    pub total: u64,
}

impl From<(HolderId, u64)> for RightsEntry {
    fn from((holder, total): (HolderId, u64)) -> Self {
        RightsEntry { holder, total }
    }
}

/// From a pooler: its part of a tenant's counter (its column and row of R and its entry of U), and how many
/// rights it wants to hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RightsNeed {
    /// The tenant's name.
    pub tenant: String,
    pub(super) received: Vec<RightsEntry>,
    pub(super) sent: Vec<RightsEntry>,
    pub(super) consumed: u64,
    pub(super) target: u64,
}

impl RightsNeed {
    /// The pooler's part as a copy of the counter, to be merged.
    pub(super) fn to_counter(&self, incarnation: HolderId) -> BoundedCounter {
        let mut copy = BoundedCounter::default();
        self.received.iter().for_each(|entry| copy.raise_rights(entry.holder, incarnation, entry.total));
        self.sent.iter().for_each(|entry| copy.raise_rights(incarnation, entry.holder, entry.total));
        copy.raise_consumed(incarnation, self.consumed);
        copy
    }
}

/// From the leader: the rights that it has transferred to this pooler so far, and those that it counts as
/// consumed by it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RightsTransfer {
    /// The tenant's name.
    pub tenant: String,
    pub(super) transferred: u64,
    pub(super) consumed: u64,
}

impl RightsTransfer {
    /// The transfer as a copy of the counter, to be merged.
    pub(super) fn to_counter(&self, leader: HolderId, incarnation: HolderId) -> BoundedCounter {
        let mut copy = BoundedCounter::default();
        copy.raise_rights(leader, incarnation, self.transferred);
        copy.raise_consumed(incarnation, self.consumed);
        copy
    }
}
