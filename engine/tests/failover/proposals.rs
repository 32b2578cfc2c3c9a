//! Changes of an epoch on their way through the log.

use super::world::World;
use lichenfield_engine::version::control_state::Command;
use std::time::Duration;

const OK: Option<u16> = Some(200);
/// A log is slow where disks stall; it decides in the end.
const SLOW_LOG: Duration = Duration::from_millis(1500);
/// More than a taken call is waited for.
const UNTIL_GIVEN_UP: Duration = Duration::from_millis(4600);

/// ONE: while the choice of another candidate was on its way, the one before it was back, and its installation was
/// proposed too. Decided one after the other, the call for the second candidate goes out in between.
#[test]
fn no_primary_is_installed_while_the_choice_of_another_is_undecided() {
    let mut world = World::new();
    world.go_dark("p");
    let first = world.run_until_call();
    world.answer(OK);
    world.go_dark(&first);
    world.promote(&first, 2);
    world.log_stalls = true;
    world.run(UNTIL_GIVEN_UP);
    assert!(matches!(world.undecided(), [Command::SelectCandidate { .. }]), "{:?}", world.undecided());
    world.come_back(&first);
    world.run(SLOW_LOG);
    assert!(matches!(world.undecided(), [Command::SelectCandidate { .. }]), "{:?}", world.undecided());
    world.log_goes_on();
    assert_ne!(world.run_until_call(), first);
}
