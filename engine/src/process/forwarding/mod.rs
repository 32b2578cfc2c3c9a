//! Forwarding of client sessions between poolers.
//!
//! Where a service's connections are too few for every pooler to hold some, a few poolers (the carriers)
//! hold them all, and the others forward their clients' sessions to these. Every daemon computes the same
//! carriers from the pooler shares in the log. `docs/scale.md` has the trade-offs.

mod carrier_assignment;
mod control_line;
mod forwarded_session;
#[cfg(test)]
mod tests;

pub use carrier_assignment::{Carrier, CarrierAssignment, ConnectionHolding, PoolerShare, PoolerShares};
pub use control_line::{CLOSE_REQUEST_LINE, REVISION_KEYWORD, revision_line};
pub use forwarded_session::{CarrierOutput, ForwardedSession};
