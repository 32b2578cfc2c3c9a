//! Schedules written by hand: minimal cases of faults that were found, and cases that are seldom drawn.

use super::run;
use super::schedule::{Action, CATCH_UP, Fault, Schedule, Step, Target, When, ms};
use std::collections::BTreeMap;
use std::time::Duration;

fn schedule_of(machines: usize, tolerance: usize, steps: Vec<(Duration, Action)>) -> Schedule {
    let end = steps.last().map_or(Duration::ZERO, |(at, _)| *at) + CATCH_UP;
    Schedule {
        seed: 1,
        machines,
        learner: false,
        tolerance,
        exceeds_tolerance: false,
        compact_after: 8,
        tail: 4,
        end,
        steps: steps.into_iter().map(|(at, action)| Step { at, when: When::Now, action }).collect(),
        fates: BTreeMap::new(),
        fault_periods: Vec::new(),
    }
}

fn assert_no_violation(schedule: &Schedule) {
    if let Some((at, violation)) = run(schedule).broken {
        panic!("{} at {at:?}: {}\n{schedule}", violation.kind, violation.what);
    }
}

const QUIET_PERIOD: Action = Action::QuietPeriod { span: CATCH_UP };

/// Two of five leave for good and two empty machines join. They become voters before the silence of the
/// others is long enough: the electorate must return to five, for with two of seven gone the loss of
/// two more would leave no majority.
#[test]
fn two_machines_are_replaced_at_once() {
    for seed in 1..=20 {
        let replace = |target| Action::Fault(Fault::Replace { target, orderly: true, down: ms(5) });
        let steps = vec![
            (ms(1000), QUIET_PERIOD),
            (ms(5100), replace(Target::Leader)),
            (ms(5200), replace(Target::Other(2))),
            (ms(5600), QUIET_PERIOD),
            (ms(9700), Action::Fault(Fault::WipeMost { first: 0, down: ms(300) })),
            (ms(10_700), QUIET_PERIOD),
        ];
        assert_no_violation(&Schedule { seed, ..schedule_of(5, 2, steps) });
    }
}

/// Three founders where two disks may be lost: all three must hold what is committed. One of them is isolated
/// for longer than the silence after which a voter is replaced; without it the other two could commit nothing, not even
/// its removal, so it stays.
#[test]
fn a_founder_is_silent_while_no_voter_can_be_spared() {
    for seed in 1..=20 {
        let cut = |target| Action::Fault(Fault::Isolate { target, inbound: true, outbound: true, span: ms(2400) });
        let steps = vec![(ms(350), cut(Target::Other(0))), (ms(360), cut(Target::Slot(3))), (ms(2800), QUIET_PERIOD)];
        assert_no_violation(&Schedule { seed, ..schedule_of(5, 2, steps) });
    }
}

/// A machine is replaced, and its successor loses its disk before it becomes a voter. Both identities of the
/// successor are ready for a while; the older one must not become a voter.
#[test]
fn a_learner_loses_its_disk() {
    for seed in 1..=40 {
        let wiped = ms(5200 + 20 * seed);
        let steps = vec![
            (ms(1000), QUIET_PERIOD),
            (ms(5100), Action::Fault(Fault::Replace { target: Target::Other(1), orderly: false, down: ms(10) })),
            (wiped, Action::Fault(Fault::Wipe { target: Target::Slot(2), down: ms(10) })),
            (ms(8000), QUIET_PERIOD),
        ];
        assert_no_violation(&Schedule { seed, ..schedule_of(3, 1, steps) });
    }
}

/// A machine is replaced while a learner is waiting. With the two learners that are ready the electorate could
/// grow before the removed machine counts as silent; if its successor were lost then, two of four would be left.
#[test]
fn a_successor_is_lost_as_the_electorate_grows() {
    for seed in 1..=20 {
        let steps = vec![
            (ms(1000), QUIET_PERIOD),
            (ms(5100), Action::Fault(Fault::Replace { target: Target::Other(1), orderly: false, down: ms(10) })),
            (ms(7000), QUIET_PERIOD),
        ];
        let mut schedule = schedule_of(4, 1, steps);
        let action = Action::Fault(Fault::Wipe { target: Target::Slot(3), down: ms(10) });
        schedule.steps.insert(2, Step { at: ms(5101), when: When::ElectorateAppended, action });
        assert_no_violation(&Schedule { seed, ..schedule });
    }
}
