//! Which attempts may be repeated.

use super::*;

const KINDS: [StatementKind; 3] = [StatementKind::Read, StatementKind::Write, StatementKind::Commit];
const SCOPES: [TransactionScope; 3] =
    [TransactionScope::Autocommit, TransactionScope::NotStarted, TransactionScope::Started];

fn may_have_executed(attempt: &FailedAttempt) -> bool {
    matches!(attempt, FailedAttempt::Fail(error) if error.may_have_executed())
}

#[test]
fn a_sent_commit_or_write_without_an_answer_is_never_repeated() {
    for scope in SCOPES {
        assert!(may_have_executed(&after_connection_loss(StatementKind::Commit, true, scope)));
    }
    assert!(may_have_executed(&after_connection_loss(StatementKind::Write, true, TransactionScope::Autocommit)));
}

#[test]
fn an_unsent_statement_is_repeated_unless_its_transaction_is_lost() {
    for kind in KINDS {
        assert_eq!(after_connection_loss(kind, false, TransactionScope::Autocommit), FailedAttempt::Retry);
        assert_eq!(after_connection_loss(kind, false, TransactionScope::NotStarted), FailedAttempt::Retry);
        let lost = after_connection_loss(kind, false, TransactionScope::Started);
        assert!(matches!(lost, FailedAttempt::Fail(_)) && !may_have_executed(&lost));
    }
}

#[test]
fn a_read_or_a_transactions_first_statement_is_repeated_elsewhere() {
    let read = after_connection_loss(StatementKind::Read, true, TransactionScope::Autocommit);
    assert_eq!(read, FailedAttempt::RetryElsewhere);
    for kind in [StatementKind::Read, StatementKind::Write] {
        assert_eq!(after_connection_loss(kind, true, TransactionScope::NotStarted), FailedAttempt::RetryElsewhere);
        let later = after_connection_loss(kind, true, TransactionScope::Started);
        assert!(matches!(later, FailedAttempt::Fail(_)) && !may_have_executed(&later));
    }
}

#[test]
fn a_refusal_is_retried_only_with_a_guarantee_and_never_for_a_commit() {
    assert!(may_retry_refused("BUSY", StatementKind::Write, true));
    assert!(!may_retry_refused("BUSY", StatementKind::Write, false), "the client has seen answers of the transaction");
    assert!(!may_retry_refused("BUSY", StatementKind::Commit, true));
    assert!(!may_retry_refused("DUPLICATE", StatementKind::Write, true), "no guarantee");
}

#[test]
fn errors_at_the_deadline_and_at_shutdown_are_uncertain_only_for_what_was_sent() {
    let sent = StatementStage::Sent(1, Instant::now());
    for kind in KINDS {
        for stage in [StatementStage::Waiting, StatementStage::Setup(1)] {
            let late = deadline_error(stage, kind, TransactionScope::Autocommit);
            let ended = shutdown_error(stage, kind, TransactionScope::Autocommit);
            assert!(!late.may_have_executed() && !ended.may_have_executed());
        }
    }
    for (kind, scope) in
        [(StatementKind::Commit, TransactionScope::Started), (StatementKind::Write, TransactionScope::Autocommit)]
    {
        assert!(deadline_error(sent, kind, scope).may_have_executed());
        assert!(shutdown_error(sent, kind, scope).may_have_executed());
    }
}

#[test]
fn late_commits_and_single_writes_are_not_hedged() {
    assert!(may_hedge(StatementKind::Read, &Transaction::None));
    assert!(!may_hedge(StatementKind::Write, &Transaction::None));
    assert!(may_hedge(StatementKind::Write, &Transaction::Failed { notified: false }));
    assert!(!may_hedge(StatementKind::Commit, &Transaction::Failed { notified: false }));
}

#[test]
fn backoff_grows_up_to_its_bound() {
    assert_eq!(refusal_backoff(1), BUSY_BACKOFF);
    assert_eq!(refusal_backoff(100), BUSY_BACKOFF * BACKOFF_STEPS_MAX);
}
