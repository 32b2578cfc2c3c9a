//! The report of `GET /api/status`: what a controller tells operators of itself.

use super::Controller;
use crate::process::consensus::Role;
use crate::process::dissemination::anti_entropy::Instance;
use crate::process::forwarding::PoolerShares;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The whole report. Names and types are the JSON's, which operators' scripts read.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReport {
    /// The daemon's name.
    pub node: String,
    /// `follower`, `precandidate`, `candidate` or `leader`.
    pub role: &'static str,
    /// The log's current term.
    pub term: u64,
    /// The leader's address, if one is known.
    pub leader: Option<String>,
    /// The address of the leader's control interface, if it is known.
    pub leader_control: Option<String>,
    /// Whether this daemon is in contact with a majority; without it, it answers 503 (see `quorum_gate`).
    pub in_contact: bool,
    /// How old the state here may be, in milliseconds; none before the first contact with a majority.
    pub contact_age_ms: Option<u64>,
    /// The index of the last committed entry.
    pub commit: u64,
    /// The index of the last entry.
    pub last: u64,
    /// The voters' addresses.
    pub voters: Vec<String>,
    /// The revision of the configuration that is in place here; 0 for none.
    pub config_revision: u64,
    /// The names of the daemons in this daemon's partial view.
    pub daemons_seen: Vec<String>,
    /// The known instances.
    pub instances: Vec<InstanceStatus>,
    /// Who may take primary work, by service.
    pub primaries: BTreeMap<String, PrimaryStatus>,
    /// How many instances the log knows as draining.
    pub drains: usize,
    /// The poolers' shares of the capped connections.
    pub shares: PoolerShares,
    /// What the leader's duties hold in memory.
    pub leadership: serde_json::Value,
    /// How long this daemon would wait for votes as a candidate, in milliseconds.
    pub candidate_timeout_ms: u64,
}

/// An instance, as the registry knows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceStatus {
    /// The instance's identity.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it takes sessions.
    pub address: String,
    /// The zone that it runs in.
    pub zone: String,
    /// `primary` or `replica`, by its own account.
    pub role: &'static str,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Milliseconds since its last heartbeat at any controller.
    pub silent_ms: Option<u64>,
}

/// Who may take a service's primary work.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PrimaryStatus {
    /// Rises with every replacement.
    pub epoch: u64,
    /// The primary's identity.
    pub primary: String,
    /// The database group's term that it leads.
    pub term: u64,
    /// Whether no more leases are given for this epoch.
    pub closed: bool,
}

impl Controller {
    /// The report as JSON, keys in alphabetical order.
    pub fn status(&self, now: Instant) -> serde_json::Value {
        serde_json::to_value(self.status_report(now)).expect("all keys of a status report are strings")
    }

    /// What this daemon knows of itself, the instances and the primaries.
    pub fn status_report(&self, now: Instant) -> StatusReport {
        let leader = self.raft.leader();
        let leader_control = leader.and_then(|leader| self.control_address(leader.ip));
        let last_contact = self.raft.last_quorum_contact();
        StatusReport {
            node: self.descriptor.name.clone(),
            role: role_name(self.raft.role()),
            term: self.raft.term(),
            leader: leader.map(|leader| leader.ip.to_string()),
            leader_control: leader_control.map(|address| address.to_string()),
            in_contact: self.has_quorum_contact(now),
            contact_age_ms: last_contact.map(|at| milliseconds(now.duration_since(at))),
            commit: self.raft.commit_index(),
            last: self.raft.last_index(),
            voters: self.raft.voters().iter().map(|voter| voter.ip.to_string()).collect(),
            config_revision: self.control_state.revision(),
            daemons_seen: self.tree.partial_view.descriptors().iter().map(|peer| peer.name.clone()).collect(),
            instances: self.registry.all().map(|instance| self.instance_status(now, instance)).collect(),
            primaries: self.primaries(),
            drains: self.control_state.draining_instances.len(),
            shares: self.control_state.pooler_shares.clone(),
            leadership: self.leadership.describe(now),
            candidate_timeout_ms: milliseconds(self.raft.candidate_timeout()),
        }
    }

    fn instance_status(&self, now: Instant, instance: &Instance) -> InstanceStatus {
        InstanceStatus {
            id: instance.id.clone(),
            service: instance.service.clone(),
            address: instance.address.clone(),
            zone: instance.zone.clone(),
            role: if instance.primary { "primary" } else { "replica" },
            status: match (instance.gone, instance.draining) {
                (true, _) => "gone",
                (false, true) => "draining",
                (false, false) => "ready",
            },
            silent_ms: self.registry.silence(now, &instance.id).map(milliseconds),
        }
    }

    fn primaries(&self) -> BTreeMap<String, PrimaryStatus> {
        let status = |epoch: &crate::version::control_state::Epoch| PrimaryStatus {
            epoch: epoch.epoch,
            primary: epoch.primary.clone(),
            term: epoch.term,
            closed: epoch.closed,
        };
        self.control_state.epochs.iter().map(|(service, epoch)| (service.clone(), status(epoch))).collect()
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::PreCandidate => "precandidate",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
