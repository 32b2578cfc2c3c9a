//! The log: what it wants done, what it has decided, and the news that follows from it.

use super::proposals::Purpose;
use super::{Effect, Royal};
use crate::process::dance::Dance;
use crate::process::duties;
use crate::process::raft::{self, Role, Snapshot};
use crate::process::repair::{Fact, Value};
use crate::version::ledger::{Command, Outcome};
use std::net::Ipv4Addr;
use std::time::Instant;

impl Royal {
    /// Takes what the parts want done, until they want nothing more.
    pub(super) fn turn(&mut self, now: Instant) {
        loop {
            let effects = self.raft.effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    raft::Effect::Write(number, write) => self.pending.push_back(Effect::Write(number, write)),
                    raft::Effect::Send(to, message, after) => {
                        self.pending.push_back(Effect::Send(to, Dance::Raft(message), after))
                    }
                    raft::Effect::Restore(snapshot) => self.restore(&snapshot),
                    raft::Effect::Apply(index, entry) => self.apply(now, index, &entry),
                    raft::Effect::Readable(read) => self.readable(read),
                    raft::Effect::Unreadable(read) => self.unreadable(read),
                }
            }
        }
        let role = self.raft.role();
        if self.was == Role::Leader && role != Role::Leader {
            self.duties.stop();
            self.pending.push_back(Effect::Note(format!("no longer leading; term {}", self.raft.term())));
        }
        if self.was != Role::Leader && role == Role::Leader {
            let took = self.raft.elections.last().map_or(0, |d| d.as_millis());
            self.pending.push_back(Effect::Note(format!("leading term {} after {took} ms", self.raft.term())));
        }
        self.was = role;
        // Whatever was told to another leader is told to this one at once.
        let leader = self.raft.leader().map(|l| (l.id, self.raft.term()));
        if leader.is_some() && leader != self.told {
            self.told = leader;
            self.proposals.values_mut().for_each(|p| p.due = now);
        }
        if self.raft.wants_snapshot() {
            let state = bincode::serde::encode_to_vec(&self.ledger, bincode::config::standard()).unwrap_or_default();
            if !state.is_empty() {
                self.raft.compact(state);
                return self.turn(now);
            }
        }
        self.publish();
        self.relay.root_heard(self.raft.as_of(), self.sign_of_leader(now));
        for (to, dance) in self.relay.messages() {
            self.send(to, dance);
        }
        for effect in self.duties.effects() {
            match effect {
                duties::Effect::Propose(command) => {
                    self.propose(now, command, Purpose::Duty);
                    self.turn(now);
                }
                duties::Effect::Probe { token, instance, text } => {
                    self.pending.push_back(Effect::Probe { token, instance, text })
                }
                duties::Effect::Call { token, path, fence, body } => {
                    self.pending.push_back(Effect::Call { token, path, fence, body })
                }
                duties::Effect::Send(to, dance) => self.send(to, dance),
                duties::Effect::Note(note) => self.pending.push_back(Effect::Note(note)),
            }
        }
    }

    /// The leader's address while there are signs of it.
    fn sign_of_leader(&self, now: Instant) -> Option<Ipv4Addr> {
        match self.raft.role() {
            Role::Leader => self.raft.confirmed(now).then_some(self.card.ip),
            _ => self.raft.leader().map(|v| v.ip),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match bincode::serde::decode_from_slice(&snapshot.state, bincode::config::standard()) {
            Ok((ledger, _)) => self.ledger = ledger,
            Err(e) => self.pending.push_back(Effect::Alarm(format!("a snapshot can't be read: {e}"))),
        }
    }

    fn apply(&mut self, now: Instant, index: u64, entry: &raft::Entry) {
        let outcome = self.ledger.apply(index, entry.mark, &entry.command);
        self.duties.applied(&entry.command);
        if outcome == Outcome::Done && matches!(entry.command, Command::Configure { .. }) {
            self.wake_orders(now);
        }
        if entry.mark.proposer == self.proposer && entry.mark.serial != 0 {
            self.decided(now, entry.mark, &outcome);
        }
    }

    /// Turns what changed in the ledger into facts for the tree.
    pub(super) fn publish(&mut self) {
        // A queen that has just started knows only its last snapshot: foragers that start beside it must
        // not take that for the newest.
        if !self.raft.current() || self.published == self.ledger.index {
            return;
        }
        let mut facts = Vec::new();
        for (key, version) in &self.ledger.changed {
            if *version <= self.published {
                continue;
            }
            let value = match key.split_once('/') {
                Some(("c", _)) => self.ledger.config.as_ref().map(|c| Value::Config(c.raw.clone())),
                Some(("e", service)) => self.ledger.epochs.get(service).map(|e| Value::Epoch {
                    service: service.to_owned(),
                    epoch: e.epoch,
                    primary: e.primary.clone(),
                    term: e.term,
                    closed: e.closed,
                }),
                Some(("d", id)) => Some(Value::Drain { id: id.to_owned() }),
                Some(("q", _)) => Some(Value::Queens(self.ledger.voters.iter().map(|v| v.ip).collect())),
                Some(("s", name)) => {
                    Some(Value::Share { name: name.to_owned(), part: self.ledger.parts.get(name).cloned() })
                }
                _ => None,
            };
            if let Some(value) = value {
                facts.push(Fact { key: key.clone(), version: *version, value });
            }
        }
        self.published = self.ledger.index;
        if !facts.is_empty() {
            self.relay.publish(facts);
        }
    }
}
