//! Tests that the judge finds violations, and nothing where rules are kept.

use super::{AcknowledgedLimit, AttemptOutcome, Commit, DutyCall, Judge};
use lichenfield_engine::connection::client_session::Position;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(5);

/// The findings, as displayed.
fn findings(judge: &Judge) -> Vec<String> {
    judge.findings.iter().map(|finding| finding.to_string()).collect()
}

fn failover(fence: u64, node: usize) -> DutyCall<'static> {
    DutyCall { duty: "failover", fence, node, lease: LEASE }
}

fn commit(number: u64, is_late: bool, statement: &str) -> Commit {
    let position = Position { term: 1, number };
    Commit { position, is_late, statements: vec![statement.to_owned()], truncated: is_late }
}

#[test]
fn two_leaders_in_a_term_are_found() {
    let mut judge = Judge::default();
    judge.record_leader(Duration::ZERO, 1, 0);
    judge.record_leader(Duration::ZERO, 1, 0);
    judge.record_leader(Duration::ZERO, 2, 1);
    assert_eq!(findings(&judge), [""; 0]);
    judge.record_leader(Duration::from_millis(1500), 2, 0);
    assert_eq!(findings(&judge), ["1.500 s: two leaders in term 2"]);
    assert_eq!(judge.findings[0].violation.rule(), "election safety");
}

#[test]
fn fences_that_go_back_or_are_shared_are_found() {
    let mut judge = Judge::default();
    judge.record_duty_call(Duration::ZERO, failover(5, 0));
    judge.record_duty_call(Duration::from_secs(10), failover(6, 1));
    assert_eq!(findings(&judge), [""; 0]);
    judge.record_duty_call(Duration::from_secs(20), failover(6, 2));
    judge.record_duty_call(Duration::from_secs(30), failover(5, 2));
    assert_eq!(
        findings(&judge),
        ["20.000 s: failover: fence 6 from two holders", "30.000 s: failover: fence 5 after 6"]
    );
}

#[test]
fn holders_that_alternate_within_a_lease_are_found() {
    let mut judge = Judge::default();
    judge.record_duty_call(Duration::from_secs(1), failover(5, 0));
    judge.record_duty_call(Duration::from_secs(2), failover(6, 1));
    assert_eq!(findings(&judge), [""; 0]);
    judge.record_duty_call(Duration::from_secs(3), failover(7, 0));
    assert_eq!(findings(&judge), ["3.000 s: failover: holders act in the order [0, 1, 0]"]);
}

#[test]
fn writes_that_contradict_their_outcomes_are_found() {
    let mut judge = Judge::default();
    judge.commits.push(commit(1, false, "c0-1-1-0"));
    judge.outcomes.insert("c0-1-1-0".into(), AttemptOutcome::Acknowledged);
    judge.outcomes.insert("c0-2-1-0".into(), AttemptOutcome::NotExecuted);
    judge.commits.push(commit(2, false, "c0-3-1-0"));
    judge.outcomes.insert("c0-3-1-0".into(), AttemptOutcome::Unknown);
    judge.check_writes(Duration::ZERO);
    assert_eq!(findings(&judge), [""; 0]);

    judge.commits.push(commit(3, false, "c0-1-1-0"));
    judge.commits.push(commit(4, false, "c0-2-1-0"));
    judge.commits.push(commit(5, true, "c1-1-1-0"));
    judge.outcomes.insert("c1-1-1-0".into(), AttemptOutcome::Acknowledged);
    judge.outcomes.insert("c1-2-1-0".into(), AttemptOutcome::Acknowledged);
    judge.check_writes(Duration::ZERO);
    let mut found = findings(&judge);
    found.sort();
    assert_eq!(
        found,
        [
            "0.000 s: ONE: write c1-1-1-0 of term 1 was acknowledged after a promotion",
            "0.000 s: acknowledged write c1-2-1-0 was never committed",
            "0.000 s: write c0-1-1-0 was committed 2 times",
            "0.000 s: write c0-2-1-0 is committed, and its client was told that it was not executed",
        ]
    );
}

#[test]
fn a_limit_counts_once_it_is_known_everywhere() {
    let limits = [
        AcknowledgedLimit { at: Duration::ZERO, per_second: 2 },
        AcknowledgedLimit { at: Duration::from_secs(20), per_second: 1 },
    ];
    // In a span of 5 s a limit of 2 a second allows 12 attempts, and a limit of 1 allows 6.
    let judge_after = |first: u64, attempts: u64| {
        let mut judge = Judge::default();
        for number in 0..attempts {
            let at = Duration::from_secs(first) + Duration::from_millis(number);
            judge.record_arrival(at, 0, &format!("{first}-{number}"));
            judge.record_arrival(at, 0, &format!("{first}-{number}"));
        }
        judge.check_quota(&limits, SPAN, Duration::from_secs(60));
        findings(&judge)
    };
    assert_eq!(judge_after(1, 100), [""; 0], "no limit is known everywhere yet");
    assert_eq!(judge_after(10, 12), [""; 0]);
    assert_eq!(judge_after(10, 13), ["10.012 s: QUOTA: tenant 0 had 13 of 12 in a span"]);
    assert_eq!(judge_after(24, 12), [""; 0], "the lower limit is not known everywhere yet");
    assert_eq!(judge_after(30, 6), [""; 0]);
    assert_eq!(judge_after(30, 8), ["30.006 s: QUOTA: tenant 0 had 7 of 6 in a span"]);
}

#[test]
fn an_acknowledged_transaction_that_lacks_a_statement_is_found() {
    let mut judge = Judge::default();
    let statements = ["w1".to_owned(), "w2".to_owned()];
    let rolled_back = judge.begin_transaction();
    judge.record_run("w1", rolled_back);
    let committed = judge.begin_transaction();
    judge.record_run("w2", committed);
    judge.record_run("commit", committed);
    judge.check_transaction(Duration::from_secs(1), "commit", &statements);
    assert_eq!(findings(&judge), [r#"1.000 s: PINNED: commit committed a transaction without ["w1"]"#]);
    judge.record_run("w1", committed);
    judge.check_transaction(Duration::from_secs(2), "commit", &statements);
    assert_eq!(judge.findings.len(), 1);
}
