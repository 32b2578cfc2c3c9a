//! Health checks: one statement at an instance, on a connection of its own.

use super::ControllerDriver;
use lichenfield_engine::process::dissemination::anti_entropy::Instance;
use lichenfield_engine::process::leadership::HealthCheckResult;
use lichenfield_runtime::with_timeout;
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{AddrParseError, SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::str::Utf8Error;
use std::time::{Duration, Instant};

/// A check takes this long at most; then it has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Responses to a check stay far below this.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 1024;

/// Why a check has no result.
#[derive(Debug, thiserror::Error)]
enum HealthCheckError {
    #[error("the instance's address can't be read: {0}")]
    Address(#[from] AddrParseError),
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    #[error("the response is not text: {0}")]
    NotText(#[from] Utf8Error),
    #[error("the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseEnd {
    /// With `READY`: the connection takes the next statement.
    Ready,
    /// The instance closed the connection.
    Closed,
}

impl ControllerDriver {
    /// Starts a check, and hands its result to the state machine.
    pub(super) fn spawn_health_check(self: &Rc<Self>, token: u64, instance: Instance, statement: String) {
        let driver = Rc::clone(self);
        let task = async move {
            let checked = with_timeout(HEALTH_CHECK_TIMEOUT, run_statement(&instance, &statement)).await;
            let result = match checked {
                Some(Ok(result)) => result,
                Some(Err(_)) | None => HealthCheckResult::Failed,
            };
            driver.controller.borrow_mut().health_check_finished(Instant::now(), token, result);
            driver.tick();
        };
        self.executor.spawn(task).detach();
    }
}

/// Connects to an instance, runs one statement and reads its result.
async fn run_statement(instance: &Instance, statement: &str) -> Result<HealthCheckResult, HealthCheckError> {
    let address: SocketAddrV4 = instance.address.parse()?;
    let mut stream = Async::<TcpStream>::connect(address).await?;
    lichenfield_runtime::byte_stream::configure_socket(stream.get_ref(), HEALTH_CHECK_TIMEOUT);
    let connect = format!("CONNECT {} - {}\r\n", instance.service, instance.id);
    stream.write_all(connect.as_bytes()).await?;
    let mut response = String::new();
    if read_response(&mut stream, &mut response).await? == ResponseEnd::Closed {
        let is_full = response.starts_with("ERROR FULL");
        return Ok(if is_full { HealthCheckResult::Busy } else { HealthCheckResult::Failed });
    }
    response.clear();
    stream.write_all(format!("QUERY - {statement}\r\n").as_bytes()).await?;
    read_response(&mut stream, &mut response).await?;
    let _ = stream.write_all(b"BYE\r\n").await;
    Ok(parse_response(&response))
}

fn parse_response(response: &str) -> HealthCheckResult {
    match response.strip_prefix("ROW ") {
        Some(rest) => HealthCheckResult::read(rest.split("\r\n").next().unwrap_or_default()),
        None if response.starts_with("ERROR BUSY") => HealthCheckResult::Busy,
        None => HealthCheckResult::Failed,
    }
}

/// Reads a response up to its `READY`, or to the end of the connection.
async fn read_response(stream: &mut Async<TcpStream>, response: &mut String) -> Result<ResponseEnd, HealthCheckError> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(ResponseEnd::Closed);
        }
        response.push_str(std::str::from_utf8(&buffer[..length])?);
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(HealthCheckError::TooLong);
        }
        let Some(lines) = response.strip_suffix("\r\n") else { continue };
        let last_line = lines.rsplit("\r\n").next().unwrap_or_default();
        if last_line.starts_with("READY ") {
            return Ok(ResponseEnd::Ready);
        }
    }
}
