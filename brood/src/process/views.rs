//! Partial views: each daemon knows a few others and shuffles what it knows with a neighbour.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How a daemon presents itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Card {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Where instances and the operator call it, if they may.
    pub control: Option<SocketAddrV4>,
    /// Shuffles since the daemon itself issued the card.
    pub age: u16,
}

/// Cards kept, cards passed on in a shuffle, and the age at which one is let go.
const KEPT: usize = 10;
const PASSED: usize = 4;
const OLD: u16 = 40;

#[derive(Debug)]
pub struct Views {
    me: Card,
    cards: Vec<Card>,
    rng: fastrand::Rng,
}

impl Views {
    pub fn new(me: Card, rng: fastrand::Rng) -> Self {
        Views { me, cards: Vec::new(), rng }
    }

    pub fn me(&self) -> &Card {
        &self.me
    }

    pub fn cards(&self) -> &[Card] {
        &self.cards
    }

    pub fn take(&mut self, cards: &[Card]) {
        for card in cards {
            if card.ip == self.me.ip {
                continue;
            }
            match self.cards.iter_mut().find(|c| c.ip == card.ip) {
                Some(held) if held.age >= card.age => *held = card.clone(),
                Some(_) => {}
                None => self.cards.push(card.clone()),
            }
        }
        while self.cards.len() > KEPT {
            // Half of those known are of the own zone, as far as there are so many.
            let near = self.cards.iter().filter(|c| c.zone == self.me.zone).count();
            let many = |c: &Card| (c.zone == self.me.zone) == (near > KEPT / 2);
            let oldest = self.cards.iter().enumerate().filter(|(_, c)| many(c)).max_by_key(|(_, c)| c.age);
            let at = oldest.map_or(0, |(at, _)| at);
            self.cards.swap_remove(at);
        }
    }

    /// A partner for a shuffle (the oldest card's) and what to tell it.
    pub fn shuffle(&mut self) -> Option<(Ipv4Addr, Vec<Card>)> {
        self.cards.iter_mut().for_each(|c| c.age = c.age.saturating_add(1));
        self.cards.retain(|c| c.age < OLD);
        let at = self.cards.iter().enumerate().max_by_key(|(_, c)| c.age).map(|(at, _)| at)?;
        let partner = self.cards[at].ip;
        let told = self.sample(partner);
        // Kept until it answers with a fresh card, but last in line.
        self.cards[at].age = self.cards[at].age.saturating_add(OLD / 4);
        Some((partner, told))
    }

    /// Some of the cards, with a fresh one of this daemon.
    pub fn sample(&mut self, but: Ipv4Addr) -> Vec<Card> {
        let mut some: Vec<Card> = self.cards.iter().filter(|c| c.ip != but).cloned().collect();
        self.rng.shuffle(&mut some);
        some.truncate(PASSED);
        some.push(Card { age: 0, ..self.me.clone() });
        some
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn views_started_from_one_seed_come_to_know_others() {
        let card = |n: u8| Card {
            name: format!("n{n}"),
            ip: Ipv4Addr::new(10, 0, 0, n),
            zone: "z".into(),
            control: None,
            age: 0,
        };
        let mut all: Vec<Views> = (0..20).map(|n| Views::new(card(n), fastrand::Rng::with_seed(n.into()))).collect();
        for views in &mut all[1..] {
            views.take(&[card(0)]);
        }
        for _ in 0..12 {
            for n in 0..all.len() {
                if let Some((partner, told)) = all[n].shuffle() {
                    let partner = usize::from(partner.octets()[3]);
                    all[partner].take(&told);
                    let back = all[partner].sample(Ipv4Addr::new(10, 0, 0, n as u8));
                    all[n].take(&back);
                }
            }
        }
        let fewest = all.iter().map(|v| v.cards().len()).min();
        assert!(fewest >= Some(6), "the smallest view holds {fewest:?}");
        assert!(all.iter().all(|v| v.cards().len() <= KEPT));
    }
}
