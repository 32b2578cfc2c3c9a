//! A client's session.

use crate::note;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Session {
    name: String,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The code and text of an error; empty for success.
    pub error: String,
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.error.is_empty()
    }
}

impl Session {
    pub fn connect(name: &str, to: SocketAddr, database: &str, key: &str) -> Result<Session, String> {
        let writer = TcpStream::connect_timeout(&to, Duration::from_secs(2)).map_err(|error| error.to_string())?;
        let _ = writer.set_nodelay(true);
        let _ = writer.set_read_timeout(Some(Duration::from_secs(8)));
        let reader = BufReader::new(writer.try_clone().map_err(|error| error.to_string())?);
        let mut session = Session { name: name.to_owned(), writer, reader };
        session.send(&format!("CONNECT {database} {key}"))?;
        let line = session.line()?;
        if line.starts_with("READY") { Ok(session) } else { Err(line) }
    }

    fn send(&mut self, line: &str) -> Result<(), String> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).map_err(|error| format!("CUT {error}"))
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("CUT closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(format!("CUT {error}")),
        }
    }

    /// Sends a statement and reads its answer. A cut is an error of the answer's.
    pub fn query(&mut self, id: &str, text: &str) -> Answer {
        let result = self.exchange(id, text);
        let answer = result.unwrap_or_else(|error| Answer { error, ..Answer::default() });
        let outcome = if answer.is_success() { format!("DONE {:?}", answer.rows) } else { answer.error.clone() };
        note!("client {}: {id} {text} -> {outcome}, {}", self.name, answer.state);
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut answer = Answer::default();
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => {}
                "ERROR" => answer.error = rest.to_owned(),
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(answer);
                }
                _ => return Err(format!("CUT unknown line {line}")),
            }
        }
    }
}
