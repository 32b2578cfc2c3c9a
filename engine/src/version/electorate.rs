//! The electorate: one set of voters, or two while a membership change is under way (joint consensus,
//! Raft §6).

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The identity of a voter. It is drawn when a disk is first used, so a daemon that lost its disk comes
/// back as another voter.
pub type VoterId = u64;

/// A voter and its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// Its identity.
    pub id: VoterId,
    /// Its address.
    pub ip: Ipv4Addr,
}

/// Who votes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    /// The voters; during a change, the new ones.
    pub voters: Vec<Voter>,
    /// The voters before a change, until the change to `voters` is committed. While there are any, every
    /// decision needs a majority of each set.
    pub outgoing: Vec<Voter>,
}

impl Electorate {
    /// An electorate of these voters alone.
    pub fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        Electorate { voters, outgoing: Vec::new() }
    }

    /// The joint electorate of these new voters and the voters of `self`.
    pub fn joint_with(&self, voters: Vec<Voter>) -> Self {
        Electorate { outgoing: self.voters.clone(), ..Electorate::new(voters) }
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether nobody votes, as before the first electorate is known.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether a voter is in either set.
    pub fn contains(&self, id: VoterId) -> bool {
        self.voters.iter().chain(&self.outgoing).any(|voter| voter.id == id)
    }

    /// The voters of both sets, each once, in order.
    pub fn all_voters(&self) -> Vec<Voter> {
        let mut all: Vec<Voter> = self.voters.iter().chain(&self.outgoing).copied().collect();
        all.sort_unstable();
        all.dedup_by_key(|voter| voter.id);
        all
    }

    fn sets(&self) -> impl Iterator<Item = &Vec<Voter>> {
        std::iter::once(&self.voters).chain(self.is_joint().then_some(&self.outgoing))
    }

    /// Whether the voters that satisfy a condition are a majority of each set.
    pub fn has_majority(&self, satisfies: impl Fn(VoterId) -> bool) -> bool {
        self.sets().all(|set| set.iter().filter(|voter| satisfies(voter.id)).count() * 2 > set.len())
    }

    /// The highest value that a majority of each set, and more than `tolerance` of `voters`, have reached. Of
    /// the outgoing voters a majority is enough: as many disks as may be lost may be lost among them.
    pub fn quorum_value(&self, tolerance: usize, value: impl Fn(VoterId) -> u64) -> u64 {
        let reached = |set: &[Voter], tolerance: usize| {
            let mut values: Vec<u64> = set.iter().map(|voter| value(voter.id)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get((set.len() / 2).max(tolerance)).copied().unwrap_or(0)
        };
        let incoming = reached(&self.voters, tolerance);
        if self.is_joint() { incoming.min(reached(&self.outgoing, 0)) } else { incoming }
    }
}
