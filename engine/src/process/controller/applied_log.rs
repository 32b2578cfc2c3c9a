//! The log: what it wants done, what it has decided, and the news that follows from it.

use super::proposals::Purpose;
use super::{Controller, Effect};
use crate::process::consensus::{self, Role, Snapshot};
use crate::process::dissemination::anti_entropy::{Update, UpdateValue};
use crate::process::leadership;
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::{Command, Outcome};
use std::net::Ipv4Addr;
use std::time::Instant;

impl Controller {
    /// Takes what the parts want done, until they want nothing more.
    pub(super) fn turn(&mut self, now: Instant) {
        loop {
            let effects = self.raft.effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    consensus::Effect::Write(number, write) => self.pending.push_back(Effect::Write(number, write)),
                    consensus::Effect::Send(to, message, after) => {
                        self.pending.push_back(Effect::Send(to, PeerMessage::Raft(message), after))
                    }
                    consensus::Effect::Restore(snapshot) => self.restore(&snapshot),
                    consensus::Effect::Apply(index, entry) => self.apply(now, index, &entry),
                    consensus::Effect::Readable(read) => self.readable(read),
                    consensus::Effect::Unreadable(read) => self.unreadable(read),
                }
            }
        }
        let role = self.raft.role();
        if self.was == Role::Leader && role != Role::Leader {
            self.leadership.step_down();
            self.pending.push_back(Effect::Log(format!("no longer leading; term {}", self.raft.term())));
        }
        if self.was != Role::Leader && role == Role::Leader {
            let took = self.raft.elections.last().map_or(0, |d| d.as_millis());
            self.pending.push_back(Effect::Log(format!("leading term {} after {took} ms", self.raft.term())));
        }
        self.was = role;
        // Whatever was told to another leader is told to this one at once.
        let leader = self.raft.leader().map(|l| (l.id, self.raft.term()));
        if leader.is_some() && leader != self.told {
            self.told = leader;
            self.proposals.values_mut().for_each(|p| p.due = now);
        }
        if self.raft.wants_snapshot() {
            let state =
                bincode::serde::encode_to_vec(&self.control_state, bincode::config::standard()).unwrap_or_default();
            if !state.is_empty() {
                self.raft.compact(state);
                return self.turn(now);
            }
        }
        self.publish();
        self.relay.note_leader_contact(self.raft.last_quorum_contact(), self.sign_of_leader(now));
        for (to, message) in self.relay.take_messages() {
            self.send(to, message);
        }
        for effect in self.leadership.effects() {
            match effect {
                leadership::Effect::Propose(command) => {
                    self.propose(now, command, Purpose::Duty);
                    self.turn(now);
                }
                leadership::Effect::HealthCheck { token, instance, text } => {
                    self.pending.push_back(Effect::HealthCheck { token, instance, text })
                }
                leadership::Effect::PlatformCall { token, path, fence, body } => {
                    self.pending.push_back(Effect::PlatformCall { token, path, fence, body })
                }
                leadership::Effect::Send(to, message) => self.send(to, message),
                leadership::Effect::Log(note) => self.pending.push_back(Effect::Log(note)),
            }
        }
    }

    /// The leader's address while there are signs of it.
    fn sign_of_leader(&self, now: Instant) -> Option<Ipv4Addr> {
        match self.raft.role() {
            Role::Leader => self.raft.is_confirmed_leader(now).then_some(self.descriptor.ip),
            _ => self.raft.leader().map(|v| v.ip),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard()) {
            Ok((control_state, _)) => self.control_state = control_state,
            Err(e) => self.pending.push_back(Effect::LogError(format!("a snapshot can't be read: {e}"))),
        }
    }

    fn apply(&mut self, now: Instant, index: u64, entry: &consensus::Entry) {
        let outcome = self.control_state.apply(index, entry.proposal_id, &entry.command);
        self.leadership.on_applied(&entry.command);
        if outcome == Outcome::Accepted && matches!(entry.command, Command::Configure { .. }) {
            self.wake_orders(now);
        }
        if entry.proposal_id.proposer == self.proposer && entry.proposal_id.serial != 0 {
            self.decided(now, entry.proposal_id, &outcome);
        }
    }

    /// Turns what changed in the control_state into updates for the tree.
    pub(super) fn publish(&mut self) {
        // A controller that has just started knows only its last snapshot: poolers that start beside it must
        // not take that for the newest.
        if !self.raft.has_had_quorum_contact() || self.published == self.control_state.applied_index {
            return;
        }
        let mut updates = Vec::new();
        for (key, version) in &self.control_state.changed_at {
            if *version <= self.published {
                continue;
            }
            let value = match key.split_once('/') {
                Some(("c", _)) => self.control_state.config.as_ref().map(|c| UpdateValue::Config(c.raw.clone())),
                Some(("e", service)) => self.control_state.epochs.get(service).map(|e| UpdateValue::Epoch {
                    service: service.to_owned(),
                    epoch: e.epoch,
                    primary: e.primary.clone(),
                    term: e.term,
                    closed: e.closed,
                }),
                Some(("d", id)) => Some(UpdateValue::DrainInstance { id: id.to_owned() }),
                Some(("q", _)) => Some(UpdateValue::Voters(self.control_state.voters.iter().map(|v| v.ip).collect())),
                Some(("s", name)) => Some(UpdateValue::PoolerShare {
                    name: name.to_owned(),
                    share: self.control_state.pooler_shares.get(name).cloned(),
                }),
                _ => None,
            };
            if let Some(value) = value {
                updates.push(Update { key: key.clone(), version: *version, value });
            }
        }
        self.published = self.control_state.applied_index;
        if !updates.is_empty() {
            self.relay.publish(updates);
        }
    }
}
