//! The HTTP client: one request on a connection of its own.

use super::{BODY_MAX, HttpResponse, SILENCE_TIMEOUT};
use crate::socket::configure_socket;
use crate::{Executor, with_timeout};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Bytes;
use smol::Async;
use smol_hyper::rt::FuturesIo;
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A response body over this many bytes is an error.
const RESPONSE_BODY_MAX: usize = BODY_MAX * 4;

/// A request to send.
pub struct OutboundRequest<'a> {
    /// The server.
    pub address: SocketAddrV4,
    /// The method in upper case.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// Headers besides `Host` and `Content-Type`, as name and value.
    pub headers: &'a [(&'a str, String)],
    /// The body, JSON; empty for none.
    pub body: Vec<u8>,
    /// The limit of the whole exchange, from connecting to the last byte of the response.
    pub timeout: Duration,
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// No connection.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or the server does not speak HTTP.
    #[error("HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// Method, path or a header is not valid HTTP.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The response body is too large, or broke off.
    #[error("cannot read the response body: {0}")]
    ResponseBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The caller's permission ended while connecting; nothing was sent.
    #[error("no longer permitted, not sent")]
    NotPermitted,
    /// The time ran out. The server may or may not have acted on the request.
    #[error("no response within {} ms", .0.as_millis())]
    Timeout(Duration),
}

/// Sends a request and reads its response. `permit` is asked once more right before anything is sent: a caller that
/// acts under a lease must not send after the lease has ended.
pub async fn send(
    executor: Executor,
    request: OutboundRequest<'_>,
    permit: impl Fn() -> bool,
) -> Result<HttpResponse, HttpClientError> {
    let timeout = request.timeout;
    let exchange = exchange(executor, request, permit);
    with_timeout(timeout, exchange).await.unwrap_or(Err(HttpClientError::Timeout(timeout)))
}

async fn exchange(
    executor: Executor,
    request: OutboundRequest<'_>,
    permit: impl Fn() -> bool,
) -> Result<HttpResponse, HttpClientError> {
    let stream = Async::<TcpStream>::connect(request.address).await.map_err(HttpClientError::Connect)?;
    configure_socket(stream.get_ref(), SILENCE_TIMEOUT);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
    // Moves the bytes of the connection. Dropped, and thereby cancelled, when this function returns; an error of the
    // connection reaches `send_request` or the reading of the body.
    let _connection_task = executor.spawn(async move {
        let _ = connection.await;
    });
    let request = to_hyper(request)?;
    if !permit() {
        return Err(HttpClientError::NotPermitted);
    }
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let location = response.headers().get("location").and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Limited::new(response.into_body(), RESPONSE_BODY_MAX).collect().await;
    let body = body.map_err(HttpClientError::ResponseBody)?.to_bytes().to_vec();
    Ok(HttpResponse { status, location, body })
}

fn to_hyper(request: OutboundRequest<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut builder =
        Request::builder().method(request.method).uri(request.path).header("host", request.address.to_string());
    for (name, value) in request.headers {
        builder = builder.header(*name, value);
    }
    if !request.body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    builder.body(Full::new(Bytes::from(request.body)))
}
