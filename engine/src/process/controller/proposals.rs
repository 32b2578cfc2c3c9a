//! Proposals: on their way to the leader, until the log has decided them.

use super::{Controller, Effect, Response, Token};
use crate::process::consensus::Role;
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::{Command, Outcome, ProposalId};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub(super) enum Purpose {
    /// A caller waits for it until then.
    Answer(Token, Instant),
    Duty,
}

#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) command: Command,
    pub(super) purpose: Purpose,
    /// The leader has it; before that the shorter timer runs.
    pub(super) heard: bool,
    /// It builds on a version that is not known here yet.
    waits: bool,
    pub(super) due: Instant,
}

/// The paper's two client timers: until the leader has the proposal, and until it is decided.
const HEARD_TIMER: Duration = Duration::from_millis(150);
pub(super) const DECIDED_TIMER: Duration = Duration::from_millis(900);
/// Callers move on after a second of silence; they are answered before.
pub(super) const ANSWER_BY: Duration = Duration::from_millis(850);
pub(super) const ANSWER_CONFIG_BY: Duration = Duration::from_millis(4000);

impl Controller {
    pub(super) fn propose(&mut self, now: Instant, command: Command, purpose: Purpose) {
        self.serial += 1;
        let proposal = Proposal { command, purpose, heard: false, waits: false, due: now };
        self.proposals.insert(self.serial, proposal);
        self.push_proposals(now);
    }

    /// Sends proposals whose timer has run out to whoever leads now. An order on a version that is not known here
    /// yet waits for it: a conflict is decided only against a version that the current one has passed, and so
    /// for good.
    pub(super) fn push_proposals(&mut self, now: Instant) {
        let due: Vec<u64> = self.proposals.iter().filter(|(_, p)| now >= p.due).map(|(s, _)| *s).collect();
        for serial in due {
            let mark = ProposalId { proposer: self.proposer, serial };
            let Some(proposal) = self.proposals.get_mut(&serial) else { continue };
            if let Purpose::Answer(token, by) = proposal.purpose
                && now >= by
            {
                self.proposals.remove(&serial);
                self.pending.push_back(Effect::Reply(token, Response::error(503, "no decision yet; ask again")));
                continue;
            }
            proposal.due = now + HEARD_TIMER;
            proposal.waits = matches!(&proposal.command, Command::Configure { if_match, .. } if *if_match > self.control_state.revision());
            if proposal.waits {
                continue;
            }
            let command = proposal.command.clone();
            if self.raft.role() == Role::Leader {
                if self.raft.propose(now, mark, command).is_some() {
                    proposal.due = now + DECIDED_TIMER;
                }
            } else if matches!(proposal.purpose, Purpose::Duty) {
                // Leadership belong to a lead that is over.
                self.proposals.remove(&serial);
            } else if let Some(leader) = self.raft.leader() {
                proposal.heard = false;
                self.send(leader.ip, PeerMessage::Propose { proposal_id: mark, command });
            }
        }
    }

    /// Another version is in place: orders may have waited for it.
    pub(super) fn wake_orders(&mut self, now: Instant) {
        self.proposals.values_mut().filter(|p| p.waits).for_each(|p| p.due = now);
    }

    pub(super) fn decided(&mut self, _now: Instant, mark: ProposalId, outcome: &Outcome) {
        let Some(proposal) = self.proposals.remove(&mark.serial) else { return };
        if let Purpose::Answer(token, _) = proposal.purpose {
            let response = match outcome {
                Outcome::Accepted => Response::ok(),
                Outcome::Conflict { current } => Response::json(
                    412,
                    &serde_json::json!({"error": "another version is in place", "revision": current}),
                ),
                Outcome::Invalid { why } => Response::error(400, why),
                Outcome::Unknown => Response::error(503, "built on a version too old to tell what became of it"),
            };
            self.pending.push_back(Effect::Reply(token, response));
        }
    }
}
