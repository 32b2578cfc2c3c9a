//! What happened in a run, and which rules were broken.

use super::plan::Trouble;
use crate::judge::{Judge, Violation};
use std::time::{Duration, Instant};

/// For so long after an unplanned trouble requests may be lost.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// From a killed process's end to when it is up again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// A request that was under way no longer than this may be lost, unless an instance has got it.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// At the end at least this part of the operations succeed.
const SERVED_AT_THE_END: f64 = 0.5;
/// Descriptions of violations that are kept.
const VIOLATIONS_MAX: usize = 20;

/// What a daemon did wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Incident {
    #[error("{role}-{number} was killed: it had not ended within its grace")]
    MissedGrace { role: &'static str, number: usize },
    #[error("{role}-{number} ended by itself ({status})")]
    EndedByItself { role: &'static str, number: usize, status: String },
}

/// How far clients have come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    pub(super) operations: usize,
    pub(super) succeeded: usize,
    /// Writes that were acknowledged.
    pub(super) writes: usize,
}

/// Everything that was seen.
pub(super) struct Observations {
    pub(super) judge: Judge,
    began_at: Instant,
    /// When the last unplanned trouble ends, effects of restarts included.
    unplanned_until: Option<Instant>,
    writes: usize,
    violations: Vec<String>,
}

impl Observations {
    pub(super) fn new() -> Self {
        Observations {
            judge: Judge::default(),
            began_at: Instant::now(),
            unplanned_until: None,
            writes: 0,
            violations: Vec::new(),
        }
    }

    /// Time since the run's beginning.
    pub(super) fn now(&self) -> Duration {
        self.began_at.elapsed()
    }

    pub(super) fn report(&mut self, what: impl ToString) {
        if self.violations.len() < VIOLATIONS_MAX {
            self.violations.push(format!("{:.3} s: {}", self.now().as_secs_f64(), what.to_string()));
        }
    }

    pub(super) fn note_trouble(&mut self, trouble: &Trouble) {
        if !trouble.is_planned() {
            let until = Instant::now() + trouble.duration() + RESTART_TIME;
            self.unplanned_until = self.unplanned_until.max(Some(until));
        }
    }

    /// Whether no unplanned trouble can have touched what has gone on since `since`.
    pub(super) fn is_calm_since(&self, since: Instant) -> bool {
        self.unplanned_until.is_none_or(|until| since > until + CONTACT_TIME)
    }

    pub(super) fn note_write(&mut self) {
        self.writes += 1;
    }

    /// LOST: a connection has ended without the answer to a statement; `transaction`: the statements so far of the one
    /// that it belongs to.
    pub(super) fn check_lost(&mut self, client: usize, statement: &str, transaction: &[String], sent_at: Instant) {
        let mut operation = transaction.iter().map(String::as_str).chain([statement]);
        let passed_on = operation.any(|part| self.judge.has_arrived(part));
        if self.is_calm_since(sent_at) && (passed_on || sent_at.elapsed() > LOSS_SLACK) {
            let began_at = sent_at.duration_since(self.began_at);
            let violation = Violation::RequestLost { client, began_at };
            let where_to = if passed_on { "an instance got some of it" } else { "no instance got it" };
            self.report(format!("{violation} ({statement}; {where_to})"));
        }
    }

    pub(super) fn progress(&self) -> Progress {
        let Judge { operations, succeeded, .. } = self.judge;
        Progress { operations, succeeded, writes: self.writes }
    }

    /// A hang: with everything sound, operations fail.
    pub(super) fn check_served_since(&mut self, before: Progress) {
        let after = self.progress();
        let (begun, succeeded) = (after.operations - before.operations, after.succeeded - before.succeeded);
        if (succeeded as f64) < SERVED_AT_THE_END * begun as f64 || after.writes == before.writes {
            let writes = after.writes - before.writes;
            self.report(format!(
                "HANG: at the end {succeeded} of {begun} operations succeed, {writes} writes are acknowledged"
            ));
        }
    }

    pub(super) fn check_writes(&mut self) {
        let now = self.now();
        self.judge.check_writes(now);
    }

    /// All violations, the judge's included.
    pub(super) fn violations(&self) -> Vec<String> {
        let findings = self.judge.findings.iter().map(ToString::to_string);
        self.violations.iter().cloned().chain(findings).collect()
    }
}
