//! Tests of the bounded counter, and of its use by several poolers and a leader.

use super::*;
use crate::version::config::Quota;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const RIGHTS_VALIDITY: Duration = Duration::from_millis(1800);
const CONFIRMATION: Duration = Duration::from_millis(400);

/// The example of the source: a wallet of 100, split 50, 30 and 20.
#[test]
fn decrement_beyond_local_rights_fails_until_a_transfer_is_merged() {
    let mut wallet = BoundedCounter::default();
    wallet.increment(1, 100);
    assert!(wallet.transfer(1, 2, 30) && wallet.transfer(1, 3, 20));
    assert!(wallet.decrement(1, 15) && wallet.decrement(2, 25));
    let mut third = wallet.clone();
    assert!(!third.decrement(3, 25), "it holds 20");
    assert!(wallet.transfer(1, 3, 10));
    assert!(!third.decrement(3, 25), "not before the transfer is merged");
    third.merge(&wallet);
    assert!(third.decrement(3, 25));
    assert_eq!((third.local_rights(1), third.local_rights(2), third.local_rights(3), third.value()), (25, 5, 5, 35));
}

#[test]
fn value_never_falls_below_zero_whatever_is_lost_repeated_or_reordered() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut copies = vec![BoundedCounter::default(); 4];
        let mut sent: Vec<BoundedCounter> = Vec::new();
        let (mut created, mut consumed) = (0, 0);
        for _ in 0..300 {
            let (holder, other) = (rng.usize(0..4), rng.usize(0..4));
            let rights = rng.u64(0..6);
            let copy = &mut copies[holder];
            match rng.u32(0..6) {
                0 => {
                    copy.increment(holder as u64, rights);
                    created += rights;
                }
                1 => consumed += if copy.decrement(holder as u64, rights) { rights } else { 0 },
                2 => drop(copy.transfer(holder as u64, other as u64, rights)),
                // What is sent may be lost, arrive late, or twice.
                3 => sent.push(copy.clone()),
                _ if sent.is_empty() => {}
                _ => copies[holder].merge(&sent[rng.usize(0..sent.len())]),
            }
            assert!(consumed <= created, "seed {seed}");
        }
        let merge_all = |order: [usize; 4]| {
            let mut merged = BoundedCounter::default();
            order.iter().chain(&order).for_each(|copy| merged.merge(&copies[*copy]));
            merged
        };
        let merged = merge_all([0, 1, 2, 3]);
        assert_eq!(merged, merge_all([2, 0, 3, 1]), "the order does not matter, nor a repeat");
        assert_eq!(merged.value(), created as i64 - consumed as i64);
        let held: i64 = (0..4).map(|holder| merged.local_rights(holder)).sum();
        assert_eq!(held, merged.value(), "rights are moved, never made");
        assert!((0..4).all(|holder| merged.local_rights(holder) >= 0));
    }
}

fn coordinator(now: Instant, term: HolderId) -> QuotaCoordinator {
    let options = QuotaCoordinatorOptions {
        term,
        rights_validity: RIGHTS_VALIDITY,
        confirmation: CONFIRMATION,
        excess: QuotaExcess { fraction: 0.0, operations: 0.0 },
    };
    QuotaCoordinator::new(now, options)
}

struct Pooler {
    name: String,
    rights: RightsHolder,
}

impl Pooler {
    fn new(name: &str, incarnation: HolderId) -> Self {
        Pooler { name: name.to_owned(), rights: RightsHolder::new(incarnation) }
    }
}

/// Poolers and a leader on one simulated clock.
struct Fleet {
    now: Instant,
    coordinator: QuotaCoordinator,
    poolers: Vec<Pooler>,
    admitted: Vec<Instant>,
    names: Vec<String>,
}

impl Fleet {
    fn new(poolers: usize, rate: f64, burst: f64) -> Self {
        let now = Instant::now();
        let poolers: Vec<Pooler> = (0..poolers).map(|n| Pooler::new(&format!("f{n}"), 1000 + n as u64)).collect();
        let names = poolers.iter().map(|pooler| pooler.name.clone()).collect();
        let mut fleet = Fleet { now, coordinator: coordinator(now, 1), poolers, admitted: Vec::new(), names };
        fleet.set_limit(2, rate, burst);
        fleet
    }

    fn set_limit(&mut self, revision: u64, rate: f64, burst: f64) {
        self.coordinator.set_quotas(revision, HashMap::from([("t".to_owned(), Quota { rate, burst })]));
    }

    fn request_rights(&mut self, n: usize, answer_lost: bool) {
        let Pooler { name, rights } = &mut self.poolers[n];
        let (asked_at, complete) = (self.now, rights.known_term == self.coordinator.term());
        let needs = rights.needs(self.now, true);
        let report = RightsReport { node: name, incarnation: rights.id(), complete, needs };
        let transfers = self.coordinator.handle_report(self.now, report, self.names.iter());
        if !answer_lost {
            rights.handle_rights_grant(self.now, asked_at + RIGHTS_VALIDITY, self.coordinator.term(), transfers);
        }
    }

    fn begin_operation(&mut self, n: usize) {
        let mut outcome = self.poolers[n].rights.spend(self.now, "t", false);
        if outcome == SpendOutcome::RequestRights {
            self.request_rights(n, false);
            outcome = self.poolers[n].rights.spend(self.now, "t", true);
        }
        if outcome == SpendOutcome::Admitted {
            self.admitted.push(self.now);
        }
    }

    /// The most that was admitted in any span of this length.
    fn most_admitted_within(&self, span: Duration) -> usize {
        let ends = self.admitted.iter().enumerate();
        ends.map(|(at, end)| self.admitted[..=at].iter().filter(|t| **t + span > *end).count()).max().unwrap_or(0)
    }
}

#[test]
fn admitted_operations_stay_within_the_limit_across_leader_changes_and_partitions() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(8, 100.0, 100.0);
        let mut partitioned = [false; 8];
        for step in 0..12_000u64 {
            fleet.now += Duration::from_millis(1);
            let n = rng.usize(0..8);
            if rng.u32(0..2) == 0 && !partitioned[n] {
                fleet.begin_operation(n);
            } else if partitioned[n] && fleet.poolers[n].rights.spend(fleet.now, "t", false) == SpendOutcome::Admitted {
                // It goes on with what it holds.
                let now = fleet.now;
                fleet.admitted.push(now);
            }
            if step % 400 == 0 {
                (0..8).filter(|n| !partitioned[*n]).for_each(|n| fleet.request_rights(n, n as u64 == step / 400 % 8));
            }
            match step {
                4_000 => partitioned = std::array::from_fn(|n| n < 2),
                5_000 => fleet.poolers[2] = Pooler::new("f2", 77),
                5_500 => {
                    let quotas = fleet.coordinator.quotas().clone();
                    fleet.coordinator = coordinator(fleet.now, 2);
                    fleet.coordinator.set_quotas(2, quotas);
                }
                8_000 => partitioned = [false; 8],
                _ => {}
            }
        }
        let most = fleet.most_admitted_within(Duration::from_secs(5));
        assert!(most <= 600, "seed {seed}: {most} of 600");
        assert!(fleet.admitted.len() > 900, "seed {seed}: only {} of 1200 were let through", fleet.admitted.len());
    }
}

#[test]
fn a_lowered_limit_takes_effect_and_idle_rights_are_returned() {
    let mut fleet = Fleet::new(2, 100.0, 100.0);
    for step in 0..30_000u64 {
        fleet.now += Duration::from_millis(1);
        // The first is busy early, the other late.
        let n = usize::from(step > 6_000);
        if step % 5 == 0 {
            fleet.begin_operation(n);
        }
        if step % 400 == 0 {
            (0..2).for_each(|n| fleet.request_rights(n, false));
        }
        if step == 10_000 {
            fleet.set_limit(4, 20.0, 20.0);
        }
    }
    let window_start = fleet.now - Duration::from_secs(5);
    let admitted = fleet.admitted.iter().filter(|at| **at > window_start).count();
    assert!((90..=120).contains(&admitted), "{admitted}");
    assert_eq!(fleet.poolers[0].rights.local_rights("t"), 0, "nothing lies idle");
}
