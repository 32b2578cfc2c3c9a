//! Transactions at instances: which statements ran in which.

use super::{Judge, TransactionNumber, Violation};
use std::time::Duration;

impl Judge {
    /// An instance begins a transaction.
    pub fn begin_transaction(&mut self) -> TransactionNumber {
        self.transactions += 1;
        self.transactions
    }

    /// An instance runs a statement of a transaction, or its `COMMIT`.
    pub fn record_run(&mut self, statement: &str, transaction: TransactionNumber) {
        self.runs.entry(statement.to_owned()).or_default().push(transaction);
    }

    /// PINNED: each statement of an acknowledged transaction ran in the one that its `COMMIT` ended. A statement may
    /// have run before in others, which were rolled back.
    pub fn check_transaction(&mut self, now: Duration, commit: &str, statements: &[String]) {
        let committed = self.runs.get(commit).and_then(|runs| runs.last()).copied();
        let ran_in_it = |statement: &&String| {
            committed.is_some_and(|number| self.runs.get(*statement).is_some_and(|runs| runs.contains(&number)))
        };
        let missing: Vec<String> = statements.iter().filter(|statement| !ran_in_it(statement)).cloned().collect();
        if !missing.is_empty() {
            self.report(now, Violation::TransactionSplit { commit: commit.to_owned(), missing });
        }
    }
}
