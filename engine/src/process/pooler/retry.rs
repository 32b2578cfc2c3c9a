//! What may be tried again, and what the client is answered otherwise. All of these decisions are made here, from how
//! much of the request an instance may have executed:
//!
//! * A statement that was not sent was not executed.
//! * A statement outside a transaction commits by itself. A read may be repeated; a write that was sent and not answered
//!   may have been executed, so it is never repeated.
//! * An open transaction is rolled back when its connection closes. Its first statement may be repeated in a new
//!   transaction, since the client has seen nothing of the old one; a later statement may not, since the client has seen
//!   answers that the new transaction need not give.
//! * A commit that was sent and not answered may have been executed, and is never repeated.
//! * An instance's error code may guarantee that nothing was executed
//!   ([`guarantees_not_executed`](crate::request::error::guarantees_not_executed)).

use super::limits::{BACKOFF_STEPS_MAX, HEDGES_MAX};
use super::timeouts::{
    ABANDON_SHARE, BUSY_BACKOFF, HEDGE_LATENCY_FACTOR, HEDGE_SHARE, HEDGE_TIMEOUT_MIN, QUEUE_TIMEOUT_SHARE,
};
use crate::connection::ConnectionId;
use crate::connection::client_session::{PendingStatement, Session, StatementKind, StatementStage, Transaction};
use crate::request::error::{RequestError, guarantees_not_executed};
use std::time::{Duration, Instant};

/// The transaction that a statement belongs to, as far as retries depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransactionScope {
    /// None: the statement commits by itself.
    Autocommit,
    /// One that is not open on a connection: nothing of it has been answered to the client.
    NotStarted,
    /// One that is open on a connection.
    Started,
}

impl TransactionScope {
    pub(super) fn of(transaction: &Transaction) -> Self {
        match transaction {
            Transaction::None => TransactionScope::Autocommit,
            Transaction::Bound { .. } => TransactionScope::Started,
            Transaction::Lazy { .. } | Transaction::Failed { .. } => TransactionScope::NotStarted,
        }
    }
}

/// What becomes of a statement whose attempt failed.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FailedAttempt {
    /// It is tried again, on any instance.
    Retry,
    /// It is tried again, on another instance if one can serve it.
    RetryElsewhere,
    /// Its client gets this error.
    Fail(RequestError),
}

// Lost connections.

/// Whether the session's transaction, whose connection is lost, may begin again on another connection: the connection
/// had its first statement, which was not answered, and which is no commit.
pub(super) fn may_restart_transaction(session: &Session, connection_id: ConnectionId) -> bool {
    let Some(statement) = &session.statement else { return false };
    session.transaction.is_bound()
        && !session.transaction.is_answered()
        && statement.kind != StatementKind::Commit
        && matches!(statement.stage, StatementStage::Sent(sent_on, _) if sent_on == connection_id)
}

/// What becomes of a statement that was sent on a connection now lost, or (`sent` is false) was about to be.
/// `scope`: after the transaction was restarted, if it may be.
pub(super) fn after_connection_loss(kind: StatementKind, sent: bool, scope: TransactionScope) -> FailedAttempt {
    let rolled_back =
        || FailedAttempt::Fail(RequestError::aborted("the instance was lost; the transaction is rolled back"));
    match (sent, kind, scope) {
        (false, _, TransactionScope::Started) => rolled_back(),
        (false, ..) => FailedAttempt::Retry,
        (true, StatementKind::Commit, _) => {
            FailedAttempt::Fail(RequestError::unsure("the answer to the commit was lost"))
        }
        (true, _, TransactionScope::Started) => rolled_back(),
        (true, StatementKind::Write, TransactionScope::Autocommit) => {
            FailedAttempt::Fail(RequestError::unsure("the answer to the write was lost"))
        }
        (true, ..) => FailedAttempt::RetryElsewhere,
    }
}

// Refusals.

/// Whether a statement that was answered with an error code may be tried again. `only_statement`: it is the only one of
/// its transaction, or outside one.
pub(super) fn may_retry_refused(code: &str, kind: StatementKind, only_statement: bool) -> bool {
    guarantees_not_executed(code) && only_statement && kind != StatementKind::Commit
}

/// Pause before a statement is tried again after `BUSY` or the like.
pub(super) fn refusal_backoff(refusals: u32) -> Duration {
    BUSY_BACKOFF * refusals.min(BACKOFF_STEPS_MAX)
}

// Deadlines.

/// Until when the statement may wait without having been sent.
pub(super) fn queue_deadline(statement: &PendingStatement) -> Instant {
    statement.received_at + statement.route.deadline.mul_f64(QUEUE_TIMEOUT_SHARE)
}

/// The answer to a statement whose deadline has passed.
pub(super) fn deadline_error(stage: StatementStage, kind: StatementKind, scope: TransactionScope) -> RequestError {
    let sent = matches!(stage, StatementStage::Sent(..));
    let started = scope == TransactionScope::Started;
    if !sent && !started {
        RequestError::busy("no instance was available in time")
    } else if started && kind != StatementKind::Commit {
        RequestError::aborted("the statement took too long; the transaction is rolled back")
    } else {
        RequestError::timeout("no answer in time")
    }
}

/// The answer to a statement that is under way when the process ends.
pub(super) fn shutdown_error(stage: StatementStage, kind: StatementKind, scope: TransactionScope) -> RequestError {
    let sent = matches!(stage, StatementStage::Sent(..));
    let started = scope == TransactionScope::Started;
    match kind {
        StatementKind::Commit if sent => {
            RequestError::unsure("the pooler is shutting down; the commit may have taken effect")
        }
        StatementKind::Write if sent && !started => {
            RequestError::unsure("the pooler is shutting down; the write may have taken effect")
        }
        _ if started => RequestError::aborted("the pooler is shutting down; the transaction is rolled back"),
        _ => RequestError::busy("the pooler is shutting down; reconnect to another one"),
    }
}

// Hedging.

/// Whether a late answer may be given up. A commit, or a write outside a transaction, cannot be tried twice, so it gets
/// all the time there is.
pub(super) fn may_hedge(kind: StatementKind, transaction: &Transaction) -> bool {
    match kind {
        StatementKind::Commit => false,
        StatementKind::Write => !transaction.is_none(),
        StatementKind::Read => true,
    }
}

/// Whether the statement may be tried on yet another instance.
pub(super) fn has_hedges_left(statement: &PendingStatement) -> bool {
    statement.tried_instances.len() < HEDGES_MAX
}

/// Whether a late statement can only be given up together with its transaction: the client has answers from it.
pub(super) fn must_abandon_transaction(session: &Session) -> bool {
    session.transaction.is_answered()
}

/// How long an answer may take before the statement is tried elsewhere, or its transaction given up: well above what
/// the instance's answers take now.
pub(super) fn hedge_timeout(session: &Session, statement: &PendingStatement, smoothed_latency_ms: f64) -> Duration {
    let share = if must_abandon_transaction(session) { ABANDON_SHARE } else { HEDGE_SHARE };
    let usual = Duration::from_secs_f64(smoothed_latency_ms * HEDGE_LATENCY_FACTOR / 1000.0);
    statement.route.target.mul_f64(share).max(HEDGE_TIMEOUT_MIN).max(usual)
}

#[cfg(test)]
mod tests;
