//! Which observation proves freshness, and which are kept.

use super::*;
use std::time::Duration;

fn position(number: u64) -> Position {
    Position { term: 1, number }
}

#[test]
fn the_first_observation_sent_at_or_after_an_instant_covers_it() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut observations = PositionObservations::default();
    assert!(observations.record(at(100), at(90), position(1)));
    assert!(observations.record(at(200), at(190), position(2)));
    assert_eq!(observations.position_covering(at(50)), Some(position(1)));
    assert_eq!(observations.position_covering(at(91)), Some(position(2)));
    assert_eq!(observations.position_covering(at(191)), None);
    observations.clear();
    assert_eq!(observations.position_covering(at(50)), None);
}

#[test]
fn observations_are_kept_apart_and_not_for_long() {
    let start = Instant::now();
    let mut observations = PositionObservations::default();
    assert!(observations.record(start, start, position(1)));
    let too_soon = start + POSITION_OBSERVATION_INTERVAL / 2;
    assert!(!observations.record(too_soon, too_soon, position(2)));
    let later = start + POSITION_OBSERVATION_TIME * 2;
    assert!(observations.record(later, later, position(3)));
    assert_eq!(observations.position_covering(start), Some(position(3)), "the old one is dropped");
}
