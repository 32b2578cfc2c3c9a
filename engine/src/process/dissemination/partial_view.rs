//! A partial view of the daemons, in the manner of Cyclon: each daemon knows a few others and shuffles what
//! it knows with one of them.

use crate::process::settings::Settings;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

#[cfg(test)]
mod tests;

/// How a daemon describes itself to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDescriptor {
    /// The daemon's name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Where instances and the operator call it; only controllers have one.
    pub control: Option<SocketAddrV4>,
    /// Shuffles since the daemon itself issued the descriptor.
    pub age: u16,
}

impl PeerDescriptor {
    /// A fresh descriptor of the daemon with these settings. `control`: where instances and the operator call it, if
    /// they may.
    pub fn of_daemon(settings: &Settings, control: Option<SocketAddrV4>) -> Self {
        PeerDescriptor {
            name: settings.node_name.clone(),
            ip: settings.ip,
            zone: settings.zone.clone(),
            control,
            age: 0,
        }
    }
}

/// Descriptors kept in a view.
const VIEW_SIZE: usize = 10;
/// Descriptors sent in a shuffle, beside the sender's own.
const SHUFFLE_LENGTH: usize = 4;
/// Descriptors of this age, in shuffles, are dropped.
const AGE_MAX: u16 = 40;
/// Added to the age of a shuffle's partner, whose answer brings a fresh descriptor: another is the oldest
/// next time, and a partner that never answers is dropped sooner.
const PARTNER_AGE_PENALTY: u16 = AGE_MAX / 4;

/// The descriptors that a daemon holds of others.
#[derive(Debug)]
pub struct PartialView {
    own: PeerDescriptor,
    descriptors: Vec<PeerDescriptor>,
    rng: fastrand::Rng,
}

impl PartialView {
    /// An empty view of the daemon that `own` describes.
    pub fn new(own: PeerDescriptor, rng: fastrand::Rng) -> Self {
        PartialView { own, descriptors: Vec::new(), rng }
    }

    /// The daemon's own descriptor.
    pub fn own_descriptor(&self) -> &PeerDescriptor {
        &self.own
    }

    /// The descriptors of other daemons.
    pub fn descriptors(&self) -> &[PeerDescriptor] {
        &self.descriptors
    }

    /// Takes descriptors that are fresher than those held, or of daemons not held yet; then drops the oldest
    /// until the view has its size.
    pub fn merge(&mut self, descriptors: &[PeerDescriptor]) {
        for descriptor in descriptors {
            if descriptor.ip == self.own.ip {
                continue;
            }
            match self.descriptors.iter_mut().find(|held| held.ip == descriptor.ip) {
                Some(held) if held.age >= descriptor.age => *held = descriptor.clone(),
                Some(_) => {}
                None => self.descriptors.push(descriptor.clone()),
            }
        }
        while self.descriptors.len() > VIEW_SIZE {
            self.drop_oldest();
        }
    }

    /// Drops the oldest descriptor, of the own zone if that has more than half of the view, else of the
    /// other zones.
    fn drop_oldest(&mut self) {
        let own_zone = &self.own.zone;
        let in_own_zone = self.descriptors.iter().filter(|held| held.zone == *own_zone).count();
        let drop_from_own_zone = in_own_zone > VIEW_SIZE / 2;
        let oldest = self
            .descriptors
            .iter()
            .enumerate()
            .filter(|(_, held)| (held.zone == *own_zone) == drop_from_own_zone)
            .max_by_key(|(_, held)| held.age);
        let at = oldest.map_or(0, |(at, _)| at);
        self.descriptors.swap_remove(at);
    }

    /// Begins a shuffle: ages all descriptors and returns the partner, the daemon with the oldest one, with
    /// the descriptors to send.
    pub fn shuffle(&mut self) -> Option<(Ipv4Addr, Vec<PeerDescriptor>)> {
        self.descriptors.iter_mut().for_each(|held| held.age = held.age.saturating_add(1));
        self.descriptors.retain(|held| held.age < AGE_MAX);
        let at = self.descriptors.iter().enumerate().max_by_key(|(_, held)| held.age).map(|(at, _)| at)?;
        let partner = self.descriptors[at].ip;
        let sample = self.sample(partner);
        self.descriptors[at].age = self.descriptors[at].age.saturating_add(PARTNER_AGE_PENALTY);
        Some((partner, sample))
    }

    /// A random sample of the descriptors, with a fresh one of this daemon; without that of `excluded`.
    pub fn sample(&mut self, excluded: Ipv4Addr) -> Vec<PeerDescriptor> {
        let mut sample: Vec<PeerDescriptor> =
            self.descriptors.iter().filter(|held| held.ip != excluded).cloned().collect();
        self.rng.shuffle(&mut sample);
        sample.truncate(SHUFFLE_LENGTH);
        sample.push(PeerDescriptor { age: 0, ..self.own.clone() });
        sample
    }
}
