//! Schedules laid out by hand: what a finding came down to, and what lots seldom draw.

use super::run;
use super::schedule::{Act, CATCH_UP, Fault, Schedule, Step, Target, When, ms};
use std::collections::BTreeMap;
use std::time::Duration;

fn plain(machines: usize, tolerance: usize, steps: Vec<(Duration, Act)>) -> Schedule {
    let end = steps.last().map_or(Duration::ZERO, |(at, _)| *at) + CATCH_UP;
    Schedule {
        seed: 1,
        machines,
        learner: false,
        tolerance,
        bold: false,
        log_kept: 8,
        tail: 4,
        end,
        steps: steps.into_iter().map(|(at, act)| Step { at, when: When::Now, act }).collect(),
        fates: BTreeMap::new(),
        weather: Vec::new(),
    }
}

fn holds(schedule: &Schedule) {
    if let Some((at, violation)) = run(schedule).broken {
        panic!("{} at {at:?}: {}\n{schedule}", violation.kind, violation.what);
    }
}

const REST: Act = Act::Rest { span: CATCH_UP };

/// Two of five leave for good and two empty ones come. Those are admitted before the silence of the
/// others is long enough: the electorate must come back to five, for with two of seven gone the loss of
/// two more would be the end.
#[test]
fn two_machines_are_replaced_at_once() {
    for seed in 1..=20 {
        let replace = |who| Act::Fault(Fault::Replace { who, orderly: true, down: ms(5) });
        let steps = vec![
            (ms(1000), REST),
            (ms(5100), replace(Target::Leader)),
            (ms(5200), replace(Target::Other(2))),
            (ms(5600), REST),
            (ms(9700), Act::Fault(Fault::WipeMost { first: 0, down: ms(300) })),
            (ms(10_700), REST),
        ];
        holds(&Schedule { seed, ..plain(5, 2, steps) });
    }
}

/// Three founders where two disks may be lost: all three must hold what is committed. One of them is cut
/// off for longer than a silent voter is borne; without it the other two could commit nothing, not even
/// that it is retired, so it stays.
#[test]
fn a_founder_is_silent_where_nobody_can_be_spared() {
    for seed in 1..=20 {
        let cut = |who| Act::Fault(Fault::Isolate { who, inbound: true, outbound: true, span: ms(2400) });
        let steps = vec![(ms(350), cut(Target::Other(0))), (ms(360), cut(Target::Slot(3))), (ms(2800), REST)];
        holds(&Schedule { seed, ..plain(5, 2, steps) });
    }
}

/// A machine is replaced, and its successor loses its disk before it is admitted. Both identities of the
/// successor stand ready for a while; the older one must not be admitted.
#[test]
fn a_newcomer_loses_its_disk() {
    for seed in 1..=40 {
        let wiped = ms(5200 + 20 * seed);
        let steps = vec![
            (ms(1000), REST),
            (ms(5100), Act::Fault(Fault::Replace { who: Target::Other(1), orderly: false, down: ms(10) })),
            (wiped, Act::Fault(Fault::Wipe { who: Target::Slot(2), down: ms(10) })),
            (ms(8000), REST),
        ];
        holds(&Schedule { seed, ..plain(3, 1, steps) });
    }
}

/// A machine is replaced beside one that stands by. With the two that stand ready the electorate could
/// grow before the one that is gone is missed; were its successor lost then, two of four would be left.
#[test]
fn a_successor_is_lost_as_the_electorate_grows() {
    for seed in 1..=20 {
        let steps = vec![
            (ms(1000), REST),
            (ms(5100), Act::Fault(Fault::Replace { who: Target::Other(1), orderly: false, down: ms(10) })),
            (ms(7000), REST),
        ];
        let mut schedule = plain(4, 1, steps);
        let act = Act::Fault(Fault::Wipe { who: Target::Slot(3), down: ms(10) });
        schedule.steps.insert(2, Step { at: ms(5101), when: When::Changing, act });
        holds(&Schedule { seed, ..schedule });
    }
}
