//! The rules that the judge checks, and how each can be broken.

use lichenfield_engine::connection::client_session::Position;
use std::collections::BTreeMap;
use std::time::Duration;

/// A broken rule, with the facts that show it.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Election safety (Raft, section 5.2).
    #[error("two leaders in term {term}")]
    TwoLeaders {
        /// The term.
        term: u64,
    },
    /// State machine safety (Raft, section 5.4.3).
    #[error("index {index} applied with two entries")]
    ConflictingEntries {
        /// Index in the log.
        index: u64,
    },
    /// A call with a fencing token below one already seen.
    #[error("{duty}: fence {fence} after {last}")]
    FenceWentBack {
        /// Name of the duty.
        duty: String,
        /// Fencing token of the call.
        fence: u64,
        /// Highest token seen before.
        last: u64,
    },
    /// Two nodes used one fencing token.
    #[error("{duty}: fence {fence} from two holders")]
    FenceShared {
        /// Name of the duty.
        duty: String,
        /// Fencing token of the call.
        fence: u64,
    },
    /// A duty went back to an earlier holder within a lease.
    #[error("{duty}: holders act in the order {order:?}")]
    InterleavedHolders {
        /// Name of the duty.
        duty: String,
        /// Nodes in the order of their calls within a lease.
        order: Vec<usize>,
    },
    /// A usage window reported again with other counts.
    #[error("window {window} reported with two counts")]
    ConflictingUsage {
        /// Number of the window.
        window: u64,
    },
    /// A daemon started with a configuration older than one acknowledged before its start.
    #[error("CONFIG: n{node} starts with revision {revision}, {in_force} was in force")]
    ConfigStartedBehind {
        /// Index of the daemon.
        node: usize,
        /// The revision that the daemon uses.
        revision: u64,
        /// The revision that was acknowledged before.
        in_force: u64,
    },
    /// A daemon's configuration went back to an earlier revision.
    #[error("CONFIG: n{node} goes back to an earlier revision")]
    ConfigWentBack {
        /// Index of the daemon.
        node: usize,
    },
    /// A daemon had not converged on the newest acknowledged revision at the end.
    #[error("CONFIG: n{node} ends at revision {revision}, {acknowledged} was acknowledged")]
    ConfigEndedBehind {
        /// Index of the daemon.
        node: usize,
        /// The revision that the daemon uses.
        revision: u64,
        /// The newest acknowledged revision.
        acknowledged: u64,
    },
    /// Two changes conditional on the same revision both succeeded.
    #[error("CONFIG: both of two racing changes were acknowledged")]
    BothRacingChangesAcknowledged,
    /// A statement reached an instance after its drain time had passed.
    #[error("DRAIN: n{node} sends {text:?} to {instance}")]
    SentToDrainedInstance {
        /// Index of the daemon.
        node: usize,
        /// What was sent.
        text: String,
        /// Id of the instance.
        instance: String,
    },
    /// A tenant exceeded its rate limit within a span.
    #[error("QUOTA: tenant {tenant} had {seen} of {allowed} in a span")]
    QuotaExceeded {
        /// Number of the tenant.
        tenant: usize,
        /// Attempts in a span.
        seen: usize,
        /// Attempts that the limit allows in a span.
        allowed: f64,
    },
    /// A session was closed without an answer while nothing had failed.
    #[error("LOST: c{client} got no answer, its attempt began at {:.3} s", .began_at.as_secs_f64())]
    RequestLost {
        /// Number of the client.
        client: usize,
        /// When the attempt began.
        began_at: Duration,
    },
    /// A client received an answer without an outstanding statement.
    #[error("MIXED: an answer without a statement: {reply:?}")]
    UnexpectedAnswer {
        /// What was received.
        reply: String,
    },
    /// A read missed a commit that the route's consistency promises.
    #[error("STALE: {statement} on {route} saw {seen}, must see {required}")]
    StaleRead {
        /// Id of the statement.
        statement: String,
        /// Name of the route.
        route: &'static str,
        /// Position that the read saw.
        seen: Position,
        /// Position that the read should have seen.
        required: Position,
    },
    /// A statement ran with other session values than the client had set.
    #[error("PINNED: {statement} ran with values {found:?}, not {expected:?}")]
    WrongSessionValues {
        /// Id of the statement.
        statement: String,
        /// What the instance had.
        found: BTreeMap<String, String>,
        /// What the client had set.
        expected: BTreeMap<String, String>,
    },
    /// A prepared name stood for another shape than the client had prepared.
    #[error("PINNED: {statement} ran shape {found:?}, not {expected:?}")]
    WrongShape {
        /// Id of the statement.
        statement: String,
        /// What the instance had.
        found: Option<String>,
        /// What the client had set.
        expected: Option<String>,
    },
    /// Statements of an acknowledged transaction did not run in the one that was committed.
    #[error("PINNED: {commit} committed a transaction without {missing:?}")]
    TransactionSplit {
        /// Id of the `COMMIT`.
        commit: String,
        /// Ids of the statements that did not run in it.
        missing: Vec<String>,
    },
    /// A statement that no client had sent.
    #[error("UNASKED: {statement} was sent by no client")]
    UnknownStatement {
        /// Id of the statement.
        statement: String,
    },
    /// A write was committed more than once.
    #[error("write {statement} was committed {times} times")]
    WriteRepeated {
        /// Id of the statement.
        statement: String,
        /// How often it was committed.
        times: usize,
    },
    /// A deposed primary's write was acknowledged.
    #[error("ONE: write {statement} of term {term} was acknowledged after a promotion")]
    LateWriteAcknowledged {
        /// Id of the statement.
        statement: String,
        /// The term.
        term: u64,
    },
    /// An acknowledged write is in no log.
    #[error("acknowledged write {statement} was never committed")]
    AcknowledgedWriteMissing {
        /// Id of the statement.
        statement: String,
    },
    /// A write was committed although its client was told that it was not executed.
    #[error("write {statement} is committed, and its client was told that it was not executed")]
    RejectedWriteCommitted {
        /// Id of the statement.
        statement: String,
    },
}

impl Violation {
    /// Name of the rule that was broken, as in the documentation of the rules.
    pub fn rule(&self) -> &'static str {
        match self {
            Violation::TwoLeaders { .. } => "election safety",
            Violation::ConflictingEntries { .. } => "state machine safety",
            Violation::FenceWentBack { .. } | Violation::FenceShared { .. } | Violation::InterleavedHolders { .. } => {
                "fencing"
            }
            Violation::ConflictingUsage { .. } => "usage reports",
            Violation::ConfigStartedBehind { .. }
            | Violation::ConfigWentBack { .. }
            | Violation::ConfigEndedBehind { .. }
            | Violation::BothRacingChangesAcknowledged => "CONFIG",
            Violation::SentToDrainedInstance { .. } => "DRAIN",
            Violation::QuotaExceeded { .. } => "QUOTA",
            Violation::RequestLost { .. } => "LOST",
            Violation::UnexpectedAnswer { .. } => "MIXED",
            Violation::StaleRead { .. } => "STALE",
            Violation::WrongSessionValues { .. }
            | Violation::WrongShape { .. }
            | Violation::TransactionSplit { .. } => "PINNED",
            Violation::UnknownStatement { .. } => "UNASKED",
            Violation::LateWriteAcknowledged { .. } => "ONE",
            Violation::WriteRepeated { .. }
            | Violation::AcknowledgedWriteMissing { .. }
            | Violation::RejectedWriteCommitted { .. } => "writes",
        }
    }
}

/// A violation, with the time at which it was found.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{:.3} s: {violation}", .at.as_secs_f64())]
pub struct Finding {
    /// Since the world's beginning.
    pub at: Duration,
    /// What was broken.
    pub violation: Violation,
}
