//! Partial view: each daemon knows a few others and shuffles what it knows with a neighbour.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How a daemon presents itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDescriptor {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Where instances and the operator call it, if they may.
    pub control: Option<SocketAddrV4>,
    /// Shuffles since the daemon itself issued the descriptor.
    pub age: u16,
}

/// Cards kept, descriptors passed on in a shuffle, and the age at which one is let go.
const KEPT: usize = 10;
const PASSED: usize = 4;
const OLD: u16 = 40;

#[derive(Debug)]
pub struct PartialView {
    me: PeerDescriptor,
    descriptors: Vec<PeerDescriptor>,
    rng: fastrand::Rng,
}

impl PartialView {
    pub fn new(me: PeerDescriptor, rng: fastrand::Rng) -> Self {
        PartialView { me, descriptors: Vec::new(), rng }
    }

    pub fn me(&self) -> &PeerDescriptor {
        &self.me
    }

    pub fn descriptors(&self) -> &[PeerDescriptor] {
        &self.descriptors
    }

    pub fn merge(&mut self, descriptors: &[PeerDescriptor]) {
        for descriptor in descriptors {
            if descriptor.ip == self.me.ip {
                continue;
            }
            match self.descriptors.iter_mut().find(|c| c.ip == descriptor.ip) {
                Some(held) if held.age >= descriptor.age => *held = descriptor.clone(),
                Some(_) => {}
                None => self.descriptors.push(descriptor.clone()),
            }
        }
        while self.descriptors.len() > KEPT {
            // Half of those known are of the own zone, as far as there are so many.
            let near = self.descriptors.iter().filter(|c| c.zone == self.me.zone).count();
            let many = |c: &PeerDescriptor| (c.zone == self.me.zone) == (near > KEPT / 2);
            let oldest = self.descriptors.iter().enumerate().filter(|(_, c)| many(c)).max_by_key(|(_, c)| c.age);
            let at = oldest.map_or(0, |(at, _)| at);
            self.descriptors.swap_remove(at);
        }
    }

    /// A partner for a shuffle (the oldest descriptor's) and what to tell it.
    pub fn shuffle(&mut self) -> Option<(Ipv4Addr, Vec<PeerDescriptor>)> {
        self.descriptors.iter_mut().for_each(|c| c.age = c.age.saturating_add(1));
        self.descriptors.retain(|c| c.age < OLD);
        let at = self.descriptors.iter().enumerate().max_by_key(|(_, c)| c.age).map(|(at, _)| at)?;
        let partner = self.descriptors[at].ip;
        let told = self.sample(partner);
        // Kept until it answers with a fresh descriptor, but last in line.
        self.descriptors[at].age = self.descriptors[at].age.saturating_add(OLD / 4);
        Some((partner, told))
    }

    /// Some of the descriptors, with a fresh one of this daemon.
    pub fn sample(&mut self, but: Ipv4Addr) -> Vec<PeerDescriptor> {
        let mut some: Vec<PeerDescriptor> = self.descriptors.iter().filter(|c| c.ip != but).cloned().collect();
        self.rng.shuffle(&mut some);
        some.truncate(PASSED);
        some.push(PeerDescriptor { age: 0, ..self.me.clone() });
        some
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn views_started_from_one_seed_come_to_know_others() {
        let descriptor = |n: u8| PeerDescriptor {
            name: format!("n{n}"),
            ip: Ipv4Addr::new(10, 0, 0, n),
            zone: "z".into(),
            control: None,
            age: 0,
        };
        let mut all: Vec<PartialView> =
            (0..20).map(|n| PartialView::new(descriptor(n), fastrand::Rng::with_seed(n.into()))).collect();
        for view in &mut all[1..] {
            view.merge(&[descriptor(0)]);
        }
        for _ in 0..12 {
            for n in 0..all.len() {
                if let Some((partner, told)) = all[n].shuffle() {
                    let partner = usize::from(partner.octets()[3]);
                    all[partner].merge(&told);
                    let back = all[partner].sample(Ipv4Addr::new(10, 0, 0, n as u8));
                    all[n].merge(&back);
                }
            }
        }
        let fewest = all.iter().map(|v| v.descriptors().len()).min();
        assert!(fewest >= Some(6), "the smallest view holds {fewest:?}");
        assert!(all.iter().all(|v| v.descriptors().len() <= KEPT));
    }
}
