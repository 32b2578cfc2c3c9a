//! The operator's client. Every call has a bounded time, and exit codes tell what happened.

mod render;

#[cfg(test)]
mod tests;

use lichenfield_runtime::http::{self, HttpClientError, HttpResponse, OutboundRequest};
use lichenfield_runtime::startup::EXIT_SETTINGS;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;

/// One call, without those that it is redirected to, takes this long at most.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A follower redirects to the leader, and that may have changed meanwhile.
const MAX_REDIRECTS: usize = 2;
const TEMPORARY_REDIRECT: u16 = 307;
/// The exit code when the service refused the call: a status of 4xx.
const EXIT_REFUSED: u8 = 3;
/// The exit code when the service could not be reached, or could not answer: anything else.
const EXIT_UNREACHABLE: u8 = 4;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The service refused the call, with a status of 4xx.
    #[error("{status} {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The service answered with neither success nor refusal.
    #[error("{status} {body}")]
    Unavailable {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The service could not be reached: the reason.
    #[error(transparent)]
    Unreachable(#[from] HttpClientError),
    /// The service redirected to an address that can't be read.
    #[error("redirected to {location}, which can't be read")]
    InvalidRedirect {
        /// Where to.
        location: String,
    },
    /// The service redirected too often.
    #[error("redirected more than {MAX_REDIRECTS} times")]
    TooManyRedirects,
    /// A configuration file can't be read or is not valid.
    #[error("{file}: {reason}")]
    ConfigFile {
        /// The file.
        file: String,
        /// What is wrong.
        reason: String,
    },
}

impl ClientError {
    fn exit_code(&self) -> u8 {
        match self {
            ClientError::ConfigFile { .. } => EXIT_SETTINGS,
            ClientError::Refused { .. } => EXIT_REFUSED,
            ClientError::Unavailable { .. }
            | ClientError::Unreachable(_)
            | ClientError::InvalidRedirect { .. }
            | ClientError::TooManyRedirects => EXIT_UNREACHABLE,
        }
    }
}

/// Reports a command's result.
pub fn exit_code(result: Result<(), ClientError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lichenfield-controller: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Checks a configuration file as the service would.
pub fn check(file: &str) -> Result<(), ClientError> {
    let raw = read_file(file)?;
    let document = lichenfield_engine::version::config::parse(&raw)
        .map_err(|error| ClientError::ConfigFile { file: file.to_owned(), reason: error.to_string() })?;
    println!("{file}: good, revision {}", document.revision);
    Ok(())
}

/// Prints the newest configuration.
pub fn get(at: SocketAddrV4) -> Result<(), ClientError> {
    println!("{}", call(at, Call::get("/api/config"))?);
    Ok(())
}

/// Sends a configuration that builds on the version given.
pub fn put(at: SocketAddrV4, if_match: u64, file: &str) -> Result<(), ClientError> {
    let body = read_file(file)?;
    let headers = vec![("if-match", if_match.to_string())];
    call(at, Call { method: "PUT", path: "/api/config", headers, body })?;
    println!("taken");
    Ok(())
}

/// Prints the last changes of the configuration.
pub fn history(at: SocketAddrV4, json: bool) -> Result<(), ClientError> {
    let body = call(at, Call::get("/api/history"))?;
    let lines = if json { None } else { render::history(&body) };
    print_lines(&lines.unwrap_or_else(|| vec![body]));
    Ok(())
}

/// Prints a controller's status report.
pub fn status(at: SocketAddrV4, json: bool) -> Result<(), ClientError> {
    let body = call(at, Call::get("/api/status"))?;
    let lines = if json { None } else { render::status(&body) };
    print_lines(&lines.unwrap_or_else(|| vec![body]));
    Ok(())
}

fn print_lines(lines: &[String]) {
    for line in lines {
        println!("{line}");
    }
}

fn read_file(file: &str) -> Result<Vec<u8>, ClientError> {
    std::fs::read(file).map_err(|error| ClientError::ConfigFile { file: file.to_owned(), reason: error.to_string() })
}

/// One call of the HTTP interface.
struct Call {
    method: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Call {
    fn get(path: &'static str) -> Self {
        Call { method: "GET", path, headers: Vec::new(), body: Vec::new() }
    }
}

/// Makes a call and gives the body of its answer.
fn call(at: SocketAddrV4, call: Call) -> Result<String, ClientError> {
    let answer = call_following_redirects(at, &call)?;
    let status = answer.status;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    match status {
        200..=299 => Ok(body),
        400..=499 => Err(ClientError::Refused { status, body }),
        _ => Err(ClientError::Unavailable { status, body }),
    }
}

fn call_following_redirects(at: SocketAddrV4, call: &Call) -> Result<HttpResponse, ClientError> {
    lichenfield_runtime::run(|executor| async move {
        let mut to = at;
        for _ in 0..=MAX_REDIRECTS {
            let request = OutboundRequest {
                address: to,
                method: call.method,
                path: call.path,
                headers: &call.headers,
                body: call.body.clone(),
                timeout: CALL_TIMEOUT,
            };
            let answer = http::send(executor, request, || true).await?;
            match &answer.location {
                Some(location) if answer.status == TEMPORARY_REDIRECT => to = parse_location(location)?,
                _ => return Ok(answer),
            }
        }
        Err(ClientError::TooManyRedirects)
    })
}

/// The address in a `Location` of the form `http://ip:port/path`.
fn parse_location(location: &str) -> Result<SocketAddrV4, ClientError> {
    let host = location.strip_prefix("http://").and_then(|rest| rest.split('/').next()).unwrap_or_default();
    host.parse().map_err(|_| ClientError::InvalidRedirect { location: location.to_owned() })
}
