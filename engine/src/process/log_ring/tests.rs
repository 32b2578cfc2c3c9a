//! Tests of the log ring.

use super::*;

#[test]
fn a_full_ring_keeps_the_latest_lines_and_counts_the_others() {
    let mut ring = LogRing::default();
    (0..CAPACITY + 3).for_each(|n| ring.push(format!("line {n}")));
    let lines = ring.drain();
    assert_eq!(lines.len(), CAPACITY + 1);
    assert_eq!(lines[0], "(3 older lines overwritten)");
    assert_eq!(lines[1], "line 3");
    assert!(ring.drain().is_empty(), "drained");
}
