//! The search for a parent: candidates are requested one after the other, the preferred ones first.

use super::{ATTACH_TIMEOUT, DisseminationTree, PARENT_TIMEOUT};
use crate::digest::digest;
use crate::process::dissemination::partial_view::PeerDescriptor;
use crate::process::peer_message::PeerMessage;
use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// After a search in which nobody knew a recent contact of the leader, any parent is accepted for this long.
const ACCEPT_ANY_PARENT_FOR: Duration = Duration::from_secs(2);

/// Added to a candidate's rank; the lowest rank is preferred. Traffic between zones is expensive, so a daemon
/// of the own zone is preferred, then a controller.
const RANK_NO_CONTROLLER: u8 = 1;
const RANK_OTHER_ZONE: u8 = 2;

/// Where a daemon stands with a parent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Parent {
    /// It has none and asks nobody.
    None,
    /// It has asked this daemon, at that time.
    Requested(Ipv4Addr, Instant),
    /// This daemon is its parent and sent its last heartbeat at that time.
    Attached(Ipv4Addr, Instant),
}

impl Parent {
    pub(super) fn is_attached_to(self, ip: Ipv4Addr) -> bool {
        matches!(self, Parent::Attached(parent, _) if parent == ip)
    }

    pub(super) fn is_requested_from(self, ip: Ipv4Addr) -> bool {
        matches!(self, Parent::Requested(candidate, _) if candidate == ip)
    }
}

/// The state of a search for a parent.
#[derive(Debug, Default)]
pub(super) struct ParentSearch {
    /// Daemons still to be asked, the preferred one last.
    candidates: Vec<Ipv4Addr>,
    /// Daemons asked in this search.
    requested: Vec<Ipv4Addr>,
    /// Until then any parent is accepted, even one that knows no recent contact of the leader.
    accept_any_until: Option<Instant>,
}

impl ParentSearch {
    /// Whether any parent is accepted for now.
    pub(super) fn accepts_any(&self, now: Instant) -> bool {
        self.accept_any_until.is_some_and(|until| now < until)
    }

    /// Ends the search: a parent was found.
    pub(super) fn finish(&mut self) {
        self.candidates.clear();
        self.requested.clear();
    }
}

impl DisseminationTree {
    /// Leaves a parent that has fallen silent, and goes on with a search that has had no answer.
    pub(super) fn check_parent(&mut self, now: Instant) {
        match self.parent {
            Parent::Attached(_, last_heartbeat_at) if now.duration_since(last_heartbeat_at) < PARENT_TIMEOUT => {}
            Parent::Requested(_, since) if now.duration_since(since) < ATTACH_TIMEOUT => {}
            Parent::Attached(silent_parent, _) => {
                self.outbox.push((silent_parent, PeerMessage::Detach));
                self.try_next_parent(now);
            }
            Parent::None | Parent::Requested(..) => self.try_next_parent(now),
        }
    }

    /// Asks the next candidate, of a new search if none is left.
    pub(super) fn try_next_parent(&mut self, now: Instant) {
        if self.parent_search.candidates.is_empty() {
            self.begin_search(now);
        }
        let Some(candidate) = self.parent_search.candidates.pop() else {
            self.parent = Parent::None;
            return;
        };
        self.parent = Parent::Requested(candidate, now);
        self.parent_search.requested.push(candidate);
        let descriptor = self.partial_view.own_descriptor().clone();
        self.outbox.push((candidate, PeerMessage::Attach { descriptor }));
    }

    fn begin_search(&mut self, now: Instant) {
        self.parent_search.requested.clear();
        // Everybody was asked in vain: for a while no candidate is rejected for old knowledge.
        if matches!(self.parent, Parent::Requested(..)) && !self.parent_search.accepts_any(now) {
            self.parent_search.accept_any_until = Some(now + ACCEPT_ANY_PARENT_FOR);
        }
        self.parent_search.candidates = self.ranked_candidates();
    }

    /// All daemons that may become the parent, the preferred one last.
    fn ranked_candidates(&self) -> Vec<Ipv4Addr> {
        let own = self.partial_view.own_descriptor();
        let rank = |peer: &PeerDescriptor| {
            let controller_rank = if peer.control.is_some() { 0 } else { RANK_NO_CONTROLLER };
            let zone_rank = if peer.zone == own.zone { 0 } else { RANK_OTHER_ZONE };
            controller_rank + zone_rank
        };
        let mut ranked: Vec<(u8, Ipv4Addr)> =
            self.partial_view.descriptors().iter().map(|peer| (rank(peer), peer.ip)).collect();
        for controller in self.seeds.iter().copied().chain(self.voters()) {
            if !ranked.iter().any(|(_, ip)| *ip == controller) {
                // Its zone is not known.
                ranked.push((RANK_OTHER_ZONE, controller));
            }
        }
        ranked.sort_by_key(|(rank, ip)| (Reverse(*rank), placement(own.ip, *ip)));
        let ips = ranked.into_iter().map(|(_, ip)| ip);
        ips.filter(|ip| *ip != own.ip && !self.children.contains_key(ip)).collect()
    }

    /// A candidate has named its children as alternatives. Those of the own zone are asked next, the others
    /// only when no other candidate is left.
    pub(super) fn try_alternatives(&mut self, now: Instant, alternatives: &[PeerDescriptor]) {
        let own = self.partial_view.own_descriptor();
        let search = &mut self.parent_search;
        let (own_zone, other_zones): (Vec<&PeerDescriptor>, Vec<&PeerDescriptor>) = alternatives
            .iter()
            .filter(|peer| peer.ip != own.ip)
            .filter(|peer| !search.requested.contains(&peer.ip) && !self.children.contains_key(&peer.ip))
            .partition(|peer| peer.zone == own.zone);
        if search.candidates.is_empty() {
            search.candidates.extend(other_zones.iter().map(|peer| peer.ip));
        }
        search.candidates.retain(|ip| !own_zone.iter().any(|peer| peer.ip == *ip));
        search.candidates.extend(own_zone.iter().map(|peer| peer.ip));
        self.try_next_parent(now);
    }

    /// Leaves a parent that is of no use for another; asks the old one again only after all other candidates.
    pub(super) fn replace_parent(&mut self, now: Instant, old_parent: Ipv4Addr) {
        self.outbox.push((old_parent, PeerMessage::Detach));
        self.parent = Parent::None;
        self.try_next_parent(now);
        if self.parent.is_requested_from(old_parent) {
            self.parent_search.candidates.insert(0, old_parent);
            self.try_next_parent(now);
        }
    }
}

/// Orders candidates of the same rank differently at each daemon, which spreads children over them.
fn placement(own: Ipv4Addr, candidate: Ipv4Addr) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&own.octets());
    bytes[4..].copy_from_slice(&candidate.octets());
    digest(&bytes)
}
