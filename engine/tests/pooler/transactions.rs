//! Transactions that an instance refuses to go on with.

use crate::harness::{Harness, LEASE_DURATION};
use std::time::Duration;

/// Guards against a transaction that goes on in a second one, without the statements that were answered in the first,
/// after the instance has refused a statement of the pooler's own in its middle.
#[test]
fn an_answered_transaction_fails_when_its_connection_cannot_be_prepared() {
    let cases =
        [("PREPARE p WRITE shape", "RUN p thing second"), ("SET mode fast", "READ thing"), ("SET mode fast", "COMMIT")];
    for refusal in ["FAILED", "BUSY", "READONLY", "LAGGING"] {
        for (setup, statement) in cases {
            let mut harness = Harness::new();
            let connection_id = harness.answered_transaction();
            harness.send(&format!("QUERY c {setup}"));
            harness.send(&format!("QUERY d {statement}"));
            assert_eq!(harness.take_sent().len(), 1, "only the connection is prepared yet");
            harness.take_answer();
            harness.answer(connection_id, &format!("ERROR {refusal} i-1\r\nREADY E 1.1"));
            let answer = harness.take_answer();
            assert!(answer.starts_with("ERROR ABORTED "), "{refusal} of {setup}, then {statement}: {answer:?}");
            assert_eq!(harness.closed, [connection_id]);
            harness.advance(Duration::from_millis(100));
            assert_eq!(harness.take_sent(), [], "nothing is begun again");
        }
    }
}

/// A transaction whose first statement was refused begins anew: its repeat is a first statement too, for the usage
/// counts and for a second refusal.
#[test]
fn a_transaction_begins_anew_each_time_its_first_statement_is_refused() {
    let mut harness = Harness::new();
    harness.send("QUERY a BEGIN");
    harness.send("QUERY b WRITE thing first");
    let connection_id = harness.connection_of("CONNECT db acme i-1");
    harness.answer(connection_id, "READY I 1.1");
    harness.take_answer();
    for _ in 0..2 {
        harness.answer(connection_id, "DONE -\r\nREADY T 1.1");
        harness.answer(connection_id, "ERROR BUSY i-1\r\nREADY E 1.1");
        harness.answer(connection_id, "DONE -\r\nREADY I 1.1");
        assert_eq!(harness.take_answer(), "", "the refusal is not passed on");
        harness.advance(Duration::from_millis(60));
    }
    harness.answer(connection_id, "DONE -\r\nREADY T 1.1");
    harness.answer(connection_id, "DONE stamp\r\nREADY T 1.1");
    assert_eq!(harness.take_answer(), "DONE stamp\r\nREADY T 1.1\r\n");
    harness.advance(Duration::from_millis(500));
    assert_eq!(harness.usage, 1);
}

/// Guards against a statement that waits until its deadline, bound to a connection that is closed, because its
/// transaction's lease had just ended when it came.
#[test]
fn a_transaction_whose_lease_has_ended_fails_at_once() {
    let mut harness = Harness::new();
    let connection_id = harness.answered_transaction();
    harness.advance_clock(LEASE_DURATION);
    harness.send("QUERY c WRITE thing second");
    let answer = harness.take_answer();
    assert!(answer.starts_with("ERROR ABORTED "), "{answer:?}");
    assert_eq!(harness.closed, [connection_id]);
}
