//! The checker of clients: the configuration as a register that is changed by compare-and-set. Versions
//! only rise, so a history is linearizable exactly where each answer fits the versions known before the
//! call began, and the accepted changes form one chain. Calls without a clear answer may have
//! been accepted or not. It sees only what clients see.

use super::checker::{CheckResult, Violation, broken};
use super::node::{Answer, Call};
use lichenfield_engine::version::control_state::{Command, ConfigVersion, DRAINING_INSTANCES_KEPT, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The index of a change in [`Register::puts`].
pub type PutIndex = usize;

/// A change that an operator sent.
#[derive(Debug, Clone)]
pub struct Put {
    if_match: u64,
    revision: u64,
    pub raw: Vec<u8>,
    /// The newest version known to any client when it was first sent.
    known_revision: u64,
    pub acknowledged: bool,
    refused: bool,
}

/// What a client asked for.
#[derive(Debug, Clone)]
pub enum CallKind {
    Put { put_index: PutIndex, operator: usize, acknowledged_before: bool },
    Drain { id: String },
    Read,
}

/// A call without an answer so far.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub kind: CallKind,
    known_revision: u64,
    redirects: u8,
}

/// A client that sends changes.
#[derive(Debug, Default, Clone)]
struct Operator {
    known_revision: u64,
    last_put: Option<PutIndex>,
}

/// The calls of all clients, and what the answers imply.
#[derive(Debug, Default)]
pub struct Register {
    pub puts: Vec<Put>,
    open_calls: BTreeMap<Call, OpenCall>,
    last_call: Call,
    /// The newest version that any client knows of.
    known_revision: u64,
    /// For each operator the newest version it knows of, and its last change.
    operators: Vec<Operator>,
    pub acknowledged_drains: Vec<String>,
    drains: usize,
}

/// A resend is recognized only while not more changes than this were accepted since.
const DEDUPLICATED_RESENDS: usize = 60;

impl Register {
    pub fn new(operators: usize) -> Self {
        Register { operators: vec![Operator::default(); operators], ..Register::default() }
    }

    fn begin_call(&mut self, kind: CallKind) -> Call {
        self.last_call += 1;
        self.open_calls.insert(self.last_call, OpenCall { kind, known_revision: self.known_revision, redirects: 0 });
        self.last_call
    }

    /// A new change based on the newest version that the operator knows.
    pub fn put(&mut self, operator: usize) -> (Call, Command) {
        let put_index = self.puts.len();
        let if_match = self.operators[operator].known_revision;
        let revision = if_match + 1;
        let raw = format!(r#"{{"revision":{revision},"routes":[],"backends":[],"order":{put_index}}}"#).into_bytes();
        self.puts.push(Put {
            if_match,
            revision,
            raw,
            known_revision: self.known_revision,
            acknowledged: false,
            refused: false,
        });
        self.operators[operator].last_put = Some(put_index);
        self.send(operator, put_index)
    }

    /// Sends the operator's last change again, unchanged.
    pub fn again(&mut self, operator: usize) -> Option<(Call, Command)> {
        self.operators[operator].last_put.map(|put_index| self.send(operator, put_index))
    }

    fn send(&mut self, operator: usize, put_index: PutIndex) -> (Call, Command) {
        let put = &self.puts[put_index];
        let by = format!("operator-{operator}");
        let command = Command::Configure { if_match: put.if_match, raw: put.raw.clone(), by, at: Duration::ZERO };
        let acknowledged_before = put.acknowledged;
        (self.begin_call(CallKind::Put { put_index, operator, acknowledged_before }), command)
    }

    pub fn drain(&mut self) -> (Call, Command) {
        self.drains += 1;
        let id = format!("i{}", self.drains);
        (self.begin_call(CallKind::Drain { id: id.clone() }), Command::DrainInstance { id })
    }

    pub fn read(&mut self) -> Call {
        self.begin_call(CallKind::Read)
    }

    /// A read is redirected; false after the second time.
    pub fn redirected(&mut self, call: Call) -> bool {
        let Some(open_call) = self.open_calls.get_mut(&call) else { return false };
        open_call.redirects += 1;
        open_call.redirects <= 2
    }

    /// The client has its answer. Returns what was acknowledged.
    pub fn answered(&mut self, call: Call, answer: Answer) -> Result<Option<CallKind>, Violation> {
        let Some(open_call) = self.open_calls.remove(&call) else { return Ok(None) };
        match (&open_call.kind, answer) {
            (CallKind::Put { put_index, operator, .. }, Answer::Decided(Outcome::Accepted)) => {
                self.check_accepted(*put_index)?;
                let revision = self.puts[*put_index].revision;
                let known = &mut self.operators[*operator].known_revision;
                *known = (*known).max(revision);
                Ok(Some(open_call.kind))
            }
            (
                CallKind::Put { put_index, operator, acknowledged_before },
                Answer::Decided(Outcome::Conflict { current }),
            ) => {
                self.refused(*put_index, *acknowledged_before, open_call.known_revision, current)?;
                self.operators[*operator].known_revision = self.operators[*operator].known_revision.max(current);
                Ok(None)
            }
            (CallKind::Put { put_index, .. }, Answer::Decided(other)) => {
                broken("register", format!("change {put_index} was answered {other:?}")).map(|()| None)
            }
            (CallKind::Drain { id }, Answer::Decided(_)) => {
                self.acknowledged_drains.push(id.clone());
                Ok(Some(open_call.kind))
            }
            (CallKind::Read, Answer::Read(version)) => {
                self.check_read(open_call.known_revision, version)?;
                Ok(Some(open_call.kind))
            }
            _ => Ok(None),
        }
    }

    fn check_accepted(&mut self, put_index: PutIndex) -> CheckResult {
        let put = &mut self.puts[put_index];
        if put.acknowledged {
            return Ok(());
        }
        put.acknowledged = true;
        let put = put.clone();
        if put.refused {
            return broken("register", format!("change {put_index} was refused and then taken"));
        }
        if put.if_match < put.known_revision {
            let what =
                format!("change {put_index} built on {}, and {} was known before", put.if_match, put.known_revision);
            return broken("register", what);
        }
        self.known_revision = self.known_revision.max(put.revision);
        let apart = |p: &Put| p.revision <= put.if_match || put.revision <= p.if_match;
        let other = self.puts.iter().enumerate().find(|(at, p)| *at != put_index && p.acknowledged && !apart(p));
        match other {
            Some((other, _)) => {
                broken("register", format!("changes {other} and {put_index} were both taken on one version"))
            }
            None => Ok(()),
        }
    }

    fn refused(
        &mut self,
        put_index: PutIndex,
        acknowledged_before: bool,
        known_revision: u64,
        current: u64,
    ) -> CheckResult {
        let put = &mut self.puts[put_index];
        let since = current.saturating_sub(put.revision) as usize;
        if acknowledged_before && since < DEDUPLICATED_RESENDS {
            return broken("register", format!("change {put_index} was taken, sent again and refused"));
        }
        if current < known_revision {
            return broken(
                "register",
                format!("change {put_index} was refused by {current}, and {known_revision} was known before"),
            );
        }
        if current == put.if_match {
            return broken("register", format!("change {put_index} was refused on the version it builds on"));
        }
        put.refused |= !acknowledged_before;
        self.known_revision = self.known_revision.max(current);
        Ok(())
    }

    fn check_read(&mut self, known_revision: u64, version: Option<ConfigVersion>) -> CheckResult {
        let revision = version.as_ref().map_or(0, |v| v.revision);
        if revision < known_revision {
            return broken("stale read", format!("{revision} was read, and {known_revision} was known before"));
        }
        if let Some(version) = version {
            let Some(put) = self.puts.iter().find(|p| p.raw == version.raw) else {
                return broken("register", format!("{revision} was read, which nobody sent"));
            };
            if put.refused {
                return broken("register", format!("{revision} was read, which was refused"));
            }
            let skipped = |p: &&Put| p.acknowledged && p.if_match < revision && revision < p.revision;
            if self.puts.iter().any(|p| skipped(&p)) {
                return broken("register", format!("{revision} was read, which a taken change leaves no place for"));
            }
        }
        self.known_revision = self.known_revision.max(revision);
        Ok(())
    }

    /// In a quiet period: the configuration in force includes everything acknowledged.
    pub fn check_in_force(&self, chain: &[Vec<u8>], drains: &VecDeque<String>) -> CheckResult {
        for (put_index, put) in self.puts.iter().enumerate() {
            let there = chain.contains(&put.raw);
            if put.acknowledged && !there {
                return broken("an acknowledged change is lost", format!("change {put_index}"));
            }
            if put.refused && there {
                return broken("register", format!("change {put_index} was refused and is in force"));
            }
        }
        let recent = self.acknowledged_drains.iter().rev().take(DRAINING_INSTANCES_KEPT / 2);
        match recent.into_iter().find(|d| !drains.contains(*d)) {
            Some(gone) => broken("an acknowledged change is lost", format!("the drain of {gone}")),
            None => Ok(()),
        }
    }
}
