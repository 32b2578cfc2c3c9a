//! What the components of a controller ask for, after every call from outside.

use super::proposals::Purpose;
use super::{Controller, Effect, LeaderTerm};
use crate::process::consensus::{self, Role};
use crate::process::leadership;
use crate::process::peer_message::PeerMessage;
use std::net::Ipv4Addr;
use std::time::Instant;

impl Controller {
    /// Carries out what the components ask for until they ask for nothing more, and queues for the driver what is
    /// for the world outside. Every entry point ends with it.
    pub(super) fn process_effects(&mut self, now: Instant) {
        self.process_raft_effects(now);
        self.log_role_change();
        self.resend_proposals_to_new_leader(now);
        if self.compact_log() {
            return self.process_effects(now);
        }
        self.publish_changes();
        let leader = self.leader_address(now);
        self.tree.note_leader_contact(self.raft.last_quorum_contact(), leader);
        for (to, message) in self.tree.take_messages() {
            self.send(to, message);
        }
        self.process_leadership_effects(now);
    }

    /// Queues a message that waits for no write.
    pub(super) fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.pending_effects.push_back(Effect::Send { to, message, after_write: 0 });
    }

    fn process_raft_effects(&mut self, now: Instant) {
        loop {
            let effects = self.raft.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.process_raft_effect(now, effect);
            }
        }
    }

    fn process_raft_effect(&mut self, now: Instant, effect: consensus::Effect) {
        match effect {
            consensus::Effect::Write { number, write } => {
                self.pending_effects.push_back(Effect::Write { number, write });
            }
            consensus::Effect::Send { to, message, after: after_write } => {
                let message = PeerMessage::Raft(message);
                self.pending_effects.push_back(Effect::Send { to, message, after_write });
            }
            consensus::Effect::Restore(snapshot) => self.restore_snapshot(&snapshot),
            consensus::Effect::Apply { index, entry } => self.apply_entry(now, index, &entry),
            consensus::Effect::ReadReady(read) => self.answer_read(read),
            consensus::Effect::ReadFailed(read) => self.refuse_read(read),
        }
    }

    fn log_role_change(&mut self) {
        let role = self.raft.role();
        let was_leader = std::mem::replace(&mut self.last_role, role) == Role::Leader;
        let is_leader = role == Role::Leader;
        let term = self.raft.term();
        if was_leader && !is_leader {
            self.leadership.step_down();
            self.proposals.drop_leader_duties();
            self.pending_effects.push_back(Effect::Log(format!("no longer leading; term {term}")));
        }
        if !was_leader && is_leader {
            let took = self.raft.election_durations.last().map_or(0, |election| election.as_millis());
            self.pending_effects.push_back(Effect::Log(format!("leading term {term} after {took} ms")));
        }
    }

    /// Proposals that were sent to another leader are due for the new one at once.
    fn resend_proposals_to_new_leader(&mut self, now: Instant) {
        let term = self.raft.term();
        let leader = self.raft.leader().map(|leader| LeaderTerm { leader: leader.id, term });
        if leader.is_some() && leader != self.notified_leader {
            self.notified_leader = leader;
            self.proposals.make_all_due(now);
        }
    }

    fn process_leadership_effects(&mut self, now: Instant) {
        for effect in self.leadership.effects() {
            match effect {
                leadership::Effect::Propose(command) => {
                    self.propose(now, command, Purpose::LeaderDuty);
                    self.process_effects(now);
                }
                leadership::Effect::HealthCheck { token, instance, text } => {
                    self.pending_effects.push_back(Effect::HealthCheck { token, instance, statement: text });
                }
                leadership::Effect::PlatformCall { token, path, fence, body } => {
                    self.pending_effects.push_back(Effect::PlatformCall { token, path, fence, body });
                }
                leadership::Effect::Send(to, message) => self.send(to, message),
                leadership::Effect::Log(line) => self.pending_effects.push_back(Effect::Log(line)),
            }
        }
    }

    /// The leader's address, as far as it is known to be alive: a leader vouches for itself only while it is
    /// confirmed.
    fn leader_address(&self, now: Instant) -> Option<Ipv4Addr> {
        match self.raft.role() {
            Role::Leader => self.raft.is_confirmed_leader(now).then_some(self.descriptor.ip),
            _ => self.raft.leader().map(|leader| leader.ip),
        }
    }
}
