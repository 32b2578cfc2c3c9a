//! A stand-in for a database instance, by the published protocol.

use crate::judge::{Commit, Judge};
use lichenfield_engine::connection::framing::{LineReader, NextLine};
use lichenfield_engine::request::statement::{Statement, parse, split_word};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// How long a replica takes to receive and then to apply a commit.
const RECEIVE: Duration = Duration::from_millis(3);
pub const APPLY: Duration = Duration::from_millis(60);

#[derive(Debug, Default)]
pub struct Line {
    lines: LineReader,
    open: bool,
    state: char,
    read_only: bool,
    ids: Vec<String>,
    values: BTreeMap<String, String>,
    names: HashMap<String, String>,
}

/// A service's shared log: what was committed when, by term.
#[derive(Debug, Default)]
pub struct Log {
    pub term: u64,
    pub entries: VecDeque<(Duration, u64, u64)>,
    pub number: u64,
}

#[derive(Debug)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub primary: bool,
    pub term: u64,
    pub up: bool,
    pub dark: bool,
    pub deaf: bool,
    pub draining: bool,
    pub gone: bool,
    pub count: u64,
    /// Position received.
    pub received: (u64, u64),
    pub lines: HashMap<u64, Line>,
    pub lose: bool,
    /// Says nothing more of itself.
    pub quiet: bool,
    /// When a daemon acknowledged that it leaves.
    pub leave_acked: Option<std::time::Duration>,
}

/// The platform's call takes effect: this one leads the next term with what it had received, and what
/// others had beyond that is cut back. Gives that position, unless it is down or leads already.
pub fn promote(instances: &mut [Instance], at: usize, now: Duration, log: &mut Log) -> Option<(u64, u64)> {
    if !instances[at].up || instances[at].primary {
        return None;
    }
    instances[at].follow(now, log);
    let kept = instances[at].received;
    log.term += 1;
    log.entries.retain(|(_, t, n)| (*t, *n) <= kept);
    log.entries.push_back((now, log.term, kept.1));
    for other in instances.iter_mut().filter(|i| !i.primary) {
        other.received = other.received.min(kept);
    }
    let new = &mut instances[at];
    (new.primary, new.term, new.received) = (true, log.term, (log.term, kept.1));
    Some(kept)
}

impl Instance {
    pub fn new(id: String, service: &str, zone: String, primary: bool) -> Self {
        Instance {
            id,
            service: service.to_owned(),
            zone,
            primary,
            term: 1,
            up: true,
            dark: false,
            deaf: false,
            draining: false,
            gone: false,
            count: 0,
            received: (1, 0),
            lines: HashMap::new(),
            lose: false,
            quiet: false,
            leave_acked: None,
        }
    }

    pub fn beat(&mut self) -> String {
        self.count += 1;
        serde_json::json!({"service": self.service, "address": self.address(), "zone": self.zone, "revision": "v1", "capacity": 5,
            "status": if self.draining { "draining" } else { "ready" }, "warmup-left-ms": 0,
            "read-from": if self.primary { "primary" } else { "replica" }, "call-count": self.count})
        .to_string()
    }

    /// The port tells the instances apart.
    pub fn address(&self) -> String {
        format!("10.9.0.1:{}", self.id.trim_start_matches("i-"))
    }

    pub fn follow(&mut self, now: Duration, log: &Log) {
        if self.primary || self.deaf || !self.up {
            return;
        }
        if let Some((_, term, number)) = log.entries.iter().rev().find(|(at, ..)| *at + RECEIVE <= now) {
            self.received = (*term, *number).max((log.term, 0)).max(self.received);
        }
        self.term = log.term;
    }

    fn applied(&self, now: Duration, log: &Log) -> (u64, u64) {
        if self.primary {
            return self.received;
        }
        log.entries
            .iter()
            .rev()
            .find(|(at, term, n)| *at + APPLY <= now && (*term, *n) <= self.received)
            .map_or((self.term.min(1), 0), |(_, t, n)| (*t, *n))
    }

    /// Takes bytes on a connection; gives the answers, and whether the connection ends.
    pub fn take(&mut self, now: Duration, conn: u64, bytes: &str, log: &mut Log, judge: &mut Judge) -> (String, bool) {
        let mut line = self.lines.remove(&conn).unwrap_or_default();
        line.lines.push(bytes.as_bytes());
        let mut answers = String::new();
        let mut end = false;
        while let NextLine::Line(text) = line.lines.next_line() {
            let (answer, ends) = self.one(now, &mut line, &text, log, judge);
            answers.push_str(&answer);
            if ends {
                end = true;
                break;
            }
        }
        if !end {
            self.lines.insert(conn, line);
        }
        (answers, end)
    }

    fn one(&mut self, now: Duration, line: &mut Line, text: &str, log: &mut Log, judge: &mut Judge) -> (String, bool) {
        let (kind, rest) = split_word(text);
        let at = |line: &Line, position: (u64, u64)| format!("READY {} {}.{}\r\n", line.state, position.0, position.1);
        if kind == "CONNECT" {
            let fields: Vec<&str> = rest.split(' ').collect();
            if fields.first() != Some(&self.service.as_str()) || fields.get(2).is_some_and(|id| *id != self.id) {
                return ("ERROR WRONGHOST another\r\n".into(), true);
            }
            line.open = true;
            line.state = 'I';
            return (at(line, self.received), false);
        }
        if kind != "QUERY" || !line.open {
            return (String::new(), true);
        }
        let (id, mut body) = split_word(rest);
        let mut told = self.received;
        if let Some(tail) = body.strip_prefix("WAITFOR ") {
            let (position, tail) = split_word(tail);
            let wanted = position
                .split_once('.')
                .map(|(t, n)| (t.parse().unwrap_or(0), n.parse().unwrap_or(0)))
                .unwrap_or_default();
            // This stand-in does not wait: what is not applied is lagging.
            if self.applied(now, log) < wanted {
                return (format!("ERROR LAGGING {}\r\n{}", self.id, at(line, told)), false);
            }
            body = tail;
        }
        let failed = |line: &mut Line, code: &str, me: &Instance| {
            if line.state == 'T' {
                line.state = 'E';
            }
            (format!("ERROR {code} {}\r\nREADY {} {}.{}\r\n", me.id, line.state, told.0, told.1), false)
        };
        match body {
            "STATUS" => {
                let role = if self.primary { "primary" } else { "replica" };
                return (
                    format!("ROW {role} {} {}.{} 0 0 0 0\r\nDONE -\r\n{}", self.term, told.0, told.1, at(line, told)),
                    false,
                );
            }
            "RESET" => {
                line.values.clear();
                line.names.clear();
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            _ => {}
        }
        if let Some(term) = body.strip_prefix("STEPDOWN ").and_then(|t| t.parse::<u64>().ok()) {
            if term > self.term {
                self.primary = false;
                self.term = term;
            }
            return (
                format!("ROW replica {} {}.{} 0 0 0 0\r\nDONE -\r\n{}", self.term, told.0, told.1, at(line, told)),
                false,
            );
        }
        let Some(statement) = parse(body) else { return failed(line, "MALFORMED", self) };
        if line.state == 'E' && !matches!(statement, Statement::Commit | Statement::Rollback) {
            return failed(line, "MALFORMED", self);
        }
        let (write, shape) = match &statement {
            Statement::Set { name, value } => {
                line.values.insert(name.clone(), value.clone());
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            Statement::Prepare { name, shape } => {
                line.names.insert(name.clone(), format!("{} {}", shape.verb(), shape.text));
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            Statement::Begin { read } => {
                if !read && !self.primary {
                    return failed(line, "READONLY", self);
                }
                line.state = 'T';
                line.read_only = *read;
                line.ids.clear();
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            Statement::Rollback => {
                line.state = 'I';
                line.ids.clear();
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            Statement::Commit => {
                if line.state == 'E' {
                    line.state = 'I';
                    return (format!("ERROR ABORTED failed\r\n{}", at(line, told)), false);
                }
                let ids = std::mem::take(&mut line.ids);
                line.state = 'I';
                if !ids.is_empty() {
                    if !self.primary {
                        return (format!("ERROR READONLY {}\r\n{}", self.id, at(line, told)), false);
                    }
                    told = self.commit(now, ids, log, judge);
                }
                return (format!("DONE {}.stamp\r\n{}", told.1, at(line, told)), false);
            }
            Statement::Forget { name } => {
                line.names.remove(name);
                return (format!("DONE -\r\n{}", at(line, told)), false);
            }
            Statement::Read => (false, None),
            Statement::Write => (true, None),
            Statement::Run { name, .. } => match line.names.get(name) {
                None => return failed(line, "UNKNOWN", self),
                Some(shape) => (shape.starts_with("WRITE"), Some(shape.clone())),
            },
        };
        if let Some((values, expected)) = judge.expects.get(id).cloned() {
            if values != line.values {
                judge.breaks(now, format!("PINNED: {id} ran with values {:?}, not {values:?}", line.values));
            }
            if expected != shape {
                judge.breaks(now, format!("PINNED: {id} ran shape {shape:?}, not {expected:?}"));
            }
        } else {
            judge.breaks(now, format!("UNASKED: {id} was asked by no client"));
        }
        if write {
            if !self.primary {
                return failed(line, "READONLY", self);
            }
            if line.state == 'T' {
                line.ids.push(id.to_owned());
            } else {
                told = self.commit(now, vec![id.to_owned()], log, judge);
            }
            return (format!("DONE {}.stamp\r\n{}", told.1, at(line, told)), false);
        }
        let seen = self.applied(now, log);
        (format!("ROW {}.{}\r\nDONE 0.stamp\r\n{}", seen.0, seen.1, at(line, told)), false)
    }

    fn commit(&mut self, now: Duration, ids: Vec<String>, log: &mut Log, judge: &mut Judge) -> (u64, u64) {
        self.received.1 += 1;
        self.received.0 = self.term;
        if self.term == log.term {
            log.number = self.received.1;
            log.entries.push_back((now, self.term, self.received.1));
        }
        let (term, number) = self.received;
        judge.commits.push(Commit { term, number, late: term < log.term, ids, cut_back: term < log.term });
        (term, number)
    }
}
