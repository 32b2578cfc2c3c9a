//! The dissemination tree: which daemon sends this one updates (its parent) and which it sends them to (its
//! children).
//!
//! Controllers are the roots. Every other daemon attaches to a parent, which sends it heartbeats and updates;
//! it answers with a comparison of versions, which also shows that it lives. A parent that falls silent, or
//! whose knowledge of the leader is old while the leader is known to answer, is left for another.

mod leader_contact;
mod message_handling;
mod parent_search;
#[cfg(test)]
mod tests;

use super::anti_entropy::{Digests, KeyVersion, Update, UpdateStore, UpdateValue, VOTERS_KEY};
use super::partial_view::{PartialView, PeerDescriptor};
use crate::process::peer_message::{Heartbeat, PeerMessage};
use leader_contact::LeaderContact;
use parent_search::{Parent, ParentSearch};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// How many children a daemon takes at most, by its link: updates of some 100 KB are then passed on within a
/// second or two even on the slowest.
const MAX_CHILDREN: RangeInclusive<usize> = 4..=16;
/// Children for each megabit per second of the link, within [`MAX_CHILDREN`].
const CHILDREN_PER_MBPS: f64 = 0.5;
/// The interval of heartbeats to children.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A parent that sends no heartbeat for this long is left.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1600);
/// A child that answers no heartbeat for this long is dropped.
const CHILD_TIMEOUT: Duration = Duration::from_millis(3200);
/// How long the answer to an `Attach` is waited for.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(600);
/// A contact of the leader with its quorum is old after this long; an election takes far less.
const STALE_CONTACT_AGE: Duration = Duration::from_millis(1200);
/// Copies that differ from the leader's for this long, although the tree should have brought the difference,
/// are compared with the leader directly.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// The interval of shuffles of the partial view.
const SHUFFLE_INTERVAL: Duration = Duration::from_secs(3);
/// A daemon further from a root than this, in hops, looks for another parent.
const DEPTH_MAX: u8 = 6;
/// The age that a heartbeat reports where no contact of the leader is known.
const UNKNOWN_CONTACT_AGE: Duration = Duration::from_secs(3600);

/// A daemon that this one sends updates to.
#[derive(Debug)]
struct Child {
    descriptor: PeerDescriptor,
    last_response_at: Instant,
}

/// What a [`DisseminationTree`] is created with.
#[derive(Debug)]
pub struct TreeOptions {
    /// The daemon's partial view.
    pub partial_view: PartialView,
    /// The seed nodes of the settings.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the daemon is a controller.
    pub is_root: bool,
    /// The speed of the daemon's link, in megabits per second.
    pub link_mbps: f64,
}

/// One daemon's place in the tree, with its copies of updates. A root has no parent.
#[derive(Debug)]
pub struct DisseminationTree {
    is_root: bool,
    max_children: usize,
    parent: Parent,
    parent_search: ParentSearch,
    /// Hops to a root.
    depth: u8,
    leader_contact: LeaderContact,
    children: BTreeMap<Ipv4Addr, Child>,
    seeds: Vec<Ipv4Addr>,
    /// Since when the leader's copies have been known to differ from these.
    diverged_since: Option<Instant>,
    heartbeat_due: Instant,
    shuffle_due: Instant,
    /// The digests last sent to all children.
    announced_digests: Digests,
    /// The digests last received from a parent.
    parent_digests: Digests,
    /// All known controllers, recomputed when what they are computed from changes.
    roots: Vec<Ipv4Addr>,
    /// Other daemons, among them possible parents.
    pub partial_view: PartialView,
    /// The daemon's copies of updates.
    pub update_store: UpdateStore,
    outbox: Vec<(Ipv4Addr, PeerMessage)>,
    /// Updates stored since the last [`Self::take_updates`].
    new_updates: Vec<Update>,
}

impl DisseminationTree {
    /// A daemon without parent and children.
    pub fn new(now: Instant, options: TreeOptions) -> Self {
        let max_children = (options.link_mbps * CHILDREN_PER_MBPS) as usize;
        DisseminationTree {
            is_root: options.is_root,
            max_children: max_children.clamp(*MAX_CHILDREN.start(), *MAX_CHILDREN.end()),
            parent: Parent::None,
            parent_search: ParentSearch::default(),
            depth: 0,
            leader_contact: LeaderContact::default(),
            children: BTreeMap::new(),
            diverged_since: None,
            heartbeat_due: now,
            shuffle_due: now + SHUFFLE_INTERVAL / 3,
            announced_digests: Digests::default(),
            parent_digests: Digests::default(),
            roots: options.seeds.clone(),
            seeds: options.seeds,
            partial_view: options.partial_view,
            update_store: UpdateStore::default(),
            outbox: Vec::new(),
            new_updates: Vec::new(),
        }
    }

    /// Messages to be sent, with their receivers, since the last call.
    pub fn take_messages(&mut self) -> Vec<(Ipv4Addr, PeerMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Updates received from other daemons and stored, since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.new_updates)
    }

    /// The leader's address, if it is known.
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.leader_contact.leader()
    }

    /// The addresses of all known controllers, sorted.
    pub fn roots(&self) -> &[Ipv4Addr] {
        &self.roots
    }

    fn recompute_roots(&mut self) {
        let mut roots = self.seeds.clone();
        roots.extend(self.voters());
        let controllers = self.partial_view.descriptors().iter().filter(|peer| peer.control.is_some());
        roots.extend(controllers.map(|peer| peer.ip));
        roots.sort_unstable();
        roots.dedup();
        self.roots = roots;
    }

    /// The voters, as of the last update.
    fn voters(&self) -> Vec<Ipv4Addr> {
        match self.update_store.get(VOTERS_KEY).map(|update| &update.value) {
            Some(UpdateValue::Voters(voters)) => voters.clone(),
            _ => Vec::new(),
        }
    }

    /// The leader answered this daemon directly, with the digests of its copies if they differ. Where the
    /// tree does not bring the difference within `DIVERGENCE_TIMEOUT`, it is requested from the leader.
    pub fn note_leader_answer(&mut self, now: Instant, leader: Ipv4Addr, digests: Option<&Digests>) {
        self.leader_contact.note_answer(now);
        let ranges = digests.map(|theirs| self.update_store.differing_ranges(theirs)).unwrap_or_default();
        if ranges.is_empty() {
            self.diverged_since = None;
        } else if now.duration_since(*self.diverged_since.get_or_insert(now)) > DIVERGENCE_TIMEOUT {
            self.diverged_since = Some(now);
            self.send_versions(leader, ranges);
        }
    }

    /// Time since the leader is known to have been in contact with its quorum.
    pub fn leader_contact_age(&self, now: Instant) -> Option<Duration> {
        self.leader_contact.age(now)
    }

    /// At a root: the leader by the log, and when it is last known to have been in contact with its quorum.
    pub fn note_leader_contact(&mut self, as_of: Option<Instant>, leader: Option<Ipv4Addr>) {
        self.leader_contact.note_log(as_of, leader);
    }

    /// Stores updates of this daemon's own and sends them down the tree.
    pub fn publish(&mut self, updates: Vec<Update>) {
        self.disseminate(None, updates);
    }

    /// Stores updates and passes those that were newer on to all children but the sender. `sender`: the
    /// daemon that they came from, `None` for updates of this daemon's own.
    fn disseminate(&mut self, sender: Option<Ipv4Addr>, updates: Vec<Update>) {
        let applied = updates.iter().filter_map(|update| self.update_store.apply(update));
        let (stored, forwarded): (Vec<Update>, Vec<Update>) =
            applied.map(|applied| (applied.stored, applied.forwarded)).unzip();
        if forwarded.is_empty() {
            return;
        }
        if stored.iter().any(|update| matches!(update.value, UpdateValue::Voters(_))) {
            self.recompute_roots();
        }
        for child in self.children.keys().filter(|child| Some(**child) != sender) {
            self.outbox.push((*child, PeerMessage::Updates(forwarded.clone())));
        }
        if sender.is_some() {
            self.new_updates.extend(stored);
        }
    }

    fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            leader_contact_age: self.leader_contact_age(now).unwrap_or(UNKNOWN_CONTACT_AGE),
            depth: self.depth,
            leader: self.leader(),
            digest_sum: self.update_store.digest_sum(),
            digests: None,
        }
    }

    /// A heartbeat with all digests, for a child that does not know them.
    fn heartbeat_with_digests(&self, now: Instant) -> Heartbeat {
        Heartbeat { digests: Some(self.update_store.digests()), ..self.heartbeat(now) }
    }

    /// Sends what is due and leaves a parent that has fallen silent.
    pub fn tick(&mut self, now: Instant) {
        if now >= self.shuffle_due {
            self.shuffle_due = now + SHUFFLE_INTERVAL;
            self.send_shuffle();
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.recompute_roots();
            self.send_heartbeats(now);
        }
        if !self.is_root {
            self.check_parent(now);
        }
    }

    /// Begins a shuffle of the partial view; with the seeds if the view is empty.
    fn send_shuffle(&mut self) {
        if let Some((partner, descriptors)) = self.partial_view.shuffle() {
            self.outbox.push((partner, PeerMessage::Shuffle { descriptors, is_reply: false }));
            return;
        }
        let own_ip = self.partial_view.own_descriptor().ip;
        let descriptors = self.partial_view.sample(own_ip);
        for seed in self.seeds.iter().filter(|seed| **seed != own_ip) {
            self.outbox.push((*seed, PeerMessage::Shuffle { descriptors: descriptors.clone(), is_reply: false }));
        }
    }

    /// Drops children that have fallen silent and sends the others a heartbeat.
    fn send_heartbeats(&mut self, now: Instant) {
        self.children.retain(|_, child| now.duration_since(child.last_response_at) < CHILD_TIMEOUT);
        let digests = self.update_store.digests();
        let heartbeat = match self.announced_digests == digests {
            true => self.heartbeat(now),
            false => self.heartbeat_with_digests(now),
        };
        self.announced_digests = digests;
        for child in self.children.keys() {
            self.outbox.push((*child, PeerMessage::Heartbeat(heartbeat.clone())));
        }
    }

    /// When [`Self::tick`] is due next.
    pub fn next_due(&self) -> Instant {
        let parent_due = match self.parent {
            _ if self.is_root => self.heartbeat_due,
            Parent::None => self.heartbeat_due,
            Parent::Requested(_, since) => since + ATTACH_TIMEOUT,
            Parent::Attached(_, last_heartbeat_at) => last_heartbeat_at + PARENT_TIMEOUT,
        };
        self.heartbeat_due.min(parent_due).min(self.shuffle_due)
    }

    /// Sends all versions held in these ranges; the receiver answers with what is newer.
    fn send_versions(&mut self, to: Ipv4Addr, ranges: Vec<u8>) {
        let versions: Vec<KeyVersion> = self.update_store.versions(&ranges);
        self.outbox.push((to, PeerMessage::CompareVersions { ranges, versions }));
    }

    /// Tells the parent that this daemon leaves.
    pub fn leave(&mut self) {
        if let Parent::Attached(parent, _) = self.parent {
            self.outbox.push((parent, PeerMessage::Detach));
        }
    }
}
