//! A pooled connection to an instance: the session state replayed on it, and the answers still to come.

use super::SessionId;
use super::framing::{LineReader, NextLine};
use super::position::Position;
use crate::request::statement::{Shape, split_word};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;
use thiserror::Error;

/// What the next answer on a connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The answer to `CONNECT`.
    Greeting,
    /// A statement that prepares the connection for a session.
    Setup,
    /// A client's statement.
    Statement,
    /// The pooler's own `ROLLBACK`, after which the connection is free.
    Rollback,
    /// The pooler's own `STATUS`, which asks the primary for its position.
    Status,
}

/// An answer that has not arrived yet.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingRequest {
    /// What the answer will belong to.
    pub expected: ExpectedAnswer,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not greeted yet.
    Opening,
    /// Free.
    Idle,
    /// Serves this session.
    Busy(SessionId),
    /// Serves no session; an answer that none wants is awaited and dropped before the connection is used again.
    Detached,
    /// Asks for the primary's position.
    QueryingPosition,
}

/// A complete answer.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Answer {
    /// Its bytes, to be passed on to the client.
    pub raw: String,
    /// The code, if it is an error.
    pub code: Option<String>,
    /// The state letter of its `READY` line.
    pub state: char,
    /// The position in its `READY` line.
    pub position: Option<Position>,
}

/// A complete answer together with the request that it answers.
#[derive(Debug, PartialEq)]
pub struct ReceivedAnswer {
    /// What it belongs to.
    pub expected: ExpectedAnswer,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The answer.
    pub answer: Answer,
}

/// The instance broke the protocol; the connection cannot be used any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line or answer is longer than allowed.
    #[error("answer too long")]
    AnswerTooLong,
    /// A line is no text or lacks its line end.
    #[error("malformed line")]
    MalformedLine,
    /// Nothing was asked.
    #[error("unexpected answer")]
    UnexpectedAnswer,
    /// The line begins with an unknown word.
    #[error("unknown message")]
    UnknownMessage,
}

/// A connection to an instance, opened for one tenant.
#[derive(Debug)]
pub struct BackendConnection {
    /// The instance.
    pub instance: String,
    /// The instance's service.
    pub service: String,
    /// The tenant whose sessions alone it serves.
    pub tenant: String,
    /// What it is used for.
    pub state: ConnectionState,
    /// Session variables set on it.
    pub variables: BTreeMap<String, String>,
    /// Names of the statements prepared on it.
    pub prepared: HashMap<Shape, String>,
    /// Names given so far.
    names_given: u64,
    /// Answers still to come, in the order of their requests.
    pub outstanding: VecDeque<OutstandingRequest>,
    /// The state letter of the last `READY` line.
    pub transaction_state: char,
    /// While it works as a connection to the primary: the epoch of the lease that covers it.
    pub epoch: Option<u64>,
    /// When it entered its state or was last sent a request that a timeout bounds.
    pub since: Instant,
    /// A setup statement failed with this code.
    pub setup_error: Option<String>,
    input: LineReader,
    partial: Answer,
}

/// Greatest size of one answer, in bytes.
const ANSWER_MAX: usize = 4 << 20;

impl BackendConnection {
    /// A connection that is being opened, its `CONNECT` on the way.
    pub fn new(now: Instant, instance: &str, service: &str, tenant: &str) -> Self {
        BackendConnection {
            instance: instance.to_owned(),
            service: service.to_owned(),
            tenant: tenant.to_owned(),
            state: ConnectionState::Opening,
            variables: BTreeMap::new(),
            prepared: HashMap::new(),
            names_given: 0,
            outstanding: VecDeque::from([OutstandingRequest { expected: ExpectedAnswer::Greeting, sent_at: now }]),
            transaction_state: 'I',
            epoch: None,
            since: now,
            setup_error: None,
            input: LineReader::default(),
            partial: Answer::default(),
        }
    }

    /// Whether it is free.
    pub fn is_idle(&self) -> bool {
        self.state == ConnectionState::Idle
    }

    /// Whether it has not been greeted yet.
    pub fn is_opening(&self) -> bool {
        self.state == ConnectionState::Opening
    }

    /// Records that a request was sent.
    pub fn expect(&mut self, expected: ExpectedAnswer, sent_at: Instant) {
        self.outstanding.push_back(OutstandingRequest { expected, sent_at });
    }

    /// Takes bytes received from the instance.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// The next complete answer, if there is one.
    pub fn next_answer(&mut self) -> Result<Option<ReceivedAnswer>, ProtocolError> {
        loop {
            let line = match self.input.next_line() {
                NextLine::Line(line) => line,
                NextLine::Partial => return Ok(None),
                NextLine::TooLong => return Err(ProtocolError::AnswerTooLong),
                NextLine::Malformed => return Err(ProtocolError::MalformedLine),
            };
            let Some(request) = self.outstanding.front().copied() else {
                return Err(ProtocolError::UnexpectedAnswer);
            };
            let (kind, rest) = split_word(&line);
            match kind {
                "ROW" | "DONE" => {}
                "ERROR" => {
                    self.partial.code = Some(split_word(rest).0.to_owned());
                    // A refused `CONNECT` is not followed by `READY`.
                    if request.expected == ExpectedAnswer::Greeting {
                        return Ok(Some(self.complete_answer(request)));
                    }
                }
                "READY" => {
                    self.apply_ready(rest);
                    self.append_line(&line);
                    return Ok(Some(self.complete_answer(request)));
                }
                _ => return Err(ProtocolError::UnknownMessage),
            }
            if self.partial.raw.len() + line.len() > ANSWER_MAX {
                return Err(ProtocolError::AnswerTooLong);
            }
            self.append_line(&line);
        }
    }

    fn apply_ready(&mut self, fields: &str) {
        let (state, position) = split_word(fields);
        self.partial.state = state.chars().next().unwrap_or('?');
        self.partial.position = Position::parse(position);
        self.transaction_state = self.partial.state;
    }

    fn append_line(&mut self, line: &str) {
        self.partial.raw.push_str(line);
        self.partial.raw.push_str("\r\n");
    }

    fn complete_answer(&mut self, request: OutstandingRequest) -> ReceivedAnswer {
        self.outstanding.pop_front();
        let answer = std::mem::take(&mut self.partial);
        ReceivedAnswer { expected: request.expected, sent_at: request.sent_at, answer }
    }

    /// The statements that give the connection the session's variables and prepared shape. Names of prepared
    /// statements are the pooler's own, one per shape, and outlive the session.
    pub fn align(&mut self, variables: &BTreeMap<String, String>, shape: Option<&Shape>) -> Vec<String> {
        let mut texts = Vec::new();
        if self.variables.keys().any(|name| !variables.contains_key(name)) {
            texts.push("RESET".to_owned());
            self.variables.clear();
            self.prepared.clear();
        }
        for (name, value) in variables {
            if self.variables.get(name) != Some(value) {
                texts.push(format!("SET {name} {value}"));
                self.variables.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = shape
            && !self.prepared.contains_key(shape)
        {
            self.names_given += 1;
            let name = format!("w{}", self.names_given);
            texts.push(format!("PREPARE {name} {} {}", shape.verb(), shape.text));
            self.prepared.insert(shape.clone(), name);
        }
        texts
    }
}

#[cfg(test)]
mod tests;
