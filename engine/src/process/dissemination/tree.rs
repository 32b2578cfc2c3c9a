//! The tree of relays that news runs down: who feeds this daemon and whom it feeds.

use super::super::peer_message::{Heartbeat, PeerMessage};
use super::anti_entropy::{Digests, RANGES, Update, UpdateStore, UpdateValue, combine_digests};
use super::partial_view::{PartialView, PeerDescriptor};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Children a daemon feeds at most, by what its link carries: news of some 100 KB is then passed on within
/// a second or two on the thinnest. More are sent on.
const FAN_OUT: std::ops::RangeInclusive<usize> = 4..=16;
const CHILDREN_PER_MBPS: f64 = 0.5;
/// Pulses go this often; a parent silent for `PATIENCE` is left.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(1600);
/// News older than this makes a parent a poor one: an election takes far less.
const STALE: Duration = Duration::from_millis(1200);
/// With no better parent anywhere, the next search waits this long.
const CONTENT: Duration = Duration::from_secs(2);
/// UpdateStore that differ from the leader's for this long are mended from there.
const BEHIND_PATIENCE: Duration = Duration::from_millis(700);
const ANSWER: Duration = Duration::from_millis(600);
const SHUFFLE: Duration = Duration::from_secs(3);
/// Deeper than this, a daemon looks for a better place.
const DEPTH_MAX: u8 = 6;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Parent {
    None,
    Asked(Ipv4Addr, Instant),
    Fed(Ipv4Addr, Instant),
}

/// One daemon's place in the tree. A root (a daemon that keeps the log) has no parent.
#[derive(Debug)]
pub struct DisseminationTree {
    root: bool,
    fan_out: usize,
    parent: Parent,
    depth: u8,
    /// When the leader was last known to be alive, as told from above.
    fresh: Option<Instant>,
    leader: Option<Ipv4Addr>,
    children: BTreeMap<Ipv4Addr, (PeerDescriptor, Instant)>,
    /// Where to try next, the best last.
    tries: Vec<Ipv4Addr>,
    /// Who was asked in this search.
    asked: Vec<Ipv4Addr>,
    /// Nobody had fresh news when asked last: any parent will do until then.
    content: Option<Instant>,
    seeds: Vec<Ipv4Addr>,
    /// Since when, and when last, the leader itself answered without a long pause.
    signs: Option<(Instant, Instant)>,
    /// Since when the leader's copies are known to differ from these.
    behind: Option<Instant>,
    heartbeat_due: Instant,
    /// The digests last told to all children, and those last heard from the parent.
    announced_digests: Digests,
    heard: Digests,
    shuffle_due: Instant,
    /// Kept for those who ask at every message.
    roots: Vec<Ipv4Addr>,
    pub partial_view: PartialView,
    pub store: UpdateStore,
    out: Vec<(Ipv4Addr, PeerMessage)>,
    news: Vec<Update>,
}

impl DisseminationTree {
    pub fn new(now: Instant, view: PartialView, seeds: Vec<Ipv4Addr>, root: bool, link_mbps: f64) -> Self {
        let fan_out = (link_mbps * CHILDREN_PER_MBPS) as usize;
        DisseminationTree {
            root,
            fan_out: fan_out.clamp(*FAN_OUT.start(), *FAN_OUT.end()),
            parent: Parent::None,
            depth: 0,
            fresh: None,
            leader: None,
            children: BTreeMap::new(),
            tries: Vec::new(),
            asked: Vec::new(),
            content: None,
            signs: None,
            behind: None,
            heartbeat_due: now,
            announced_digests: Digests::default(),
            heard: Digests::default(),
            shuffle_due: now + SHUFFLE / 3,
            roots: seeds.clone(),
            seeds,
            partial_view: view,
            store: UpdateStore::default(),
            out: Vec::new(),
            news: Vec::new(),
        }
    }

    pub fn take_messages(&mut self) -> Vec<(Ipv4Addr, PeerMessage)> {
        std::mem::take(&mut self.out)
    }

    /// Updates that came in newer than what was held, since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.news)
    }

    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.leader
    }

    /// The daemons known to keep the log.
    pub fn roots(&self) -> &[Ipv4Addr] {
        &self.roots
    }

    fn reckon_roots(&mut self) {
        let mut roots = self.seeds.clone();
        roots.extend(self.controllers());
        roots.extend(self.partial_view.descriptors().iter().filter(|c| c.control.is_some()).map(|c| c.ip));
        roots.sort_unstable();
        roots.dedup();
        self.roots = roots;
    }

    /// The voters, as the log last told.
    fn controllers(&self) -> Vec<Ipv4Addr> {
        match self.store.get("q/").map(|f| &f.value) {
            Some(UpdateValue::Voters(controllers)) => controllers.clone(),
            _ => Vec::new(),
        }
    }

    /// The leader itself answered, with the digests of its copies. Where the tree does not bring the
    /// difference soon, it is asked for there.
    pub fn note_leader_answer(&mut self, now: Instant, leader: Ipv4Addr, digests: Option<&Digests>) {
        match &mut self.signs {
            Some((_, last)) if now.duration_since(*last) < STALE => *last = now,
            signs => *signs = Some((now, now)),
        }
        let ranges = digests.map(|d| self.store.differing_ranges(d)).unwrap_or_default();
        if ranges.is_empty() {
            self.behind = None;
        } else if now.duration_since(*self.behind.get_or_insert(now)) > BEHIND_PATIENCE {
            self.behind = Some(now);
            let versions = self.store.versions(&ranges);
            self.out.push((leader, PeerMessage::CompareVersions { ranges, versions }));
        }
    }

    /// Whether the leader has been alive for a while, by its own answers: only then is there better
    /// news to be had than a parent's old ones.
    fn better_news(&self, now: Instant) -> bool {
        self.signs.is_some_and(|(since, last)| {
            now.duration_since(last) < STALE && now.duration_since(since) > STALE + HEARTBEAT_INTERVAL
        })
    }

    /// How old the newest sign of the leader is.
    pub fn leader_contact_age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|f| now.duration_since(f))
    }

    /// A root learns of the leader from the log's own traffic; everything until `as_of` is known here.
    pub fn note_leader_contact(&mut self, as_of: Option<Instant>, leader: Option<Ipv4Addr>) {
        self.leader = leader;
        self.fresh = self.fresh.max(as_of);
    }

    /// Takes news from this daemon itself and passes it on.
    pub fn publish(&mut self, updates: Vec<Update>) {
        self.spread(None, updates);
    }

    fn spread(&mut self, from: Option<Ipv4Addr>, updates: Vec<Update>) {
        let (held, passed): (Vec<Update>, Vec<Update>) = updates.iter().filter_map(|f| self.store.take(f)).unzip();
        if passed.is_empty() {
            return;
        }
        if held.iter().any(|f| matches!(f.value, UpdateValue::Voters(_))) {
            self.reckon_roots();
        }
        for child in self.children.keys().filter(|c| Some(**c) != from) {
            self.out.push((*child, PeerMessage::Updates(passed.clone())));
        }
        if from.is_some() {
            self.news.extend(held);
        }
    }

    fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            leader_contact_age: self.leader_contact_age(now).unwrap_or(Duration::from_secs(3600)),
            depth: self.depth,
            leader: self.leader,
            digest_sum: self.store.digest_sum(),
            digests: None,
        }
    }

    /// The same with all digests: for one that has not heard them.
    fn heartbeat_with_digests(&self, now: Instant) -> Heartbeat {
        Heartbeat { digests: Some(self.store.digests()), ..self.heartbeat(now) }
    }

    pub fn tick(&mut self, now: Instant) {
        if now >= self.shuffle_due {
            self.shuffle_due = now + SHUFFLE;
            if let Some((partner, descriptors)) = self.partial_view.shuffle() {
                self.out.push((partner, PeerMessage::Shuffle { descriptors, answer: false }));
            } else {
                let descriptors = self.partial_view.sample(self.partial_view.me().ip);
                for seed in self.seeds.iter().filter(|s| **s != self.partial_view.me().ip) {
                    self.out.push((*seed, PeerMessage::Shuffle { descriptors: descriptors.clone(), answer: false }));
                }
            }
        }
        if now >= self.heartbeat_due {
            self.reckon_roots();
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.children.retain(|_, (_, heard)| now.duration_since(*heard) < PATIENCE * 2);
            let digests = self.store.digests();
            let heartbeat =
                if self.announced_digests == digests { self.heartbeat(now) } else { self.heartbeat_with_digests(now) };
            self.announced_digests = digests;
            for child in self.children.keys() {
                self.out.push((*child, PeerMessage::Heartbeat(heartbeat.clone())));
            }
        }
        if self.root {
            return;
        }
        match self.parent {
            Parent::Fed(_, heard) if now.duration_since(heard) < PATIENCE => {}
            Parent::Asked(_, since) if now.duration_since(since) < ANSWER => {}
            Parent::Fed(old, _) => {
                self.out.push((old, PeerMessage::Detach));
                self.seek(now);
            }
            Parent::None | Parent::Asked(..) => self.seek(now),
        }
    }

    pub fn next_due(&self) -> Instant {
        let parent = match self.parent {
            _ if self.root => self.heartbeat_due,
            Parent::None => self.heartbeat_due,
            Parent::Asked(_, since) => since + ANSWER,
            Parent::Fed(_, heard) => heard + PATIENCE,
        };
        self.heartbeat_due.min(parent).min(self.shuffle_due)
    }

    /// Whether any parent will do for now.
    fn contented(&self, now: Instant) -> bool {
        self.content.is_some_and(|until| now < until)
    }

    fn seek(&mut self, now: Instant) {
        if self.tries.is_empty() {
            self.asked.clear();
            if matches!(self.parent, Parent::Asked(..)) && !self.contented(now) {
                self.content = Some(now + CONTENT);
            }
            let me = self.partial_view.me().clone();
            let mut descriptors: Vec<(u8, Ipv4Addr)> = Vec::new();
            for descriptor in self.partial_view.descriptors() {
                // What crosses zones is dear: a near one is best, then one that keeps the log.
                let root = descriptor.control.is_some();
                let near = descriptor.zone == me.zone;
                descriptors.push((u8::from(!root) + 2 * u8::from(!near), descriptor.ip));
            }
            for seed in self.seeds.iter().copied().chain(self.controllers()) {
                if !descriptors.iter().any(|(_, ip)| *ip == seed) {
                    descriptors.push((2, seed));
                }
            }
            descriptors.sort_by_key(|(rank, ip)| (std::cmp::Reverse(*rank), spot(me.ip, *ip)));
            self.tries = descriptors
                .into_iter()
                .map(|(_, ip)| ip)
                .filter(|ip| *ip != me.ip && !self.children.contains_key(ip))
                .collect();
        }
        let Some(next) = self.tries.pop() else {
            self.parent = Parent::None;
            return;
        };
        self.parent = Parent::Asked(next, now);
        self.asked.push(next);
        self.out.push((next, PeerMessage::Attach { descriptor: self.partial_view.me().clone() }));
    }

    /// Takes what belongs to the tree, the view and the repair; hands anything else back.
    pub fn handle_message(&mut self, now: Instant, from: Ipv4Addr, message: PeerMessage) -> Option<PeerMessage> {
        match message {
            PeerMessage::Attach { descriptor } => {
                self.partial_view.merge(std::slice::from_ref(&descriptor));
                let cyclic = matches!(self.parent, Parent::Fed(p, _) | Parent::Asked(p, _) if p == from);
                let fed = self.root || matches!(self.parent, Parent::Fed(..));
                let room = self.children.len() < self.fan_out || self.children.contains_key(&from);
                if room && fed && !cyclic && self.depth < DEPTH_MAX {
                    self.children.insert(from, (descriptor, now));
                    self.out.push((from, PeerMessage::AttachAccepted { heartbeat: self.heartbeat_with_digests(now) }));
                } else {
                    let others = self.children.values().map(|(c, _)| c.clone()).collect();
                    self.out.push((from, PeerMessage::AttachRejected { others }));
                }
            }
            PeerMessage::AttachAccepted { heartbeat } => {
                let asked = matches!(self.parent, Parent::Asked(p, _) if p == from);
                if asked && (heartbeat.leader_contact_age < STALE || self.contented(now) || !self.better_news(now)) {
                    self.parent = Parent::Fed(from, now);
                    self.tries.clear();
                    self.asked.clear();
                    self.hear(now, from, heartbeat);
                } else if !matches!(self.parent, Parent::Fed(p, _) if p == from) {
                    self.out.push((from, PeerMessage::Detach));
                    if asked {
                        self.seek(now);
                    }
                }
            }
            PeerMessage::AttachRejected { others } => {
                self.partial_view.merge(&others);
                if matches!(self.parent, Parent::Asked(p, _) if p == from) {
                    // Its children in the own zone are tried next, the others only when nobody else is left.
                    let me = self.partial_view.me();
                    let (near, far): (Vec<&PeerDescriptor>, Vec<&PeerDescriptor>) = others
                        .iter()
                        .filter(|c| c.ip != me.ip && !self.asked.contains(&c.ip) && !self.children.contains_key(&c.ip))
                        .partition(|c| c.zone == me.zone);
                    if self.tries.is_empty() {
                        self.tries.extend(far.iter().map(|c| c.ip));
                    }
                    self.tries.retain(|ip| !near.iter().any(|c| c.ip == *ip));
                    self.tries.extend(near.iter().map(|c| c.ip));
                    self.seek(now);
                }
            }
            PeerMessage::Detach => {
                self.children.remove(&from);
            }
            PeerMessage::Heartbeat(heartbeat) => {
                if matches!(self.parent, Parent::Fed(p, _) if p == from) {
                    self.hear(now, from, heartbeat);
                } else {
                    self.out.push((from, PeerMessage::Detach));
                }
            }
            PeerMessage::Updates(updates) => self.spread(Some(from), updates),
            PeerMessage::CompareVersions { ranges, versions } => {
                if let Some((_, heard)) = self.children.get_mut(&from) {
                    *heard = now;
                }
                if !ranges.is_empty() {
                    let updates = self.store.newer_than(&ranges, &versions);
                    if !updates.is_empty() {
                        self.out.push((from, PeerMessage::Updates(updates)));
                    }
                }
            }
            PeerMessage::Shuffle { descriptors, answer } => {
                if !answer {
                    let mine = self.partial_view.sample(from);
                    self.out.push((from, PeerMessage::Shuffle { descriptors: mine, answer: true }));
                }
                self.partial_view.merge(&descriptors);
            }
            other => return Some(other),
        }
        None
    }

    fn hear(&mut self, now: Instant, from: Ipv4Addr, heartbeat: Heartbeat) {
        self.parent = Parent::Fed(from, now);
        self.depth = heartbeat.depth.saturating_add(1);
        let sign = now.checked_sub(heartbeat.leader_contact_age);
        if sign > self.fresh {
            self.fresh = sign;
            self.leader = heartbeat.leader;
        } else if heartbeat.leader.is_some() && self.leader.is_none() {
            self.leader = heartbeat.leader;
        }
        if let Some(digests) = heartbeat.digests {
            self.heard = digests;
        }
        // The answer also tells the parent that this child lives. A sum that fits neither what is held nor
        // what was heard, as after a lost link, makes every range suspect.
        let ranges = match heartbeat.digest_sum {
            told if told == self.store.digest_sum() => Vec::new(),
            told if told == combine_digests(&self.heard) => self.store.differing_ranges(&self.heard),
            _ => (0..RANGES as u8).collect(),
        };
        let versions = self.store.versions(&ranges);
        self.out.push((from, PeerMessage::CompareVersions { ranges, versions }));
        if (heartbeat.leader_contact_age > STALE && !self.contented(now) && self.better_news(now))
            || self.depth > DEPTH_MAX
        {
            // Fed by one that is cut off itself: look elsewhere, there last.
            self.out.push((from, PeerMessage::Detach));
            self.parent = Parent::None;
            self.seek(now);
            if matches!(self.parent, Parent::Asked(p, _) if p == from) {
                self.tries.insert(0, from);
                self.seek(now);
            }
        }
    }

    /// Tells children and parent that this daemon leaves.
    pub fn leave(&mut self) {
        if let Parent::Fed(parent, _) = self.parent {
            self.out.push((parent, PeerMessage::Detach));
        }
    }
}

/// Spreads children over equally good parents.
fn spot(me: Ipv4Addr, other: Ipv4Addr) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&me.octets());
    bytes[4..].copy_from_slice(&other.octets());
    crate::digest::digest(&bytes)
}
