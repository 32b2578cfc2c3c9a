//! Sessions that another pooler, their carrier, serves: the client's bytes are forwarded to it and its answers back.

use super::PoolerDriver;
use lichenfield_engine::connection::draining::DrainPhase;
use lichenfield_engine::process::forwarding::{self, ForwardedSession};
use lichenfield_engine::process::pooler::SessionId;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::socket::configure_socket;
use lichenfield_runtime::with_timeout;
use smol::Async;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A carrier that cannot be reached within this time is passed over.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// A carrier that could not be reached is not tried again for this long.
const REDIAL_BACKOFF: Duration = Duration::from_secs(1);
/// A carrier that acknowledges nothing for this long is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// After the loss of a carrier, how often its session is checked for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A session that another pooler serves.
pub(super) struct CarrierLink {
    /// Follows the protocol lines far enough to know whether the session is idle.
    pub(super) session: ForwardedSession,
    client_stream: Rc<ByteStream>,
    /// The connection to the carrier, while there is one.
    carrier_stream: Option<Rc<ByteStream>>,
    /// What the client has sent until the first answer of a carrier; another carrier can still be given it. `None`
    /// once a carrier has answered: from then on the session is bound to that carrier.
    unanswered: Option<Vec<u8>>,
}

impl CarrierLink {
    /// Gives the carrier up, and with it any other that could have been tried. A client that waits for an answer gets an
    /// error instead. Whether it got one.
    pub(super) fn sever(&mut self) -> bool {
        self.unanswered = None;
        let error_lines =
            if self.session.is_carrier_lost() { String::new() } else { self.session.handle_carrier_loss() };
        self.client_stream.write(error_lines.as_bytes());
        if let Some(carrier_stream) = self.carrier_stream.take() {
            carrier_stream.close();
        }
        !error_lines.is_empty()
    }
}

/// How the exchange with one carrier ended.
enum CarrierOutcome {
    /// The carrier never answered: the next one may be tried.
    Unanswered,
    /// The carrier had answered before; whether the client was sent an error for its outstanding statement.
    Lost { client_notified: bool },
    /// The session ended first.
    SessionEnded,
}

impl PoolerDriver {
    /// Starts the task that forwards a session; `received` is what its client has sent so far.
    pub(super) fn start_forwarding(
        self: &Rc<Self>,
        session_id: SessionId,
        client_stream: &Rc<ByteStream>,
        received: &[u8],
        carriers: Vec<Ipv4Addr>,
    ) {
        let revision = self.pooler.borrow().newest_revision();
        let mut session = ForwardedSession::new(revision);
        session.handle_client_bytes(Instant::now(), received, revision);
        let link = CarrierLink {
            session,
            client_stream: Rc::clone(client_stream),
            carrier_stream: None,
            unanswered: Some(received.to_vec()),
        };
        self.carrier_links.borrow_mut().insert(session_id, link);
        self.executor.spawn(Rc::clone(self).forward_session(session_id, carriers)).detach();
    }

    /// The task of a forwarded session: uses the first carrier that answers, and ends with that carrier or with the
    /// session. If none answers, the session is served here.
    async fn forward_session(self: Rc<Self>, session_id: SessionId, carriers: Vec<Ipv4Addr>) {
        let Some(port) = self.forwarding_port else { return };
        for carrier in carriers {
            let Some(carrier_stream) = self.dial_carrier(SocketAddrV4::new(carrier, port)).await else { continue };
            match self.exchange_with_carrier(session_id, carrier_stream).await {
                CarrierOutcome::Unanswered => {}
                CarrierOutcome::Lost { client_notified } => {
                    return self.close_after_carrier_loss(session_id, client_notified).await;
                }
                CarrierOutcome::SessionEnded => return,
            }
        }
        let link = self.carrier_links.borrow_mut().remove(&session_id);
        if let Some(link) = link {
            self.serve_locally(session_id, &link.unanswered.unwrap_or_default());
        }
    }

    async fn dial_carrier(&self, address: SocketAddrV4) -> Option<Rc<ByteStream>> {
        let Some(Ok(socket)) = with_timeout(DIAL_TIMEOUT, Async::<TcpStream>::connect(address)).await else {
            let retry_at = Instant::now() + REDIAL_BACKOFF;
            self.unreachable_carriers.borrow_mut().insert(*address.ip(), retry_at);
            return None;
        };
        configure_socket(socket.get_ref(), SILENCE_TIMEOUT);
        Some(ByteStream::connected(self.executor, socket))
    }

    /// Forwards the session over a connection until that ends.
    async fn exchange_with_carrier(
        self: &Rc<Self>,
        session_id: SessionId,
        carrier_stream: Rc<ByteStream>,
    ) -> CarrierOutcome {
        if !self.attach_carrier(session_id, &carrier_stream) {
            return CarrierOutcome::SessionEnded;
        }
        let driver = Rc::clone(self);
        Rc::clone(&carrier_stream).read(move |bytes| driver.handle_carrier_bytes(session_id, bytes)).await;
        carrier_stream.close();
        self.detach_carrier(session_id)
    }

    /// Sends the carrier this daemon's revision and what the client has sent so far. False if the session has ended
    /// or was given up meanwhile.
    fn attach_carrier(&self, session_id: SessionId, carrier_stream: &Rc<ByteStream>) -> bool {
        let mut links = self.carrier_links.borrow_mut();
        let Some(link) = links.get_mut(&session_id).filter(|link| !link.session.is_carrier_lost()) else {
            return false;
        };
        carrier_stream.write(forwarding::revision_line(self.pooler.borrow().newest_revision()).as_bytes());
        carrier_stream.write(link.unanswered.as_deref().unwrap_or_default());
        link.carrier_stream = Some(Rc::clone(carrier_stream));
        true
    }

    /// The connection to the carrier has ended.
    fn detach_carrier(&self, session_id: SessionId) -> CarrierOutcome {
        let mut links = self.carrier_links.borrow_mut();
        let Some(link) = links.get_mut(&session_id) else { return CarrierOutcome::SessionEnded };
        link.carrier_stream = None;
        if link.unanswered.is_some() {
            return CarrierOutcome::Unanswered;
        }
        CarrierOutcome::Lost { client_notified: link.sever() }
    }

    /// Closes a session whose carrier is gone, once its client has been sent an error for it or is idle. Ends with
    /// the session.
    async fn close_after_carrier_loss(&self, session_id: SessionId, mut client_notified: bool) {
        while self.carrier_links.borrow().contains_key(&session_id) {
            self.close_forwarded_if_idle(Instant::now(), session_id, std::mem::take(&mut client_notified));
            smol::Timer::after(IDLE_CHECK_INTERVAL).await;
        }
    }

    fn handle_carrier_bytes(&self, session_id: SessionId, bytes: &[u8]) {
        let mut links = self.carrier_links.borrow_mut();
        let Some(link) = links.get_mut(&session_id) else { return };
        link.unanswered = None;
        let received = link.session.handle_carrier_bytes(bytes);
        if let Some(revision) = received.served_revision {
            self.pooler.borrow_mut().require_revision(revision);
        }
        link.client_stream.write(&received.to_client);
        drop(links);
        let now = Instant::now();
        if received.may_close && self.pooler.borrow().link_is_responsive(now) {
            self.close_unless_unread(now, session_id);
        } else if !received.to_client.is_empty() {
            self.close_forwarded_if_idle(now, session_id, true);
        }
    }

    /// Passes a client's bytes on. Once the carrier is given up, a statement is refused instead.
    pub(super) fn forward_client_bytes(&self, session_id: SessionId, bytes: &[u8]) {
        let revision = self.pooler.borrow().newest_revision();
        let mut links = self.carrier_links.borrow_mut();
        let Some(link) = links.get_mut(&session_id) else { return };
        let now = Instant::now();
        if link.session.is_carrier_lost() {
            link.client_stream.write(link.session.reject_requests(now, bytes).as_bytes());
            drop(links);
            return self.close_forwarded_if_idle(now, session_id, true);
        }
        let forwarded = link.session.handle_client_bytes(now, bytes, revision);
        if let Some(carrier_stream) = &link.carrier_stream {
            carrier_stream.write(&forwarded);
        }
        if let Some(unanswered) = &mut link.unanswered {
            unanswered.extend_from_slice(bytes);
        }
    }

    /// Closes a forwarded session that the drain, its carrier or the loss of its carrier wants closed, if it is idle;
    /// `answered`: its client has just been sent an answer. A session at rest is only closed while the link to the
    /// leader, which clients share, is free: otherwise a statement may be under way unnoticed.
    pub(super) fn close_forwarded_if_idle(&self, now: Instant, session_id: SessionId, answered: bool) {
        let phase = self.drain_phase(now);
        if !answered && phase < DrainPhase::Closing && !self.pooler.borrow().link_is_responsive(now) {
            return;
        }
        let may_close = |link: &CarrierLink| link.session.may_close(now, phase, answered);
        if self.carrier_links.borrow().get(&session_id).is_some_and(may_close) {
            self.close_unless_unread(now, session_id);
        }
    }

    /// Forgets a forwarded session and closes the connection to its carrier.
    pub(super) fn remove_carrier_link(&self, session_id: SessionId) {
        let removed = self.carrier_links.borrow_mut().remove(&session_id);
        if let Some(carrier_stream) = removed.and_then(|link| link.carrier_stream) {
            carrier_stream.close();
        }
    }
}
