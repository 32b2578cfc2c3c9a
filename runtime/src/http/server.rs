//! The HTTP server.

use super::{BODY_MAX, HttpRequest, HttpResponse, SILENCE_TIMEOUT};
use crate::socket::{self, ListenError, configure_socket};
use crate::{Executor, Shared, shared};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Connections served at once; more wait in the kernel's accept queue.
const CONNECTIONS_MAX: usize = 1000;
/// Delay before the connection count is checked again while it is at [`CONNECTIONS_MAX`].
const CONNECTION_LIMIT_RECHECK: Duration = Duration::from_millis(20);
/// A connection without a whole request head for this long is closed; this also ends idle keep-alive connections.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// The body of a request could not be read: too large, or the connection broke.
#[derive(Debug, thiserror::Error)]
#[error("cannot read the request body: {0}")]
struct RequestBodyError(Box<dyn std::error::Error + Send + Sync>);

/// Serves requests at `address` with `handler`, in tasks of their own, until the process ends.
pub fn serve<H, R>(executor: Executor, address: SocketAddrV4, handler: H) -> Result<(), ListenError>
where
    H: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let listener = socket::listen(address)?;
    executor.spawn(accept_connections(executor, listener, Rc::new(handler))).detach();
    Ok(())
}

/// The accept task: never ends while the process runs.
async fn accept_connections<H, R>(executor: Executor, listener: Async<TcpListener>, handler: Rc<H>)
where
    H: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let open_connections: Shared<usize> = shared(0);
    loop {
        if *open_connections.borrow() >= CONNECTIONS_MAX {
            smol::Timer::after(CONNECTION_LIMIT_RECHECK).await;
            continue;
        }
        let stream = socket::accept(&listener).await;
        configure_socket(stream.get_ref(), SILENCE_TIMEOUT);
        let (handler, open_connections) = (Rc::clone(&handler), Rc::clone(&open_connections));
        *open_connections.borrow_mut() += 1;
        let connection = async move {
            serve_connection(stream, handler).await;
            *open_connections.borrow_mut() -= 1;
        };
        executor.spawn(connection).detach();
    }
}

/// The task of a connection: ends when the client closes, breaks off, or sends no request for [`HEADER_READ_TIMEOUT`].
async fn serve_connection<H, R>(stream: Async<TcpStream>, handler: Rc<H>)
where
    H: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        async move {
            let response = match read_request(request).await {
                Ok(request) => handler(request).await,
                Err(error) => {
                    tracing::debug!(%error, "request refused");
                    HttpResponse::status(StatusCode::PAYLOAD_TOO_LARGE.as_u16())
                }
            };
            Ok::<_, Infallible>(to_hyper(response))
        }
    });
    // An error here is a client that broke off, which needs no action.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn read_request(request: Request<Incoming>) -> Result<HttpRequest, RequestBodyError> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, BODY_MAX).collect().await.map_err(RequestBodyError)?.to_bytes().to_vec();
    let if_match = parts.headers.get("if-match").and_then(|value| value.to_str().ok()).map(str::to_owned);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    Ok(HttpRequest { method: parts.method.as_str().to_owned(), path, if_match, body })
}

fn to_hyper(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(response.status);
    if let Some(location) = response.location {
        builder = builder.header("location", location);
    }
    if !response.body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    builder.body(Full::new(Bytes::from(response.body))).unwrap_or_else(|_| Response::new(Full::default()))
}
