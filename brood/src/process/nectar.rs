//! The fleet counts as one: a bounded counter for each tenant's limit.
//!
//! After "Your Inventory Counter Just Went Negative": whoever admits an operation spends a right that it
//! holds; rights are created as time passes, moved by transfers that the giver is debited first, and
//! copies merge by maxima over entries that only grow. `docs/bounded-counter.md` says what was kept and
//! what was changed.

use crate::version::config::Quota;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// A holder of rights: the life of a process, or the term of a leader. One that begins anew is another.
pub type Holder = u64;

/// The counter: who gave how many rights to whom, and who has spent how many. Sparse: an entry that was
/// never raised is 0. What it is worth is derived, never stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Nectar {
    /// R by giver, then by receiver; the diagonal holds what was created.
    given: BTreeMap<(Holder, Holder), u64>,
    /// The same entries by receiver, then by giver.
    taken: BTreeMap<(Holder, Holder), u64>,
    /// U: what was spent.
    spent: BTreeMap<Holder, u64>,
}

impl Nectar {
    fn raise(&mut self, from: Holder, to: Holder, n: u64) {
        let entry = self.given.entry((from, to)).or_default();
        *entry = (*entry).max(n);
        self.taken.insert((to, from), *entry);
    }

    fn raise_spent(&mut self, who: Holder, n: u64) {
        let entry = self.spent.entry(who).or_default();
        *entry = (*entry).max(n);
    }

    fn entry(&self, from: Holder, to: Holder) -> u64 {
        self.given.get(&(from, to)).copied().unwrap_or(0)
    }

    pub fn spent(&self, who: Holder) -> u64 {
        self.spent.get(&who).copied().unwrap_or(0)
    }

    /// Created and received, less what was given away and spent. Less than nothing where a copy has heard
    /// of spending and not yet of the rights that it came from.
    pub fn local_rights(&self, who: Holder) -> i64 {
        let taken: u64 = self.taken.range((who, 0)..=(who, Holder::MAX)).map(|(_, n)| n).sum();
        let row = self.given.range((who, 0)..=(who, Holder::MAX));
        let given: u64 = row.filter(|((_, to), _)| *to != who).map(|(_, n)| n).sum();
        taken as i64 - given as i64 - self.spent(who) as i64
    }

    /// All that was created, less all that was spent; the floor is 0.
    pub fn value(&self) -> i64 {
        let created: u64 = self.given.iter().filter(|((from, to), _)| from == to).map(|(_, n)| n).sum();
        created as i64 - self.spent.values().sum::<u64>() as i64
    }

    pub fn create(&mut self, who: Holder, n: u64) {
        self.raise(who, who, self.entry(who, who) + n);
    }

    /// Spends rights that `who` holds, or nothing.
    pub fn dec(&mut self, who: Holder, n: u64) -> bool {
        let enough = self.local_rights(who) >= n as i64;
        if enough {
            self.raise_spent(who, self.spent(who) + n);
        }
        enough
    }

    /// Moves rights that `from` holds, or none; the giver is debited at once.
    pub fn transfer(&mut self, from: Holder, to: Holder, n: u64) -> bool {
        let enough = from != to && self.local_rights(from) >= n as i64;
        if enough && n > 0 {
            self.raise(from, to, self.entry(from, to) + n);
        }
        enough
    }

    /// Spends all that `who` holds: it may no longer be used.
    fn void(&mut self, who: Holder) {
        let rest = self.local_rights(who).max(0) as u64;
        self.dec(who, rest);
    }

    pub fn merge(&mut self, other: &Nectar) {
        other.given.iter().for_each(|((from, to), n)| self.raise(*from, *to, *n));
        other.spent.iter().for_each(|(who, n)| self.raise_spent(*who, *n));
    }
}

/// A forager's part of a tenant's counter, as it travels, and how many rights it wants to hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Need {
    pub tenant: String,
    taken: Vec<(Holder, u64)>,
    given: Vec<(Holder, u64)>,
    spent: u64,
    target: u64,
}

impl Need {
    /// What it tells, as a copy of the counter.
    fn copy(&self, life: Holder) -> Nectar {
        let mut copy = Nectar::default();
        self.taken.iter().for_each(|(from, n)| copy.raise(*from, life, *n));
        self.given.iter().for_each(|(to, n)| copy.raise(life, *to, *n));
        copy.raise_spent(life, self.spent);
        copy
    }
}

/// The same from the leader: what it has given this forager in all, and what is taken as spent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pour {
    pub tenant: String,
    given: u64,
    spent: u64,
}

impl Pour {
    fn copy(&self, leader: Holder, life: Holder) -> Nectar {
        let mut copy = Nectar::default();
        copy.raise(leader, life, self.given);
        copy.raise_spent(life, self.spent);
        copy
    }
}

/// Whether an operation may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sip {
    Admitted,
    /// Nothing is held here; the leader is asked.
    Ask,
    /// There is nothing to be had for the moment.
    Dry,
}

/// Rights are held for what the next moments are expected to want.
const STOCK: f64 = 0.9;
/// How fast the expectation follows, in seconds.
const PACE: f64 = 3.0;
/// Nobody is asked again for this long after there was nothing to be had.
const DRY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pot {
    nectar: Nectar,
    /// Operations asked for a second, smoothed, as of then.
    pace: f64,
    paced: Instant,
    /// Operations that wait for rights.
    waiting: u64,
    dry: Option<Instant>,
    /// Changed since the leader was told.
    changed: bool,
}

impl Pot {
    fn pace(&self, now: Instant) -> f64 {
        self.pace * (-now.duration_since(self.paced).as_secs_f64() / PACE).exp()
    }
}

/// The rights that a forager holds.
#[derive(Debug)]
pub struct Crop {
    me: Holder,
    pots: BTreeMap<String, Pot>,
    /// Rights may be spent until then.
    until: Option<Instant>,
    /// The leader that knows all that is held here.
    pub known: Holder,
}

impl Crop {
    pub fn new(me: Holder) -> Self {
        Crop { me, pots: BTreeMap::new(), until: None, known: 0 }
    }

    fn valid(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// An operation of a tenant that has a limit; `again`: it has waited for rights.
    pub fn sip(&mut self, now: Instant, tenant: &str, again: bool) -> Sip {
        let (valid, me) = (self.valid(now), self.me);
        let pot = self.pots.entry(tenant.to_owned()).or_insert_with(|| Pot {
            nectar: Nectar::default(),
            pace: 0.0,
            paced: now,
            waiting: 0,
            dry: None,
            changed: false,
        });
        if !again {
            pot.pace = pot.pace(now) + 1.0 / PACE;
            pot.paced = now;
        }
        if valid && pot.nectar.dec(me, 1) {
            pot.changed = true;
            return Sip::Admitted;
        }
        if pot.dry.is_some_and(|at| now.duration_since(at) < DRY) {
            return Sip::Dry;
        }
        pot.waiting += 1;
        pot.changed = true;
        Sip::Ask
    }

    /// What the leader is told: of every tenant, or of those where something has changed. What is held
    /// beyond need goes back.
    pub fn needs(&mut self, now: Instant, whole: bool) -> Vec<Need> {
        let (me, back) = (self.me, self.known);
        let valid = self.valid(now);
        let mut needs = Vec::new();
        for (tenant, pot) in &mut self.pots {
            let target = (pot.pace(now) * STOCK + 0.4) as u64 + pot.waiting;
            let held = pot.nectar.local_rights(me).max(0) as u64;
            let spare = held.saturating_sub(target);
            if valid && back > 0 && (spare > target + 2 || target == 0) {
                pot.changed |= spare > 0 && pot.nectar.transfer(me, back, spare);
            }
            if !std::mem::take(&mut pot.changed) && !whole {
                continue;
            }
            let row = pot.nectar.given.range((me, 0)..=(me, Holder::MAX));
            let column = pot.nectar.taken.range((me, 0)..=(me, Holder::MAX));
            needs.push(Need {
                tenant: tenant.clone(),
                taken: column.map(|((_, from), n)| (*from, *n)).collect(),
                given: row.map(|((_, to), n)| (*to, *n)).collect(),
                spent: pot.nectar.spent(me),
                target,
            });
        }
        needs
    }

    /// The leader of this term answered what was asked then. Whether it must be told everything.
    pub fn poured(&mut self, now: Instant, until: Instant, leader: Holder, pours: Vec<Pour>) -> bool {
        if until <= now {
            return false;
        }
        if !self.valid(now) {
            // It has been taken as spent meanwhile.
            self.pots.values_mut().for_each(|pot| pot.nectar.void(self.me));
        }
        self.until = self.until.max(Some(until));
        for pour in pours {
            let Some(pot) = self.pots.get_mut(&pour.tenant) else { continue };
            pot.nectar.merge(&pour.copy(leader, self.me));
            let empty = pot.waiting > 0 && pot.nectar.local_rights(self.me) <= 0;
            pot.dry = empty.then_some(now);
        }
        // Whoever waits asks anew.
        self.pots.values_mut().for_each(|pot| pot.waiting = 0);
        let new = self.known != leader;
        self.known = leader;
        new
    }
}

/// How much of the excess that the rules allow is used, so that what is created and not yet seen elsewhere
/// does not turn anybody away below the limit.
const EXCESS_USED: f64 = 0.5;
/// One forager holds no more than this part of a tenant's burst.
const HELD_MAX: u64 = 4;

#[derive(Debug, Default)]
struct Jar {
    nectar: Nectar,
    /// The part of a right that is under way, and up to when time has been counted.
    credit: f64,
    filled: Option<Instant>,
    /// Held by foragers: the sum of their local rights, kept as they change.
    held: i64,
}

/// The leader's copies of all counters. It creates the rights, and gives them out.
#[derive(Debug)]
pub struct Stores {
    me: Holder,
    since: Instant,
    /// Until then foragers may hold what an earlier leader gave.
    unknown_until: Instant,
    span: Duration,
    revision: u64,
    quotas: HashMap<String, Quota>,
    excess: (f64, f64),
    jars: HashMap<String, Jar>,
    /// Lives and their daemons' names, and when each was last answered.
    lives: BTreeMap<Holder, (String, Instant)>,
    /// Daemons that have told all they hold.
    told: BTreeSet<String>,
    swept: Instant,
}

impl Stores {
    /// `span`: how long rights may be spent after they were asked for. `excess`: part and number by which
    /// a limit may be passed.
    pub fn new(now: Instant, term: u64, span: Duration, confirm: Duration, excess: (f64, f64)) -> Self {
        Stores {
            me: term,
            since: now,
            unknown_until: now + span + confirm,
            span: span + confirm,
            revision: 0,
            quotas: HashMap::new(),
            excess,
            jars: HashMap::new(),
            lives: BTreeMap::new(),
            told: BTreeSet::new(),
            swept: now,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Goes by the limits of a version of the configuration.
    pub fn learn(&mut self, revision: u64, quotas: HashMap<String, Quota>) {
        self.revision = revision;
        self.quotas = quotas;
    }

    /// A forager tells what it holds and wants; `whole`: of every tenant. `roster` names the foragers that
    /// count. Gives out what there is.
    pub fn asked<'a>(
        &mut self,
        now: Instant,
        (name, life): (&str, Holder),
        whole: bool,
        needs: Vec<Need>,
        roster: impl Iterator<Item = &'a String>,
    ) -> Vec<Pour> {
        // A daemon that has begun anew spends nothing of its earlier life any more.
        self.write_off(|l, n, _| n == name && l != life);
        self.lives.insert(life, (name.to_owned(), now));
        self.sweep(now);
        if whole {
            self.told.insert(name.to_owned());
        }
        let unknown = match now < self.unknown_until {
            true => roster.filter(|n| !self.told.contains(*n)).count() as u64,
            false => 0,
        };
        needs.into_iter().filter_map(|need| self.pour(now, life, unknown, need)).collect()
    }

    fn pour(&mut self, now: Instant, life: Holder, unknown: u64, need: Need) -> Option<Pour> {
        let quota = self.quotas.get(&need.tenant)?;
        let (part, number) = (self.excess.0 * EXCESS_USED, self.excess.1 * EXCESS_USED);
        let burst = (quota.burst * (1.0 + part) + number).max(1.0);
        let (me, since) = (self.me, self.since);
        let jar = self.jars.entry(need.tenant.clone()).or_default();
        let before = jar.nectar.local_rights(life).max(0);
        jar.nectar.merge(&need.copy(life));
        let held = jar.nectar.local_rights(life).max(0);
        jar.held += held - before;
        // Rights are created as time passes, never so that more than the burst is unspent in all.
        let passed = now.duration_since(jar.filled.replace(now).unwrap_or(since)).as_secs_f64();
        let most = (burst as u64) / HELD_MAX;
        let hidden = (unknown * most.max(1)).min(burst as u64) as f64;
        let stock = jar.nectar.local_rights(me).max(0);
        let room = (burst - hidden - jar.held.max(0) as f64 - stock as f64).max(0.0);
        jar.credit = (jar.credit + passed * quota.rate * (1.0 + part)).min(room);
        let created = jar.credit as u64;
        jar.credit -= created as f64;
        jar.nectar.create(me, created);
        let stock = stock as u64 + created;
        let wants = need.target.min(most.max(1)).saturating_sub(held as u64);
        let gives = wants.min(stock);
        if jar.nectar.transfer(me, life, gives) {
            jar.held += gives as i64;
        }
        Some(Pour { tenant: need.tenant, given: jar.nectar.entry(me, life), spent: jar.nectar.spent(life) })
    }

    /// Foragers that have not been answered for so long may no longer spend what they hold.
    fn sweep(&mut self, now: Instant) {
        if now.duration_since(self.swept) < DRY {
            return;
        }
        self.swept = now;
        let span = self.span;
        self.write_off(|_, _, answered| now.duration_since(answered) > span);
    }

    /// What these lives hold is taken as spent.
    fn write_off(&mut self, gone: impl Fn(Holder, &str, Instant) -> bool) {
        let lives = self.lives.iter().filter(|(life, (name, at))| gone(**life, name, *at));
        let lives: Vec<Holder> = lives.map(|(life, _)| *life).collect();
        for life in lives {
            self.lives.remove(&life);
            for jar in self.jars.values_mut() {
                jar.held -= jar.nectar.local_rights(life).max(0);
                jar.nectar.void(life);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: Duration = Duration::from_millis(1800);
    const CONFIRM: Duration = Duration::from_millis(400);

    /// The source's own example: a wallet of 100, split 50, 30 and 20.
    #[test]
    fn a_charge_beyond_what_is_held_fails_until_rights_are_borrowed() {
        let mut wallet = Nectar::default();
        wallet.create(1, 100);
        assert!(wallet.transfer(1, 2, 30) && wallet.transfer(1, 3, 20));
        assert!(wallet.dec(1, 15) && wallet.dec(2, 25));
        let mut third = wallet.clone();
        assert!(!third.dec(3, 25), "it holds 20");
        assert!(wallet.transfer(1, 3, 10));
        assert!(!third.dec(3, 25), "not before it hears of it");
        third.merge(&wallet);
        assert!(third.dec(3, 25));
        assert_eq!(
            (third.local_rights(1), third.local_rights(2), third.local_rights(3), third.value()),
            (25, 5, 5, 35)
        );
    }

    #[test]
    fn any_order_of_spending_moving_losing_and_repeating_keeps_the_floor() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut copies = vec![Nectar::default(); 4];
            let mut sent: Vec<Nectar> = Vec::new();
            let (mut created, mut spent) = (0, 0);
            for _ in 0..300 {
                let (at, other) = (rng.usize(0..4), rng.usize(0..4));
                let n = rng.u64(0..6);
                let copy = &mut copies[at];
                match rng.u32(0..6) {
                    0 => {
                        copy.create(at as u64, n);
                        created += n;
                    }
                    1 => spent += if copy.dec(at as u64, n) { n } else { 0 },
                    2 => drop(copy.transfer(at as u64, other as u64, n)),
                    // What is sent may be lost, arrive late, or twice.
                    3 => sent.push(copy.clone()),
                    _ if sent.is_empty() => {}
                    _ => copies[at].merge(&sent[rng.usize(0..sent.len())]),
                }
                assert!(spent <= created, "seed {seed}");
            }
            let all = |order: [usize; 4]| {
                let mut sum = Nectar::default();
                order.iter().chain(&order).for_each(|c| sum.merge(&copies[*c]));
                sum
            };
            let sum = all([0, 1, 2, 3]);
            assert_eq!(sum, all([2, 0, 3, 1]), "the order does not matter, nor a repeat");
            assert_eq!(sum.value(), created as i64 - spent as i64);
            let held: i64 = (0..4).map(|who| sum.local_rights(who)).sum();
            assert_eq!(held, sum.value(), "rights are moved, never made");
            assert!((0..4).all(|who| sum.local_rights(who) >= 0));
        }
    }

    struct Hive {
        now: Instant,
        stores: Stores,
        crops: Vec<(String, Crop)>,
        admitted: Vec<Instant>,
        roster: Vec<String>,
    }

    impl Hive {
        fn new(foragers: usize, rate: f64, burst: f64) -> Self {
            let now = Instant::now();
            let crops: Vec<_> = (0..foragers).map(|n| (format!("f{n}"), Crop::new(1000 + n as u64))).collect();
            let roster = crops.iter().map(|(n, _)| n.clone()).collect();
            let mut hive = Hive {
                now,
                stores: Stores::new(now, 1, SPAN, CONFIRM, (0.0, 0.0)),
                crops,
                admitted: Vec::new(),
                roster,
            };
            hive.limit(2, rate, burst);
            hive
        }

        fn limit(&mut self, revision: u64, rate: f64, burst: f64) {
            self.stores.learn(revision, HashMap::from([("t".to_owned(), Quota { rate, burst })]));
        }

        fn ask(&mut self, n: usize, lost: bool) {
            let (name, crop) = &mut self.crops[n];
            let (asked, whole) = (self.now, crop.known == self.stores.me);
            let needs = crop.needs(self.now, true);
            let pours = self.stores.asked(self.now, (name, crop.me), whole, needs, self.roster.iter());
            if !lost {
                crop.poured(self.now, asked + SPAN, self.stores.me, pours);
            }
        }

        fn press(&mut self, n: usize) {
            let mut sip = self.crops[n].1.sip(self.now, "t", false);
            if sip == Sip::Ask {
                self.ask(n, false);
                sip = self.crops[n].1.sip(self.now, "t", true);
            }
            if sip == Sip::Admitted {
                self.admitted.push(self.now);
            }
        }

        /// The most that was admitted in any span of this length.
        fn most_in(&self, span: Duration) -> usize {
            let ends = self.admitted.iter().enumerate();
            ends.map(|(at, end)| self.admitted[..=at].iter().filter(|t| **t + span > *end).count()).max().unwrap_or(0)
        }
    }

    #[test]
    fn a_hot_tenant_is_held_to_its_limit_while_leaders_change_and_foragers_are_lost() {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut hive = Hive::new(8, 100.0, 100.0);
            let mut cut = [false; 8];
            for step in 0..12_000u64 {
                hive.now += Duration::from_millis(1);
                let n = rng.usize(0..8);
                if rng.u32(0..2) == 0 && !cut[n] {
                    hive.press(n);
                } else if cut[n] && hive.crops[n].1.sip(hive.now, "t", false) == Sip::Admitted {
                    // It goes on with what it holds.
                    let now = hive.now;
                    hive.admitted.push(now);
                }
                if step % 400 == 0 {
                    (0..8).filter(|n| !cut[*n]).for_each(|n| hive.ask(n, n as u64 == step / 400 % 8));
                }
                match step {
                    4_000 => cut = std::array::from_fn(|n| n < 2),
                    5_000 => hive.crops[2] = ("f2".into(), Crop::new(77)),
                    5_500 => {
                        let quotas = hive.stores.quotas.clone();
                        hive.stores = Stores::new(hive.now, 2, SPAN, CONFIRM, (0.0, 0.0));
                        hive.stores.learn(2, quotas);
                    }
                    8_000 => cut = [false; 8],
                    _ => {}
                }
            }
            let most = hive.most_in(Duration::from_secs(5));
            assert!(most <= 600, "seed {seed}: {most} of 600");
            assert!(hive.admitted.len() > 900, "seed {seed}: only {} of 1200 were let through", hive.admitted.len());
        }
    }

    #[test]
    fn a_lower_limit_holds_one_window_later_and_idle_rights_go_back() {
        let mut hive = Hive::new(2, 100.0, 100.0);
        for step in 0..30_000u64 {
            hive.now += Duration::from_millis(1);
            // The first is busy early, the other late.
            let n = usize::from(step > 6_000);
            if step % 5 == 0 {
                hive.press(n);
            }
            if step % 400 == 0 {
                (0..2).for_each(|n| hive.ask(n, false));
            }
            if step == 10_000 {
                hive.limit(4, 20.0, 20.0);
            }
        }
        let after = hive.now - Duration::from_secs(5);
        let late = hive.admitted.iter().filter(|t| **t > after).count();
        assert!((90..=120).contains(&late), "{late}");
        assert_eq!(hive.crops[0].1.pots["t"].nectar.local_rights(1000), 0, "nothing lies idle");
    }
}
