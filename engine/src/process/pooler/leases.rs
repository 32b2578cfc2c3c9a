//! Leases: the leader's permission to send work to a service's primary in one epoch. The leader promotes another
//! primary only after every lease of the epoch has ended or was returned, so that work acknowledged under a lease is
//! never hidden by a newer primary's.

use super::timeouts::RECALL_GRACE;
use super::{Effect, Pooler};
use crate::connection::ConnectionId;
use crate::process::peer_message::{GrantedLease, LeaseGrant, PeerMessage};
use std::net::Ipv4Addr;
use std::time::Instant;

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lease {
    /// The epoch that it is for.
    pub epoch: u64,
    /// Its end; counted from when it was requested, so that it ends here before it does at the leader.
    pub valid_until: Instant,
}

/// The leader wants the leases of an epoch back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Recall {
    pub epoch: u64,
    /// Work still under way then is cut off.
    pub finish_by: Instant,
    /// Who is told that the lease is returned.
    pub leader: Ipv4Addr,
}

/// The lease held for a service, and its recall.
#[derive(Debug, Default)]
pub(super) struct LeaseState {
    held: Option<Lease>,
    recall: Option<Recall>,
}

impl LeaseState {
    pub(super) fn held(&self) -> Option<Lease> {
        self.held
    }

    /// Whether any epoch's leases have been recalled since the last new epoch.
    pub(super) fn has_recall(&self) -> bool {
        self.recall.is_some()
    }

    /// The recall of the lease that is held.
    pub(super) fn recall_of_held(&self) -> Option<Recall> {
        let lease = self.held?;
        self.recall.filter(|recall| recall.epoch == lease.epoch)
    }

    /// When the lease, or the time that its recall leaves, ends.
    pub(super) fn ends_at(&self) -> Option<Instant> {
        let lease = self.held?;
        Some(self.recall_of_held().map_or(lease.valid_until, |recall| recall.finish_by.min(lease.valid_until)))
    }

    /// Takes a grant, unless it is for an epoch that is recalled or over.
    pub(super) fn grant(&mut self, granted: Lease) {
        if self.recall.is_some_and(|recall| recall.epoch >= granted.epoch) {
            return;
        }
        match &mut self.held {
            Some(held) if held.epoch == granted.epoch => held.valid_until = held.valid_until.max(granted.valid_until),
            Some(held) if held.epoch > granted.epoch => {}
            held => *held = Some(granted),
        }
    }

    /// The lease has ended or is returned.
    pub(super) fn release(&mut self) {
        self.held = None;
    }

    pub(super) fn start_recall(&mut self, recall: Recall) {
        self.recall = Some(recall);
    }

    /// A new epoch has begun: recalls of earlier ones have served their purpose.
    pub(super) fn forget_recall(&mut self) {
        self.recall = None;
    }
}

impl Pooler {
    /// The leader answered a lease request.
    pub fn handle_lease_grant(&mut self, now: Instant, from: Ipv4Addr, grant: LeaseGrant) {
        let Some(sent_at) = self.leader.request_sent_at(grant.nonce) else { return };
        self.leader.note_grant(now, from, sent_at);
        let valid_until = sent_at + grant.valid_for;
        self.services.note_lease_end(valid_until);
        for GrantedLease { service, epoch } in grant.leases {
            self.services.get_or_insert(&service).lease.grant(Lease { epoch, valid_until });
        }
        self.handle_rights_grant(now, grant.nonce, grant.valid_for, grant.term, grant.transfers);
        if let Some(reported) = grant.reported_through {
            self.usage.discard_through(reported);
        }
        self.release_held_sessions(now);
    }

    /// The leader wants the leases of an epoch back: nothing more is sent, and work under way ends soon or is cut off.
    pub fn handle_lease_recall(&mut self, now: Instant, from: Ipv4Addr, service: &str, epoch: u64) {
        let state = self.services.get_or_insert(service);
        if state.lease.held().is_none_or(|lease| lease.epoch != epoch) {
            self.send_lease_returned(from, service, epoch);
            return;
        }
        if state.lease.recall_of_held().is_some() {
            return;
        }
        let primary = state.primary.clone();
        let failing = self.instances.get(&primary).is_some_and(|pool| pool.is_failing(now, &self.connections));
        let finish_by = if failing { now } else { now + RECALL_GRACE };
        if let Some(state) = self.services.get_mut(service) {
            state.lease.start_recall(Recall { epoch, finish_by, leader: from });
        }
        self.finish_recalls(now);
        self.services.update_lease_deadlines();
    }

    /// Returns recalled leases under which no work is under way, and cuts off work whose time is over.
    pub(super) fn finish_recalls(&mut self, now: Instant) {
        let recalled: Vec<(String, Recall)> = self
            .services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.lease.recall_of_held()?)))
            .collect();
        for (service, recall) in recalled {
            let in_use = self.connections.in_use_under_lease(&service, recall.epoch);
            if in_use.is_empty() || now >= recall.finish_by {
                self.close_connections(now, in_use);
                if let Some(state) = self.services.get_mut(&service) {
                    state.lease.release();
                }
                self.send_lease_returned(recall.leader, &service, recall.epoch);
            }
        }
    }

    /// Ends leases whose time is over: what was sent under them can no longer be acknowledged.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<(String, u64)> = self
            .services
            .iter()
            .filter_map(|(name, service)| {
                let lease = service.lease.held().filter(|lease| now >= lease.valid_until)?;
                Some((name.clone(), lease.epoch))
            })
            .collect();
        for (service, epoch) in expired {
            let in_use = self.connections.in_use_under_lease(&service, epoch);
            self.close_connections(now, in_use);
            let Some(state) = self.services.get_mut(&service) else { continue };
            let recall = state.lease.recall_of_held();
            state.lease.release();
            if let Some(recall) = recall {
                self.send_lease_returned(recall.leader, &service, epoch);
            }
        }
    }

    fn close_connections(&mut self, now: Instant, connection_ids: Vec<ConnectionId>) {
        for connection_id in connection_ids {
            self.close_connection(now, connection_id);
        }
    }

    fn send_lease_returned(&mut self, to: Ipv4Addr, service: &str, epoch: u64) {
        let message = PeerMessage::LeaseReturned { service: service.to_owned(), epoch };
        self.effects.push(Effect::SendToPeer(to, message));
    }

    /// Gives another chance to the sessions that wait for a lease, a position or an instance.
    pub(super) fn release_held_sessions(&mut self, now: Instant) {
        let waiting = self.services.iter().filter(|(_, service)| !service.held_sessions.is_empty());
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.release_held_sessions_of(now, &name);
        }
    }

    /// The same for one service.
    pub(super) fn release_held_sessions_of(&mut self, now: Instant, service: &str) {
        let held = self.services.get_mut(service).map(|state| std::mem::take(&mut state.held_sessions));
        for session_id in held.unwrap_or_default() {
            self.dispatch(now, session_id);
        }
    }
}

#[cfg(test)]
mod tests;
