//! A client's session over a socket.

use lichenfield_runtime::with_timeout;
use smol::Async;
use smol::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use std::io::{self, Error, ErrorKind};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than any deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// What a statement was answered.
#[derive(Debug)]
pub(super) struct Answer {
    /// The code of the error, if it failed.
    pub(super) error: Option<String>,
    /// The state of the transaction afterwards.
    pub(super) state: char,
}

/// An open session.
pub(super) struct WireSession {
    stream: BufReader<Async<TcpStream>>,
}

impl WireSession {
    /// Connects and waits until the session is ready.
    pub(super) async fn open(address: SocketAddrV4, database: &str, key: &str) -> io::Result<Self> {
        let socket = with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address));
        let socket = socket.await.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))?;
        let _ = socket.get_ref().set_nodelay(true);
        let mut session = WireSession { stream: BufReader::new(socket) };
        session.send(&format!("CONNECT {database} {key}\r\n")).await?;
        let line = session.line(CONNECT_TIMEOUT).await?;
        if line.starts_with("READY ") { Ok(session) } else { Err(Error::other(line)) }
    }

    /// What has come although nothing was asked, if it is no error.
    pub(super) fn unexpected_answer(&self) -> Option<String> {
        let buffered = String::from_utf8_lossy(self.stream.buffer()).into_owned();
        (!buffered.is_empty() && !buffered.starts_with("ERROR ")).then_some(buffered)
    }

    /// Sends a statement and waits for its answer. An error means that the connection has ended without one.
    pub(super) async fn query(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n")).await?;
        let mut error = None;
        loop {
            let line = self.line(ANSWER_TIMEOUT).await?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ERROR" => error = Some(rest.split(' ').next().unwrap_or_default().to_owned()),
                "READY" => return Ok(Answer { error, state: rest.chars().next().unwrap_or('?') }),
                _ => {}
            }
        }
    }

    async fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes()).await
    }

    async fn line(&mut self, timeout: Duration) -> io::Result<String> {
        let mut line = String::new();
        let read = with_timeout(timeout, self.stream.read_line(&mut line)).await;
        match read.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }
}
