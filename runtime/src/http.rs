//! HTTP/1.1 by `hyper`: a server for a daemon's interfaces, and single calls out.

use crate::byte_stream::tune;
use crate::{Executor, within};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bodies over this are refused with 413.
pub const BODY_MAX: usize = 1 << 20;
/// Connections served at once; more wait in the kernel.
const CONNECTIONS_MAX: usize = 1000;
const HEADER_PATIENCE: Duration = Duration::from_secs(3);
const SILENCE: Duration = Duration::from_secs(3);

pub struct Call {
    pub method: String,
    pub path: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn status(status: u16) -> Self {
        Answer { status, location: None, body: Vec::new() }
    }
}

/// Serves calls with `handle` until the daemon ends.
pub fn serve<F, R>(executor: Executor, address: SocketAddrV4, handle: F) -> std::io::Result<()>
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    let handle = Rc::new(handle);
    let open = Rc::new(Cell::new(0usize));
    executor
        .spawn(async move {
            loop {
                if open.get() >= CONNECTIONS_MAX {
                    smol::Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tune(stream.get_ref(), SILENCE);
                        let (handle, open) = (Rc::clone(&handle), Rc::clone(&open));
                        open.set(open.get() + 1);
                        executor
                            .spawn(async move {
                                serve_one(stream, handle).await;
                                open.set(open.get() - 1);
                            })
                            .detach();
                    }
                    Err(_) => drop(smol::Timer::after(Duration::from_millis(20)).await),
                }
            }
        })
        .detach();
    Ok(())
}

async fn serve_one<F, R>(stream: Async<TcpStream>, handle: Rc<F>)
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = Rc::clone(&handle);
        async move {
            let answer = match read_call(request).await {
                Some(call) => handle(call).await,
                None => Answer::status(413),
            };
            Ok::<_, Infallible>(render(answer))
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEADER_PATIENCE * 20)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn read_call(request: Request<Incoming>) -> Option<Call> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, BODY_MAX).collect().await.ok()?.to_bytes().to_vec();
    let if_match = parts.headers.get("if-match").and_then(|v| v.to_str().ok()).map(str::to_owned);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    Some(Call { method: parts.method.as_str().to_owned(), path, if_match, body })
}

fn render(answer: Answer) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(answer.status);
    if let Some(location) = answer.location {
        builder = builder.header("location", location);
    }
    if !answer.body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    builder.body(Full::new(Bytes::from(answer.body))).unwrap_or_else(|_| Response::new(Full::default()))
}

/// One call on a connection of its own. `permit` is asked once more right before anything is sent.
pub async fn call(
    executor: Executor,
    to: SocketAddrV4,
    (method, path): (&str, &str),
    headers: &[(&str, String)],
    body: Vec<u8>,
    patience: Duration,
    permit: impl Fn() -> bool,
) -> Result<Answer, String> {
    let work = async {
        let stream = Async::<TcpStream>::connect(to).await.map_err(|e| e.to_string())?;
        tune(stream.get_ref(), SILENCE);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await.map_err(|e| e.to_string())?;
        let _driver = executor.spawn(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder().method(method).uri(path).header("host", to.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let request = request.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())?;
        if !permit() {
            return Err("not permitted any more".to_owned());
        }
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let location = response.headers().get("location").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = Limited::new(response.into_body(), BODY_MAX * 4).collect().await.map_err(|e| e.to_string())?;
        Ok(Answer { status, location, body: body.to_bytes().to_vec() })
    };
    within(patience, work).await.unwrap_or_else(|| Err(format!("no answer within {} ms", patience.as_millis())))
}
