//! The checker of clients: the configuration as a register that is changed by compare-and-set. Versions
//! only rise, so a history is linearizable exactly where each answer fits the versions known before the
//! call began, and the accepted changes form one chain. Calls without a clear answer may have
//! been accepted or not. It sees only what clients see.

use super::checker::{CheckResult, Violation, broken};
use super::node::{Answer, Call};
use lichenfield_engine::version::control_state::{Command, ConfigVersion, DRAINING_INSTANCES_KEPT, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub type PutIndex = usize;

#[derive(Debug, Clone)]
pub struct Put {
    if_match: u64,
    revision: u64,
    pub raw: Vec<u8>,
    /// The newest version known to any client when it was first sent.
    floor: u64,
    pub acked: bool,
    refused: bool,
}

#[derive(Debug, Clone)]
pub enum Kind {
    Put { order: PutIndex, operator: usize, acked_before: bool },
    Drain { id: String },
    Read,
}

#[derive(Debug, Clone)]
pub struct Open {
    pub kind: Kind,
    floor: u64,
    redirects: u8,
}

#[derive(Debug, Default)]
pub struct Register {
    pub puts: Vec<Put>,
    open: BTreeMap<Call, Open>,
    calls: Call,
    /// The newest version that any client knows of.
    floor: u64,
    /// For each operator the newest version it knows of, and its last change.
    operators: Vec<(u64, Option<PutIndex>)>,
    pub drained: Vec<String>,
    drains: usize,
}

/// A resend is recognized only while not more changes than this were accepted since.
const DEDUPLICATED_RESENDS: usize = 60;

impl Register {
    pub fn new(operators: usize) -> Self {
        Register { operators: vec![(0, None); operators], ..Register::default() }
    }

    fn begin(&mut self, kind: Kind) -> Call {
        self.calls += 1;
        self.open.insert(self.calls, Open { kind, floor: self.floor, redirects: 0 });
        self.calls
    }

    /// A new change based on the newest version that the operator knows.
    pub fn put(&mut self, operator: usize) -> (Call, Command) {
        let order = self.puts.len();
        let if_match = self.operators[operator].0;
        let revision = if_match + 1;
        let raw = format!(r#"{{"revision":{revision},"routes":[],"backends":[],"order":{order}}}"#).into_bytes();
        self.puts.push(Put { if_match, revision, raw, floor: self.floor, acked: false, refused: false });
        self.operators[operator].1 = Some(order);
        self.send(operator, order)
    }

    /// Sends the operator's last change again, unchanged.
    pub fn again(&mut self, operator: usize) -> Option<(Call, Command)> {
        self.operators[operator].1.map(|order| self.send(operator, order))
    }

    fn send(&mut self, operator: usize, order: PutIndex) -> (Call, Command) {
        let put = &self.puts[order];
        let by = format!("operator-{operator}");
        let command = Command::Configure { if_match: put.if_match, raw: put.raw.clone(), by, at: Duration::ZERO };
        let acked_before = put.acked;
        (self.begin(Kind::Put { order, operator, acked_before }), command)
    }

    pub fn drain(&mut self) -> (Call, Command) {
        self.drains += 1;
        let id = format!("i{}", self.drains);
        (self.begin(Kind::Drain { id: id.clone() }), Command::DrainInstance { id })
    }

    pub fn read(&mut self) -> Call {
        self.begin(Kind::Read)
    }

    /// A read is redirected; false after the second time.
    pub fn redirected(&mut self, call: Call) -> bool {
        let Some(open) = self.open.get_mut(&call) else { return false };
        open.redirects += 1;
        open.redirects <= 2
    }

    /// The client has its answer. Returns what was acknowledged.
    pub fn answered(&mut self, call: Call, answer: Answer) -> Result<Option<Kind>, Violation> {
        let Some(open) = self.open.remove(&call) else { return Ok(None) };
        match (&open.kind, answer) {
            (Kind::Put { order, operator, .. }, Answer::Decided(Outcome::Accepted)) => {
                self.taken(*order)?;
                let revision = self.puts[*order].revision;
                let known = &mut self.operators[*operator].0;
                *known = (*known).max(revision);
                Ok(Some(open.kind))
            }
            (Kind::Put { order, operator, acked_before }, Answer::Decided(Outcome::Conflict { current })) => {
                self.refused(*order, *acked_before, open.floor, current)?;
                self.operators[*operator].0 = self.operators[*operator].0.max(current);
                Ok(None)
            }
            (Kind::Put { order, .. }, Answer::Decided(other)) => {
                broken("register", format!("order {order} was answered {other:?}")).map(|()| None)
            }
            (Kind::Drain { id }, Answer::Decided(_)) => {
                self.drained.push(id.clone());
                Ok(Some(open.kind))
            }
            (Kind::Read, Answer::Read(version)) => {
                self.was_read(open.floor, version)?;
                Ok(Some(open.kind))
            }
            _ => Ok(None),
        }
    }

    fn taken(&mut self, order: PutIndex) -> CheckResult {
        let put = &mut self.puts[order];
        if put.acked {
            return Ok(());
        }
        put.acked = true;
        let put = put.clone();
        if put.refused {
            return broken("register", format!("order {order} was refused and then taken"));
        }
        if put.if_match < put.floor {
            let what = format!("order {order} built on {}, and {} was known before", put.if_match, put.floor);
            return broken("register", what);
        }
        self.floor = self.floor.max(put.revision);
        let apart = |p: &Put| p.revision <= put.if_match || put.revision <= p.if_match;
        let other = self.puts.iter().enumerate().find(|(at, p)| *at != order && p.acked && !apart(p));
        match other {
            Some((other, _)) => {
                broken("register", format!("orders {other} and {order} were both taken on one version"))
            }
            None => Ok(()),
        }
    }

    fn refused(&mut self, order: PutIndex, acked_before: bool, floor: u64, current: u64) -> CheckResult {
        let put = &mut self.puts[order];
        let since = current.saturating_sub(put.revision) as usize;
        if acked_before && since < DEDUPLICATED_RESENDS {
            return broken("register", format!("order {order} was taken, sent again and refused"));
        }
        if current < floor {
            return broken("register", format!("order {order} was refused by {current}, and {floor} was known before"));
        }
        if current == put.if_match {
            return broken("register", format!("order {order} was refused on the version it builds on"));
        }
        put.refused |= !acked_before;
        self.floor = self.floor.max(current);
        Ok(())
    }

    fn was_read(&mut self, floor: u64, version: Option<ConfigVersion>) -> CheckResult {
        let revision = version.as_ref().map_or(0, |v| v.revision);
        if revision < floor {
            return broken("stale read", format!("{revision} was read, and {floor} was known before"));
        }
        if let Some(version) = version {
            let Some(put) = self.puts.iter().find(|p| p.raw == version.raw) else {
                return broken("register", format!("{revision} was read, which nobody sent"));
            };
            if put.refused {
                return broken("register", format!("{revision} was read, which was refused"));
            }
            let skipped = |p: &&Put| p.acked && p.if_match < revision && revision < p.revision;
            if self.puts.iter().any(|p| skipped(&p)) {
                return broken("register", format!("{revision} was read, which a taken change leaves no place for"));
            }
        }
        self.floor = self.floor.max(revision);
        Ok(())
    }

    /// In a quiet period: the configuration in force includes everything acknowledged.
    pub fn check_in_force(&self, chain: &[Vec<u8>], drains: &VecDeque<String>) -> CheckResult {
        for (order, put) in self.puts.iter().enumerate() {
            let there = chain.contains(&put.raw);
            if put.acked && !there {
                return broken("an acknowledged change is lost", format!("order {order}"));
            }
            if put.refused && there {
                return broken("register", format!("order {order} was refused and is in force"));
            }
        }
        let recent = self.drained.iter().rev().take(DRAINING_INSTANCES_KEPT / 2);
        match recent.into_iter().find(|d| !drains.contains(*d)) {
            Some(gone) => broken("an acknowledged change is lost", format!("the drain of {gone}")),
            None => Ok(()),
        }
    }
}
