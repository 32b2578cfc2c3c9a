//! The replicated state: what the control plane's log decides.
//!
//! Every controller applies the same committed entries in the same order and so reaches the same state (the state
//! machine of the Raft paper, section 2). Applying therefore depends on nothing but the state and the entry: no clock,
//! no random numbers, no iteration over unordered collections.
//!
//! * [`command`]: what a log entry may ask for.
//! * [`outcome`]: what applying it led to, and the identity of a proposal.
//! * [`apply`]: the transition itself, one function for each command.
//! * [`accepted_changes`]: how a repeated configuration change is recognised.
//! * [`change_history`]: who changed what, for operators.
//! * [`proposal_results`]: results kept for proposers that ask again.
//! * [`records`]: the values held in the state.
//! * `update_key`: the names under which parts of the state are disseminated.
//!
//! The state is stored in snapshots by `bincode`: the order and the types of the fields of everything in here are part
//! of the stored format, their names are not. [`ConfigChange`] and [`NameDifference`] are also served as JSON by
//! `/api/history`, so their field names are fixed as well.

pub mod accepted_changes;
pub mod apply;
pub mod change_history;
pub mod command;
pub mod outcome;
pub mod proposal_results;
pub mod records;
mod update_key;

pub use accepted_changes::ACCEPTED_CHANGES_KEPT;
pub use apply::DRAINING_INSTANCES_KEPT;
pub use change_history::{ConfigChange, NameDifference};
pub use command::Command;
pub use outcome::{Outcome, ProposalId};
pub use records::{ConfigVersion, Epoch, UsageReport};
pub use update_key::UpdateKey;

use super::electorate::Voter;
use crate::process::forwarding::PoolerShares;
use accepted_changes::AcceptedChanges;
use proposal_results::ProposalResults;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The state after applying the log up to [`ControlState::applied_index`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Index of the last entry applied; 0 before the first.
    pub applied_index: u64,
    /// The configuration in force, if there ever was one.
    pub config: Option<ConfigVersion>,
    /// By which repeats of configuration changes are recognised.
    accepted_changes: AcceptedChanges,
    /// By service: the epoch that leases are granted for.
    pub epochs: BTreeMap<String, Epoch>,
    /// Ids of instances that announced their end, oldest first.
    pub draining_instances: VecDeque<String>,
    /// The poolers among which capped connections are divided, by name.
    pub pooler_shares: PoolerShares,
    /// By number of the usage window.
    pub usage_reports: BTreeMap<u64, UsageReport>,
    /// The controller that last took over reporting usage.
    pub usage_reporter: Option<String>,
    /// By which repeats of proposals are answered.
    results: ProposalResults,
    /// Everybody with a vote, during a change of the electorate those of both sets.
    pub voters: Vec<Voter>,
    /// The latest accepted configuration changes, oldest first.
    pub change_history: VecDeque<ConfigChange>,
    /// By [`UpdateKey`]: index of the log entry that last changed this part of the state.
    pub changed_at: BTreeMap<String, u64>,
}

impl ControlState {
    /// The revision of the configuration in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// The result of a proposal that was applied already and is still remembered.
    pub fn result(&self, proposal_id: ProposalId) -> Option<&Outcome> {
        self.results.get(proposal_id)
    }
}
