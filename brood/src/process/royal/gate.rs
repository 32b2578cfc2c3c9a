//! Contact with a majority: how old what this daemon knows may be, and what it answers by that.
//!
//! The age is counted on the steady clock from something that this daemon itself sent: a leader's from the beginning of
//! the newest round that a majority answered, anybody else's from a `ReadIndex` to the leader. So neither a message that
//! lay unread while the process was frozen, nor a leader that does not know yet that it is none, makes it younger than it is.

use super::Royal;
use crate::process::dance::Dance;
use crate::process::raft::Role;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How often a daemon that does not lead asks the leader.
const ASK: Duration = Duration::from_millis(250);
/// Out of contact after as many T without a sign; an election takes far less.
const LIMIT: u32 = 8;
/// Asks that may still be answered.
const KEPT: usize = 8;
/// A child that is turned away again within this hears nothing: it waits before it tries elsewhere.
const TURN: Duration = Duration::from_millis(600);

pub(super) struct Gate {
    limit: Duration,
    nonce: u64,
    pub(super) due: Instant,
    asked: VecDeque<(u64, Instant)>,
    /// The leader's commit index at some moment, while less than that is applied here.
    behind: VecDeque<(u64, Instant)>,
    /// Everything decided before this moment is applied here.
    as_of: Option<Instant>,
    turned: BTreeMap<Ipv4Addr, Instant>,
}

impl Gate {
    /// `nonce` must be another in each life of the process.
    pub(super) fn new(now: Instant, t: Duration, nonce: u64) -> Self {
        Gate {
            limit: t * LIMIT,
            nonce,
            due: now,
            asked: VecDeque::new(),
            behind: VecDeque::new(),
            as_of: None,
            turned: BTreeMap::new(),
        }
    }

    pub(super) fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.as_of.is_some_and(|at| now.duration_since(at) <= self.limit)
    }

    fn ask(&mut self, now: Instant) -> Dance {
        self.due = now + ASK;
        self.nonce = self.nonce.wrapping_add(1);
        self.asked.push_back((self.nonce, now));
        if self.asked.len() > KEPT {
            self.asked.pop_front();
        }
        Dance::ReadIndex { nonce: self.nonce }
    }

    fn told(&mut self, nonce: u64, commit: u64, age: Duration) {
        let Some(at) = self.asked.iter().position(|(n, _)| *n == nonce) else { return };
        let Some((_, sent)) = self.asked.drain(..=at).next_back() else { return };
        if let Some(at) = sent.checked_sub(age) {
            self.behind.push_back((commit, at));
            if self.behind.len() > KEPT {
                self.behind.pop_front();
            }
        }
    }

    /// Takes in what is applied here by now, and a leader's own knowledge.
    fn settle(&mut self, applied: u64, confirmed: Option<Instant>) {
        self.as_of = self.as_of.max(confirmed);
        while let Some((_, at)) = self.behind.front().copied().filter(|(commit, _)| *commit <= applied) {
            self.as_of = self.as_of.max(Some(at));
            self.behind.pop_front();
        }
    }
}

impl Royal {
    /// Asks the leader whether it still is one; tells the moment up to which this daemon knows everything.
    pub(super) fn keep_contact(&mut self, now: Instant) {
        let leads = self.raft.role() == Role::Leader;
        let confirmed = self.raft.confirmed_at().filter(|_| leads);
        self.gate.settle(self.ledger.index, confirmed);
        if let Some(leader) = self.raft.leader().filter(|_| !leads && now >= self.gate.due) {
            let ask = self.gate.ask(now);
            self.send(leader.ip, ask);
        }
    }

    pub(super) fn asked_index(&mut self, now: Instant, from: Ipv4Addr, nonce: u64) {
        if let Some(at) = self.raft.confirmed_at().filter(|_| self.raft.confirmed(now)) {
            let (commit, age) = (self.raft.commit(), now.duration_since(at));
            self.send(from, Dance::Indexed { nonce, commit, age });
        }
    }

    pub(super) fn told_index(&mut self, nonce: u64, commit: u64, age: Duration) {
        self.gate.told(nonce, commit, age);
    }

    /// A daemon out of contact feeds nobody new: it names the others that keep the log instead.
    pub(super) fn turns_away(&mut self, now: Instant, from: Ipv4Addr, dance: &Dance) -> bool {
        if !matches!(dance, Dance::Attach { .. }) || self.gate.is_open(now) {
            return false;
        }
        self.gate.turned.retain(|_, at| now.duration_since(*at) < TURN);
        if self.gate.turned.insert(from, now).is_none() {
            let others = self.queens.values().map(|(c, _)| c.clone()).filter(|c| c.control.is_some()).collect();
            self.send(from, Dance::Full { others });
        }
        true
    }

    /// Whether this daemon knows everything that was decided until a moment ago.
    pub fn in_contact(&self, now: Instant) -> bool {
        self.gate.is_open(now)
    }
}
