//! Invariants that must hold whatever fails. The world reports what happens; the judge records each violation.

mod quota;
#[cfg(test)]
mod tests;
mod transactions;
mod violation;
mod writes;

pub use violation::{Finding, Violation};

use lichenfield_engine::connection::client_session::Position;
use lichenfield_engine::process::consensus::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Findings beyond this number are not recorded: the first ones matter.
const MAX_FINDINGS: usize = 20;

/// How an attempt at an operation ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The client was assured that nothing was executed.
    NotExecuted,
    /// The client cannot know.
    Unknown,
}

/// A commit of one or more writes at an instance.
#[derive(Debug, Clone)]
pub struct Commit {
    /// Its position in the instance's log.
    pub position: Position,
    /// Made by a deposed primary, after another had taken over.
    pub is_late: bool,
    /// The writes' statement ids.
    pub statements: Vec<String>,
    /// Removed from the log at a promotion.
    pub truncated: bool,
}

/// A position acknowledged to a client.
#[derive(Debug, Clone, Copy)]
pub struct Acknowledgement {
    /// When the client received it.
    pub at: Duration,
    /// The session that wrote.
    pub session_id: u64,
    /// The position of the commit.
    pub position: Position,
}

/// The state of its session that a statement must find.
#[derive(Debug, Clone)]
pub struct ExpectedState {
    /// Session values, by name.
    pub values: BTreeMap<String, String>,
    /// What the prepared name stands for, if the statement runs one.
    pub shape: Option<String>,
}

/// A rate limit that an operator has set.
#[derive(Debug, Clone, Copy)]
pub struct AcknowledgedLimit {
    /// When the change was acknowledged.
    pub at: Duration,
    /// Operations a second, for each tenant.
    pub per_second: u32,
}

/// A transaction at an instance.
pub type TransactionNumber = u64;

/// A call made for a duty, such as failover.
#[derive(Debug, Clone, Copy)]
pub struct DutyCall<'a> {
    /// Name of the duty.
    pub duty: &'a str,
    /// Fencing token of the call.
    pub fence: u64,
    /// Index of the node that calls.
    pub node: usize,
    /// How long a holder's lease of the duty lasts.
    pub lease: Duration,
}

#[derive(Debug, Clone, Copy)]
struct FenceUse {
    fence: u64,
    node: usize,
}

#[derive(Debug, Clone, Copy)]
struct HolderCall {
    at: Duration,
    node: usize,
}

/// Collects what happens in a world and the rules that were broken.
#[derive(Debug, Default)]
pub struct Judge {
    /// The first violations found, in order.
    pub findings: Vec<Finding>,
    /// All commits of writes.
    pub commits: Vec<Commit>,
    /// Outcome of each write, by statement id.
    pub outcomes: BTreeMap<String, AttemptOutcome>,
    /// Positions that readers may rely on.
    pub acknowledgements: Vec<Acknowledgement>,
    /// What each statement must find, by statement id.
    pub expected: HashMap<String, ExpectedState>,
    /// Promotions that took effect.
    pub promotions: usize,
    /// Operations begun by clients.
    pub operations: usize,
    /// Operations that succeeded.
    pub succeeded: usize,
    /// Transactions that instances have begun.
    transactions: TransactionNumber,
    /// The transactions in which each statement ran, by statement id.
    runs: HashMap<String, Vec<TransactionNumber>>,
    leaders: BTreeMap<u64, usize>,
    applied: BTreeMap<u64, Entry>,
    last_fences: BTreeMap<String, FenceUse>,
    holder_calls: BTreeMap<String, Vec<HolderCall>>,
    usage_reports: BTreeMap<u64, String>,
    /// Statements that have reached an instance.
    arrived_statements: HashSet<String>,
    /// Attempts that have reached an instance, and when, by tenant.
    attempts: HashSet<String>,
    arrivals: BTreeMap<usize, Vec<Duration>>,
}

impl Judge {
    /// Records a violation.
    pub fn report(&mut self, at: Duration, violation: Violation) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(Finding { at, violation });
        }
    }

    /// Election safety: at most one leader in a term.
    pub fn record_leader(&mut self, now: Duration, term: u64, node: usize) {
        if self.leaders.insert(term, node).is_some_and(|other| other != node) {
            self.report(now, Violation::TwoLeaders { term });
        }
    }

    /// State machine safety: no two daemons apply different entries at one index. Log matching and leader
    /// completeness show in it: what was applied once stays.
    pub fn record_applied(&mut self, now: Duration, index: u64, entry: &Entry) {
        match self.applied.get(&index) {
            Some(known) if known != entry => self.report(now, Violation::ConflictingEntries { index }),
            Some(_) => {}
            None => {
                self.applied.insert(index, entry.clone());
            }
        }
    }

    /// Fencing: a duty's tokens never go back, and its holders do not alternate within a lease.
    pub fn record_duty_call(&mut self, now: Duration, call: DutyCall) {
        let DutyCall { duty, fence, node, lease } = call;
        let duty = duty.to_owned();
        if let Some(last) = self.last_fences.get(&duty).copied() {
            if fence < last.fence {
                self.report(now, Violation::FenceWentBack { duty: duty.clone(), fence, last: last.fence });
            }
            if fence == last.fence && last.node != node {
                self.report(now, Violation::FenceShared { duty: duty.clone(), fence });
            }
        }
        self.last_fences.insert(duty.clone(), FenceUse { fence, node });
        let calls = self.holder_calls.entry(duty.clone()).or_default();
        calls.push(HolderCall { at: now, node });
        let recent = calls.iter().filter(|call| now.saturating_sub(call.at) < lease);
        let mut order: Vec<usize> = recent.map(|call| call.node).collect();
        order.dedup();
        let holders: BTreeSet<&usize> = order.iter().collect();
        if order.len() > holders.len() {
            self.report(now, Violation::InterleavedHolders { duty, order });
        }
    }

    /// A usage window may be reported again, but with the same counts.
    pub fn record_usage(&mut self, now: Duration, window: u64, counts: &str) {
        if self.usage_reports.get(&window).is_some_and(|known| known != counts) {
            self.report(now, Violation::ConflictingUsage { window });
        }
        self.usage_reports.insert(window, counts.to_owned());
    }

    /// Number of usage windows that were reported.
    pub fn windows_reported(&self) -> usize {
        self.usage_reports.len()
    }

    /// A statement reaches an instance.
    pub fn record_statement_arrival(&mut self, statement: &str) {
        self.arrived_statements.insert(statement.to_owned());
    }

    /// Whether a statement has reached an instance.
    pub fn has_arrived(&self, statement: &str) -> bool {
        self.arrived_statements.contains(statement)
    }

    /// A statement of an attempt reaches an instance.
    pub fn record_arrival(&mut self, now: Duration, tenant: usize, attempt: &str) {
        if self.attempts.insert(attempt.to_owned()) {
            self.arrivals.entry(tenant).or_default().push(now);
        }
    }
}
