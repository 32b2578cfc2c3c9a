//! Order and expiry of timers.

use super::*;
use std::time::Duration;

fn statement(number: u64) -> StatementRef {
    StatementRef { session_id: 1, number }
}

#[test]
fn timers_come_in_order_of_time_and_not_before() {
    let start = Instant::now();
    let mut timers = Timers::default();
    timers.schedule(start + Duration::from_millis(20), Timer::Deadline(statement(1)));
    timers.schedule(start + Duration::from_millis(10), Timer::Retry(statement(2)));
    assert_eq!(timers.pop_due(start), None);
    let later = start + Duration::from_millis(30);
    assert_eq!(timers.pop_due(later), Some(Timer::Retry(statement(2))));
    assert_eq!(timers.pop_due(later), Some(Timer::Deadline(statement(1))));
    assert_eq!(timers.pop_due(later), None);
}

#[test]
fn expired_timers_do_not_count_as_due() {
    let start = Instant::now();
    let mut timers = Timers::default();
    timers.schedule(start, Timer::Retry(statement(1)));
    timers.schedule(start + Duration::from_millis(10), Timer::Retry(statement(2)));
    timers.discard_expired(|timer| *timer == Timer::Retry(statement(1)));
    assert_eq!(timers.next_due(), Some(start + Duration::from_millis(10)));
}
