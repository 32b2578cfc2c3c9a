//! A controller's process: the real `Raft` and `ControlState`, driven as `Controller` drives them.

use super::network::Wire;
use lichenfield_engine::process::consensus::{
    Effect, Entry, Parameters, PersistentState, Raft, Role, Snapshot, Write, WriteNumber,
};
use lichenfield_engine::version::control_state::{Command, ConfigVersion, ControlState, Outcome, ProposalId};
use lichenfield_engine::version::electorate::VoterId;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// The timers are those of `Controller`.
const RECEIVED_TIMER: Duration = Duration::from_millis(150);
const DECIDED_TIMER: Duration = Duration::from_millis(900);
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(2);

/// A client's call, by its number.
pub type Call = usize;

#[derive(Debug, Clone)]
pub enum Answer {
    Decided(Outcome),
    Read(Option<ConfigVersion>),
    /// The leader is there; ask it.
    NotLeader(Ipv4Addr),
    Unclear,
}

/// The outputs of a step, in order.
#[derive(Debug)]
pub enum NodeOutput {
    Write {
        number: WriteNumber,
        write: Write,
    },
    /// To be sent once the write with this number is durable.
    Send {
        to: Ipv4Addr,
        wire: Wire,
        after: WriteNumber,
    },
    Restored(Snapshot),
    Applied(AppliedEntry),
    Answer(Call, Answer),
}

/// An applied entry, and what the state machine made of it.
#[derive(Debug)]
pub struct AppliedEntry {
    pub index: u64,
    pub entry: Entry,
    pub outcome: Outcome,
}

#[derive(Debug)]
struct Proposal {
    command: Command,
    call: Call,
    deadline: Instant,
    due: Instant,
}

pub struct Node {
    pub raft: Raft,
    pub control_state: ControlState,
    id: VoterId,
    ip: Ipv4Addr,
    in_quorum: bool,
    compact_after: u64,
    proposer: u64,
    serial: u64,
    proposals: BTreeMap<u64, Proposal>,
    reads: BTreeMap<u64, Call>,
    last_token: u64,
    join_due: Instant,
    outputs: Vec<NodeOutput>,
}

/// The settings of a controller.
pub struct Setup {
    pub ip: Ipv4Addr,
    pub parameters: Parameters,
    pub in_quorum: bool,
    pub compact_after: u64,
    pub rng: fastrand::Rng,
}

impl Node {
    pub fn new(now: Instant, stored: PersistentState, mut setup: Setup) -> Self {
        let proposer = setup.rng.u64(1..);
        let id = stored.id;
        let raft = Raft::new(now, setup.ip, setup.parameters, stored, setup.rng.fork());
        Node {
            raft,
            control_state: ControlState::default(),
            id,
            ip: setup.ip,
            in_quorum: setup.in_quorum,
            compact_after: setup.compact_after,
            proposer,
            serial: 0,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_token: 0,
            join_due: now,
            outputs: Vec::new(),
        }
    }

    /// The calls that a crash leaves unanswered.
    pub fn calls(&self) -> Vec<Call> {
        self.proposals.values().map(|p| p.call).chain(self.reads.values().copied()).collect()
    }

    /// Performs the effects of the log until there are none, and compacts it.
    pub fn run_step(&mut self) -> Vec<NodeOutput> {
        loop {
            let effects = self.raft.take_effects();
            if effects.is_empty() {
                if self.raft.compactable_entries() <= self.compact_after {
                    return std::mem::take(&mut self.outputs);
                }
                let state = encode(&self.control_state);
                self.raft.compact(state);
                continue;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write { number, write } => self.outputs.push(NodeOutput::Write { number, write }),
            Effect::Send { to, message, after } => {
                self.outputs.push(NodeOutput::Send { to, wire: Wire::Raft(message), after })
            }
            Effect::Restore(snapshot) => {
                if !snapshot.state.is_empty() {
                    let read = bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard());
                    (self.control_state, _) = read.expect("a snapshot can be read");
                }
                self.outputs.push(NodeOutput::Restored(snapshot));
            }
            Effect::Apply { index, entry } => {
                let outcome = self.control_state.apply(index, entry.proposal_id, &entry.command);
                let proposal_id = entry.proposal_id;
                self.outputs.push(NodeOutput::Applied(AppliedEntry { index, entry, outcome: outcome.clone() }));
                if proposal_id.proposer == self.proposer {
                    self.decided(proposal_id, &outcome);
                }
            }
            Effect::ReadReady(token) => {
                if let Some(call) = self.reads.remove(&token) {
                    self.outputs.push(NodeOutput::Answer(call, Answer::Read(self.control_state.config.clone())));
                }
            }
            Effect::ReadFailed(token) => {
                if let Some(call) = self.reads.remove(&token) {
                    self.outputs.push(NodeOutput::Answer(call, Answer::Unclear));
                }
            }
        }
    }

    fn decided(&mut self, proposal_id: ProposalId, outcome: &Outcome) {
        if let Some(proposal) = self.proposals.remove(&proposal_id.serial) {
            self.outputs.push(NodeOutput::Answer(proposal.call, Answer::Decided(outcome.clone())));
        }
    }

    pub fn due(&self, now: Instant) -> Instant {
        let mut due = self.raft.next_due();
        if self.wants_to_join() {
            due = due.min(self.join_due);
        }
        self.proposals.values().map(|p| p.due).fold(due, Instant::min).max(now + TICK_INTERVAL_MIN)
    }

    /// Outside the electorate, or a voter that finds no leader: it may have been removed meanwhile.
    fn wants_to_join(&self) -> bool {
        self.raft.voters().iter().all(|v| v.id != self.id) || self.raft.leader().is_none()
    }

    pub fn tick(&mut self, now: Instant, others: &[Ipv4Addr]) {
        self.raft.tick(now);
        if now >= self.join_due {
            self.join_due = now + JOIN_INTERVAL;
            if self.wants_to_join() {
                for to in others {
                    self.raft.request_to_join(*to, self.in_quorum);
                }
            }
        }
        self.push_proposals(now);
    }

    pub fn receive(&mut self, now: Instant, from: Ipv4Addr, wire: Wire) {
        match wire {
            Wire::Raft(message) => self.raft.handle_message(now, message),
            Wire::Propose { proposal_id, command } => {
                if self.raft.role() != Role::Leader {
                    return;
                }
                if let Some(outcome) = self.control_state.result(proposal_id).cloned() {
                    self.outputs.push(NodeOutput::Send {
                        to: from,
                        wire: Wire::Decided { proposal_id, outcome },
                        after: 0,
                    });
                } else if self.raft.propose(now, proposal_id, command).is_some() {
                    self.outputs.push(NodeOutput::Send {
                        to: from,
                        wire: Wire::ProposalReceived { proposal_id },
                        after: 0,
                    });
                }
            }
            Wire::ProposalReceived { proposal_id } => {
                if let Some(p) =
                    self.proposals.get_mut(&proposal_id.serial).filter(|_| proposal_id.proposer == self.proposer)
                {
                    p.due = now + DECIDED_TIMER;
                }
            }
            Wire::Decided { proposal_id, outcome } => {
                if proposal_id.proposer == self.proposer {
                    self.decided(proposal_id, &outcome);
                }
            }
        }
    }

    /// A client's change.
    pub fn propose(&mut self, now: Instant, call: Call, command: Command) {
        if self.raft.leader().is_none() {
            self.outputs.push(NodeOutput::Answer(call, Answer::Unclear));
            return;
        }
        self.serial += 1;
        self.proposals.insert(self.serial, Proposal { command, call, deadline: now + CALL_TIMEOUT, due: now });
        self.push_proposals(now);
    }

    fn push_proposals(&mut self, now: Instant) {
        let due: Vec<u64> = self.proposals.iter().filter(|(_, p)| now >= p.due).map(|(s, _)| *s).collect();
        for serial in due {
            let proposal_id = ProposalId { proposer: self.proposer, serial };
            let Some(proposal) = self.proposals.get_mut(&serial) else { continue };
            if now >= proposal.deadline {
                let call = proposal.call;
                self.proposals.remove(&serial);
                self.outputs.push(NodeOutput::Answer(call, Answer::Unclear));
                continue;
            }
            let command = proposal.command.clone();
            proposal.due = now + RECEIVED_TIMER;
            if self.raft.role() == Role::Leader {
                proposal.due = now + DECIDED_TIMER;
                self.raft.propose(now, proposal_id, command);
            } else if let Some(leader) = self.raft.leader() {
                self.outputs.push(NodeOutput::Send {
                    to: leader.ip,
                    wire: Wire::Propose { proposal_id, command },
                    after: 0,
                });
            }
        }
    }

    /// A client's read of the configuration.
    pub fn read(&mut self, now: Instant, call: Call) {
        if self.raft.role() == Role::Leader {
            self.last_token += 1;
            self.reads.insert(self.last_token, call);
            self.raft.read(now, self.last_token);
            return;
        }
        let answer = match self.raft.leader().filter(|l| l.ip != self.ip) {
            Some(leader) => Answer::NotLeader(leader.ip),
            None => Answer::Unclear,
        };
        self.outputs.push(NodeOutput::Answer(call, answer));
    }
}

pub fn encode(control_state: &ControlState) -> Vec<u8> {
    bincode::serde::encode_to_vec(control_state, bincode::config::standard()).expect("a control_state can be written")
}
