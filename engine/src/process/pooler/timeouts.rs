//! Times of the data plane: how long things are waited for, and how often they are repeated. Times that belong to one
//! statement are shares of its route's deadline or target.

use std::time::Duration;

// Waiting for an instance or connection.

/// Share of a statement's deadline for which it may wait without having been sent. Its client then still has time to
/// send it again elsewhere.
pub(super) const QUEUE_TIMEOUT_SHARE: f64 = 0.45;
/// Share of its target for which a statement waits for one of its tenant's connections before another is opened.
pub(super) const OPEN_CONNECTION_AFTER_SHARE: f64 = 0.35;
/// How soon it is checked again whether a connection may be opened.
pub(super) const OPEN_CONNECTION_RECHECK: Duration = Duration::from_millis(40);
/// A tenant that has connections to an instance takes over another tenant's only if that was idle for this long.
pub(super) const TAKEOVER_IDLE_TIME: Duration = Duration::from_millis(150);
/// A connection that is not greeted within this is given up.
pub(super) const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection that is not prepared for its session within this is given up.
pub(super) const SETUP_TIMEOUT: Duration = Duration::from_millis(400);
/// An answer that no session wants any more is awaited for this long before its connection is closed.
pub(super) const DETACHED_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a transaction may be idle where no configuration says.
pub(super) const DEFAULT_TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

// Hedging and retries.

/// A read, or a transaction's first statement, is tried elsewhere after this share of its target without an answer.
pub(super) const HEDGE_SHARE: f64 = 0.7;
/// A transaction's later statement is given up after this share of its target.
pub(super) const ABANDON_SHARE: f64 = 1.2;
/// Neither happens before this.
pub(super) const HEDGE_TIMEOUT_MIN: Duration = Duration::from_millis(90);
/// Neither happens before this many times the instance's smoothed latency, so that a slow but working instance is not
/// sent more work.
pub(super) const HEDGE_LATENCY_FACTOR: f64 = 6.0;
/// Pause after `BUSY`, for each such answer so far.
pub(super) const BUSY_BACKOFF: Duration = Duration::from_millis(12);
/// Pause after a connection was lost.
pub(super) const CONNECTION_LOSS_BACKOFF: Duration = Duration::from_millis(5);

// Health of instances.

/// An instance that refused a connection or did not answer is not used for this long.
pub(super) const EJECTION_TIME: Duration = Duration::from_millis(250);
/// An instance that refused a session for a reason other than `FULL` is not used for this many ejection times.
pub(super) const REFUSAL_EJECTION_FACTOR: u32 = 4;
/// An instance with outstanding requests that sends nothing for this long is failing.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
/// An instance's concurrency limit is not lowered more often than this.
pub(super) const CONCURRENCY_DECREASE_INTERVAL: Duration = Duration::from_millis(40);

// Leases and the leader.

/// How often leases are requested.
pub(super) const LEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// How soon they are requested when something is wrong.
pub(super) const URGENT_LEASE_REQUEST_DELAY: Duration = Duration::from_millis(80);
/// A service's lease is requested for this long after the service was last used here.
pub(super) const LEASE_DEMAND_TIME: Duration = Duration::from_secs(10);
/// A primary that last answered longer ago than this is not reported to the leader.
pub(super) const PRIMARY_OBSERVATION_MAX_AGE: Duration = Duration::from_secs(2);
/// Without an answer from the leader for this long, the other controllers are asked too.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// Round trips to the leader below this show that the link is not congested.
pub(super) const UNCONGESTED_ROUND_TRIP: Duration = Duration::from_millis(60);
/// Least time between requests for rights that are sent apart from lease requests.
pub(super) const RIGHTS_REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// After a recall, work under way on a primary that still answers gets this long.
pub(super) const RECALL_GRACE: Duration = Duration::from_millis(100);
/// Controllers' updates older than this make the daemon report itself as not ready.
pub(super) const READINESS_MAX_UPDATE_AGE: Duration = Duration::from_millis(4000);

// Freshness of reads.

/// Observations of a primary's position are kept at least this far apart.
pub(super) const POSITION_OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// They are kept for this long.
pub(super) const POSITION_OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Allowance for the time between a request's first byte and its being read here.
pub(super) const FRESHNESS_ALLOWANCE: Duration = Duration::from_millis(20);
/// A replica that is not known to hold a session's own commit is not tried while the commit is younger than this.
pub(super) const OWN_COMMIT_REPLICATION_TIME: Duration = Duration::from_millis(120);

// Draining and moving.

/// Share of `drain-ms` for which a draining primary is used while no other has taken over. The rest covers the time
/// that the update needs to get here and a request to get there.
pub(super) const DRAINING_PRIMARY_SHARE: f64 = 0.6;
/// A session that found no carrier stays here for this long before its client is sent to look for one again.
pub(super) const UNCARRIED_SESSION_TIME: Duration = Duration::from_secs(2);
/// Pause between steps in which sessions move to other poolers.
pub(super) const MOVE_INTERVAL: Duration = Duration::from_millis(200);
