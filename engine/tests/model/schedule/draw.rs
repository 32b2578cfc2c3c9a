//! Draws a schedule from a seed. Every draw counts: another order of draws would be another schedule.

use super::{
    Action, CATCH_UP, Fault, FaultPeriod, FaultRates, OPERATORS, Schedule, Step, SurvivingWrites, Target, When, ms,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Three founders cannot commit anything where four disks must hold it.
const TOLERANCE_MAX: usize = 2;

fn span(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    ms(rng.u64(from..=to))
}

fn target(rng: &mut fastrand::Rng, machines: usize) -> Target {
    match rng.u8(0..10) {
        0..=4 => Target::Leader,
        5..=7 => Target::Other(rng.usize(0..machines)),
        _ => Target::Slot(rng.usize(0..machines)),
    }
}

fn kept(rng: &mut fastrand::Rng) -> SurvivingWrites {
    match rng.u8(0..4) {
        0 => SurvivingWrites::All,
        1 | 2 => SurvivingWrites::Nothing,
        _ => SurvivingWrites::First(rng.usize(1..4)),
    }
}

fn down(rng: &mut fastrand::Rng) -> Duration {
    match rng.u8(0..4) {
        0 => span(rng, 1, 20),
        1 => span(rng, 20, 200),
        2 => span(rng, 200, 1000),
        _ => span(rng, 1000, 3000),
    }
}

fn fault(rng: &mut fastrand::Rng, machines: usize) -> Fault {
    let target = target(rng, machines);
    match rng.u8(0..30) {
        0..=5 => Fault::Power { target, kept: kept(rng), down: down(rng) },
        6 | 7 => Fault::Kill { target, down: down(rng) },
        8 | 9 => Fault::PowerAll { kept: kept(rng), down: down(rng) },
        10 | 11 => Fault::Wipe { target, down: down(rng) },
        12 | 13 => Fault::Replace { target, orderly: rng.bool(), down: down(rng) },
        14 => Fault::WipeMost { first: rng.usize(0..machines), down: down(rng) },
        15 | 16 => Fault::Leave { target, down: down(rng) },
        17..=19 => Fault::Freeze { target, span: if rng.bool() { span(rng, 50, 600) } else { span(rng, 600, 3000) } },
        20 => Fault::Jump { target, by: span(rng, 50, 3000) },
        21 => Fault::Disk { target, sync: span(rng, 20, 400), span: span(rng, 300, 2000) },
        22 => Fault::Disk { target, sync: ms(60_000), span: span(rng, 100, 3000) },
        23..=25 => {
            let side = rng.u16(..);
            let (from, to) = if rng.bool() { (side, !side) } else { (rng.u16(..), rng.u16(..)) };
            Fault::Cut { from, to, span: span(rng, 50, 2500) }
        }
        _ => {
            let (inbound, outbound) = [(true, true), (true, true), (true, false), (false, true)][rng.usize(0..4)];
            Fault::Isolate { target, inbound, outbound, span: span(rng, 50, 2500) }
        }
    }
}

fn when(rng: &mut fastrand::Rng) -> When {
    match rng.u8(0..12) {
        0 => When::ChangeAcknowledged,
        1 => When::VoteSent,
        2 | 3 => When::LeaderElected,
        4 | 5 => When::ElectorateAppended,
        6 => When::Snapshot,
        _ => When::Now,
    }
}

impl Schedule {
    /// Periods of faults and quiet periods alternate; the end of the last quiet period is the end of the run.
    pub fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x006d_6f64_656c);
        let machines = [3, 3, 3, 4, 5, 5, 6, 7][rng.usize(0..8)];
        let learner = machines > 3 && rng.u8(0..4) == 0;
        let voting = machines - usize::from(learner);
        let tolerance = rng.usize(1..=((voting - 1) / 2).min(TOLERANCE_MAX));
        let mut schedule = Schedule {
            seed,
            machines,
            learner,
            tolerance,
            exceeds_tolerance: rng.u8(0..8) == 0,
            compact_after: rng.u64(2..=20),
            tail: rng.u64(0..=30),
            end: Duration::ZERO,
            steps: Vec::new(),
            fates: BTreeMap::new(),
            fault_periods: Vec::new(),
        };
        let mut at = if rng.bool() { Duration::ZERO } else { ms(3000) };
        for _ in 0..rng.usize(2..=3) {
            let until = at + span(&mut rng, 1000, 5000);
            schedule.add_fault_period(&mut rng, at, until);
            schedule.steps.push(Step { at: until, when: When::Now, action: Action::QuietPeriod { span: CATCH_UP } });
            at = until + CATCH_UP;
        }
        schedule.end = at;
        // Clients are active throughout.
        let pause = rng.u64(10..=80);
        let mut next = Duration::ZERO;
        while next < at {
            next += span(&mut rng, 1, 2 * pause);
            let to = if rng.bool() { Target::Leader } else { Target::Slot(rng.usize(0..machines)) };
            let operator = rng.usize(0..OPERATORS);
            let action = match rng.u8(0..10) {
                0..=3 => Action::Put { operator, at: to },
                4 => Action::Again { operator, at: to },
                5 => Action::Drain { at: to },
                _ => Action::Read { at: to },
            };
            schedule.steps.push(Step { at: next, when: When::Now, action });
        }
        schedule.steps.sort_by_key(|s| s.at);
        schedule
    }

    fn add_fault_period(&mut self, rng: &mut fastrand::Rng, from: Duration, until: Duration) {
        let fault_periods = FaultRates {
            lost: [0, 0, 10, 50, 200][rng.usize(0..5)],
            late: [0, 20, 100, 300][rng.usize(0..4)],
            twice: [0, 20, 100][rng.usize(0..3)],
            tail: ms([5, 50, 200, 800][rng.usize(0..4)]),
            slow_sync: [0, 20, 200][rng.usize(0..3)],
            sync_tail: ms([5, 30, 200][rng.usize(0..3)]),
        };
        self.fault_periods.push(FaultPeriod { from, until, rates: fault_periods });
        let pause = rng.u64(100..=1200);
        // The first fault often loses a disk as soon as the machines of the last losses count as caught up.
        let mut at = from + ms(1);
        while at < until {
            let first = at == from + ms(1) && rng.bool();
            let fault = match (first, rng.u8(0..4)) {
                (true, 0) => Fault::WipeMost { first: rng.usize(0..self.machines), down: down(rng) },
                (true, 1 | 2) => Fault::Wipe { target: target(rng, self.machines), down: down(rng) },
                (true, _) => Fault::Replace { target: target(rng, self.machines), orderly: false, down: down(rng) },
                _ => fault(rng, self.machines),
            };
            let when = if first { When::Now } else { when(rng) };
            self.steps.push(Step { at, when, action: Action::Fault(fault) });
            at += span(rng, 1, 2 * pause);
        }
    }
}
