//! A promotion that the platform took has its effect later, whoever asked for it. The next epoch must not open for an
//! instance that another one is about to depose.

use super::world::World;
use std::time::Duration;

const OK: Option<u16> = Some(200);
const CONFLICT: Option<u16> = Some(409);
const TOO_MANY_REQUESTS: Option<u16> = Some(429);
const NO_ANSWER: Option<u16> = None;
/// More than a health check of every instance takes.
const MOMENT: Duration = Duration::from_millis(100);
/// More than a taken call is waited for, and less.
const UNTIL_GIVEN_UP: Duration = Duration::from_millis(4200);
const BEFORE_GIVEN_UP: Duration = Duration::from_millis(3700);

fn other(candidate: &str) -> &'static str {
    if candidate == "a" { "b" } else { "a" }
}

/// The primary fails, a replica is named, and goes dark before it is promoted.
fn promoted_out_of_sight(world: &mut World) -> (String, &'static str) {
    world.go_dark("p");
    named_and_dark(world)
}

fn named_and_dark(world: &mut World) -> (String, &'static str) {
    let first = world.run_until_call();
    world.answer(OK);
    world.go_dark(&first);
    world.promote(&first, 2);
    let second = other(&first);
    (first, second)
}

/// The first candidate is back while the second has been named and not promoted yet.
fn installs_only_the_second(world: &mut World, first: &str, second: &str) {
    assert_eq!(world.run_until_call(), second);
    world.answer(OK);
    world.come_back(first);
    world.run(MOMENT);
    assert!(world.epoch().closed, "installed {}", world.epoch().primary);
    world.promote(second, 3);
    world.run(MOMENT);
    world.assert_installed(second, 3);
}

/// ONE: the first candidate, back after another one was named, was installed although it was about to be deposed.
#[test]
fn a_candidate_that_was_given_up_is_not_installed_once_another_is_named() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    installs_only_the_second(&mut world, &first, second);
}

/// ONE, planned: the same where the old primary drains and goes on to lead its term.
#[test]
fn a_candidate_for_a_draining_primary_is_not_installed_once_another_is_named() {
    let mut world = World::new();
    world.drain("p");
    let (first, second) = named_and_dark(&mut world);
    installs_only_the_second(&mut world, &first, second);
}

/// ONE after a change of leader: the candidate of the earlier leader was installed although the new one had named another.
#[test]
fn the_candidate_of_an_earlier_leader_is_not_installed_once_another_is_named() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    world.change_leader("second");
    installs_only_the_second(&mut world, &first, second);
}

/// ONE after a change of leader: the log names the first candidate again, but the second may have been promoted since.
#[test]
fn a_new_leader_asks_for_the_candidate_again_while_another_may_lead_out_of_sight() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    assert_eq!(world.run_until_call(), second);
    world.answer(OK);
    world.go_dark(second);
    world.promote(second, 3);
    world.come_back(&first);
    assert_eq!(world.run_until_call(), first);
    world.change_leader("second");
    assert_eq!(world.run_until_call(), first);
    assert!(world.epoch().closed, "installed at term {}", world.epoch().term);
    world.answer(OK);
    world.promote(&first, 4);
    world.run(MOMENT);
    world.assert_installed(&first, 4);
}

/// A leader that dies in a promotion costs no second call where all replicas answer.
#[test]
fn a_new_leader_installs_the_candidate_of_the_earlier_one_at_once() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.change_leader("second");
    world.promote(&first, 2);
    world.run(Duration::from_millis(2500));
    world.assert_installed(&first, 2);
    assert!(world.calls.is_empty());
}

/// ONE: a call without an answer is taken late, after another instance was promoted in place of the one that it names.
#[test]
fn no_other_instance_is_named_while_an_unanswered_call_may_be_taken() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.go_dark(&first);
    world.answer(NO_ANSWER);
    world.run(BEFORE_GIVEN_UP);
    assert!(world.calls.is_empty(), "{:?}", world.calls);
    assert_eq!(world.run_until_call(), other(&first));
}

/// Nor by the leader that follows the one that got no answer.
#[test]
fn a_new_leader_names_no_other_instance_while_a_call_of_the_earlier_one_may_be_taken() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.go_dark(&first);
    world.change_leader("second");
    world.run(BEFORE_GIVEN_UP);
    assert!(world.calls.is_empty(), "{:?}", world.calls);
    assert_eq!(world.run_until_call(), other(&first));
}

/// The outcome of a call of an earlier term of the same process was taken for that of the call in flight.
#[test]
fn the_outcome_of_an_earlier_terms_call_is_not_taken_for_that_of_the_present_one() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    let earlier_call = world.calls.remove(0);
    world.lead_again();
    assert_eq!(world.run_until_call(), first);
    world.answer_call(&earlier_call, CONFLICT);
    world.go_dark(&first);
    world.run(BEFORE_GIVEN_UP);
    assert_eq!(world.calls.len(), 1, "{:?}", world.calls);
}

/// The same instance is named again at once after a call without an answer.
#[test]
fn an_unanswered_call_is_repeated_for_the_same_instance() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.answer(NO_ANSWER);
    world.run(Duration::from_millis(400));
    assert_eq!(world.run_until_call(), first);
}

/// A call that the platform did not take (429) keeps nobody from being named.
#[test]
fn a_call_beyond_the_rate_limit_is_not_waited_for() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.go_dark(&first);
    world.answer(TOO_MANY_REQUESTS);
    world.run(Duration::from_secs(1));
    assert_eq!(world.run_until_call(), other(&first));
}

/// ONE: both candidates were promoted out of sight; the first is back, and leads, but the second deposed it. It is asked
/// to lead again, and waits for that.
#[test]
fn a_candidate_that_is_back_late_is_named_again_before_it_is_installed() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    assert_eq!(world.run_until_call(), second);
    world.answer(OK);
    world.go_dark(second);
    world.promote(second, 3);
    world.come_back(&first);
    assert_eq!(world.run_until_call(), first);
    world.answer(OK);
    world.run(MOMENT);
    assert!(world.epoch().closed, "installed at term {}", world.epoch().term);
    world.promote(&first, 4);
    world.run(MOMENT);
    world.assert_installed(&first, 4);
}

/// The same where the platform never promoted the second: naming the present primary changes nothing, and ends the wait.
#[test]
fn a_candidate_that_leads_already_is_installed_once_the_call_is_settled() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    assert_eq!(world.run_until_call(), second);
    world.answer(OK);
    world.go_dark(second);
    world.come_back(&first);
    assert_eq!(world.run_until_call(), first);
    world.answer(OK);
    world.run(UNTIL_GIVEN_UP);
    world.assert_installed(&first, 2);
}

/// A refused call has no effect: the instance that was promoted before it is installed without another call.
#[test]
fn the_first_candidate_is_installed_if_the_platform_refuses_the_second() {
    let mut world = World::new();
    let (first, second) = promoted_out_of_sight(&mut world);
    assert_eq!(world.run_until_call(), second);
    world.answer(CONFLICT);
    world.go_dark(second);
    world.come_back(&first);
    world.run(Duration::from_millis(500));
    world.assert_installed(&first, 2);
    assert!(world.calls.is_empty());
}
