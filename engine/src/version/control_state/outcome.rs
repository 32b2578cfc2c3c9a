//! What applying a command led to, and the identity of a proposal.

use serde::{Deserialize, Serialize};

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The state is as the command asked.
    Accepted,
    /// The command was built on another version than the current one, or names another epoch.
    Conflict {
        /// The revision in force; 0 for commands about epochs and usage.
        current: u64,
    },
    /// The document is not a valid configuration.
    Invalid {
        /// What is wrong with it, for the operator.
        reason: String,
    },
    /// Built on a version so old that it is not known any more whether this change was accepted.
    Unknown,
}

impl Outcome {
    /// A command about an epoch or a usage window came too late; there is no revision to name.
    pub(super) const SUPERSEDED: Outcome = Outcome::Conflict { current: 0 };
}

/// Identity of a proposal: a repeat with the same id is applied once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalId {
    /// Random number of the proposing process.
    pub proposer: u64,
    /// Number of the proposal at that process; 0 marks an entry of the leader's own, which is not deduplicated.
    pub serial: u64,
}

impl ProposalId {
    /// Whether repeats are recognised by this id.
    pub(super) fn is_deduplicated(self) -> bool {
        self.serial != 0
    }
}
