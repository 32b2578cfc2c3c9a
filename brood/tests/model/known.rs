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
