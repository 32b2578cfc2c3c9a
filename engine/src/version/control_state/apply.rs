//! Applying committed entries: one function for each command.

use super::accepted_changes::{Fingerprint, KnownChange};
use super::{
    Command, ConfigChange, ConfigVersion, ControlState, Epoch, Outcome, ProposalId, UpdateKey, UsageReport,
    change_history,
};
use crate::process::forwarding::PoolerShares;
use crate::version::config::{self, Document};
use crate::version::electorate::Electorate;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Draining instances that are remembered.
pub const DRAINING_INSTANCES_KEPT: usize = 256;
/// Usage windows whose reports are remembered.
const USAGE_REPORTS_KEPT: usize = 16;
/// A new report may be for a window this many below the latest reported one, and no older.
const USAGE_WINDOWS_ACCEPTED_LATE: u64 = 3;

impl ControlState {
    /// Applies the entry at `index`, which must be the one after the last applied; a repeat of a proposal changes
    /// nothing and gives the result of the first.
    pub fn apply(&mut self, index: u64, proposal_id: ProposalId, command: &Command) -> Outcome {
        debug_assert_eq!(index, self.applied_index + 1);
        self.applied_index = index;
        if !proposal_id.is_deduplicated() {
            return self.apply_command(command);
        }
        if let Some(known) = self.result(proposal_id) {
            return known.clone();
        }
        let outcome = self.apply_command(command);
        self.results.record(proposal_id, outcome.clone());
        outcome
    }

    fn apply_command(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Noop => Outcome::Accepted,
            Command::Configure { if_match, raw, by, at } => self.configure(*if_match, raw, by, *at),
            Command::CloseEpoch { service, epoch } => self.close_epoch(service, *epoch),
            Command::SelectCandidate { service, epoch, candidate, caller } => {
                self.select_candidate(service, *epoch, candidate, caller)
            }
            Command::InstallPrimary { service, epoch, primary, term } => {
                self.install_primary(service, *epoch, primary, *term)
            }
            Command::DrainInstance { id } => self.drain_instance(id),
            Command::SetPoolerShares { shares } => self.set_pooler_shares(shares),
            Command::RecordUsage { window, counts, reporter } => self.record_usage(*window, counts, reporter),
            Command::ChangeElectorate { electorate } => self.change_electorate(electorate),
        }
    }

    /// Notes that the entry being applied changed the part of the state with this key.
    fn mark_changed(&mut self, key: UpdateKey) {
        self.changed_at.insert(key.to_string(), self.applied_index);
    }

    /// Replaces the configuration. The order of the checks matters: a repeat of an accepted change is acknowledged
    /// even when later changes made its base outdated.
    fn configure(&mut self, if_match: u64, raw: &[u8], by: &str, at: Duration) -> Outcome {
        let fingerprint = Fingerprint::of(raw);
        let current = self.revision();
        match self.accepted_changes.lookup(if_match, fingerprint) {
            KnownChange::Same => return Outcome::Accepted,
            KnownChange::Forgotten => return Outcome::Unknown,
            KnownChange::Other | KnownChange::None if if_match != current => return Outcome::Conflict { current },
            KnownChange::Other | KnownChange::None => {}
        }
        let document = match config::parse(raw) {
            Ok(document) => document,
            Err(error) => return Outcome::Invalid { reason: error.to_string() },
        };
        if document.revision <= current {
            return Outcome::Invalid { reason: format!("revision {} is not above {current}", document.revision) };
        }
        let change = ConfigChange::between(self.document_in_force(), &document, current, by, at);
        change_history::record(&mut self.change_history, change);
        self.config = Some(ConfigVersion { revision: document.revision, raw: raw.to_vec() });
        self.accepted_changes.record(if_match, fingerprint);
        self.mark_changed(UpdateKey::Config);
        Outcome::Accepted
    }

    fn document_in_force(&self) -> Option<Document> {
        self.config.as_ref().and_then(|config| config::parse(&config.raw).ok())
    }

    fn close_epoch(&mut self, service: &str, epoch: u64) -> Outcome {
        let Some(current) = self.epochs.get_mut(service).filter(|current| current.epoch == epoch) else {
            return Outcome::SUPERSEDED;
        };
        current.closed = true;
        self.mark_changed(UpdateKey::Epoch(service));
        Outcome::Accepted
    }

    fn select_candidate(&mut self, service: &str, epoch: u64, candidate: &str, caller: &str) -> Outcome {
        let current = self.epochs.get_mut(service).filter(|current| current.epoch == epoch && current.closed);
        let Some(current) = current else { return Outcome::SUPERSEDED };
        current.candidate = Some(candidate.to_owned());
        current.caller = Some(caller.to_owned());
        Outcome::Accepted
    }

    /// Opens the epoch after a closed one (or the first), unless its primary leads an older term of the database.
    fn install_primary(&mut self, service: &str, epoch: u64, primary: &str, term: u64) -> Outcome {
        let old = self.epochs.get(service);
        let is_next = old.map_or(0, |old| old.epoch) + 1 == epoch;
        if !is_next || old.is_some_and(|old| !old.closed || old.term > term) {
            return Outcome::SUPERSEDED;
        }
        let caller = old.and_then(|old| old.caller.clone());
        let new = Epoch { epoch, primary: primary.to_owned(), term, closed: false, candidate: None, caller };
        self.epochs.insert(service.to_owned(), new);
        self.mark_changed(UpdateKey::Epoch(service));
        Outcome::Accepted
    }

    fn drain_instance(&mut self, id: &str) -> Outcome {
        if self.draining_instances.iter().any(|known| known == id) {
            return Outcome::Accepted;
        }
        self.draining_instances.push_back(id.to_owned());
        if self.draining_instances.len() > DRAINING_INSTANCES_KEPT
            && let Some(oldest) = self.draining_instances.pop_front()
        {
            self.changed_at.remove(&UpdateKey::DrainingInstance(&oldest).to_string());
        }
        self.mark_changed(UpdateKey::DrainingInstance(id));
        Outcome::Accepted
    }

    fn set_pooler_shares(&mut self, shares: &PoolerShares) -> Outcome {
        let old = std::mem::replace(&mut self.pooler_shares, shares.clone());
        let names: BTreeSet<&String> = old.keys().chain(shares.keys()).collect();
        for name in names {
            if old.get(name) != shares.get(name) {
                self.mark_changed(UpdateKey::PoolerShare(name));
            }
        }
        Outcome::Accepted
    }

    /// Fixes the counts of a window, once: later entries for it only change who reports.
    fn record_usage(&mut self, window: u64, counts: &BTreeMap<String, u64>, reporter: &str) -> Outcome {
        if self.usage_reports.contains_key(&window) {
            self.usage_reporter = Some(reporter.to_owned());
            return Outcome::Accepted;
        }
        let latest = self.usage_reports.keys().next_back();
        if latest.is_some_and(|latest| *latest > window + USAGE_WINDOWS_ACCEPTED_LATE) {
            return Outcome::SUPERSEDED;
        }
        self.usage_reports.insert(window, UsageReport { counts: counts.clone(), reporter: reporter.to_owned() });
        self.usage_reporter = Some(reporter.to_owned());
        if self.usage_reports.len() > USAGE_REPORTS_KEPT {
            self.usage_reports.pop_first();
        }
        Outcome::Accepted
    }

    fn change_electorate(&mut self, electorate: &Electorate) -> Outcome {
        self.voters = electorate.all_voters();
        self.mark_changed(UpdateKey::Voters);
        Outcome::Accepted
    }
}
