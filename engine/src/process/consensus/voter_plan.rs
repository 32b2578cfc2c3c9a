//! Which voters a change of the electorate leads to, given who is ready to vote and who should go.

#[cfg(test)]
mod tests;

use crate::version::electorate::{Voter, VoterId};
use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The electorate does not grow beyond this.
const VOTERS_MAX: usize = 9;

/// Why a voter should be replaced, the surest case first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DepartureReason {
    /// Its disk is gone: another identity responds from its address.
    DiskReplaced,
    /// It asked to leave.
    ShuttingDown,
    /// It has been silent for too long.
    Silent,
}

/// A voter that should be replaced. The order is that in which replacements are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Departing {
    pub reason: DepartureReason,
    pub silence: Reverse<Duration>,
    pub voter: Voter,
}

/// A change being planned. The steps are taken in the order of the methods.
#[derive(Debug)]
pub(super) struct VoterPlan {
    /// The voters that there would be.
    pub voters: Vec<Voter>,
    /// Learners that are ready to vote and not among `voters`.
    pub ready: Vec<Voter>,
    /// Voters that should go, in order.
    pub departing: Vec<Voter>,
}

impl VoterPlan {
    /// Replaces departing voters by ready learners, in the same change: at the departing voter's own
    /// address first, otherwise at an address where no other voter is.
    pub fn replace_departing(&mut self) {
        let departing = std::mem::take(&mut self.departing);
        for old in departing {
            match self.replacement_for(&old) {
                Some(position) => {
                    let new = self.ready.remove(position);
                    self.voters.retain(|voter| voter.id != old.id);
                    self.voters.push(new);
                }
                None => self.departing.push(old),
            }
        }
    }

    fn replacement_for(&self, old: &Voter) -> Option<usize> {
        let other_ips: Vec<Ipv4Addr> =
            self.voters.iter().filter(|voter| voter.id != old.id).map(|voter| voter.ip).collect();
        let same_address = self.ready.iter().position(|learner| learner.ip == old.ip);
        same_address.or_else(|| self.ready.iter().position(|learner| !other_ips.contains(&learner.ip)))
    }

    /// Adds ready learners at addresses where no voter is, so that the size becomes or stays odd: an even
    /// size tolerates no more failures than the odd one below it. One joins an even electorate; two join
    /// an odd one, which raises the majority, so `allow_two` must hold.
    pub fn grow(&mut self, allow_two: bool) {
        let voters = &self.voters;
        self.ready.retain(|learner| voters.iter().all(|voter| voter.ip != learner.ip));
        loop {
            let added = self.change_of_size();
            let is_allowed = added == 1 || allow_two;
            if self.ready.len() < added || !is_allowed || self.voters.len() + added > VOTERS_MAX {
                return;
            }
            self.voters.extend(self.ready.drain(..added));
        }
    }

    /// Removes departing voters that were not replaced as long as `needed` voters remain: one of an even
    /// electorate, two of an odd one. So a repair never passes through fewer voters than the tolerance needs.
    pub fn shrink(&mut self, needed: usize) {
        loop {
            let removed = self.change_of_size();
            if self.departing.len() < removed || self.voters.len() < needed + removed {
                return;
            }
            let gone: Vec<VoterId> = self.departing.drain(..removed).map(|voter| voter.id).collect();
            self.voters.retain(|voter| !gone.contains(&voter.id));
        }
    }

    /// By how much the size may change at once so that it is odd afterwards.
    fn change_of_size(&self) -> usize {
        if self.voters.len().is_multiple_of(2) { 1 } else { 2 }
    }

    /// The planned voters in their usual order.
    pub fn into_voters(mut self) -> Vec<Voter> {
        self.voters.sort_unstable();
        self.voters
    }
}
