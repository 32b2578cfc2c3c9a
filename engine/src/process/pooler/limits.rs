//! Limits of the data plane that are counts, sizes or factors. Those that are times stand in [`super::timeouts`].

/// Connections that may be held to an instance whose service no configuration names.
pub(super) const UNCONFIGURED_CONNECTION_SHARE: usize = 1;

/// Connections to one instance that may be opened at the same time: each takes one of the instance's slots for a
/// while.
pub(super) const CONNECTIONS_OPENING_MAX: usize = 2;

/// Bytes of statements that a session may queue.
pub(super) const SESSION_INPUT_MAX: usize = 2 << 20;

/// Instances on which one statement is tried by hedging.
pub(super) const HEDGES_MAX: usize = 3;

/// The pause after a refusal grows with the number of refusals, up to this many.
pub(super) const BACKOFF_STEPS_MAX: u32 = 8;

/// Requests to the leader whose answers are still accepted.
pub(super) const LEADER_REQUESTS_REMEMBERED: usize = 48;

/// Draining instances that are remembered: as many as the replicated state keeps.
pub(super) const DRAINING_INSTANCES_REMEMBERED: usize = crate::version::control_state::DRAINING_INSTANCES_KEPT;

/// Usage windows that are kept while the leader has not reported them.
pub(super) const USAGE_WINDOWS_KEPT: usize = 12;

/// Upper bound of an instance's adaptive concurrency limit; at the bound nothing is limited.
pub(super) const CONCURRENCY_LIMIT_MAX: f64 = 64.0;

/// An instance that answers `BUSY` is sent fewer statements at once, by this factor.
pub(super) const CONCURRENCY_DECREASE: f64 = 0.7;

/// Weight of a new sample in the smoothed latencies.
pub(super) const LATENCY_SMOOTHING: f64 = 0.1;

/// Smoothed latency of an instance before its first answer, in milliseconds.
pub(super) const INITIAL_LATENCY_MS: f64 = 10.0;

/// Time that opening a connection is taken to need before one was opened, in milliseconds.
pub(super) const INITIAL_OPEN_LATENCY_MS: f64 = 8.0;

/// What a replica in another zone costs in the choice of a replica, in milliseconds.
pub(super) const OTHER_ZONE_COST_MS: f64 = 4.0;

/// What a replica that is not known to hold the required position costs, in milliseconds.
pub(super) const REPLICATION_LAG_COST_MS: f64 = 3.0;
