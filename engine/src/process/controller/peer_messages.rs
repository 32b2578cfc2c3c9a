//! Messages of other daemons: which component takes each, and the requests of poolers.

use super::membership::Hello;
use super::{Controller, leader_context};
use crate::process::consensus;
use crate::process::dissemination::anti_entropy::{Digests, UpdateValue};
use crate::process::leadership::{LEASE_DURATION, LeaseDecision};
use crate::process::peer_message::{LeaseGrant, LeaseRequest, PeerMessage};
use crate::process::quota::{RightsNeed, RightsReport};
use std::net::Ipv4Addr;
use std::time::Instant;

/// The content of a [`PeerMessage::RightsRequest`].
struct RightsRequest {
    nonce: u64,
    node: String,
    incarnation: u64,
    needs: Vec<RightsNeed>,
}

impl Controller {
    /// A message of another daemon.
    pub fn handle_peer_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) {
        if self.rejects_attach(now, from, &message) {
            return self.process_effects(now);
        }
        if let Some(message) = self.tree.handle_message(now, from, message) {
            self.handle_control_message(now, from, message);
        }
        for update in self.tree.take_updates() {
            if let UpdateValue::Instance(instance) = &update.value {
                self.registry.apply_update(now, update.version, instance);
            }
        }
        self.process_effects(now);
    }

    /// The messages that are not the tree's own.
    fn handle_control_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) {
        match message {
            PeerMessage::Hello { descriptor, voter, bootstrapping, known_controllers } => {
                self.handle_hello(now, from, Hello { descriptor, voter, bootstrapping, known_controllers });
            }
            PeerMessage::Raft(message) => self.handle_raft_message(now, from, message),
            PeerMessage::Propose { proposal_id, command } => self.handle_propose(now, from, proposal_id, command),
            PeerMessage::ProposalReceived { proposal_id } => self.handle_proposal_received(now, proposal_id),
            PeerMessage::ProposalDecided { proposal_id, outcome } if self.proposals.is_own(proposal_id) => {
                self.finish_proposal(proposal_id, &outcome);
            }
            PeerMessage::InstanceHeartbeats { heartbeats, digests } => {
                self.registry.note_heartbeats(now, &heartbeats);
                self.request_differing_updates(from, &digests);
            }
            PeerMessage::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            PeerMessage::RightsRequest { nonce, node, incarnation, needs } => {
                self.handle_rights_request(now, from, RightsRequest { nonce, node, incarnation, needs });
            }
            PeerMessage::LeaseReturned { service, epoch } => {
                self.leadership.handle_lease_returned(from, &service, epoch);
                self.deadlines.leader_duties = now;
            }
            // A `NotLeader` needs no answer: the proposal is sent again when its timeout has passed.
            _ => {}
        }
    }

    fn handle_raft_message(&mut self, now: Instant, from: Ipv4Addr, message: consensus::Message) {
        self.membership.note_raft_message(now, from);
        self.raft.handle_message(now, message);
    }

    /// Anti-entropy between roots: asks for the updates in the ranges whose digests differ.
    fn request_differing_updates(&mut self, from: Ipv4Addr, digests: &Digests) {
        let ranges = self.tree.update_store.differing_ranges(digests);
        if ranges.is_empty() {
            return;
        }
        let versions = self.tree.update_store.versions(&ranges);
        self.send(from, PeerMessage::CompareVersions { ranges, versions });
    }

    /// A pooler asks for leases: the leader grants them once it is confirmed, other controllers name the leader.
    fn handle_lease_request(&mut self, now: Instant, from: Ipv4Addr, request: LeaseRequest) {
        if !self.raft.is_confirmed_leader(now) {
            self.redirect_pooler_to_leader(now, from);
            return;
        }
        let (nonce, pooler_digest_sum) = (request.nonce, request.digest_sum);
        let context = leader_context(now, &self.raft, &self.control_state, &self.registry);
        let LeaseDecision { leases, reported_through, transfers } =
            self.leadership.handle_lease_request(&context, from, request);
        let copies_differ = pooler_digest_sum != self.tree.update_store.digest_sum();
        let digests = copies_differ.then(|| self.tree.update_store.digests());
        let (valid_for, term) = (LEASE_DURATION, self.raft.term());
        let grant = LeaseGrant { nonce, leases, valid_for, reported_through, digests, term, transfers };
        self.send(from, PeerMessage::LeaseGrant(grant));
    }

    /// Names the leader to a pooler, where this daemon is in contact and knows another one that leads.
    fn redirect_pooler_to_leader(&mut self, now: Instant, pooler: Ipv4Addr) {
        if !self.has_quorum_contact(now) {
            return;
        }
        if let Some(leader) = self.raft.leader().filter(|leader| leader.ip != self.descriptor.ip) {
            self.send(pooler, PeerMessage::LeaderRedirect { leader: leader.ip });
        }
    }

    /// A pooler is short of rights, and does not wait for its next lease request.
    fn handle_rights_request(&mut self, now: Instant, from: Ipv4Addr, request: RightsRequest) {
        if !self.raft.is_confirmed_leader(now) {
            return;
        }
        let RightsRequest { nonce, node, incarnation, needs } = request;
        let term = self.raft.term();
        let report = RightsReport { node: &node, incarnation, complete: false, needs };
        let transfers = self.leadership.grant_rights(now, term, &self.control_state, report);
        self.send(from, PeerMessage::RightsGrant { nonce, valid_for: LEASE_DURATION, term, transfers });
    }
}
