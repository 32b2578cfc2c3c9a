//! What other daemons say: greetings, the log's messages, proposals, asks for leases, the tree.

use super::Controller;
use super::proposals::DECIDED_TIMER;
use crate::process::consensus::LEADER_CONFIRMATION;
use crate::process::consensus::Role;
use crate::process::dissemination::anti_entropy::{Update, UpdateValue};
use crate::process::dissemination::partial_view::PeerDescriptor;
use crate::process::leadership::{self, LeaderContext};
use crate::process::peer_message::{GrantedLease, LeaseGrant, PeerMessage};
use crate::version::electorate::Voter;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

impl Controller {
    pub fn handle_peer_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) {
        if self.turns_away(now, from, &message) {
            return self.turn(now);
        }
        if let Some(rest) = self.relay.handle_message(now, from, message) {
            self.handle_control_message(now, from, rest);
        }
        let news = self.relay.take_updates();
        for update in &news {
            if let UpdateValue::Instance(instance) = &update.value {
                self.registry.apply_update(now, update.version, instance);
            }
        }
        self.turn(now);
    }

    fn handle_control_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) {
        match message {
            PeerMessage::Hello { descriptor, voter, bootstrapping, known_controllers } => {
                if descriptor.control.is_some() {
                    let new = self
                        .controllers
                        .insert(from, (descriptor.clone(), now))
                        .is_none_or(|(c, _)| c.control.is_none());
                    if new {
                        let hello = self.hello();
                        self.send(from, hello);
                    }
                }
                for descriptor in
                    known_controllers.into_iter().filter(|c| c.ip != self.descriptor.ip && c.control.is_some())
                {
                    self.controllers.entry(descriptor.ip).or_insert((descriptor, now));
                }
                self.relay.partial_view.merge(std::slice::from_ref(&descriptor));
                if let Some(id) = voter.filter(|_| bootstrapping && self.seeds.contains(&from)) {
                    self.founders.insert(from, id);
                    self.found();
                }
            }
            PeerMessage::Raft(message) => {
                let unknown =
                    || PeerDescriptor { name: from.to_string(), ip: from, zone: String::new(), control: None, age: 0 };
                self.controllers.entry(from).or_insert_with(|| (unknown(), now)).1 = now;
                self.raft.handle_message(now, message);
            }
            PeerMessage::Propose { proposal_id, command } => {
                if self.raft.role() != Role::Leader {
                    self.send(from, PeerMessage::NotLeader { proposal_id });
                } else if let Some(outcome) = self.control_state.result(proposal_id).cloned() {
                    self.send(from, PeerMessage::ProposalDecided { proposal_id, outcome });
                } else if self.raft.propose(now, proposal_id, command).is_some() {
                    self.send(from, PeerMessage::ProposalReceived { proposal_id });
                } else {
                    // It hands its lead on, or has too much under way.
                    self.send(from, PeerMessage::NotLeader { proposal_id });
                }
            }
            PeerMessage::ProposalReceived { proposal_id } => {
                if let Some(p) =
                    self.proposals.get_mut(&proposal_id.serial).filter(|_| proposal_id.proposer == self.proposer)
                {
                    p.heard = true;
                    p.due = now + DECIDED_TIMER;
                }
            }
            PeerMessage::ProposalDecided { proposal_id, outcome } if proposal_id.proposer == self.proposer => {
                self.decided(now, proposal_id, &outcome)
            }
            PeerMessage::NotLeader { .. } => {}
            PeerMessage::InstanceHeartbeats { heartbeats, digests } => {
                self.registry.note_heartbeats(now, &heartbeats);
                let ranges = self.relay.update_store.differing_ranges(&digests);
                if !ranges.is_empty() {
                    let versions = self.relay.update_store.versions(&ranges);
                    self.send(from, PeerMessage::CompareVersions { ranges, versions });
                }
            }
            PeerMessage::LeaseRequest(ask) => {
                if !self.raft.is_confirmed_leader(now) {
                    if let Some(leader) =
                        self.raft.leader().filter(|l| l.ip != self.descriptor.ip && self.has_quorum_contact(now))
                    {
                        self.send(from, PeerMessage::LeaderRedirect { leader: leader.ip });
                    }
                    return;
                }
                let (nonce, sum) = (ask.nonce, ask.digest_sum);
                let context = LeaderContext {
                    now,
                    term: self.raft.term(),
                    control_state: &self.control_state,
                    registry: &self.registry,
                    wall: Duration::ZERO,
                    confirm: LEADER_CONFIRMATION,
                };
                let (leases, reported, transfers) = self.leadership.handle_lease_request(&context, from, ask);
                let digests = (sum != self.relay.update_store.digest_sum()).then(|| self.relay.update_store.digests());
                let (span, term) = (leadership::LEASE_DURATION, self.raft.term());
                self.send(
                    from,
                    PeerMessage::LeaseGrant(LeaseGrant {
                        nonce,
                        leases: leases.into_iter().map(|(service, epoch)| GrantedLease { service, epoch }).collect(),
                        valid_for: span,
                        reported_through: reported,
                        digests,
                        term,
                        transfers,
                    }),
                );
            }
            PeerMessage::RightsRequest { nonce, node, incarnation, needs } if self.raft.is_confirmed_leader(now) => {
                let term = self.raft.term();
                let transfers =
                    self.leadership.grant_rights(now, term, &self.control_state, (&node, incarnation), false, needs);
                self.send(
                    from,
                    PeerMessage::RightsGrant { nonce, valid_for: leadership::LEASE_DURATION, term, transfers },
                );
            }
            PeerMessage::LeaseReturned { service, epoch } => {
                self.leadership.handle_lease_returned(from, &service, epoch);
                self.duty_due = now;
            }
            _ => {}
        }
    }

    pub(super) fn hello(&self) -> PeerMessage {
        let founding = self.bootstrap && self.in_quorum;
        let known = self.controllers.values().map(|(c, _)| c.clone()).collect();
        PeerMessage::Hello {
            descriptor: self.descriptor.clone(),
            voter: Some(self.raft.me().id),
            bootstrapping: founding,
            known_controllers: known,
        }
    }

    /// Where callers of `control` find another daemon that keeps the log.
    pub(super) fn control_of(&self, ip: Ipv4Addr) -> Option<SocketAddrV4> {
        if ip == self.descriptor.ip {
            self.descriptor.control
        } else {
            self.controllers.get(&ip).and_then(|(c, _)| c.control)
        }
    }

    /// Fixes the first electorate: the seeds that vote, once each has told its identity.
    pub(super) fn found(&mut self) {
        if !self.bootstrap
            || !self.in_quorum
            || !self.raft.voters().is_empty()
            || !self.seeds.contains(&self.descriptor.ip)
        {
            return;
        }
        let mut voters: Vec<Voter> = vec![self.raft.me()];
        for seed in self.seeds.iter().filter(|s| **s != self.descriptor.ip) {
            match self.founders.get(seed) {
                Some(id) => voters.push(Voter { id: *id, ip: *seed }),
                None => return,
            }
        }
        voters.sort_unstable();
        voters.dedup();
        self.raft.bootstrap(voters);
    }

    /// To the own children in the tree, and to the other roots for theirs.
    pub(super) fn spread(&mut self, update: Update) {
        for to in self.others() {
            self.send(to, PeerMessage::Updates(vec![update.clone()]));
        }
        self.relay.publish(vec![update]);
    }
}
