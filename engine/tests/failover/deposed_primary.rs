//! A primary that was deposed while its epoch is open.

use super::world::World;
use std::time::Duration;

/// A heartbeat that tells of the promotion, and a few health checks.
const NOTICED: Duration = Duration::from_millis(300);

/// ONE: an unanswered call was carried out very late, or somebody else promoted an instance. The epoch stayed open for as
/// long as the old primary could not reach the new one.
#[test]
fn an_epoch_is_closed_when_another_instance_leads_a_later_term() {
    let mut world = World::new();
    world.promote("a", 2);
    world.heartbeat("a");
    world.run(NOTICED);
    let epoch = world.epoch();
    assert_eq!((epoch.epoch, epoch.primary.as_str(), epoch.term, epoch.closed), (2, "a", 2, false));
}

/// Without a platform no candidate is awaited: the epoch opens for whom the operator promotes.
#[test]
fn without_a_platform_an_instance_promoted_by_hand_is_installed() {
    for promoted in ["a", "b"] {
        let mut world = World::without_platform();
        world.go_dark("p");
        world.run(Duration::from_secs(6));
        assert!(world.epoch().closed);
        world.promote(promoted, 2);
        world.run(NOTICED);
        let epoch = world.epoch();
        assert_eq!((epoch.primary.as_str(), epoch.closed), (promoted, false));
    }
}

/// An instance that led before, and has not found its successor yet, is no reason.
#[test]
fn an_epoch_stays_open_when_another_instance_leads_an_earlier_term() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.answer(Some(200));
    world.promote(&first, 2);
    world.run(NOTICED);
    world.come_back("p");
    world.heartbeat("p");
    world.run(NOTICED);
    let epoch = world.epoch();
    assert_eq!((epoch.epoch, epoch.primary.as_str(), epoch.closed), (2, first.as_str(), false));
}
