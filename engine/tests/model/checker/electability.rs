//! Which controllers could be elected: majorities overlap, and acknowledged changes survive losses.

use super::{CheckResult, Checker, DiskView, broken, holds};
use crate::disk::StoredLog;
use lichenfield_engine::process::consensus::PersistentState;
use lichenfield_engine::version::electorate::{Electorate, VoterId};
use std::collections::BTreeSet;

impl Checker {
    /// Electorates under which a controller leads, or could be elected now, have no disjoint majorities.
    pub fn check_electorates_overlap(&self, disks: &[DiskView]) -> CheckResult {
        let mut in_use: Vec<&Electorate> = Vec::new();
        for held in disks {
            let log = held.log();
            let electorate = log.electorate().1;
            // A leader continues while a majority has no higher term.
            let follow = |id| disks.iter().any(|h| h.disk.id() == id && h.log().term <= log.term);
            let leads = held.leads && electorate.has_majority(follow);
            if (leads || is_electable(log, disks, DiskView::log)) && !in_use.contains(&electorate) {
                in_use.push(electorate);
            }
        }
        for (at, one) in in_use.iter().enumerate() {
            if let Some(other) = in_use[at + 1..].iter().find(|other| disjoint(one, other)) {
                return broken("electorates do not overlap", format!("{one:x?} and {other:x?}"));
            }
        }
        Ok(())
    }

    /// If all power were lost now, only a controller that holds what was acknowledged could be elected.
    pub fn acknowledged_is_electable(&self, disks: &[DiskView]) -> CheckResult {
        let Some(term) = self.committed_term(self.acknowledged) else { return Ok(()) };
        for held in disks {
            if !holds(&held.disk.synced, self.acknowledged, term)
                && is_electable(&held.disk.synced, disks, |h: &DiskView| &h.disk.synced)
            {
                let what = format!(
                    "{:x} could be elected without {}, which was acknowledged",
                    held.disk.id(),
                    self.acknowledged
                );
                return broken("an acknowledged change could be lost", what);
            }
        }
        Ok(())
    }

    /// Whichever `more` disks are lost now, a controller can be elected that holds what was acknowledged.
    pub fn acknowledged_survives_loss(&self, disks: &[DiskView], more: usize) -> CheckResult {
        let Some(term) = self.committed_term(self.acknowledged) else { return Ok(()) };
        let quorum = (0..disks.len()).filter(|at| disks[*at].in_quorum).fold(0u32, |set, at| set | 1 << at);
        for lost in (0u32..1 << disks.len()).filter(|s| s & !quorum == 0 && s.count_ones() as usize == more) {
            let left: Vec<&DiskView> =
                disks.iter().enumerate().filter(|(at, _)| lost >> at & 1 == 0).map(|(_, h)| h).collect();
            let someone = left.iter().any(|h| {
                let log = &h.disk.synced;
                holds(log, self.acknowledged, term) && is_electable_among(log, left.iter().map(|h| &h.disk.synced))
            });
            if !someone {
                let gone: Vec<String> = (0..disks.len())
                    .filter(|at| lost >> at & 1 == 1)
                    .map(|at| format!("{:x}", disks[at].disk.id()))
                    .collect();
                let left: Vec<String> = left.iter().map(|h| h.disk.summary()).collect();
                let what = format!("with {gone:?} lost nobody could lead who holds {}: {left:?}", self.acknowledged);
                return broken("an acknowledged change does not survive a loss", what);
            }
        }
        Ok(())
    }
}

/// Whether some majority of one is disjoint from some majority of the other.
fn disjoint(one: &Electorate, other: &Electorate) -> bool {
    let mut all: Vec<VoterId> = one.all_voters().iter().chain(&other.all_voters()).map(|v| v.id).collect();
    all.sort_unstable();
    all.dedup();
    let among = |set: u32, id: VoterId| all.binary_search(&id).is_ok_and(|at| set >> at & 1 == 1);
    (0..1u32 << all.len()).any(|set| one.has_majority(|id| among(set, id)) && other.has_majority(|id| among(!set, id)))
}

/// Whether a majority of the log's own electorate would vote for a candidate that holds it.
fn is_electable<'a>(
    log: &PersistentState,
    disks: &'a [DiskView<'a>],
    of: impl Fn(&'a DiskView<'a>) -> &'a PersistentState,
) -> bool {
    is_electable_among(log, disks.iter().map(of))
}

fn is_electable_among<'a>(log: &PersistentState, others: impl Iterator<Item = &'a PersistentState>) -> bool {
    let electorate = log.electorate().1;
    let (term, last) = (log.last_term(), log.last());
    let votes: BTreeSet<VoterId> = others.filter(|s| s.would_vote_for(term, last)).map(|s| s.id).collect();
    electorate.contains(log.id) && electorate.has_majority(|id| votes.contains(&id))
}
