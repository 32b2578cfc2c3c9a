//! Election safety, leader completeness, commits and convergence, from what is seen of the controllers.

use super::{CheckResult, Checker, ControllerView, DiskView, TermLeader, broken, holds};
use crate::disk::StoredLog;
use crate::node::encode;
use lichenfield_engine::digest::digest;
use lichenfield_engine::process::consensus::{PersistentState, Role};
use lichenfield_engine::version::electorate::{Electorate, VoterId};
use std::collections::BTreeSet;
use std::time::Duration;

/// A learner, when it becomes a voter, lacks at most this many of the entries older than `ADMITTED_LAG_AGE`.
const ADMITTED_LAG_MAX: u64 = 4;
const ADMITTED_LAG_AGE: Duration = Duration::from_secs(1);

impl Checker {
    /// Checks a controller after its step: election safety and leader completeness (Raft, figure 3).
    pub fn check_view(&mut self, now: Duration, seen: &ControllerView, confirm: Duration) -> CheckResult {
        let known = self.incarnations.entry(seen.slot).or_default();
        if seen.commit < known.commit {
            let what = format!("{} had committed {} and now {}", seen.slot, known.commit, seen.commit);
            return broken("a state went back", what);
        }
        let advanced = seen.commit > known.commit;
        known.commit = seen.commit;
        self.check_current(seen)?;
        self.check_leader(now, seen)?;
        self.check_confirmed(now, seen, confirm)?;
        if advanced { self.check_state(seen) } else { Ok(()) }
    }

    /// A controller that counts as current has applied what was acknowledged before it started.
    fn check_current(&mut self, seen: &ControllerView) -> CheckResult {
        let known = self.incarnations.entry(seen.slot).or_default();
        if !seen.current || known.current {
            return Ok(());
        }
        known.current = true;
        let applied = seen.control_state.applied_index;
        if applied < known.acknowledged {
            let what = format!(
                "{} counts as current at {applied}, and {} was acknowledged before it began",
                seen.slot, known.acknowledged
            );
            return broken("current too early", what);
        }
        Ok(())
    }

    /// Election safety: a term has one leader, which leads it once.
    fn check_leader(&mut self, now: Duration, seen: &ControllerView) -> CheckResult {
        let known = self.incarnations.entry(seen.slot).or_default();
        if seen.role != Role::Leader {
            known.led = known.leads;
            return Ok(());
        }
        if known.led == seen.term {
            return broken("a term is led twice", format!("{} led term {} before", seen.slot, seen.term));
        }
        if known.leads == seen.term {
            return Ok(());
        }
        known.leads = seen.term;
        let (id, incarnation) = (seen.disk.id(), seen.incarnation);
        let leader = *self.leaders.entry(seen.term).or_insert(TermLeader { id, incarnation, elected_at: now });
        if (leader.id, leader.incarnation) != (id, incarnation) {
            let what = format!("{:x} and {id:x} in term {}", leader.id, seen.term);
            return broken("two leaders in a term", what);
        }
        self.check_leader_completeness(seen)
    }

    /// Leader completeness: a leader holds every entry committed in an earlier term.
    fn check_leader_completeness(&self, seen: &ControllerView) -> CheckResult {
        for index in seen.disk.memory.snapshot.index + 1..=self.committed.len() as u64 {
            let before = self.committed_in[index as usize - 1] < seen.term;
            if before && seen.disk.memory.term_at(index) != self.committed_term(index) {
                let what = format!("{} leads term {} without {index}", seen.slot, seen.term);
                return broken("a leader lacks what is committed", what);
            }
        }
        Ok(())
    }

    /// A leader does not count as confirmed once a successor has led for longer than the confirmation window.
    fn check_confirmed(&self, now: Duration, seen: &ControllerView, confirm: Duration) -> CheckResult {
        if seen.confirmed
            && let Some((term, successor)) = self.leaders.range(seen.term + 1..).next()
            && successor.elected_at + confirm < now
        {
            let (slot, began) = (seen.slot, successor.elected_at);
            let what = format!("{slot} counts as confirmed in term {}, {term} began at {began:?}", seen.term);
            return broken("confirmed beside a successor", what);
        }
        Ok(())
    }

    /// Every eighth state is compared to the reference.
    fn check_state(&self, seen: &ControllerView) -> CheckResult {
        let applied = seen.control_state.applied_index;
        if applied > 0 && applied.is_multiple_of(8) {
            let expected = self.states[applied as usize - 1];
            if digest(&encode(seen.control_state)) != expected {
                return broken("states differ", format!("{} at {applied}", seen.slot));
            }
        }
        Ok(())
    }

    /// When a leader's commit index has advanced, a majority of its voters, and more than the tolerance, hold it on disk.
    /// The electorate may have changed in the same step, after the commit.
    pub fn check_committed_durably(
        &mut self,
        seen: &ControllerView,
        disks: &[DiskView],
        tolerance: usize,
    ) -> CheckResult {
        let incarnation = self.incarnations.entry(seen.slot).or_default();
        let before = std::mem::replace(&mut incarnation.electorate, seen.electorate.clone());
        let advanced = seen.commit > std::mem::replace(&mut incarnation.checked_commit, seen.commit);
        let Some(term) = self.committed_term(seen.commit) else { return Ok(()) };
        if seen.role != Role::Leader || !advanced {
            return Ok(());
        }
        let alive = disks.iter().map(|h| &h.disk.synced);
        let there = alive.chain(&self.lost_disks).filter(|s| holds(s, seen.commit, term));
        let there: BTreeSet<VoterId> = there.map(|s| s.id).collect();
        let holders = |e: &Electorate| e.voters.iter().filter(|v| there.contains(&v.id)).count();
        let enough = |e: &Electorate| e.has_majority(|id| there.contains(&id)) && holders(e) > tolerance;
        if enough(&before) || enough(seen.electorate) {
            return Ok(());
        }
        let (on, of) = (holders(seen.electorate), seen.electorate);
        let what = format!("{} counts as committed at {}, on {on} disks of {of:x?}", seen.commit, seen.slot);
        broken("committed on too few disks", what)
    }

    /// When a leader has written an electorate, its new voters had caught up.
    pub fn check_admitted(&self, now: Duration, memory: &PersistentState, disks: &[DiskView]) -> CheckResult {
        let (index, electorate) = memory.electorate();
        if index == 0 {
            return Ok(());
        }
        let before = memory.electorate_before(index);
        let long = self.committed_at.iter().take_while(|t| **t + ADMITTED_LAG_AGE <= now).count() as u64;
        for new in electorate.all_voters().iter().filter(|v| !before.contains(v.id)) {
            let Some(held) = disks.iter().find(|h| h.disk.id() == new.id) else { continue };
            if held.disk.synced.last() + ADMITTED_LAG_MAX < long {
                let what = format!("{} holds {} where {long} was long committed", new.ip, held.disk.synced.last());
                return broken("a newcomer was admitted that had not caught up", what);
            }
        }
        Ok(())
    }

    /// At the end this controller has applied everything, and its state equals the others'.
    pub fn check_caught_up(&self, seen: &ControllerView) -> CheckResult {
        let all = self.committed.len() as u64;
        if seen.control_state.applied_index != all || !seen.current {
            let what =
                format!("{} is at {} of {all}, current: {}", seen.slot, seen.control_state.applied_index, seen.current);
            return broken("not caught up", what);
        }
        if digest(&encode(seen.control_state)) != self.states.last().copied().unwrap_or(0) && all > 0 {
            return broken("states differ", format!("{} at the end, {all}", seen.slot));
        }
        Ok(())
    }
}
