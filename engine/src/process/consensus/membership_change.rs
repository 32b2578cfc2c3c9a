//! Who votes: learners that catch up, and electorates that follow one another by joint consensus.

use super::replication::Progress;
use super::{MessageBody, Raft, Role};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Electorate, Voter, VoterId};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A voter silent for this long is replaced where somebody stands ready to take its place.
const RETIRE_AFTER: Duration = Duration::from_millis(1500);
/// A newcomer counts as ready while it was heard within this.
const READY_WITHIN: Duration = Duration::from_millis(500);
/// A catch_up of catching up takes a ready one no longer than this many T.
const CATCH_UP_ROUND_MAX: u32 = 4;
/// Outsiders silent for this long are no longer sent the log; they ask again.
const OUTSIDER_GONE: Duration = Duration::from_secs(10);
/// One that says it is about to end says so again within this many T.
const LEAVING: u32 = 3;
/// A new leader hears of those who could take a place within this many T.
const SETTLED: u32 = 4;
/// The electorate does not outgrow this.
const VOTERS_MAX: usize = 9;

/// How a newcomer catches up: in laps, each to where the log ended when it began. Whoever runs the last one
/// in a short time lacks no more than what was appended meanwhile, however busy the log is.
#[derive(Debug)]
pub(super) struct CatchUpRound {
    began: Instant,
    target: u64,
    /// What the last whole catch_up took.
    took: Option<Duration>,
}

impl CatchUpRound {
    pub fn new(now: Instant, target: u64) -> Self {
        CatchUpRound { began: now, target, took: None }
    }

    pub fn reached(&mut self, now: Instant, matched: u64, last: u64) {
        if matched >= self.target {
            self.took = Some(now.duration_since(self.began));
            (self.began, self.target) = (now, last);
        }
    }

    fn is_short(&self, now: Instant, bound: Duration) -> bool {
        self.took.is_some_and(|t| t <= bound) && now.duration_since(self.began) <= bound
    }
}

impl Raft {
    /// Those who vote, with those who did before while a change is under way.
    pub fn voters(&self) -> Vec<Voter> {
        self.log.electorate().all()
    }

    pub fn electorate(&self) -> &Electorate {
        self.log.electorate()
    }

    pub fn is_voter(&self) -> bool {
        self.log.electorate().has(self.me.id)
    }

    /// One that is not in the newest electorate stands all the same until that is known to be committed: it may
    /// be the only one to hold it, and others, who want its vote, hold less.
    pub(super) fn may_stand(&self) -> bool {
        self.is_voter() || (self.commit < self.log.electorate_index() && self.log.was_voter(self.me.id))
    }

    pub(super) fn others(&self) -> Vec<Voter> {
        self.voters().into_iter().filter(|v| v.id != self.me.id).collect()
    }

    /// A daemon outside the electorate is sent the log, and may be admitted later.
    pub(super) fn admit(&mut self, now: Instant, from: Voter, wants: bool) {
        if self.role != Role::Leader || from.id == self.me.id {
            return;
        }
        if !self.leading.peers.contains_key(&from.id) {
            let next = self.log.last_index() + 1;
            self.add_peer(now, from, next);
            self.replicate(now, from.id, true);
        }
        if let Some(peer) = self.leading.peers.get_mut(&from.id) {
            peer.wants |= wants;
            peer.ip = from.ip;
        }
        self.settle_membership(now);
    }

    /// What a daemon outside the electorate sends to be sent the log.
    pub fn join(&mut self, to: Ipv4Addr, voter: bool) {
        self.send(Voter { id: 0, ip: to }, MessageBody::Join { voter });
    }

    /// One step towards the electorate that should be. The next one is begun only when the one before it and
    /// an entry of the own term are committed, and while a majority follows; `docs/raft.md` tells why this is safe.
    pub(super) fn settle_membership(&mut self, now: Instant) {
        let settled = self.is_confirmed_leader(now) && self.commit >= self.log.electorate_index();
        let able = self.is_voter() && self.disk_silent(now) <= self.parameters.election_timeout * 2;
        if self.role != Role::Leader || !settled || !able {
            return;
        }
        let electorate = self.log.electorate().clone();
        self.leading.peers.retain(|id, p| electorate.has(*id) || silence(p, now) < OUTSIDER_GONE);
        let next = if electorate.is_joint() {
            Electorate::of(electorate.voters)
        } else {
            match self.wanted_voters(now) {
                Some(voters) => electorate.towards(voters),
                None => return,
            }
        };
        self.append(now, ProposalId::default(), Command::ChangeElectorate { electorate: next });
    }

    /// The voters that there should be, if others than there are.
    fn wanted_voters(&self, now: Instant) -> Option<Vec<Voter>> {
        let voters = &self.log.electorate().voters;
        let peers = &self.leading.peers;
        let votes = |id: VoterId| voters.iter().any(|v| v.id == id);
        let outside = || peers.iter().filter(|(id, p)| p.wants && !votes(**id));
        let (catch_up, last) = (self.parameters.election_timeout * CATCH_UP_ROUND_MAX, self.log.last_index());
        let ready = outside().filter(|(_, p)| {
            p.heard.is_some_and(|h| now.duration_since(h) < READY_WITHIN)
                && !self.is_leaving(p, now)
                && (p.matched >= last || p.catch_up.is_short(now, catch_up))
        });
        let mut ready: Vec<Voter> = ready.map(|(id, p)| Voter { id: *id, ip: p.ip }).collect();

        // Those who are gone for good, about to end, or silent; the surest first.
        let mut goers: Vec<(u8, Duration, Voter)> = Vec::new();
        for voter in voters.iter().filter(|v| v.id != self.me.id) {
            let Some(peer) = peers.get(&voter.id) else { continue };
            let silent = silence(peer, now);
            // Two identities at one address: the disk there is new, and the voter that was on it is no more.
            let wiped = silent > self.parameters.election_timeout * 2
                && outside().any(|(_, p)| p.ip == voter.ip && p.heard.is_some());
            let rank = match () {
                () if wiped => 0,
                () if self.is_leaving(peer, now) => 1,
                () if silent > RETIRE_AFTER => 2,
                () => continue,
            };
            goers.push((rank, Duration::MAX - silent, *voter));
        }
        goers.sort_unstable();
        let mut goers: Vec<Voter> = goers.into_iter().map(|(_, _, v)| v).collect();

        let mut next = voters.clone();
        // Each in the place of one that goes: at its own address first.
        let mut left = Vec::new();
        for old in goers.drain(..) {
            let others: Vec<Ipv4Addr> = next.iter().filter(|v| v.id != old.id).map(|v| v.ip).collect();
            let fits = |r: &Voter| !others.contains(&r.ip);
            let at = ready.iter().position(|r| r.ip == old.ip).or_else(|| ready.iter().position(fits));
            match at {
                Some(at) => {
                    next.retain(|v| v.id != old.id);
                    next.push(ready.remove(at));
                }
                None => left.push(old),
            }
        }
        // Odd sizes bear as much as the next even one. Two more voters raise the majority, so nobody may be
        // missing, also nobody whose successor one of them is: each voter has answered a round begun after
        // the newcomers asked.
        let asked = ready.iter().filter_map(|r| peers.get(&r.id)).map(|p| p.since_round).max().unwrap_or(0);
        let here = |p: &Progress| p.round > asked && silence(p, now) < READY_WITHIN;
        let all_here = voters.iter().all(|v| v.id == self.me.id || peers.get(&v.id).is_some_and(here));
        ready.retain(|r| next.iter().all(|v| v.ip != r.ip));
        let mut ready = ready.into_iter();
        loop {
            let wanted = if next.len().is_multiple_of(2) { 1 } else { 2 };
            let grows = wanted == 1 || all_here;
            if ready.len() < wanted || !grows || next.len() + wanted > VOTERS_MAX {
                break;
            }
            next.extend(ready.by_ref().take(wanted));
        }
        // Nobody goes without another in the place, unless the tolerance needs fewer.
        let needed = 2 * self.parameters.tolerance + 1;
        let mut left = left.into_iter();
        loop {
            let spared = if next.len().is_multiple_of(2) { 1 } else { 2 };
            if left.len() < spared || next.len() < needed + spared {
                break;
            }
            let gone: Vec<VoterId> = left.by_ref().take(spared).map(|v| v.id).collect();
            next.retain(|v| !gone.contains(&v.id));
        }
        next.sort_unstable();
        (next != *voters).then_some(next)
    }

    // ---- leaving ----------------------------------------------------------------------------

    fn is_leaving(&self, peer: &Progress, now: Instant) -> bool {
        peer.leaving.is_some_and(|at| now.duration_since(at) < self.parameters.election_timeout * LEAVING)
    }

    /// This daemon is about to end: a leader takes no more proposals, lets another catch up and hands on;
    /// then, and otherwise, it asks to be taken out of the electorate. [`Raft::may_end`] tells when.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.clock = now;
        if self.leaving.is_none() {
            self.leaving = Some(now);
            self.ask_to_leave(now);
        }
    }

    /// Whether this daemon is about to end.
    pub fn is_shutting_down(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether others can go on without this daemon as well as they ever will.
    pub fn may_end(&self) -> bool {
        let alone = self.others().is_empty();
        let out = !self.is_voter() && self.commit >= self.log.electorate_index() && self.role != Role::Leader;
        self.leaving.is_some() && (self.left || alone || out)
    }

    pub(super) fn ask_to_leave(&mut self, now: Instant) {
        self.leave_due = Some(now + self.parameters.election_timeout / 2);
        if self.role == Role::Leader {
            self.hand_on(now);
        } else if let Some(leader) = self.leader.filter(|l| l.id != self.me.id) {
            self.send(leader, MessageBody::Leave);
        }
    }

    /// A voter or learner says that it is about to end. It may, once no change that takes it out is under
    /// way or to be expected, and what is committed is on more disks than may be lost without its own.
    pub(super) fn leave_asked(&mut self, now: Instant, from: Voter) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(peer) = self.leading.peers.get_mut(&from.id) {
            (peer.leaving, peer.heard) = (Some(now), Some(now));
        }
        self.settle_membership(now);
        let electorate = self.log.electorate();
        let under_way = self.commit < self.log.electorate_index() || electorate.is_joint();
        let young =
            self.leading.since.is_none_or(|s| now.duration_since(s) < self.parameters.election_timeout * SETTLED);
        let live = |p: &Progress| p.heard.is_some_and(|h| now.duration_since(h) < self.parameters.election_timeout * 2);
        let commit = self.commit;
        let others = || electorate.voters.iter().filter(|v| v.id != from.id);
        let holds = |v: &&Voter| match v.id == self.me.id {
            true => self.durable >= commit,
            false => self.leading.peers.get(&v.id).is_some_and(|p| p.matched >= commit),
        };
        let lives = |v: &&Voter| v.id == self.me.id || self.leading.peers.get(&v.id).is_some_and(live);
        // Where fewer are left than that, all of them.
        let copies = (self.parameters.tolerance + 1).min(others().filter(lives).count());
        let safe = others().filter(holds).count() >= copies;
        if !under_way && safe && (!electorate.has(from.id) || !young) {
            self.send(from, MessageBody::LeaveApproved);
        }
    }
}

/// How long a peer has not been heard.
fn silence(peer: &Progress, now: Instant) -> Duration {
    now.duration_since(peer.heard.unwrap_or(peer.since))
}
