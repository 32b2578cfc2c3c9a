//! A client's session.

use crate::record::note;
use crate::wire::{Lines, split};
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

/// What a statement was answered.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The code of the error, if it failed.
    pub error: Option<String>,
    /// The state of the transaction afterwards.
    pub state: char,
}

impl Answer {
    pub fn done(&self) -> bool {
        self.error.is_none()
    }
}

pub struct Session {
    lines: Lines,
    name: String,
}

impl Session {
    /// Connects and waits for `READY`.
    pub fn open(name: &str, pooler: SocketAddr, database: &str, key: &str) -> Result<Session> {
        let mut lines = Lines::connect(pooler, Duration::from_secs(2))?;
        lines.send(&format!("CONNECT {database} {key}\r\n"))?;
        let line = lines.line()?;
        if !line.starts_with("READY") {
            return Err(std::io::Error::other(line));
        }
        lines.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Session { lines, name: name.to_owned() })
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer> {
        note(format!("{} sends {id} {text}", self.name));
        self.lines.send(&format!("QUERY {id} {text}\r\n"))?;
        let mut error = None;
        loop {
            let line = match self.lines.line() {
                Ok(line) => line,
                Err(cause) => {
                    note(format!("{} has no answer to {id}: {cause}", self.name));
                    return Err(cause);
                }
            };
            let (word, rest) = split(&line);
            match word {
                "ERROR" => error = Some(split(rest).0.to_owned()),
                "READY" => {
                    let state = rest.chars().next().unwrap_or('?');
                    let shown = error.as_deref().unwrap_or("DONE");
                    note(format!("{} gets for {id} {shown}, state {state}", self.name));
                    return Ok(Answer { error, state });
                }
                _ => {}
            }
        }
    }
}
