//! Clients' connections: accepting them, and deciding by a client's first line where its session is served.

use super::PoolerDriver;
use lichenfield_engine::connection::draining::DrainPhase;
use lichenfield_engine::process::pooler::SessionId;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::socket::{self, ListenError, configure_socket};
use smol::{Async, Task};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that acknowledges nothing for this long is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a client's first line that are waited for; a session with a longer one is served here.
const FIRST_LINE_MAX: usize = 64 * 1024;

/// Who opens the sessions that a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionOrigin {
    /// A client.
    Client,
    /// Another pooler, which forwards a client's session.
    Pooler,
}

/// A task that accepts connections. It ends once its sender is dropped.
pub(super) struct AcceptTask {
    task: Task<()>,
    stop_sender: smol::channel::Sender<()>,
}

/// Where a client's bytes go.
enum SessionRoute {
    /// Not decided yet: what the client has sent so far.
    Undecided(Vec<u8>),
    /// To this daemon's own state machine.
    Local,
    /// To a carrier.
    Forwarded,
}

impl PoolerDriver {
    /// Starts the accept task for `address`, which runs until [`Self::stop_accepting`].
    pub(super) fn listen_for_sessions(
        self: &Rc<Self>,
        address: SocketAddrV4,
        origin: SessionOrigin,
    ) -> Result<(), ListenError> {
        let listener = socket::listen(address)?;
        let (stop_sender, stop) = smol::channel::bounded(1);
        let driver = Rc::clone(self);
        let task = self.executor.spawn(async move { driver.accept_sessions(listener, origin, stop).await });
        self.accept_tasks.borrow_mut().push(AcceptTask { task, stop_sender });
        Ok(())
    }

    /// Accepts until told to stop, at last what the kernel has queued by then, and closes the listener.
    async fn accept_sessions(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        origin: SessionOrigin,
        stop: smol::channel::Receiver<()>,
    ) {
        let stopped = || async {
            let _ = stop.recv().await;
            None
        };
        while let Some(socket) = smol::future::or(async { Some(socket::accept(&listener).await) }, stopped()).await {
            self.accept_session(socket, origin);
        }
        while let Some(socket) = socket::accept_queued(&listener) {
            self.accept_session(socket, origin);
        }
    }

    /// Closes the listeners: who connects from now on is refused by the kernel and goes elsewhere at once.
    pub(super) async fn stop_accepting(&self) {
        let tasks = std::mem::take(&mut *self.accept_tasks.borrow_mut());
        for AcceptTask { task, stop_sender } in tasks {
            drop(stop_sender);
            task.await;
        }
    }

    fn accept_session(self: &Rc<Self>, socket: Async<TcpStream>, origin: SessionOrigin) {
        configure_socket(socket.get_ref(), SILENCE_TIMEOUT);
        let session_id = self.next_session_id.get();
        self.next_session_id.set(session_id + 1);
        if let Some(shutdown) = self.shutdown.get() {
            let after_sigterm = shutdown.started_at().elapsed();
            tracing::info!(session_id, ?origin, ?after_sigterm, "accepted while draining");
        }
        let stream = ByteStream::connected(self.executor, socket);
        self.client_streams.borrow_mut().insert(session_id, Rc::clone(&stream));
        let route = match origin {
            SessionOrigin::Client => SessionRoute::Undecided(Vec::new()),
            SessionOrigin::Pooler if self.pooler.borrow_mut().accept_forwarded_session(session_id) => {
                SessionRoute::Local
            }
            SessionOrigin::Pooler => {
                self.client_streams.borrow_mut().remove(&session_id);
                return stream.abort();
            }
        };
        self.executor.spawn(Rc::clone(self).run_session(session_id, stream, route)).detach();
    }

    /// The task of a client's connection: reads until the connection ends, then ends the session.
    async fn run_session(self: Rc<Self>, session_id: SessionId, stream: Rc<ByteStream>, mut route: SessionRoute) {
        let driver = Rc::clone(&self);
        let client_stream = Rc::clone(&stream);
        let on_bytes = move |bytes: &[u8]| driver.route_client_bytes(session_id, &client_stream, &mut route, bytes);
        Rc::clone(&stream).read(on_bytes).await;
        self.remove_carrier_link(session_id);
        let now = Instant::now();
        self.pooler.borrow_mut().handle_client_closed(now, session_id);
        self.perform_effects(now);
        // While the client still reads its last answer, its connection is open: a process that drains waits for it.
        stream.flushed().await;
        self.client_streams.borrow_mut().remove(&session_id);
    }

    fn route_client_bytes(
        self: &Rc<Self>,
        session_id: SessionId,
        stream: &Rc<ByteStream>,
        route: &mut SessionRoute,
        bytes: &[u8],
    ) {
        match route {
            SessionRoute::Undecided(received) => {
                received.extend_from_slice(bytes);
                if received.contains(&b'\n') || received.len() > FIRST_LINE_MAX {
                    let received = std::mem::take(received);
                    *route = self.choose_route(session_id, stream, &received);
                }
            }
            SessionRoute::Local => self.handle_client_bytes(session_id, bytes),
            SessionRoute::Forwarded if self.carrier_links.borrow().contains_key(&session_id) => {
                self.forward_client_bytes(session_id, bytes)
            }
            SessionRoute::Forwarded => {
                // No carrier answered, so the session is served here now.
                *route = SessionRoute::Local;
                self.handle_client_bytes(session_id, bytes);
            }
        }
    }

    /// Decides by the client's first line where the session is served, and passes on what was received so far. A daemon
    /// that begins no more transactions forwards no new sessions either.
    fn choose_route(self: &Rc<Self>, session_id: SessionId, stream: &Rc<ByteStream>, received: &[u8]) -> SessionRoute {
        let first_line = received.split(|byte| *byte == b'\n').next().unwrap_or_default();
        let carriers = self.reachable_carriers(&String::from_utf8_lossy(first_line));
        let is_ending = self.drain_phase(Instant::now()) >= DrainPhase::RollingBack;
        if is_ending || carriers.is_empty() || self.forwarding_port.is_none() {
            self.serve_locally(session_id, received);
            return SessionRoute::Local;
        }
        self.start_forwarding(session_id, stream, received, carriers);
        SessionRoute::Forwarded
    }

    /// The carriers for a session, the preferred one first, without those that could not be reached lately.
    fn reachable_carriers(&self, first_line: &str) -> Vec<Ipv4Addr> {
        let mut carriers = self.pooler.borrow().carriers_for(first_line);
        let now = Instant::now();
        let unreachable = self.unreachable_carriers.borrow();
        carriers.retain(|carrier| unreachable.get(carrier).is_none_or(|retry_at| now >= *retry_at));
        carriers
    }

    /// Serves the session in this daemon; `received` is what its client has sent so far.
    pub(super) fn serve_locally(self: &Rc<Self>, session_id: SessionId, received: &[u8]) {
        self.pooler.borrow_mut().accept_session(session_id);
        self.handle_client_bytes(session_id, received);
    }

    fn handle_client_bytes(self: &Rc<Self>, session_id: SessionId, bytes: &[u8]) {
        let now = Instant::now();
        self.pooler.borrow_mut().handle_client_bytes(now, session_id, bytes);
        self.perform_effects(now);
    }

    /// Closes a client's session, unless bytes from the client are still unread: those are answered first. Whether
    /// the session is closed now.
    pub(super) fn close_unless_unread(&self, now: Instant, session_id: SessionId) -> bool {
        let Some(stream) = self.client_streams.borrow().get(&session_id).cloned() else { return true };
        if stream.is_closed() {
            return true;
        }
        if stream.has_unread() {
            self.pooler.borrow_mut().note_unread_bytes(now, session_id);
            if let Some(link) = self.carrier_links.borrow_mut().get_mut(&session_id) {
                link.session.activity.note_input(now);
            }
            return false;
        }
        stream.close();
        self.remove_carrier_link(session_id);
        true
    }
}
