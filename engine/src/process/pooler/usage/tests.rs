//! Counting by window, and what is kept.

use super::*;

#[test]
fn counts_go_to_the_current_window_and_can_be_taken_back() {
    let mut usage = UsageWindows::default();
    usage.set_current(7);
    usage.count("t");
    usage.count("t");
    usage.uncount("t");
    usage.uncount("unknown");
    assert_eq!(usage.snapshot(), BTreeMap::from([(7, BTreeMap::from([("t".to_owned(), 1)]))]));
}

#[test]
fn reported_windows_and_the_oldest_beyond_the_bound_are_dropped() {
    let mut usage = UsageWindows::default();
    for window in 1..=20 {
        usage.set_current(window);
        usage.count("t");
    }
    usage.discard_through(3);
    assert_eq!(usage.snapshot().keys().next(), Some(&4));
    usage.discard_excess();
    assert_eq!(usage.snapshot().keys().copied().collect::<Vec<_>>(), (9..=20).collect::<Vec<_>>());
}
