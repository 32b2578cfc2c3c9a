//! Tenant quotas over the whole fleet: one bounded counter CRDT for each tenant that has a limit.
//!
//! The counter is the one of Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing
//! Numeric Invariants" (the bounded counter): a daemon that admits an operation consumes a right that it
//! holds. Rights are created by the leader as time passes, move by transfers that debit the sender first,
//! and copies merge by the maximum of entries that only grow. `docs/bounded-counter.md` lists what was kept
//! of the source and what was changed.

mod bounded_counter;
mod coordinator;
mod messages;
mod rights_holder;
#[cfg(test)]
mod tests;

pub use bounded_counter::{BoundedCounter, HolderId};
pub use coordinator::{QuotaCoordinator, QuotaCoordinatorOptions, QuotaExcess, RightsReport};
pub use messages::{RightsEntry, RightsNeed, RightsTransfer};
pub use rights_holder::{RightsHolder, SpendOutcome};

use std::time::Duration;

/// After a grant that left a tenant without rights, a pooler does not request more for that tenant for this
/// long. The coordinator looks for expired holders no more often than that.
const EXHAUSTED_BACKOFF: Duration = Duration::from_millis(100);
