//! Messages of the tree, the partial view and anti-entropy.

use super::parent_search::Parent;
use super::{Child, DEPTH_MAX, DisseminationTree, STALE_CONTACT_AGE};
use crate::process::dissemination::anti_entropy::{KeyVersion, RANGES, combine_digests};
use crate::process::dissemination::partial_view::PeerDescriptor;
use crate::process::peer_message::{Heartbeat, PeerMessage};
use std::net::Ipv4Addr;
use std::time::Instant;

impl DisseminationTree {
    /// Handles messages of the tree, the partial view and anti-entropy; returns any other.
    pub fn handle_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) -> Option<PeerMessage> {
        match message {
            PeerMessage::Attach { descriptor } => self.handle_attach(now, from, descriptor),
            PeerMessage::AttachAccepted { heartbeat } => self.handle_attach_accepted(now, from, heartbeat),
            PeerMessage::AttachRejected { alternatives } => self.handle_attach_rejected(now, from, &alternatives),
            PeerMessage::Detach => drop(self.children.remove(&from)),
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            PeerMessage::Updates(updates) => self.disseminate(Some(from), updates),
            PeerMessage::CompareVersions { ranges, versions } => {
                self.handle_compare_versions(now, from, &ranges, &versions);
            }
            PeerMessage::Shuffle { descriptors, is_reply } => self.handle_shuffle(from, &descriptors, is_reply),
            other => return Some(other),
        }
        None
    }

    fn handle_attach(&mut self, now: Instant, from: Ipv4Addr, descriptor: PeerDescriptor) {
        self.partial_view.merge(std::slice::from_ref(&descriptor));
        if self.accepts_child(from) {
            self.children.insert(from, Child { descriptor, last_response_at: now });
            let heartbeat = self.heartbeat_with_digests(now);
            self.outbox.push((from, PeerMessage::AttachAccepted { heartbeat }));
        } else {
            let alternatives = self.children.values().map(|child| child.descriptor.clone()).collect();
            self.outbox.push((from, PeerMessage::AttachRejected { alternatives }));
        }
    }

    /// Whether a daemon may become a child. One that receives updates itself takes as many as its link
    /// allows, but never its own parent or the daemon that it asks to be one.
    fn accepts_child(&self, candidate: Ipv4Addr) -> bool {
        let is_cyclic = self.parent.is_attached_to(candidate) || self.parent.is_requested_from(candidate);
        let receives_updates = self.is_root || matches!(self.parent, Parent::Attached(..));
        let has_room = self.children.len() < self.max_children || self.children.contains_key(&candidate);
        has_room && receives_updates && !is_cyclic && self.depth < DEPTH_MAX
    }

    fn handle_attach_accepted(&mut self, now: Instant, from: Ipv4Addr, heartbeat: Heartbeat) {
        let was_requested = self.parent.is_requested_from(from);
        let has_recent_contact = heartbeat.leader_contact_age < STALE_CONTACT_AGE;
        if was_requested && (has_recent_contact || !self.expects_better_parents(now)) {
            self.parent_search.finish();
            self.handle_parent_heartbeat(now, from, heartbeat);
        } else if !self.parent.is_attached_to(from) {
            self.outbox.push((from, PeerMessage::Detach));
            if was_requested {
                self.try_next_parent(now);
            }
        }
    }

    /// Whether other daemons are likely to know a recent contact of the leader, so that one that does not is
    /// a poor parent: it may itself be cut off.
    fn expects_better_parents(&self, now: Instant) -> bool {
        !self.parent_search.accepts_any(now) && self.leader_contact.is_answering(now)
    }

    fn handle_attach_rejected(&mut self, now: Instant, from: Ipv4Addr, alternatives: &[PeerDescriptor]) {
        self.partial_view.merge(alternatives);
        if self.parent.is_requested_from(from) {
            self.try_alternatives(now, alternatives);
        }
    }

    fn handle_heartbeat(&mut self, now: Instant, from: Ipv4Addr, heartbeat: Heartbeat) {
        if self.parent.is_attached_to(from) {
            self.handle_parent_heartbeat(now, from, heartbeat);
        } else {
            self.outbox.push((from, PeerMessage::Detach));
        }
    }

    /// Takes the parent's heartbeat and answers it with a comparison of versions, an empty one where copies
    /// are the same: the answer also shows the parent that this child lives.
    fn handle_parent_heartbeat(&mut self, now: Instant, from: Ipv4Addr, heartbeat: Heartbeat) {
        self.parent = Parent::Attached(from, now);
        self.depth = heartbeat.depth.saturating_add(1);
        self.leader_contact.note_heartbeat(now, &heartbeat);
        if let Some(digests) = heartbeat.digests {
            self.parent_digests = digests;
        }
        let ranges = self.ranges_to_compare(heartbeat.digest_sum);
        self.send_versions(from, ranges);
        let has_stale_contact = heartbeat.leader_contact_age > STALE_CONTACT_AGE;
        if (has_stale_contact && self.expects_better_parents(now)) || self.depth > DEPTH_MAX {
            self.replace_parent(now, from);
        }
    }

    /// The ranges in which the parent's copies may differ.
    fn ranges_to_compare(&self, parent_digest_sum: u64) -> Vec<u8> {
        if parent_digest_sum == self.update_store.digest_sum() {
            Vec::new()
        } else if parent_digest_sum == combine_digests(&self.parent_digests) {
            self.update_store.differing_ranges(&self.parent_digests)
        } else {
            // The parent's digests are not known, as after a lost message.
            (0..RANGES as u8).collect()
        }
    }

    fn handle_compare_versions(&mut self, now: Instant, from: Ipv4Addr, ranges: &[u8], versions: &[KeyVersion]) {
        if let Some(child) = self.children.get_mut(&from) {
            child.last_response_at = now;
        }
        if ranges.is_empty() {
            return;
        }
        let updates = self.update_store.newer_than(ranges, versions);
        if !updates.is_empty() {
            self.outbox.push((from, PeerMessage::Updates(updates)));
        }
    }

    fn handle_shuffle(&mut self, from: Ipv4Addr, descriptors: &[PeerDescriptor], is_reply: bool) {
        if !is_reply {
            let sample = self.partial_view.sample(from);
            self.outbox.push((from, PeerMessage::Shuffle { descriptors: sample, is_reply: true }));
        }
        self.partial_view.merge(descriptors);
    }
}
