//! A pooled connection to an instance: what it holds of sessions' values and names, and the answers
//! that are still to come on it.

use super::client_session::Position;
use super::framing::{LineReader, NextLine};
use crate::request::statement::{Shape, word};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

/// Whose answer comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    Greeting,
    /// A statement of our own that readies the connection.
    Setup,
    /// A client's statement.
    Statement,
    /// A rollback of ours, after which the connection is free.
    Rollback,
    /// A `STATUS` that was sent to learn the primary's position.
    Status,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    Opening,
    Idle,
    /// Works for this session.
    Busy(u64),
    /// Its session gave up on the answer; it is read and dropped before the connection is used again.
    Parked,
    /// Asks for the primary's position.
    Asking,
}

/// A whole answer.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Answer {
    /// As received, for passing on.
    pub raw: String,
    /// The error's code, if it is one.
    pub code: Option<String>,
    pub state: char,
    pub position: Option<Position>,
}

#[derive(Debug)]
pub struct BackendConnection {
    pub instance: String,
    pub service: String,
    pub tenant: String,
    pub usage: ConnectionUse,
    pub values: BTreeMap<String, String>,
    pub prepared: HashMap<Shape, String>,
    pub names: u64,
    pub expect: VecDeque<(ExpectedAnswer, Instant)>,
    pub state: char,
    /// The epoch under whose lease it works as a primary's connection, while it does.
    pub epoch: Option<u64>,
    /// Whether a plain transaction of this connection may have written.
    pub since: Instant,
    /// A setup statement failed with this code.
    pub setup_failed: Option<String>,
    lines: LineReader,
    partial: Answer,
}

/// Bytes of one answer that are held at most.
const ANSWER_MAX: usize = 4 << 20;

impl BackendConnection {
    pub fn new(now: Instant, instance: &str, service: &str, tenant: &str) -> Self {
        BackendConnection {
            instance: instance.to_owned(),
            service: service.to_owned(),
            tenant: tenant.to_owned(),
            usage: ConnectionUse::Opening,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            names: 0,
            expect: VecDeque::from([(ExpectedAnswer::Greeting, now)]),
            state: 'I',
            epoch: None,
            since: now,
            setup_failed: None,
            lines: LineReader::default(),
            partial: Answer::default(),
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.lines.push(bytes);
    }

    /// The next whole answer, if there is one; an error means that the connection is of no use.
    pub fn answer(&mut self) -> Result<Option<(ExpectedAnswer, Instant, Answer)>, &'static str> {
        loop {
            let line = match self.lines.next_line() {
                NextLine::Line(line) => line,
                NextLine::Partial => return Ok(None),
                NextLine::TooBig => return Err("over-long answer"),
                NextLine::Garbage => return Err("garbage"),
            };
            let Some((expect, sent)) = self.expect.front().copied() else { return Err("an answer to nothing") };
            let (kind, rest) = word(&line);
            match kind {
                "ROW" => {}
                "DONE" => {}
                "ERROR" => {
                    self.partial.code = Some(word(rest).0.to_owned());
                    if expect == ExpectedAnswer::Greeting {
                        self.expect.pop_front();
                        return Ok(Some((expect, sent, std::mem::take(&mut self.partial))));
                    }
                }
                "READY" => {
                    let (state, position) = word(rest);
                    self.partial.state = state.chars().next().unwrap_or('?');
                    self.partial.position = Position::read(position);
                    self.state = self.partial.state;
                    self.partial.raw.push_str(&line);
                    self.partial.raw.push_str("\r\n");
                    self.expect.pop_front();
                    return Ok(Some((expect, sent, std::mem::take(&mut self.partial))));
                }
                _ => return Err("an unknown message"),
            }
            if self.partial.raw.len() + line.len() > ANSWER_MAX {
                return Err("over-long answer");
            }
            self.partial.raw.push_str(&line);
            self.partial.raw.push_str("\r\n");
        }
    }

    /// The statements that make the connection's values and names what the session's are. Names are
    /// ours, one per shape, and outlive the session.
    pub fn align(&mut self, values: &BTreeMap<String, String>, shape: Option<&Shape>) -> Vec<String> {
        let mut texts = Vec::new();
        if self.values.keys().any(|name| !values.contains_key(name)) {
            texts.push("RESET".to_owned());
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                texts.push(format!("SET {name} {value}"));
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = shape
            && !self.prepared.contains_key(shape)
        {
            self.names += 1;
            let name = format!("w{}", self.names);
            texts.push(format!("PREPARE {name} {} {}", shape.verb(), shape.text));
            self.prepared.insert(shape.clone(), name);
        }
        texts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_replayed_only_where_they_differ() {
        let mut conn = BackendConnection::new(Instant::now(), "i", "s", "t");
        let values = |pairs: &[(&str, &str)]| pairs.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect();
        let shape = Shape { write: true, text: "q2c".into() };
        assert_eq!(conn.align(&values(&[("a", "1")]), Some(&shape)), ["SET a 1", "PREPARE w1 WRITE q2c"]);
        assert!(conn.align(&values(&[("a", "1")]), Some(&shape)).is_empty());
        assert_eq!(conn.align(&values(&[("a", "2"), ("b", "3")]), None), ["SET a 2", "SET b 3"]);
        assert_eq!(conn.align(&values(&[("b", "3")]), Some(&shape)), ["RESET", "SET b 3", "PREPARE w2 WRITE q2c"]);
    }

    #[test]
    fn answers_are_whole_or_not_there() {
        let mut conn = BackendConnection::new(Instant::now(), "i", "s", "t");
        conn.push(b"READY I 3.7\r\nROW x\r\nDONE");
        let (expect, _, hello) = conn.answer().expect("well formed").expect("whole");
        assert_eq!((expect, hello.position), (ExpectedAnswer::Greeting, Some(Position { term: 3, number: 7 })));
        conn.expect.push_back((ExpectedAnswer::Statement, Instant::now()));
        assert_eq!(conn.answer().expect("well formed"), None);
        conn.push(b" 7.1\r\nREADY T 3.8\r\nROW stray\r\n");
        let (_, _, answer) = conn.answer().expect("well formed").expect("whole");
        assert_eq!(answer.raw, "ROW x\r\nDONE 7.1\r\nREADY T 3.8\r\n");
        assert!(conn.answer().is_err(), "an answer to nothing");
    }
}
