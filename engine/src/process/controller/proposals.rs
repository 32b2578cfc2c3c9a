//! Proposals: commands on their way to the leader, until the log has decided them.
//!
//! A proposal is sent again until it is decided; its [`ProposalId`] keeps a repeat from being applied twice.

use super::http_api::ApiError;
use super::quorum_gate::Unavailable;
use super::{Controller, RequestToken, Response};
use crate::process::consensus::Role;
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::{Command, Outcome, ProposalId};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A proposal that the leader has not acknowledged is sent again after this long.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(150);
/// One that the leader has acknowledged, and the log has not decided, is sent again after this long.
const DECISION_TIMEOUT: Duration = Duration::from_millis(900);
/// Requests are answered within this: callers give up after a second of silence.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);
/// Changes of the configuration are answered within this; operators' clients wait longer.
pub(super) const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(4000);

/// Who waits for a proposal's outcome.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    /// A caller, who is answered by the deadline.
    Request { token: RequestToken, deadline: Instant },
    /// Nobody: the leader's duties see in the state what was decided. Void once this daemon does not lead any more.
    LeaderDuty,
}

/// A proposal that is not decided yet.
#[derive(Debug)]
struct Proposal {
    command: Command,
    purpose: Purpose,
    /// It builds on a version that is not known here yet, and is sent once that is.
    waits_for_version: bool,
    /// When it is sent next.
    next_send_at: Instant,
}

/// The proposals of this daemon that are not decided yet.
#[derive(Debug)]
pub(super) struct Proposals {
    /// Marks this process as the proposer; drawn at random at each start.
    proposer: u64,
    last_serial: u64,
    /// By serial number.
    pending: BTreeMap<u64, Proposal>,
}

impl Proposals {
    pub(super) fn new(proposer: u64) -> Self {
        Proposals { proposer, last_serial: 0, pending: BTreeMap::new() }
    }

    /// Whether this process made the proposal.
    pub(super) fn is_own(&self, id: ProposalId) -> bool {
        id.proposer == self.proposer
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.pending.values().map(|proposal| proposal.next_send_at).min()
    }

    pub(super) fn make_all_due(&mut self, now: Instant) {
        for proposal in self.pending.values_mut() {
            proposal.next_send_at = now;
        }
    }

    /// The lead is lost: what this daemon proposed as the leader is void, also if it leads again soon.
    pub(super) fn drop_leader_duties(&mut self) {
        self.pending.retain(|_, proposal| !matches!(proposal.purpose, Purpose::LeaderDuty));
    }

    /// Another version is in place: changes may have waited for it.
    pub(super) fn make_waiting_due(&mut self, now: Instant) {
        for proposal in self.pending.values_mut().filter(|proposal| proposal.waits_for_version) {
            proposal.next_send_at = now;
        }
    }

    fn due(&self, now: Instant) -> Vec<u64> {
        let due = self.pending.iter().filter(|(_, proposal)| now >= proposal.next_send_at);
        due.map(|(serial, _)| *serial).collect()
    }
}

impl Controller {
    /// Begins to propose a command.
    pub(super) fn propose(&mut self, now: Instant, command: Command, purpose: Purpose) {
        let proposal = Proposal { command, purpose, waits_for_version: false, next_send_at: now };
        self.proposals.last_serial += 1;
        self.proposals.pending.insert(self.proposals.last_serial, proposal);
        self.send_due_proposals(now);
    }

    /// Sends the proposals that are due to whoever leads now.
    pub(super) fn send_due_proposals(&mut self, now: Instant) {
        for serial in self.proposals.due(now) {
            self.send_proposal(now, serial);
        }
    }

    /// Sends a proposal to the leader, or gives it up if its caller has waited long enough.
    ///
    /// A change that builds on a version which is not known here yet waits for it: a conflict is decided only against
    /// a version that the current one has passed, and so for good.
    fn send_proposal(&mut self, now: Instant, serial: u64) {
        let mark = ProposalId { proposer: self.proposals.proposer, serial };
        let revision = self.control_state.revision();
        let Some(proposal) = self.proposals.pending.get_mut(&serial) else { return };
        if let Purpose::Request { token, deadline } = proposal.purpose
            && now >= deadline
        {
            self.proposals.pending.remove(&serial);
            self.reply(token, Unavailable::NoDecisionYet);
            return;
        }
        proposal.next_send_at = now + RECEIPT_TIMEOUT;
        proposal.waits_for_version =
            matches!(&proposal.command, Command::Configure { if_match, .. } if *if_match > revision);
        if proposal.waits_for_version {
            return;
        }
        let command = proposal.command.clone();
        if self.raft.role() == Role::Leader {
            if self.raft.propose(now, mark, command).is_some() {
                proposal.next_send_at = now + DECISION_TIMEOUT;
            }
        } else if matches!(proposal.purpose, Purpose::LeaderDuty) {
            self.proposals.pending.remove(&serial);
        } else if let Some(leader) = self.raft.leader() {
            self.send(leader.ip, PeerMessage::Propose { proposal_id: mark, command });
        }
    }

    /// The log has decided a proposal of this daemon: whoever waits for it is answered.
    pub(super) fn finish_proposal(&mut self, id: ProposalId, outcome: &Outcome) {
        let Some(proposal) = self.proposals.pending.remove(&id.serial) else { return };
        if let Purpose::Request { token, .. } = proposal.purpose {
            let response = match outcome {
                Outcome::Accepted => Response::ok(),
                Outcome::Conflict { current } => ApiError::VersionConflict { current: *current }.into(),
                Outcome::Invalid { reason } => ApiError::InvalidConfig(reason.clone()).into(),
                Outcome::Unknown => Unavailable::OutcomeUnknown.into(),
            };
            self.reply(token, response);
        }
    }

    /// Another controller's proposal, which only the leader takes.
    pub(super) fn handle_propose(&mut self, now: Instant, from: Ipv4Addr, mark: ProposalId, command: Command) {
        let answer = if self.raft.role() != Role::Leader {
            PeerMessage::NotLeader { proposal_id: mark }
        } else if let Some(outcome) = self.control_state.result(mark).cloned() {
            PeerMessage::ProposalDecided { proposal_id: mark, outcome }
        } else if self.raft.propose(now, mark, command).is_some() {
            PeerMessage::ProposalReceived { proposal_id: mark }
        } else {
            // It hands its lead on, or has too much that is not committed.
            PeerMessage::NotLeader { proposal_id: mark }
        };
        self.send(from, answer);
    }

    /// The leader has a proposal of this daemon: it now has the longer time to be decided.
    pub(super) fn handle_proposal_received(&mut self, now: Instant, mark: ProposalId) {
        if !self.proposals.is_own(mark) {
            return;
        }
        if let Some(proposal) = self.proposals.pending.get_mut(&mark.serial) {
            proposal.next_send_at = now + DECISION_TIMEOUT;
        }
    }
}
