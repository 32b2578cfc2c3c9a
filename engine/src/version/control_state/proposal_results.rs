//! Results of applied proposals, kept for proposers that did not get the answer and propose again.

use super::outcome::{Outcome, ProposalId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Results kept for each proposer.
const RESULTS_KEPT_PER_PROPOSER: usize = 64;
/// Proposers with results, the one with the latest result last.
const PROPOSERS_KEPT: usize = 64;

/// The latest results of the latest proposers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProposalResults(VecDeque<ProposerResults>);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ProposerResults {
    proposer: u64,
    /// Oldest first.
    results: VecDeque<ProposalResult>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ProposalResult {
    serial: u64,
    outcome: Outcome,
}

impl ProposalResults {
    /// The result of this proposal, if it is still known.
    pub fn get(&self, proposal_id: ProposalId) -> Option<&Outcome> {
        let of_proposer = self.0.iter().find(|entry| entry.proposer == proposal_id.proposer)?;
        let result = of_proposer.results.iter().find(|result| result.serial == proposal_id.serial)?;
        Some(&result.outcome)
    }

    /// Records a result and forgets the oldest ones above the limits.
    pub fn record(&mut self, proposal_id: ProposalId, outcome: Outcome) {
        let mut results = self.take_proposer(proposal_id.proposer);
        results.push_back(ProposalResult { serial: proposal_id.serial, outcome });
        if results.len() > RESULTS_KEPT_PER_PROPOSER {
            results.pop_front();
        }
        self.0.push_back(ProposerResults { proposer: proposal_id.proposer, results });
        if self.0.len() > PROPOSERS_KEPT {
            self.0.pop_front();
        }
    }

    fn take_proposer(&mut self, proposer: u64) -> VecDeque<ProposalResult> {
        let position = self.0.iter().position(|entry| entry.proposer == proposer);
        position.and_then(|at| self.0.remove(at)).map(|entry| entry.results).unwrap_or_default()
    }
}
