//! The other controllers: greetings, who they are, and the first electorate.

use super::Controller;
use crate::process::dissemination::partial_view::PeerDescriptor;
use crate::process::peer_message::PeerMessage;
use crate::process::settings::Settings;
use crate::version::electorate::{Voter, VoterId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Controllers that sent nothing for this long are forgotten. Seeds and voters are greeted all the same.
const CONTROLLER_FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// What this daemon knows of the other controllers, besides the log's electorate.
pub(super) struct Membership {
    /// The controllers that the settings name.
    pub(super) seeds: Vec<Ipv4Addr>,
    /// Whether this daemon may vote.
    pub(super) in_quorum: bool,
    /// Whether this daemon may take part in fixing the first electorate.
    pub(super) bootstrap: bool,
    known: BTreeMap<Ipv4Addr, KnownController>,
    /// The seeds that are ready to bootstrap, with their identities.
    bootstrap_voters: BTreeMap<Ipv4Addr, VoterId>,
}

struct KnownController {
    descriptor: PeerDescriptor,
    last_message_at: Instant,
}

/// The content of a [`PeerMessage::Hello`].
pub(super) struct Hello {
    pub(super) descriptor: PeerDescriptor,
    pub(super) voter: Option<VoterId>,
    pub(super) bootstrapping: bool,
    pub(super) known_controllers: Vec<PeerDescriptor>,
}

impl Membership {
    pub(super) fn new(settings: &Settings) -> Self {
        Membership {
            seeds: settings.seed_nodes.iter().map(|seed| *seed.ip()).collect(),
            in_quorum: settings.in_quorum,
            bootstrap: settings.bootstrap,
            known: BTreeMap::new(),
            bootstrap_voters: BTreeMap::new(),
        }
    }

    /// The known controllers' descriptors.
    pub(super) fn descriptors(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.known.values().map(|controller| &controller.descriptor)
    }

    pub(super) fn forget_silent_controllers(&mut self, now: Instant) {
        self.known.retain(|_, controller| now.duration_since(controller.last_message_at) < CONTROLLER_FORGOTTEN_AFTER);
    }

    /// A daemon that sends messages of the log is a controller, whether it has greeted or not.
    pub(super) fn note_raft_message(&mut self, now: Instant, from: Ipv4Addr) {
        let unnamed = || KnownController {
            descriptor: PeerDescriptor { name: from.to_string(), ip: from, zone: String::new(), control: None, age: 0 },
            last_message_at: now,
        };
        self.known.entry(from).or_insert_with(unnamed).last_message_at = now;
    }

    /// Takes a controller's own greeting; whether it is the first from there.
    fn note_hello(&mut self, now: Instant, from: Ipv4Addr, descriptor: PeerDescriptor) -> bool {
        let controller = KnownController { descriptor, last_message_at: now };
        let previous = self.known.insert(from, controller);
        previous.is_none_or(|previous| previous.descriptor.control.is_none())
    }

    /// Takes what another controller says of a third one; what is known already stays.
    fn note_mentioned(&mut self, now: Instant, descriptor: PeerDescriptor) {
        let ip = descriptor.ip;
        self.known.entry(ip).or_insert(KnownController { descriptor, last_message_at: now });
    }
}

impl Controller {
    /// Every other daemon that may keep the log: seeds, known controllers and voters.
    pub(super) fn other_controllers(&self) -> BTreeSet<Ipv4Addr> {
        let seeds = self.membership.seeds.iter().copied();
        let known = self.membership.known.keys().copied();
        let voters = self.raft.voters().into_iter().map(|voter| voter.ip);
        let mut others: BTreeSet<Ipv4Addr> = seeds.chain(known).chain(voters).collect();
        others.remove(&self.descriptor.ip);
        others
    }

    /// Whether the settings name this daemon as a seed.
    pub(super) fn is_seed(&self) -> bool {
        self.membership.seeds.contains(&self.descriptor.ip)
    }

    /// This daemon's greeting.
    pub(super) fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            descriptor: self.descriptor.clone(),
            voter: Some(self.raft.me().id),
            bootstrapping: self.membership.bootstrap && self.membership.in_quorum,
            known_controllers: self.membership.descriptors().cloned().collect(),
        }
    }

    /// Another daemon's greeting. The first one of a controller is returned, so that both know each other at once.
    pub(super) fn handle_hello(&mut self, now: Instant, from: Ipv4Addr, hello: Hello) {
        let Hello { descriptor, voter, bootstrapping, known_controllers } = hello;
        if descriptor.control.is_some() && self.membership.note_hello(now, from, descriptor.clone()) {
            let hello = self.hello();
            self.send(from, hello);
        }
        for mentioned in known_controllers {
            if mentioned.ip != self.descriptor.ip && mentioned.control.is_some() {
                self.membership.note_mentioned(now, mentioned);
            }
        }
        self.tree.partial_view.merge(std::slice::from_ref(&descriptor));
        if let Some(id) = voter
            && bootstrapping
            && self.membership.seeds.contains(&from)
        {
            self.membership.bootstrap_voters.insert(from, id);
            self.bootstrap_electorate();
        }
    }

    /// The address at which callers of the control interface reach this or another controller, if it is known.
    pub(super) fn control_address(&self, ip: Ipv4Addr) -> Option<SocketAddrV4> {
        if ip == self.descriptor.ip {
            return self.descriptor.control;
        }
        self.membership.known.get(&ip).and_then(|controller| controller.descriptor.control)
    }

    /// Fixes the first electorate: the seeds, once each of them has sent its identity.
    pub(super) fn bootstrap_electorate(&mut self) {
        let may_bootstrap = self.membership.bootstrap && self.membership.in_quorum && self.is_seed();
        if !may_bootstrap || !self.raft.voters().is_empty() {
            return;
        }
        let mut voters: Vec<Voter> = vec![self.raft.me()];
        for seed in self.membership.seeds.iter().filter(|seed| **seed != self.descriptor.ip) {
            match self.membership.bootstrap_voters.get(seed) {
                Some(id) => voters.push(Voter { id: *id, ip: *seed }),
                None => return,
            }
        }
        voters.sort_unstable();
        voters.dedup();
        self.raft.bootstrap(voters);
    }
}
