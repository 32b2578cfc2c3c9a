//! Who votes on the log: one set of voters, or two while one takes over from the other (joint consensus).

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// An identity is drawn when a disk is first used, so a daemon that lost its disk is another voter.
pub type VoterId = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    pub id: VoterId,
    pub ip: Ipv4Addr,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    pub voters: Vec<Voter>,
    /// Those who voted before, until the change to `voters` is committed. While it is not empty, whatever
    /// wants a majority wants one of each set.
    pub outgoing: Vec<Voter>,
}

impl Electorate {
    pub fn of(mut voters: Vec<Voter>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        Electorate { voters, outgoing: Vec::new() }
    }

    /// The electorate in which both these voters and those of `self` decide.
    pub fn towards(&self, voters: Vec<Voter>) -> Self {
        Electorate { outgoing: self.voters.clone(), ..Electorate::of(voters) }
    }

    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    pub fn has(&self, id: VoterId) -> bool {
        self.voters.iter().chain(&self.outgoing).any(|v| v.id == id)
    }

    /// Everybody with a vote, each once.
    pub fn all(&self) -> Vec<Voter> {
        let mut all: Vec<Voter> = self.voters.iter().chain(&self.outgoing).copied().collect();
        all.sort_unstable();
        all.dedup_by_key(|v| v.id);
        all
    }

    fn sets(&self) -> impl Iterator<Item = &Vec<Voter>> {
        std::iter::once(&self.voters).chain(self.is_joint().then_some(&self.outgoing))
    }

    /// Whether a majority of each set is among these.
    pub fn has_majority(&self, among: impl Fn(VoterId) -> bool) -> bool {
        self.sets().all(|set| set.iter().filter(|v| among(v.id)).count() * 2 > set.len())
    }

    /// The most that a majority of each set, and more than `beyond` of `voters`, have reached. Of those who
    /// voted before no more than a majority is asked: as many as may be lost may be lost among them.
    pub fn reached(&self, beyond: usize, value: impl Fn(VoterId) -> u64) -> u64 {
        let of = |set: &[Voter], beyond: usize| {
            let mut values: Vec<u64> = set.iter().map(|v| value(v.id)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get((set.len() / 2).max(beyond)).copied().unwrap_or(0)
        };
        let now = of(&self.voters, beyond);
        if self.is_joint() { now.min(of(&self.outgoing, 0)) } else { now }
    }
}
