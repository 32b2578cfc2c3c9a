//! Links between machines: every message has a default delay, and may have a fate.

use super::schedule::{Fate, Schedule, Slot, Thing, Weather, ms};
use lichenfield_engine::process::consensus::Message;
use lichenfield_engine::version::control_state::{Command, Outcome, ProposalId};
use std::collections::BTreeMap;
use std::time::Duration;

/// What controllers say to each other; the part of `PeerMessage` that matters here.
#[derive(Debug, Clone)]
pub enum Wire {
    Raft(Message),
    Propose { mark: ProposalId, command: Command },
    Heard { mark: ProposalId },
    Decided { mark: ProposalId, outcome: Outcome },
}

/// Spreads numbers; a default that hangs on nothing but what it is for.
pub fn mix(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |h: u64, p| {
        let mut x = (h ^ p).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 29;
        x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 32)
    })
}

/// Finds fates: looks them up, or draws and records them.
#[derive(Debug)]
pub struct Fates {
    seed: u64,
    known: BTreeMap<Thing, Fate>,
    weather: Vec<(Duration, Duration, Weather)>,
    rng: fastrand::Rng,
}

impl Fates {
    pub fn new(schedule: &Schedule) -> Self {
        Fates {
            seed: schedule.seed,
            known: schedule.fates.clone(),
            weather: schedule.weather.clone(),
            rng: fastrand::Rng::with_seed(schedule.seed ^ 0x6661_7465),
        }
    }

    pub fn recorded(self) -> BTreeMap<Thing, Fate> {
        self.known
    }

    fn find(&mut self, now: Duration, thing: Thing) -> Option<Fate> {
        let weather = self.weather.iter().find(|(from, until, _)| *from <= now && now < *until).map(|(.., w)| *w);
        let Some(w) = weather else { return self.known.get(&thing).copied() };
        let lot = self.rng.u32(0..1000);
        let fate = match thing {
            Thing::Message { .. } if lot < w.lost => Fate::Lost,
            Thing::Message { .. } if lot < w.lost + w.late => Fate::Late(w.tail.mul_f64(self.rng.f64())),
            Thing::Message { .. } if lot < w.lost + w.late + w.twice => Fate::Twice(w.tail.mul_f64(self.rng.f64())),
            Thing::Sync { .. } if lot < w.slow_sync => Fate::Late(w.sync_tail.mul_f64(self.rng.f64())),
            _ => return None,
        };
        self.known.insert(thing, fate);
        Some(fate)
    }

    /// When a message sent now arrives: never, once or twice.
    pub fn message(&mut self, now: Duration, resting: bool, from: Slot, to: Slot, nth: u32) -> Vec<Duration> {
        let lot = mix(&[self.seed, from as u64, to as u64, u64::from(nth)]);
        let usual = now + Duration::from_micros(300 + lot % 1200);
        match self.find(now, Thing::Message { from, to, nth }).filter(|_| !resting) {
            None => vec![usual],
            Some(Fate::Lost) => vec![],
            Some(Fate::Late(by)) => vec![usual + by],
            Some(Fate::Twice(by)) => vec![usual, usual + by],
        }
    }

    /// How long a sync takes.
    pub fn sync(&mut self, now: Duration, resting: bool, slot: Slot, nth: u32) -> Duration {
        let usual = ms(1) + Duration::from_micros(mix(&[self.seed, slot as u64, u64::from(nth)]) % 500);
        match self.find(now, Thing::Sync { slot, nth }).filter(|_| !resting) {
            Some(Fate::Late(by)) => usual + by,
            _ => usual,
        }
    }
}

/// Cuts, one way each, and how many messages each link has carried.
#[derive(Debug, Default)]
pub struct Links {
    cuts: Vec<(Slot, Slot, Duration)>,
    carried: BTreeMap<(Slot, Slot), u32>,
}

impl Links {
    pub fn cut(&mut self, from: Slot, to: Slot, until: Duration) {
        self.cuts.push((from, to, until));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn open(&self, now: Duration, from: Slot, to: Slot) -> bool {
        !self.cuts.iter().any(|(f, t, until)| (*f, *t) == (from, to) && now < *until)
    }

    /// The number of the next message on a link.
    pub fn next(&mut self, from: Slot, to: Slot) -> u32 {
        let nth = self.carried.entry((from, to)).or_default();
        *nth += 1;
        *nth
    }
}
