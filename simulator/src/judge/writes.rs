//! Writes: what was committed, and what clients were told of it.

use super::{AttemptOutcome, Judge, Violation};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

impl Judge {
    /// Writes: committed once at most, none that was reported as not executed, none of the acknowledged missing.
    pub fn check_writes(&mut self, now: Duration) {
        let mut found = self.repeated_writes();
        found.extend(self.late_writes());
        found.extend(self.wrong_outcomes());
        for violation in found {
            self.report(now, violation);
        }
    }

    fn repeated_writes(&self) -> Vec<Violation> {
        let mut times_committed: BTreeMap<&String, usize> = BTreeMap::new();
        for statement in self.commits.iter().flat_map(|commit| &commit.statements) {
            *times_committed.entry(statement).or_default() += 1;
        }
        let repeated = times_committed.into_iter().filter(|(_, times)| *times > 1);
        repeated.map(|(statement, times)| Violation::WriteRepeated { statement: statement.clone(), times }).collect()
    }

    fn late_writes(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for commit in self.commits.iter().filter(|commit| commit.is_late) {
            for statement in &commit.statements {
                if self.outcomes.get(statement) == Some(&AttemptOutcome::Acknowledged) {
                    let term = commit.position.term;
                    found.push(Violation::LateWriteAcknowledged { statement: statement.clone(), term });
                }
            }
        }
        found
    }

    fn wrong_outcomes(&self) -> Vec<Violation> {
        let committed: HashSet<&String> = self.commits.iter().flat_map(|commit| &commit.statements).collect();
        let mut found = Vec::new();
        for (statement, outcome) in &self.outcomes {
            let statement = statement.clone();
            match (outcome, committed.contains(&statement)) {
                (AttemptOutcome::Acknowledged, false) => {
                    found.push(Violation::AcknowledgedWriteMissing { statement });
                }
                (AttemptOutcome::NotExecuted, true) => found.push(Violation::RejectedWriteCommitted { statement }),
                _ => {}
            }
        }
        found
    }
}
