//! Lines over TCP, and small HTTP calls.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection that is read by lines that end with CR LF.
pub struct Lines {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Lines { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Lines::new(stream))
    }

    pub fn send(&mut self, text: &str) -> Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// The next line, without its end.
    pub fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes)? {
                0 => return Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
                count => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Exactly so many bytes.
    pub fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes)? {
                0 => return Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
                read => self.buffer.extend_from_slice(&bytes[..read]),
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }
}

/// The first word of a text, and the rest.
pub fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

/// One HTTP call on a connection of its own: the status, the `Location` and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String, String)> {
    let mut lines = Lines::connect(address, timeout)?;
    let length = body.len();
    lines.send(&format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         {headers}Content-Length: {length}\r\n\r\n{body}"
    ))?;
    let status = lines.line()?.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let (mut length, mut location) = (0, String::new());
    loop {
        let line = lines.line()?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "location" => location = value.trim().to_owned(),
            _ => {}
        }
    }
    let body = lines.bytes(length)?;
    Ok((status, location, String::from_utf8_lossy(&body).into_owned()))
}
