//! The judge of the log. It sees what the controllers write, apply, commit and tell, and holds it against
//! Raft's safety properties and against what an acknowledgement promises.

use super::disk::{Disk, Log};
use super::node::encode;
use super::schedule::Slot;
use lichenfield_engine::digest::digest;
use lichenfield_engine::process::consensus::{Entry, IndexedEntry, PersistentState, Role, Snapshot, Write};
use lichenfield_engine::version::control_state::{Command, ControlState, Outcome};
use lichenfield_engine::version::electorate::{Electorate, VoterId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A broken property: which, and how.
#[derive(Debug, Clone)]
pub struct Violation {
    pub kind: &'static str,
    pub what: String,
}

pub type RequestError = Result<(), Violation>;

pub fn broken(kind: &'static str, what: String) -> RequestError {
    Err(Violation { kind, what })
}

/// What the judge sees of a running controller after a turn.
pub struct HealthCheckState<'a> {
    pub slot: Slot,
    pub incarnation: u32,
    pub role: Role,
    pub term: u64,
    pub commit: u64,
    pub electorate: &'a Electorate,
    pub confirmed: bool,
    pub current: bool,
    pub control_state: &'a ControlState,
    pub disk: &'a Disk,
}

/// A disk that exists, by whether its controller runs.
pub struct Held<'a> {
    pub running: bool,
    /// Whether it may vote, as far as the contract goes; its loss is one of those to be borne.
    pub in_quorum: bool,
    pub disk: &'a Disk,
    /// Where it runs and leads.
    pub leads: bool,
}

impl Held<'_> {
    /// What stands in its way when it votes or stands now.
    fn log(&self) -> &PersistentState {
        if self.running { &self.disk.memory } else { &self.disk.synced }
    }
}

/// A newcomer, when admitted, lacks at most so many of the entries that were committed a while before.
const ADMITTED_LACKS: u64 = 4;
const ADMITTED_WHILE: Duration = Duration::from_secs(1);
/// No message is longer on its way; one that comes to a controller's next incarnation tells of a time before it.
const ON_THE_WAY: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Life {
    commit: u64,
    /// The commit that was last looked for on the disks.
    durably: u64,
    applied: u64,
    /// The last term that it led, and the last that it stopped leading.
    leads: u64,
    led: u64,
    /// Its electorate after its last turn.
    electorate: Electorate,
    current: bool,
    /// What clients had been told when this incarnation began, or a little before.
    told: u64,
}

#[derive(Debug, Default)]
pub struct Judge {
    /// Who led each term, and since when.
    leaders: BTreeMap<u64, (VoterId, u32, Duration)>,
    /// Each entry ever written, by index and term, and the term of the one before it.
    entries: HashMap<(u64, u64), (Entry, Option<u64>)>,
    pub committed: Vec<Entry>,
    committed_at: Vec<Duration>,
    /// The terms in which entries were committed; an entry's own may be lower.
    committed_in: Vec<u64>,
    reference: ControlState,
    /// The configurations that were taken, in order.
    pub chain: Vec<Vec<u8>>,
    outcomes: Vec<Outcome>,
    states: Vec<u64>,
    /// The committed electorates, by index; the founders' stands at 0.
    electorates: Vec<(u64, Electorate)>,
    lives: BTreeMap<Slot, Life>,
    /// The last index that a client was told of.
    pub told: u64,
    told_at: Vec<(Duration, u64)>,
    /// What was durable on the disks that are gone.
    graves: Vec<PersistentState>,
    pub counts: Counts,
}

/// What a run has seen, to tell whether it was worth its time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub terms: usize,
    pub committed: usize,
    pub told: usize,
    pub reads: usize,
    pub electorates: usize,
    pub snapshots: usize,
    pub restored: usize,
    pub truncated: usize,
    pub graves: usize,
}

pub fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// Whether a majority of one can miss every majority of the other.
fn disjoint(one: &Electorate, other: &Electorate) -> bool {
    let mut all: Vec<VoterId> = one.all_voters().iter().chain(&other.all_voters()).map(|v| v.id).collect();
    all.sort_unstable();
    all.dedup();
    let among = |set: u32, id: VoterId| all.binary_search(&id).is_ok_and(|at| set >> at & 1 == 1);
    (0..1u32 << all.len()).any(|set| one.has_majority(|id| among(set, id)) && other.has_majority(|id| among(!set, id)))
}

/// Whether this electorate may follow that one: towards other voters by way of both, one change at a time.
fn follows(old: &Electorate, new: &Electorate) -> bool {
    if old.is_joint() {
        !new.is_joint() && new.voters == old.voters
    } else {
        new == old || (new.is_joint() && new.outgoing == old.voters)
    }
}

fn holds(stored: &PersistentState, index: u64, term: u64) -> bool {
    stored.snapshot.index >= index || stored.term_at(index) == Some(term)
}

impl Judge {
    pub fn founded(&mut self, electorate: Electorate) {
        self.electorates.push((0, electorate));
    }

    pub fn counts(&self) -> Counts {
        let (terms, committed) = (self.leaders.len(), self.committed.len());
        Counts { terms, committed, electorates: self.electorates.len(), graves: self.graves.len(), ..self.counts }
    }

    fn committed_term(&self, index: u64) -> Option<u64> {
        if index == 0 { Some(0) } else { self.committed.get(index as usize - 1).map(|e| e.term) }
    }

    /// A client was told of what stands at an index.
    pub fn tells(&mut self, now: Duration, index: u64) {
        self.counts.told += 1;
        self.told = self.told.max(index);
        self.told_at.push((now, self.told));
    }

    pub fn begins(&mut self, now: Duration, slot: Slot) {
        let told = self.told_at.iter().rev().find(|(at, _)| *at + ON_THE_WAY <= now).map_or(0, |(_, told)| *told);
        self.lives.insert(slot, Life { told, ..Life::default() });
    }

    pub fn lost(&mut self, disk: &Disk) {
        self.graves.push(disk.synced.clone());
    }

    /// A controller wrote; `memory` is its log with the write in it.
    pub fn wrote(&mut self, memory: &PersistentState, write: &Write) -> RequestError {
        self.counts.truncated += usize::from(write.truncate.is_some());
        for IndexedEntry { index, .. } in &write.entries {
            let Some(entry) = memory.entry(*index) else { continue };
            let before = memory.term_at(index - 1);
            let (known, known_before) =
                self.entries.entry((*index, entry.term)).or_insert_with(|| (entry.clone(), before));
            if known != entry || (before.is_some() && known_before.is_some() && before != *known_before) {
                let what = format!("at {index} of term {}: {known:?} after term {known_before:?}", entry.term);
                return broken("logs do not match", format!("{what}, and {entry:?} after term {before:?}"));
            }
            if known_before.is_none() {
                *known_before = before;
            }
            if let Command::ChangeElectorate { electorate: new } = &entry.command {
                let old = memory.electorate_before(*index);
                // A learner that was sent its first entry knew of no electorate.
                if !old.is_empty() && !follows(old, new) {
                    let what = format!("{old:x?} became {new:x?} at {index}");
                    return broken("an electorate that may not follow the one before", what);
                }
            }
        }
        if let Some(snapshot) = &write.snapshot {
            self.counts.snapshots += 1;
            self.snapshot_fits(snapshot)?;
        }
        Ok(())
    }

    /// A snapshot holds what is committed up to its index, whoever wrote it or restores it.
    fn snapshot_fits(&self, snapshot: &Snapshot) -> RequestError {
        let index = snapshot.index;
        if index == 0 {
            return Ok(());
        }
        if self.committed_term(index) != Some(snapshot.term) {
            let what = format!("at {index} of term {}, committed is {:?}", snapshot.term, self.committed_term(index));
            return broken("a snapshot of what is not committed", what);
        }
        if digest(&snapshot.state) != self.states[index as usize - 1] {
            return broken("states differ", format!("the snapshot at {index} holds another state"));
        }
        let electorate = self.electorates.iter().rev().find(|(at, _)| *at <= index).map(|(_, e)| e);
        if electorate.is_some_and(|e| *e != snapshot.electorate) {
            return broken("states differ", format!("the snapshot at {index} holds another electorate"));
        }
        Ok(())
    }

    pub fn restored(&mut self, slot: Slot, snapshot: &Snapshot) -> RequestError {
        self.counts.restored += 1;
        self.snapshot_fits(snapshot)?;
        let incarnation = self.lives.entry(slot).or_default();
        if snapshot.index < incarnation.applied {
            let what = format!("{slot} had applied {} and restores {}", incarnation.applied, snapshot.index);
            return broken("a state went back", what);
        }
        incarnation.applied = snapshot.index;
        Ok(())
    }

    pub fn applied(&mut self, now: Duration, by: (Slot, u64), applied: (u64, &Entry, &Outcome)) -> RequestError {
        let ((slot, term), (index, entry, outcome)) = (by, applied);
        let incarnation = self.lives.entry(slot).or_default();
        if index != incarnation.applied + 1 {
            return broken("a state went back", format!("{slot} applied {index} after {}", incarnation.applied));
        }
        incarnation.applied = index;
        if index as usize == self.committed.len() + 1 {
            let revision = self.reference.revision();
            let decided = self.reference.apply(index, entry.proposal_id, &entry.command);
            if let Some(version) = self.reference.config.as_ref().filter(|v| v.revision != revision) {
                self.chain.push(version.raw.clone());
            }
            self.states.push(digest(&encode(&self.reference)));
            self.outcomes.push(decided);
            self.committed.push(entry.clone());
            self.committed_at.push(now);
            self.committed_in.push(term);
            if let Command::ChangeElectorate { electorate } = &entry.command {
                self.electorates.push((index, electorate.clone()));
            }
        }
        match (self.committed.get(index as usize - 1), self.outcomes.get(index as usize - 1)) {
            (Some(known), _) if known != entry => {
                broken("committed entries differ", format!("at {index}: {known:?}, and {entry:?} at {slot}"))
            }
            (Some(_), Some(known)) if known == outcome => Ok(()),
            (_, known) => broken("states differ", format!("at {index}: {known:?}, and {outcome:?} at {slot}")),
        }
    }

    /// Looks at a controller after its turn.
    pub fn look(&mut self, now: Duration, seen: &HealthCheckState, confirm: Duration) -> RequestError {
        let HealthCheckState { slot, incarnation, .. } = *seen;
        let id = seen.disk.id();
        let known = self.lives.entry(slot).or_default();
        if seen.commit < known.commit {
            return broken(
                "a state went back",
                format!("{slot} had committed {} and now {}", known.commit, seen.commit),
            );
        }
        let advanced = seen.commit > known.commit;
        known.commit = seen.commit;
        if seen.current && !known.current {
            known.current = true;
            if seen.control_state.applied_index < known.told {
                let what = format!(
                    "{slot} holds itself current at {}, and {} was told before it began",
                    seen.control_state.applied_index, known.told
                );
                return broken("current too early", what);
            }
        }
        if seen.role != Role::Leader {
            known.led = known.leads;
        } else if known.led == seen.term {
            return broken("a term is led twice", format!("{slot} led term {} before", seen.term));
        }
        if seen.role == Role::Leader && known.leads != seen.term {
            known.leads = seen.term;
            let (who, whose, _) = *self.leaders.entry(seen.term).or_insert((id, incarnation, now));
            if (who, whose) != (id, incarnation) {
                return broken("two leaders in a term", format!("{who:x} and {id:x} in term {}", seen.term));
            }
            for index in seen.disk.memory.snapshot.index + 1..=self.committed.len() as u64 {
                let before = self.committed_in[index as usize - 1] < seen.term;
                if before && seen.disk.memory.term_at(index) != self.committed_term(index) {
                    let what = format!("{slot} leads term {} without {index}", seen.term);
                    return broken("a leader lacks what is committed", what);
                }
            }
        }
        if seen.confirmed
            && let Some((term, (_, _, began))) = self.leaders.range(seen.term + 1..).next()
            && *began + confirm < now
        {
            let what = format!("{slot} counts as confirmed in term {}, {term} began at {began:?}", seen.term);
            return broken("confirmed beside a successor", what);
        }
        if advanced && seen.control_state.applied_index > 0 {
            let states = &self.states[seen.control_state.applied_index as usize - 1];
            let sampled = seen.control_state.applied_index.is_multiple_of(8);
            if sampled && digest(&encode(seen.control_state)) != *states {
                return broken("states differ", format!("{slot} at {}", seen.control_state.applied_index));
            }
        }
        Ok(())
    }

    /// A leader's commit moved: a majority of its voters, and more than the tolerance, hold it on disk.
    /// The electorate may have changed in the same turn, after the commit.
    pub fn committed_durably(&mut self, seen: &HealthCheckState, disks: &[Held], tolerance: usize) -> RequestError {
        let incarnation = self.lives.entry(seen.slot).or_default();
        let before = std::mem::replace(&mut incarnation.electorate, seen.electorate.clone());
        let advanced = seen.commit > std::mem::replace(&mut incarnation.durably, seen.commit);
        let Some(term) = self.committed_term(seen.commit) else { return Ok(()) };
        if seen.role != Role::Leader || !advanced {
            return Ok(());
        }
        let alive = disks.iter().map(|h| &h.disk.synced);
        let there = alive.chain(&self.graves).filter(|s| holds(s, seen.commit, term));
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

    /// A leader wrote an electorate: whoever is new in it had caught up.
    pub fn admitted(&self, now: Duration, memory: &PersistentState, disks: &[Held]) -> RequestError {
        let (index, electorate) = memory.electorate();
        if index == 0 {
            return Ok(());
        }
        let before = memory.electorate_before(index);
        let long = self.committed_at.iter().take_while(|t| **t + ADMITTED_WHILE <= now).count() as u64;
        for new in electorate.all_voters().iter().filter(|v| !before.contains(v.id)) {
            let Some(held) = disks.iter().find(|h| h.disk.id() == new.id) else { continue };
            if held.disk.synced.last() + ADMITTED_LACKS < long {
                let what = format!("{} holds {} where {long} was long committed", new.ip, held.disk.synced.last());
                return broken("a newcomer was admitted that had not caught up", what);
            }
        }
        Ok(())
    }

    /// Electorates by which somebody leads, or could be elected now, have no disjoint majorities.
    pub fn electorates_overlap(&self, disks: &[Held]) -> RequestError {
        let mut in_use: Vec<&Electorate> = Vec::new();
        for held in disks {
            let log = held.log();
            let electorate = log.electorate().1;
            // A leader goes on while a majority is not beyond its term.
            let follow = |id| disks.iter().any(|h| h.disk.id() == id && h.log().term <= log.term);
            let leads = held.leads && electorate.has_majority(follow);
            if (leads || electable(log, disks, Held::log)) && !in_use.contains(&electorate) {
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

    /// Were all power lost now, only one that holds what was told could be elected.
    pub fn told_is_kept(&self, disks: &[Held]) -> RequestError {
        let Some(term) = self.committed_term(self.told) else { return Ok(()) };
        for held in disks {
            if !holds(&held.disk.synced, self.told, term)
                && electable(&held.disk.synced, disks, |h: &Held| &h.disk.synced)
            {
                let what = format!("{:x} could lead without {}, which was told", held.disk.id(), self.told);
                return broken("what was told could be lost", what);
            }
        }
        Ok(())
    }

    /// Whichever `more` disks are lost now, somebody can be elected, and holds what was told.
    pub fn told_survives(&self, disks: &[Held], more: usize) -> RequestError {
        let Some(term) = self.committed_term(self.told) else { return Ok(()) };
        let quorum = (0..disks.len()).filter(|at| disks[*at].in_quorum).fold(0u32, |set, at| set | 1 << at);
        for lost in (0u32..1 << disks.len()).filter(|s| s & !quorum == 0 && s.count_ones() as usize == more) {
            let left: Vec<&Held> =
                disks.iter().enumerate().filter(|(at, _)| lost >> at & 1 == 0).map(|(_, h)| h).collect();
            let someone = left.iter().any(|h| {
                let log = &h.disk.synced;
                holds(log, self.told, term) && electable_of(log, left.iter().map(|h| &h.disk.synced))
            });
            if !someone {
                let gone: Vec<String> = (0..disks.len())
                    .filter(|at| lost >> at & 1 == 1)
                    .map(|at| format!("{:x}", disks[at].disk.id()))
                    .collect();
                let left: Vec<String> = left.iter().map(|h| h.disk.told()).collect();
                let what = format!("with {gone:?} lost nobody could lead who holds {}: {left:?}", self.told);
                return broken("what was told does not survive a loss", what);
            }
        }
        Ok(())
    }

    /// The committed entries that fit, by index.
    pub fn find(&self, fits: impl Fn(&Command) -> bool) -> Option<u64> {
        self.committed.iter().rposition(|e| fits(&e.command)).map(|at| at as u64 + 1)
    }

    pub fn last_electorate(&self) -> Option<&Electorate> {
        self.electorates.last().map(|(_, e)| e)
    }

    pub fn control_state(&self) -> &ControlState {
        &self.reference
    }

    /// At rest: this controller has everything, and its state is the others'.
    pub fn caught_up(&self, seen: &HealthCheckState) -> RequestError {
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

/// Whether a majority of the log's own electorate would vote for one who holds it.
fn electable<'a>(
    log: &PersistentState,
    disks: &'a [Held<'a>],
    of: impl Fn(&'a Held<'a>) -> &'a PersistentState,
) -> bool {
    electable_of(log, disks.iter().map(of))
}

fn electable_of<'a>(log: &PersistentState, others: impl Iterator<Item = &'a PersistentState>) -> bool {
    let electorate = log.electorate().1;
    let (term, last) = (log.last_term(), log.last());
    let votes: BTreeSet<VoterId> = others.filter(|s| s.yields_to(term, last)).map(|s| s.id).collect();
    electorate.contains(log.id) && electorate.has_majority(|id| votes.contains(&id))
}
