//! TCP sockets: listening, accepting and the options of every connection.

use smol::Async;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

/// Delay after a failed `accept` (for example when no file descriptor is free) before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The first keep-alive probe is sent after the silence timeout, but never earlier than this.
const KEEPALIVE_IDLE_MIN: Duration = Duration::from_secs(1);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the kernel drops the connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// A daemon could not listen on one of its addresses.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ListenError {
    /// The address from the settings.
    pub address: SocketAddrV4,
    /// What the operating system reported.
    pub source: std::io::Error,
}

impl From<ListenError> for std::io::Error {
    fn from(error: ListenError) -> Self {
        std::io::Error::new(error.source.kind(), error)
    }
}

/// Listens on `address`.
pub fn listen(address: SocketAddrV4) -> Result<Async<TcpListener>, ListenError> {
    Async::<TcpListener>::bind(address).map_err(|source| ListenError { address, source })
}

/// Waits for the next connection. A failed `accept` is retried after `ACCEPT_RETRY_DELAY`, without end; only the
/// first failure in a row is logged, so that the log ring keeps what led to it.
pub async fn accept(listener: &Async<TcpListener>) -> Async<TcpStream> {
    let mut failure_logged = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                if !failure_logged {
                    tracing::warn!(%error, "accept failed, retrying");
                    failure_logged = true;
                }
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The next connection that the kernel has accepted already, if there is one.
pub fn accept_queued(listener: &Async<TcpListener>) -> Option<Async<TcpStream>> {
    let (stream, _) = listener.get_ref().accept().ok()?;
    Async::new(stream).ok()
}

/// Sets the options of a connection: no Nagle delay for small messages, and a limit of `silence_timeout` for a peer
/// that acknowledges nothing (`TCP_USER_TIMEOUT`, with keep-alive probes for an idle connection). A failure to set
/// an option is ignored; the connection works without it.
pub fn configure_socket(stream: &TcpStream, silence_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(silence_timeout));
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(silence_timeout.max(KEEPALIVE_IDLE_MIN))
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
