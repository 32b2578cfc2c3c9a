//! The timer queue.

use crate::connection::{ConnectionId, SessionId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Names a statement for as long as its session has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StatementRef {
    pub session_id: SessionId,
    /// The number in [`PendingStatement`](crate::connection::pending_statement::PendingStatement).
    pub number: u64,
}

/// What is due. Timers are never cancelled: one whose occasion has passed does nothing.
///
/// The order of the variants decides which of two timers due at the same time comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The statement's deadline.
    Deadline(StatementRef),
    /// The statement has waited for an instance or connection for as long as it may.
    QueueTimeout(StatementRef),
    /// The statement's answer may be late.
    Hedge(StatementRef),
    /// The session's transaction has been idle for long.
    TransactionIdle {
        session_id: SessionId,
        /// The session's statement count at the time: the transaction is idle while it does not change.
        statement_count: u64,
    },
    /// The connection's outstanding answer is overdue.
    Connection {
        connection_id: ConnectionId,
        /// The connection's `since` at the time.
        since: Instant,
    },
    /// The statement has waited long enough for one of its tenant's connections.
    OpenConnection(StatementRef),
    /// The statement's backoff is over.
    Retry(StatementRef),
}

/// Pending timers by the time at which they are due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub(super) fn schedule(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// When the first timer is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the first timer, if it is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Removes the first timers as far as their occasion has passed, so that nobody wakes for them.
    pub(super) fn discard_expired(&mut self, has_expired: impl Fn(&Timer) -> bool) {
        while self.heap.peek().is_some_and(|Reverse((_, timer))| has_expired(timer)) {
            self.heap.pop();
        }
    }
}

#[cfg(test)]
mod tests;
