//! Lease requests: what a pooler reports to the leader, and which leases it asks for.

use super::timeouts::{LEASE_DEMAND_TIME, PRIMARY_OBSERVATION_MAX_AGE};
use super::{Effect, Pooler};
use crate::process::peer_message::{LeaseRequest, PeerMessage, PrimaryObservation};
use std::net::Ipv4Addr;
use std::time::Instant;

impl Pooler {
    /// A daemon that does not lead knows who does.
    pub fn handle_leader_redirect(&mut self, now: Instant, leader: Ipv4Addr) {
        self.leader.redirect(now, leader);
    }

    /// The last report to the leader before the process ends.
    pub fn send_final_report(&mut self, now: Instant) {
        self.request_leases(now);
    }

    /// A session here uses the service: its lease is requested, at once if it was not in use before.
    pub(super) fn note_service_use(&mut self, now: Instant, service: &str) {
        if self.services.note_use(now, service) {
            self.leader.request_leases_now(now);
        }
    }

    pub(super) fn request_leases(&mut self, now: Instant) {
        self.leader.schedule_next_lease_request(now);
        let recipients = match self.leader.responsive_leader(now) {
            Some(leader) => vec![leader],
            None => {
                self.admission.require_full_report();
                self.leader.all_candidates()
            }
        };
        let request = self.lease_request(now);
        for recipient in recipients {
            self.effects.push(Effect::SendToPeer(recipient, PeerMessage::LeaseRequest(request.clone())));
        }
    }

    fn lease_request(&mut self, now: Instant) -> LeaseRequest {
        let nonce = self.leader.next_nonce(now);
        let rights_needs = self.admission.report(now, nonce);
        let primary_observations = self.primary_observations(now);
        self.services.expire_uses(now, LEASE_DEMAND_TIME);
        LeaseRequest {
            nonce,
            node: self.identity.node.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            usage: self.usage.snapshot(),
            services: self.services_to_lease(),
            primary_observations,
            busy_connections: self.connections.busy_count() as u32,
            digest_sum: self.store_digest_sum,
            rights_needs,
            known_term: self.admission.known_term(),
        }
    }

    /// The services in use here, then those that this pooler carries for others.
    fn services_to_lease(&self) -> Vec<String> {
        let carried = self.carriers.carried().filter(|service| !self.services.is_used(service));
        self.services.used().chain(carried).cloned().collect()
    }

    /// What is known of primaries that answered lately or are failing; older knowledge is of no use to the leader.
    fn primary_observations(&self, now: Instant) -> Vec<PrimaryObservation> {
        let mut observations = Vec::new();
        for (name, service) in self.services.iter() {
            let Some(pool) = self.instances.get(&service.primary) else { continue };
            let failing = pool.is_failing(now, &self.connections);
            let last_answer_age = pool.last_response_at.map(|at| now.duration_since(at));
            let recent = last_answer_age.is_some_and(|age| age < PRIMARY_OBSERVATION_MAX_AGE);
            if !recent && !failing && !service.deposed {
                continue;
            }
            observations.push(PrimaryObservation {
                service: name.clone(),
                epoch: service.epoch,
                failing,
                deposed: service.deposed,
                last_answer_age,
            });
        }
        observations
    }
}
