//! HTTP/1.1 as far as the operator, the instances and the platform need it: one request a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Sends a request; gives the status, the `Location` and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, String, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers, body) = read_message(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let location = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("location"));
    Ok((status, location.map_or(String::new(), |(_, value)| value.clone()), body))
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves requests until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> u16 + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                if let Ok((first, headers, body)) = read_message(&mut reader) {
                    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
                    let status = handler(Request { path, headers, body });
                    let _ = write!(writer, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                }
            });
        }
    });
}

/// The text value of a key in a flat JSON object.
pub fn json_text(body: &str, key: &str) -> String {
    let marker = format!("\"{key}\":");
    let Some(at) = body.find(&marker) else { return String::new() };
    let rest = body[at + marker.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or_default().to_owned(),
        None => rest.split([',', '}']).next().unwrap_or_default().trim().to_owned(),
    }
}
