//! The network between daemons: latency, partitions, delivery, and the traffic on it.

use super::actions::{PartitionScope, Target};
use super::events::Event;
use super::host::{Daemon, ProcessId};
use super::{HostIndex, World};
use lichenfield_engine::process::peer_message::{self, PeerMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Latency of most messages, in microseconds: the least, and what varies.
const MIN_LATENCY_MICROS: u64 = 300;
const LATENCY_JITTER_MICROS: u64 = 700;
/// One message in this many is late by a time from the range, in microseconds.
const LATE_MESSAGE_ODDS: u32 = 200;
const LATE_MICROS: std::ops::Range<u64> = 5_000..40_000;
/// Until a scenario changes it.
const INITIAL_CLIENT_LATENCY: Duration = Duration::from_millis(2);
/// Addresses in one subnet of hosts.
const HOSTS_PER_SUBNET: usize = 250;

/// One direction between two daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    from: HostIndex,
    to: HostIndex,
}

/// Bytes that each daemon has sent to others since a time.
#[derive(Debug)]
pub(super) struct TrafficMeter {
    pub(super) since: Duration,
    pub(super) bytes_sent: Vec<u64>,
}

/// State of the network.
#[derive(Debug)]
pub(super) struct Network {
    cut_links: BTreeSet<Link>,
    /// One way between clients and poolers.
    pub(super) client_latency: Duration,
    pub(super) meter: Option<TrafficMeter>,
}

impl Default for Network {
    fn default() -> Self {
        Network { cut_links: BTreeSet::new(), client_latency: INITIAL_CLIENT_LATENCY, meter: None }
    }
}

impl Network {
    /// Whether messages from one host to another are lost.
    pub(super) fn is_cut(&self, from: HostIndex, to: HostIndex) -> bool {
        self.cut_links.contains(&Link { from, to })
    }

    /// All links work again.
    pub(super) fn heal(&mut self) {
        self.cut_links.clear();
    }
}

/// The address of a host.
pub(super) fn address(index: HostIndex) -> Ipv4Addr {
    let subnet = index / HOSTS_PER_SUBNET;
    let host = index % HOSTS_PER_SUBNET + 1;
    Ipv4Addr::new(10, 0, subnet as u8, host as u8)
}

impl World {
    /// Latency of a message: short, now and then much longer.
    pub(super) fn random_latency(&mut self) -> Duration {
        let is_late = self.rng.u32(0..LATE_MESSAGE_ODDS) == 0;
        let late_by = if is_late { self.rng.u64(LATE_MICROS) } else { 0 };
        Duration::from_micros(MIN_LATENCY_MICROS + self.rng.u64(0..LATENCY_JITTER_MICROS) + late_by)
    }

    /// Sends a message between daemons. It is lost if the receiver is down or the link is cut, now or on arrival.
    pub(super) fn send_peer_message(&mut self, from: HostIndex, to: Ipv4Addr, message: PeerMessage) {
        let Some(to) = self.host_with_ip(to) else { return };
        if !self.hosts[to].up || self.network.is_cut(from, to) {
            return;
        }
        if let Some(meter) = &mut self.network.meter {
            meter.bytes_sent[from] += peer_message::encode(&message).len() as u64;
        }
        let latency = self.random_latency();
        let event = Event::PeerMessage { from, to: self.process(to), message: Box::new(message) };
        self.schedule(latency, event);
    }

    pub(super) fn deliver_peer_message(&mut self, from: HostIndex, to: ProcessId, message: PeerMessage) {
        if !self.is_live(to) || self.network.is_cut(from, to.host) {
            return;
        }
        let now = self.instant();
        let sender = self.hosts[from].ip;
        match &mut self.hosts[to.host].daemon {
            Daemon::Controller(node) => {
                if let Some(controller) = &mut node.controller {
                    controller.handle_peer_message(now, sender, message);
                }
            }
            Daemon::Pooler(node) => {
                if let (Some(pooler), Some(tree)) = (&mut node.pooler, &mut node.tree) {
                    match tree.handle_message(now, sender, message) {
                        Some(PeerMessage::LeaseGrant(grant)) => {
                            tree.note_leader_answer(now, sender, grant.digests.as_ref());
                            pooler.handle_lease_grant(now, sender, grant);
                        }
                        Some(PeerMessage::RightsGrant { nonce, valid_for, term, transfers }) => {
                            pooler.handle_rights_grant(now, nonce, valid_for, term, transfers);
                        }
                        Some(PeerMessage::LeaderRedirect { leader }) => pooler.handle_leader_redirect(now, leader),
                        Some(PeerMessage::LeaseRecall { service, epoch }) => {
                            pooler.handle_lease_recall(now, sender, &service, epoch);
                        }
                        _ => {}
                    }
                }
            }
        }
        self.process_effects(to.host);
    }

    /// Cuts the links between the targets and others.
    pub(super) fn partition(&mut self, target: Target, scope: PartitionScope) {
        let others = match scope {
            PartitionScope::ControllersOnly => self.controllers,
            PartitionScope::AllDaemons | PartitionScope::OutboundOnly => self.hosts.len(),
        };
        for host in self.resolve(target) {
            for other in (0..others).filter(|other| *other != host) {
                self.network.cut_links.insert(Link { from: host, to: other });
                if scope != PartitionScope::OutboundOnly {
                    self.network.cut_links.insert(Link { from: other, to: host });
                }
            }
        }
    }

    /// Cuts one direction between the targets, pair by pair.
    pub(super) fn drop_link(&mut self, from: Target, to: Target) {
        for (from, to) in self.resolve(from).into_iter().zip(self.resolve(to)) {
            self.network.cut_links.insert(Link { from, to });
        }
    }

    /// Begins to count what daemons send to each other.
    pub(super) fn measure_traffic(&mut self) {
        self.network.meter = Some(TrafficMeter { since: self.now, bytes_sent: vec![0; self.hosts.len()] });
    }
}
