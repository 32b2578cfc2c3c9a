//! Links between machines: every message has a default delay, and may have a fate.

use super::schedule::{Fate, FateTarget, FaultPeriod, Schedule, Slot, ms};
use lichenfield_engine::process::consensus::Message;
use lichenfield_engine::version::control_state::{Command, Outcome, ProposalId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Messages between controllers; the part of `PeerMessage` that matters here.
#[derive(Debug, Clone)]
pub enum Wire {
    Raft(Message),
    Propose { proposal_id: ProposalId, command: Command },
    ProposalReceived { proposal_id: ProposalId },
    Decided { proposal_id: ProposalId, outcome: Outcome },
}

/// A hash of some numbers; defaults drawn from it depend on nothing but what they are for.
pub fn hash_parts(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |h: u64, p| {
        let mut x = (h ^ p).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 29;
        x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 32)
    })
}

/// Looks up fates, or draws and records them.
#[derive(Debug)]
pub struct Fates {
    seed: u64,
    known: BTreeMap<FateTarget, Fate>,
    fault_periods: Vec<FaultPeriod>,
    rng: fastrand::Rng,
}

impl Fates {
    pub fn new(schedule: &Schedule) -> Self {
        Fates {
            seed: schedule.seed,
            known: schedule.fates.clone(),
            fault_periods: schedule.fault_periods.clone(),
            rng: fastrand::Rng::with_seed(schedule.seed ^ 0x6661_7465),
        }
    }

    pub fn recorded(self) -> BTreeMap<FateTarget, Fate> {
        self.known
    }

    fn find(&mut self, now: Duration, target: FateTarget) -> Option<Fate> {
        let period = self.fault_periods.iter().find(|period| period.from <= now && now < period.until);
        let Some(rates) = period.map(|period| period.rates) else { return self.known.get(&target).copied() };
        let draw = self.rng.u32(0..1000);
        let fate = match target {
            FateTarget::Message { .. } if draw < rates.lost => Fate::Lost,
            FateTarget::Message { .. } if draw < rates.lost + rates.late => {
                Fate::Late(rates.tail.mul_f64(self.rng.f64()))
            }
            FateTarget::Message { .. } if draw < rates.lost + rates.late + rates.twice => {
                Fate::Twice(rates.tail.mul_f64(self.rng.f64()))
            }
            FateTarget::Sync { .. } if draw < rates.slow_sync => Fate::Late(rates.sync_tail.mul_f64(self.rng.f64())),
            _ => return None,
        };
        self.known.insert(target, fate);
        Some(fate)
    }

    /// The times at which a message sent now arrives: none, one or two.
    pub fn message(&mut self, now: Duration, quiet_period: bool, from: Slot, to: Slot, nth: u32) -> Vec<Duration> {
        let draw = hash_parts(&[self.seed, from as u64, to as u64, u64::from(nth)]);
        let usual = now + Duration::from_micros(300 + draw % 1200);
        match self.find(now, FateTarget::Message { from, to, nth }).filter(|_| !quiet_period) {
            None => vec![usual],
            Some(Fate::Lost) => vec![],
            Some(Fate::Late(by)) => vec![usual + by],
            Some(Fate::Twice(by)) => vec![usual, usual + by],
        }
    }

    /// The duration of a sync.
    pub fn sync(&mut self, now: Duration, quiet_period: bool, slot: Slot, nth: u32) -> Duration {
        let usual = ms(1) + Duration::from_micros(hash_parts(&[self.seed, slot as u64, u64::from(nth)]) % 500);
        match self.find(now, FateTarget::Sync { slot, nth }).filter(|_| !quiet_period) {
            Some(Fate::Late(by)) => usual + by,
            _ => usual,
        }
    }
}

/// A link that is cut in one direction until a moment.
#[derive(Debug)]
struct Cut {
    from: Slot,
    to: Slot,
    until: Duration,
}

/// One-way cuts, and how many messages each link has carried.
#[derive(Debug, Default)]
pub struct Links {
    cuts: Vec<Cut>,
    carried: BTreeMap<(Slot, Slot), u32>,
}

impl Links {
    pub fn cut(&mut self, from: Slot, to: Slot, until: Duration) {
        self.cuts.push(Cut { from, to, until });
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn open(&self, now: Duration, from: Slot, to: Slot) -> bool {
        !self.cuts.iter().any(|cut| (cut.from, cut.to) == (from, to) && now < cut.until)
    }

    /// The number of the next message on a link.
    pub fn next(&mut self, from: Slot, to: Slot) -> u32 {
        let nth = self.carried.entry((from, to)).or_default();
        *nth += 1;
        *nth
    }
}
