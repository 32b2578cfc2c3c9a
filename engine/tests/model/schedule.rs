//! What goes wrong in a run, and when: drawn from a seed, recorded, printed, and made shorter.
//!
//! A schedule has two parts. The *steps* (crashes, cuts, wipes, calls of clients) are drawn before the
//! run. The *fates* (a message lost, late or doubled, a sync that takes long) are drawn while it goes on
//! and recorded under the name of what they befall, "the nth message from a to b". Everything that has
//! no fate takes its default, so a run is a function of its schedule, and any part of a schedule is a
//! schedule too. What a step may do is decided when it falls due (a disk is never lost beyond the
//! tolerance), so dropping other steps can't make it break the contract.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A machine, by its place in the world's list; an empty one at a new address has a place of its own.
pub type Slot = usize;

/// Whom a step befalls, decided when it falls due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Target {
    Slot(Slot),
    /// The running leader of the highest term, or the slot where there is none.
    Leader,
    /// The nth machine besides the leader.
    Other(usize),
}

/// What a crash leaves of the writes that are with the disk and not synced: the first so many of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kept {
    All,
    Nothing,
    First(usize),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Loss of power; the disk stays.
    Power {
        who: Target,
        kept: Kept,
        down: Duration,
    },
    /// The process dies; files stay as they were written.
    Kill {
        who: Target,
        down: Duration,
    },
    /// All machines at once lose power, and return one after the other within `down`.
    PowerAll {
        kept: Kept,
        down: Duration,
    },
    /// The machine returns at its address with an empty disk, if the tolerance allows it now.
    Wipe {
        who: Target,
        down: Duration,
    },
    /// It goes for good, with or without leaving in order, and an empty one comes at a new address.
    Replace {
        who: Target,
        orderly: bool,
        down: Duration,
    },
    /// As many disks as the tolerance allows are lost while the others lose power.
    WipeMost {
        first: Slot,
        down: Duration,
    },
    /// In order: it hands the lead on, and its process ends a little later.
    Leave {
        who: Target,
        down: Duration,
    },
    Freeze {
        who: Target,
        span: Duration,
    },
    /// The machine's clock jumps, and only that machine's.
    Jump {
        who: Target,
        by: Duration,
    },
    /// Each sync takes so long; with `sync` beyond `span` the disk is silent.
    Disk {
        who: Target,
        sync: Duration,
        span: Duration,
    },
    /// Nothing from the machines of one set reaches those of the other.
    Cut {
        from: u16,
        to: u16,
        span: Duration,
    },
    Isolate {
        who: Target,
        inbound: bool,
        outbound: bool,
        span: Duration,
    },
}

/// Steps fall due at their time, or at the first such event after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    Now,
    /// A client was told of a change.
    PrimaryReports,
    /// A vote was given and let out.
    Voted,
    /// Somebody began to lead.
    Leads,
    /// A leader wrote a new electorate.
    Changing,
    /// A snapshot was written.
    Snapshot,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Fault(Fault),
    /// An operator sends a change that builds on the newest version it knows.
    Put {
        operator: usize,
        at: Target,
    },
    /// An operator sends its last change again as it was.
    Again {
        operator: usize,
        at: Target,
    },
    Drain {
        at: Target,
    },
    Read {
        at: Target,
    },
    /// All trouble ends and everybody is back; by the end of the span all must be well.
    Rest {
        span: Duration,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub when: When,
    pub act: Act,
}

/// What a fate befalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Thing {
    /// The nth message on a link.
    Message { from: Slot, to: Slot, nth: u32 },
    /// The nth sync of a machine's disk.
    Sync { slot: Slot, nth: u32 },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    Lost,
    /// So much later than it would have come.
    Late(Duration),
    /// It comes, and once more so much later.
    Twice(Duration),
}

/// How likely the fates are, per mille, and how long delays are at most.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weather {
    pub lost: u32,
    pub late: u32,
    pub twice: u32,
    pub tail: Duration,
    pub slow_sync: u32,
    pub sync_tail: Duration,
}

#[derive(Debug, Clone)]
pub struct Schedule {
    /// Also the seed of the election timers, identities and default delays.
    pub seed: u64,
    pub machines: usize,
    /// The last machine keeps the log and does not vote.
    pub learner: bool,
    pub tolerance: usize,
    /// Disks are lost beyond the tolerance: nothing wrong may come of it, though perhaps nothing at all.
    pub bold: bool,
    /// Applied entries that are kept before they are compacted.
    pub log_kept: u64,
    /// Entries that stay in the log behind a snapshot.
    pub tail: u64,
    pub end: Duration,
    pub steps: Vec<Step>,
    pub fates: BTreeMap<Thing, Fate>,
    /// Spans of bad weather, while fates are drawn; none where they are only looked up.
    pub weather: Vec<(Duration, Duration, Weather)>,
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// `catch-up-s` of the contract: from then on a machine that is back, or new, counts as there.
pub const CATCH_UP: Duration = Duration::from_secs(4);

/// Three founders can't commit anything where four disks must hold it (`docs/raft.md`, Limits).
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

fn kept(rng: &mut fastrand::Rng) -> Kept {
    match rng.u8(0..4) {
        0 => Kept::All,
        1 | 2 => Kept::Nothing,
        _ => Kept::First(rng.usize(1..4)),
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
    let who = target(rng, machines);
    match rng.u8(0..30) {
        0..=5 => Fault::Power { who, kept: kept(rng), down: down(rng) },
        6 | 7 => Fault::Kill { who, down: down(rng) },
        8 | 9 => Fault::PowerAll { kept: kept(rng), down: down(rng) },
        10 | 11 => Fault::Wipe { who, down: down(rng) },
        12 | 13 => Fault::Replace { who, orderly: rng.bool(), down: down(rng) },
        14 => Fault::WipeMost { first: rng.usize(0..machines), down: down(rng) },
        15 | 16 => Fault::Leave { who, down: down(rng) },
        17..=19 => Fault::Freeze { who, span: if rng.bool() { span(rng, 50, 600) } else { span(rng, 600, 3000) } },
        20 => Fault::Jump { who, by: span(rng, 50, 3000) },
        21 => Fault::Disk { who, sync: span(rng, 20, 400), span: span(rng, 300, 2000) },
        22 => Fault::Disk { who, sync: ms(60_000), span: span(rng, 100, 3000) },
        23..=25 => {
            let side = rng.u16(..);
            let (from, to) = if rng.bool() { (side, !side) } else { (rng.u16(..), rng.u16(..)) };
            Fault::Cut { from, to, span: span(rng, 50, 2500) }
        }
        _ => {
            let (inbound, outbound) = [(true, true), (true, true), (true, false), (false, true)][rng.usize(0..4)];
            Fault::Isolate { who, inbound, outbound, span: span(rng, 50, 2500) }
        }
    }
}

fn when(rng: &mut fastrand::Rng) -> When {
    match rng.u8(0..12) {
        0 => When::PrimaryReports,
        1 => When::Voted,
        2 | 3 => When::Leads,
        4 | 5 => When::Changing,
        6 => When::Snapshot,
        _ => When::Now,
    }
}

impl Schedule {
    /// Storms and rests in turn; the last rest is the end.
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
            bold: rng.u8(0..8) == 0,
            log_kept: rng.u64(2..=20),
            tail: rng.u64(0..=30),
            end: Duration::ZERO,
            steps: Vec::new(),
            fates: BTreeMap::new(),
            weather: Vec::new(),
        };
        let mut at = if rng.bool() { Duration::ZERO } else { ms(3000) };
        for _ in 0..rng.usize(2..=3) {
            let until = at + span(&mut rng, 1000, 5000);
            schedule.storm(&mut rng, at, until);
            schedule.steps.push(Step { at: until, when: When::Now, act: Act::Rest { span: CATCH_UP } });
            at = until + CATCH_UP;
        }
        schedule.end = at;
        // Clients go on all the while.
        let pause = rng.u64(10..=80);
        let mut next = Duration::ZERO;
        while next < at {
            next += span(&mut rng, 1, 2 * pause);
            let to = if rng.bool() { Target::Leader } else { Target::Slot(rng.usize(0..machines)) };
            let operator = rng.usize(0..OPERATORS);
            let act = match rng.u8(0..10) {
                0..=3 => Act::Put { operator, at: to },
                4 => Act::Again { operator, at: to },
                5 => Act::Drain { at: to },
                _ => Act::Read { at: to },
            };
            schedule.steps.push(Step { at: next, when: When::Now, act });
        }
        schedule.steps.sort_by_key(|s| s.at);
        schedule
    }

    fn storm(&mut self, rng: &mut fastrand::Rng, from: Duration, until: Duration) {
        let weather = Weather {
            lost: [0, 0, 10, 50, 200][rng.usize(0..5)],
            late: [0, 20, 100, 300][rng.usize(0..4)],
            twice: [0, 20, 100][rng.usize(0..3)],
            tail: ms([5, 50, 200, 800][rng.usize(0..4)]),
            slow_sync: [0, 20, 200][rng.usize(0..3)],
            sync_tail: ms([5, 30, 200][rng.usize(0..3)]),
        };
        self.weather.push((from, until, weather));
        let pause = rng.u64(100..=1200);
        // Disks lost right after the last that were lost had their time.
        let mut at = from + ms(1);
        while at < until {
            let first = at == from + ms(1) && rng.bool();
            let fault = match (first, rng.u8(0..4)) {
                (true, 0) => Fault::WipeMost { first: rng.usize(0..self.machines), down: down(rng) },
                (true, 1 | 2) => Fault::Wipe { who: target(rng, self.machines), down: down(rng) },
                (true, _) => Fault::Replace { who: target(rng, self.machines), orderly: false, down: down(rng) },
                _ => fault(rng, self.machines),
            };
            let when = if first { When::Now } else { when(rng) };
            self.steps.push(Step { at, when, act: Act::Fault(fault) });
            at += span(rng, 1, 2 * pause);
        }
    }

    /// Makes a failing schedule shorter: drops ever smaller parts of it as long as it fails in the same
    /// way. `fails` says when it failed, if it did.
    pub fn shrink(mut self, mut tries: usize, fails: impl Fn(&Schedule) -> Option<Duration>) -> Self {
        self.weather.clear();
        let Some(failed) = fails(&self) else { return self };
        self.steps.retain(|s| s.at <= failed);
        let mut left = self;
        loop {
            let before = left.steps.len() + left.fates.len();
            let mut size = before.div_ceil(2);
            while size > 0 {
                let mut from = 0;
                while from < left.steps.len() + left.fates.len() {
                    if tries == 0 {
                        return left;
                    }
                    tries -= 1;
                    let shorter = left.without(from, size);
                    if fails(&shorter).is_some() {
                        left = shorter;
                    } else {
                        from += size;
                    }
                }
                size /= 2;
            }
            if left.steps.len() + left.fates.len() == before {
                return left;
            }
        }
    }

    /// Without `size` of its parts from the one at `from` on; the fates come first.
    fn without(&self, from: usize, size: usize) -> Self {
        let dropped = |at: usize| at >= from && at < from + size;
        let fates = self.fates.iter().enumerate().filter(|(at, _)| !dropped(*at)).map(|(_, (t, f))| (*t, *f));
        let offset = self.fates.len();
        let steps = self.steps.iter().enumerate().filter(|(at, _)| !dropped(at + offset)).map(|(_, s)| s.clone());
        Schedule { fates: fates.collect(), steps: steps.collect(), ..self.clone() }
    }
}

/// How many operators send changes.
pub const OPERATORS: usize = 3;

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Schedule { seed, machines, learner, tolerance, bold, log_kept, tail, .. } = self;
        let tolerance = format!("tolerance {tolerance}{}", if *bold { " and beyond" } else { "" });
        let learner = if *learner { ", the last only learns" } else { "" };
        writeln!(
            f,
            "seed {seed}: {machines} machines{learner}, {tolerance}, {log_kept} entries before a snapshot, {tail} behind it"
        )?;
        for step in &self.steps {
            let when = if step.when == When::Now { String::new() } else { format!(" at the next {:?}", step.when) };
            writeln!(f, "  {:?}{when}: {:?}", step.at, step.act)?;
        }
        for (thing, fate) in &self.fates {
            writeln!(f, "  {thing:?}: {fate:?}")?;
        }
        Ok(())
    }
}
