//! What a pooler that drains still begins.

use crate::harness::Harness;
use lichenfield_engine::connection::draining::DrainPhase;

/// Guards against a transaction that begins so late in a drain that it is cut off between two of its statements.
#[test]
fn no_transaction_begins_after_the_first_half_of_the_grace_period() {
    let mut harness = Harness::new();
    harness.drain(DrainPhase::Draining);
    harness.send("QUERY a BEGIN");
    assert_eq!(harness.take_answer(), "DONE -\r\nREADY T -\r\n", "it has the time to end");
    harness.send("QUERY b ROLLBACK");
    harness.take_answer();
    harness.drain(DrainPhase::RollingBack);
    harness.send("QUERY c BEGIN");
    let answer = harness.take_answer();
    assert!(answer.starts_with("ERROR BUSY "), "{answer:?}");
    assert!(harness.close_requested, "its client is to go elsewhere");
}
