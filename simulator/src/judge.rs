//! What must hold whatever fails; each broken rule is told with its moment.

use lichenfield_engine::process::consensus::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// How a client's try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Acked,
    /// Promised that nothing is kept.
    Promised,
    Unclear,
}

/// A commit that writes, as an instance made it.
#[derive(Debug, Clone)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Made by an old primary after another had taken over.
    pub late: bool,
    pub ids: Vec<String>,
    pub cut_back: bool,
}

#[derive(Debug, Default)]
pub struct Judge {
    pub broken: Vec<String>,
    leaders: BTreeMap<u64, usize>,
    applied: BTreeMap<u64, Entry>,
    pub commits: Vec<Commit>,
    /// Whole-try id of each write's statement id.
    pub ends: HashMap<String, End>,
    /// Acknowledged positions, with the moment the client had them.
    pub acks: Vec<(Duration, String, u64, u64)>,
    /// What a statement must find: the session's values, and the shape of its prepared name.
    pub expects: HashMap<String, (BTreeMap<String, String>, Option<String>)>,
    fences: BTreeMap<String, (u64, usize)>,
    holders: BTreeMap<String, Vec<(Duration, usize)>>,
    reports: BTreeMap<u64, String>,
    /// Tries that have reached an instance, and when, by tenant.
    tries: HashSet<String>,
    arrivals: BTreeMap<usize, Vec<Duration>>,
    pub promotions: usize,
    pub asked: usize,
    pub served: usize,
}

impl Judge {
    pub fn breaks(&mut self, now: Duration, what: String) {
        if self.broken.len() < 20 {
            self.broken.push(format!("{:.3} s: {what}", now.as_secs_f64()));
        }
    }

    /// Election safety: at most one leader in a term.
    pub fn leads(&mut self, now: Duration, term: u64, node: usize) {
        if self.leaders.insert(term, node).is_some_and(|other| other != node) {
            self.breaks(now, format!("two leaders in term {term}"));
        }
    }

    /// State machine safety: no two daemons apply different entries at one index. With it, log
    /// matching and leader completeness show where they matter: what was applied once stays.
    pub fn applies(&mut self, now: Duration, index: u64, entry: &Entry) {
        match self.applied.get(&index) {
            Some(known) if known != entry => self.breaks(now, format!("index {index} applied with two entries")),
            Some(_) => {}
            None => {
                self.applied.insert(index, entry.clone());
            }
        }
    }

    /// A call of a duty reached the platform.
    pub fn duty(&mut self, now: Duration, subject: &str, fence: u64, node: usize, lease: Duration) {
        if let Some((last, holder)) = self.fences.get(subject).copied() {
            if fence < last {
                self.breaks(now, format!("{subject}: fence {fence} after {last}"));
            }
            if fence == last && holder != node {
                self.breaks(now, format!("{subject}: fence {fence} from two holders"));
            }
        }
        self.fences.insert(subject.to_owned(), (fence, node));
        let acts = self.holders.entry(subject.to_owned()).or_default();
        acts.push((now, node));
        let recent: Vec<usize> =
            acts.iter().filter(|(at, _)| now.saturating_sub(*at) < lease).map(|(_, n)| *n).collect();
        let mut order = recent.clone();
        order.dedup();
        if order.len() > order.iter().collect::<BTreeSet<_>>().len() {
            self.breaks(now, format!("{subject}: holders act in the order {order:?}"));
        }
    }

    pub fn usage(&mut self, now: Duration, window: u64, counts: &str) {
        if self.reports.get(&window).is_some_and(|known| known != counts) {
            self.breaks(now, format!("window {window} reported with two counts"));
        }
        self.reports.insert(window, counts.to_owned());
    }

    /// A statement of a try reaches an instance.
    pub fn arrives(&mut self, now: Duration, tenant: usize, try_id: &str) {
        if self.tries.insert(try_id.to_owned()) {
            self.arrivals.entry(tenant).or_default().push(now);
        }
    }

    /// QUOTA: in no span more than the limit lets through; a change counts from a span after it is known
    /// everywhere on, until then the higher one holds.
    pub fn count(&mut self, limits: &[(Duration, u32)], span: Duration, until: Duration) {
        let settle = span + Duration::from_secs(3);
        let mut found = Vec::new();
        for (tenant, times) in &self.arrivals {
            for (at, end) in times.iter().enumerate().filter(|(_, t)| **t <= until) {
                let start = end.saturating_sub(span);
                let old = limits.iter().rev().find(|(t, _)| *t + settle <= *end);
                let newer = limits.iter().filter(|(t, _)| *t + settle > *end);
                let Some(limit) = old.into_iter().chain(newer).map(|(_, l)| *l).max().filter(|_| old.is_some()) else {
                    continue;
                };
                let seen = times[..=at].iter().rev().take_while(|t| **t > start).count();
                let most = f64::from(limit) * (span.as_secs_f64() + 1.0);
                if seen as f64 > most {
                    found.push((*end, format!("QUOTA: tenant {tenant} had {seen} of {most} in a span")));
                    break;
                }
            }
        }
        found.into_iter().for_each(|(at, what)| self.breaks(at, what));
    }

    pub fn windows_reported(&self) -> usize {
        self.reports.len()
    }

    /// Writes: once at most, none that was promised away, none of those acknowledged missing.
    pub fn settle(&mut self, now: Duration) {
        let mut seen: HashMap<String, usize> = HashMap::new();
        for commit in &self.commits {
            for id in &commit.ids {
                *seen.entry(id.clone()).or_default() += 1;
            }
        }
        let kept: HashSet<String> = self.commits.iter().flat_map(|c| c.ids.clone()).collect();
        let mut found = Vec::new();
        for (id, n) in &seen {
            if *n > 1 {
                found.push(format!("write {id} took effect {n} times"));
            }
        }
        for commit in self.commits.iter().filter(|c| c.late) {
            for id in commit.ids.iter().filter(|id| self.ends.get(*id) == Some(&End::Acked)) {
                found.push(format!("ONE: write {id} of term {} was acknowledged after a promote", commit.term));
            }
        }
        for (id, end) in &self.ends {
            match end {
                End::Acked if !kept.contains(id) => found.push(format!("acknowledged write {id} was never committed")),
                End::Promised if kept.contains(id) => {
                    found.push(format!("write {id} is committed, and its client was promised not"))
                }
                _ => {}
            }
        }
        for what in found {
            self.breaks(now, what);
        }
    }
}
