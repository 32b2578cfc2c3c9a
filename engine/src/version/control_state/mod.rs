//! The state that the replicated log decides: configuration, primaries, drains, shares, leadership.
//! Applying is deterministic; every daemon that keeps the log reaches the same control_state.

use super::config;
use super::electorate::{Electorate, Voter};
use crate::process::forwarding::PoolerShares;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A new leader's first entry: commits what came before it.
    Noop,
    Configure {
        if_match: u64,
        raw: Vec<u8>,
        /// The daemon that took the call, and the time of day there, since 1970.
        by: String,
        at: Duration,
    },
    /// No lease is given for this epoch any more: the primary is about to be replaced.
    CloseEpoch {
        service: String,
        epoch: u64,
    },
    /// The platform is about to be asked to let `target` take over.
    SelectCandidate {
        service: String,
        epoch: u64,
        candidate: String,
        holder: String,
    },
    /// `primary` is known to lead `term`; leases may be given for `epoch`.
    InstallPrimary {
        service: String,
        epoch: u64,
        primary: String,
        term: u64,
    },
    DrainInstance {
        id: String,
    },
    /// The data plane's daemons among which the capped connections are split.
    SetPoolerShares {
        parts: PoolerShares,
    },
    /// What will be reported for a window, fixed before it is sent.
    RecordUsage {
        window: u64,
        counts: BTreeMap<String, u64>,
        holder: String,
    },
    /// Who votes from here on.
    ChangeElectorate {
        electorate: Electorate,
    },
}

impl Command {
    /// Bytes that it takes, roughly: its texts, and a little for each number.
    pub fn size(&self) -> usize {
        const NUMBER: usize = 8;
        match self {
            Command::Noop => 0,
            Command::Configure { raw, by, .. } => raw.len() + by.len() + 2 * NUMBER,
            Command::CloseEpoch { service, .. } => service.len() + NUMBER,
            Command::SelectCandidate { service, candidate, holder, .. } => {
                service.len() + candidate.len() + holder.len() + NUMBER
            }
            Command::InstallPrimary { service, primary, .. } => service.len() + primary.len() + 2 * NUMBER,
            Command::DrainInstance { id } => id.len(),
            Command::SetPoolerShares { parts } => parts.keys().map(|name| name.len() + 2 * NUMBER).sum(),
            Command::RecordUsage { counts, holder, .. } => {
                counts.keys().map(|tenant| tenant.len() + NUMBER).sum::<usize>() + holder.len() + NUMBER
            }
            Command::ChangeElectorate { electorate } => {
                (electorate.voters.len() + electorate.outgoing.len()) * 2 * NUMBER
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Accepted,
    /// A version conflict: another version is current, or another epoch.
    Conflict {
        current: u64,
    },
    Invalid {
        why: String,
    },
    /// Built on a version so old that nobody knows any more whether this change was taken.
    Unknown,
}

/// A proposer's mark on an entry; serial 0 is the leader's own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalId {
    pub proposer: u64,
    pub serial: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigVersion {
    pub revision: u64,
    pub raw: Vec<u8>,
}

/// Who may take a service's primary work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Epoch {
    pub epoch: u64,
    pub primary: String,
    pub term: u64,
    /// Closed epochs get no lease.
    pub closed: bool,
    /// The instance last named to the platform in this epoch.
    pub named: Option<String>,
    /// The daemon that last held this service's duty at the platform.
    pub holder: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    pub counts: BTreeMap<String, u64>,
    pub holder: String,
}

/// What one accepted configuration changed, for operators; no keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    pub revision: u64,
    pub built_on: u64,
    pub by: String,
    pub at: Duration,
    pub routes: Difference,
    pub backends: Difference,
    pub customers: Difference,
}

/// Names that were added, removed, or stand for something else now.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub added: Vec<String>,
    pub removed: Vec<String>,
    pub changed: Vec<String>,
}

impl Difference {
    fn between<T: PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &String) -> Self {
        let index =
            |all| -> BTreeMap<String, &T> { Iterator::map(<[T]>::iter(all), |x| (name(x).clone(), x)).collect() };
        let (old, new) = (index(old), index(new));
        let mut names: BTreeSet<&String> = old.keys().collect();
        names.extend(new.keys());
        let mut difference = Difference::default();
        for name in names {
            match (old.get(name), new.get(name)) {
                (None, Some(_)) => difference.added.push(name.clone()),
                (Some(_), None) => difference.removed.push(name.clone()),
                (was, is) if was != is => difference.changed.push(name.clone()),
                _ => {}
            }
        }
        for names in [&mut difference.added, &mut difference.removed, &mut difference.changed] {
            if names.len() > NAMES_LISTED_PER_CHANGE {
                let more = names.len() - NAMES_LISTED_PER_CHANGE;
                names.truncate(NAMES_LISTED_PER_CHANGE);
                names.push(format!("and {more} more"));
            }
        }
        difference
    }
}

/// Changes of the configuration that are told of, and names in each.
const CHANGE_HISTORY_KEPT: usize = 64;
const NAMES_LISTED_PER_CHANGE: usize = 20;
/// Taken changes that a resend is known by; some 40 bytes each. CarrierLink more than are made while a resend of one may
/// still come.
pub const ACCEPTED_CHANGES_KEPT: usize = 4096;
/// How many results per proposer, drains and reports are kept.
const RESULTS_KEPT_PER_PROPOSER: usize = 64;
pub const DRAINING_INSTANCES_KEPT: usize = 256;
const USAGE_REPORTS_KEPT: usize = 16;
const PROPOSERS_KEPT: usize = 64;

/// Stands for a configuration as it was sent, byte by byte: no two have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Fingerprint([u8; blake3::OUT_LEN]);

impl Fingerprint {
    fn of(raw: &[u8]) -> Self {
        Fingerprint(*blake3::hash(raw).as_bytes())
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    pub applied_index: u64,
    pub config: Option<ConfigVersion>,
    /// The changes taken, by the version that each built on: one at most on each. A resend is known by it.
    accepted_changes: BTreeMap<u64, Fingerprint>,
    /// Changes built on versions below this are not known any more.
    oldest_known_base: u64,
    pub epochs: BTreeMap<String, Epoch>,
    pub draining_instances: VecDeque<String>,
    pub pooler_shares: PoolerShares,
    pub usage_reports: BTreeMap<u64, UsageReport>,
    /// The daemon that last held the usage duty.
    pub usage_reporter: Option<String>,
    results: VecDeque<(u64, VecDeque<(u64, Outcome)>)>,
    pub voters: Vec<Voter>,
    pub change_history: VecDeque<ConfigChange>,
    /// When each update last changed, as a log index.
    pub changed_at: BTreeMap<String, u64>,
}

impl ControlState {
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    /// The result of a proposal that was applied already.
    pub fn result(&self, mark: ProposalId) -> Option<&Outcome> {
        let (_, results) = self.results.iter().find(|(p, _)| *p == mark.proposer)?;
        results.iter().find(|(s, _)| *s == mark.serial).map(|(_, o)| o)
    }

    /// Applies the entry at `index`; a repeat of a proposal changes nothing.
    pub fn apply(&mut self, index: u64, mark: ProposalId, command: &Command) -> Outcome {
        debug_assert_eq!(index, self.applied_index + 1);
        self.applied_index = index;
        if mark.serial != 0
            && let Some(known) = self.result(mark)
        {
            return known.clone();
        }
        let outcome = self.decide(command);
        if mark.serial != 0 {
            self.remember(mark, outcome.clone());
        }
        outcome
    }

    fn remember(&mut self, mark: ProposalId, outcome: Outcome) {
        let mut results = match self.results.iter().position(|(p, _)| *p == mark.proposer) {
            Some(at) => self.results.remove(at).map(|(_, r)| r).unwrap_or_default(),
            None => VecDeque::new(),
        };
        results.push_back((mark.serial, outcome));
        if results.len() > RESULTS_KEPT_PER_PROPOSER {
            results.pop_front();
        }
        self.results.push_back((mark.proposer, results));
        if self.results.len() > PROPOSERS_KEPT {
            self.results.pop_front();
        }
    }

    fn note(&mut self, key: String) {
        self.changed_at.insert(key, self.applied_index);
    }

    fn decide(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Noop => {}
            Command::Configure { if_match, raw, by, at } => return self.configure(*if_match, raw, by, *at),
            Command::CloseEpoch { service, epoch } => {
                let Some(e) = self.epochs.get_mut(service).filter(|e| e.epoch == *epoch) else {
                    return Outcome::Conflict { current: 0 };
                };
                e.closed = true;
                self.note(format!("e/{service}"));
            }
            Command::SelectCandidate { service, epoch, candidate, holder } => {
                let Some(e) = self.epochs.get_mut(service).filter(|e| e.epoch == *epoch && e.closed) else {
                    return Outcome::Conflict { current: 0 };
                };
                e.named = Some(candidate.clone());
                e.holder = Some(holder.clone());
            }
            Command::InstallPrimary { service, epoch, primary, term } => {
                let old = self.epochs.get(service);
                if old.map_or(0, |e| e.epoch) + 1 != *epoch || old.is_some_and(|e| !e.closed || e.term > *term) {
                    return Outcome::Conflict { current: 0 };
                }
                let holder = old.and_then(|e| e.holder.clone());
                let new =
                    Epoch { epoch: *epoch, primary: primary.clone(), term: *term, closed: false, named: None, holder };
                self.epochs.insert(service.clone(), new);
                self.note(format!("e/{service}"));
            }
            Command::DrainInstance { id } => {
                if !self.draining_instances.contains(id) {
                    self.draining_instances.push_back(id.clone());
                    if self.draining_instances.len() > DRAINING_INSTANCES_KEPT
                        && let Some(old) = self.draining_instances.pop_front()
                    {
                        self.changed_at.remove(&format!("d/{old}"));
                    }
                    self.note(format!("d/{id}"));
                }
            }
            Command::SetPoolerShares { parts } => {
                let old = std::mem::replace(&mut self.pooler_shares, parts.clone());
                let names: BTreeSet<&String> = old.keys().chain(parts.keys()).collect();
                for name in names.into_iter().filter(|n| old.get(*n) != parts.get(*n)) {
                    self.note(format!("s/{name}"));
                }
            }
            Command::RecordUsage { window, counts, holder } => {
                if self.usage_reports.contains_key(window) {
                    // What was fixed stays; only the duty changes hands.
                    self.usage_reporter = Some(holder.clone());
                    return Outcome::Accepted;
                }
                if self.usage_reports.keys().next_back().is_some_and(|w| *w > *window + 3) {
                    return Outcome::Conflict { current: 0 };
                }
                self.usage_reports.insert(*window, UsageReport { counts: counts.clone(), holder: holder.clone() });
                self.usage_reporter = Some(holder.clone());
                if self.usage_reports.len() > USAGE_REPORTS_KEPT {
                    self.usage_reports.pop_first();
                }
            }
            Command::ChangeElectorate { electorate } => {
                self.voters = electorate.all_voters();
                self.note("q/".to_owned());
            }
        }
        Outcome::Accepted
    }

    fn configure(&mut self, if_match: u64, raw: &[u8], by: &str, at: Duration) -> Outcome {
        let (current, fingerprint) = (self.revision(), Fingerprint::of(raw));
        match self.accepted_changes.get(&if_match) {
            Some(taken) if *taken == fingerprint => return Outcome::Accepted,
            None if if_match < self.oldest_known_base => return Outcome::Unknown,
            _ if if_match != current => return Outcome::Conflict { current },
            _ => {}
        }
        let document = match config::read(raw) {
            Ok(document) => document,
            Err(why) => return Outcome::Invalid { why },
        };
        if document.revision <= current {
            return Outcome::Invalid { why: format!("revision {} is not above {current}", document.revision) };
        }
        let old = self.config.as_ref().and_then(|c| config::read(&c.raw).ok());
        let (routes, backends, customers) = old.map_or_else(Default::default, |o| (o.routes, o.backends, o.customers));
        self.change_history.push_back(ConfigChange {
            revision: document.revision,
            built_on: current,
            by: by.to_owned(),
            at,
            routes: Difference::between(&routes, &document.routes, |r| &r.name),
            backends: Difference::between(&backends, &document.backends, |b| &b.name),
            customers: Difference::between(&customers, &document.customers, |c| &c.name),
        });
        if self.change_history.len() > CHANGE_HISTORY_KEPT {
            self.change_history.pop_front();
        }
        self.config = Some(ConfigVersion { revision: document.revision, raw: raw.to_vec() });
        self.accepted_changes.insert(if_match, fingerprint);
        if self.accepted_changes.len() > ACCEPTED_CHANGES_KEPT
            && let Some((oldest, _)) = self.accepted_changes.pop_first()
        {
            self.oldest_known_base = oldest + 1;
        }
        self.note("c/".to_owned());
        Outcome::Accepted
    }
}
