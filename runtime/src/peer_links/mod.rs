//! Links between daemons: length-prefixed `bincode` frames over TCP. Each daemon dials for what it sends, so a pair
//! of daemons has one link in each direction. A message that cannot be sent soon is dropped: the state machines
//! repeat what matters.

mod frame_reader;

use crate::byte_stream::ByteStream;
use crate::socket::{self, ListenError, configure_socket};
use crate::{Executor, Shared, shared, with_timeout};
use frame_reader::FrameReader;
use lichenfield_engine::process::peer_message::{self, PeerMessage};
use smol::Async;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First bytes of a link, followed by the dialling daemon's address (four bytes).
const MAGIC: &[u8; 8] = b"lichen-1";
/// Limit for connecting. Shorter than the second after which the kernel repeats a lost SYN: a peer that was down at
/// the first attempt answers the next one sooner than that.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// A peer that acknowledges nothing for this long is given up; the next message dials again.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// For this long after a failed dial or a lost link, messages to the peer are dropped instead of dialling again.
const REDIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Receives each message with the address its sender stated in the preamble.
type MessageHandler = Rc<dyn Fn(Ipv4Addr, PeerMessage)>;

/// The outgoing link to one peer.
struct PeerLink {
    stream: Rc<ByteStream>,
    /// Set once the link has ended: no new one is dialled before.
    redial_after: Option<Instant>,
}

/// All links of a daemon.
#[derive(Clone)]
pub struct PeerLinks {
    executor: Executor,
    local_ip: Ipv4Addr,
    port: u16,
    links: Shared<HashMap<Ipv4Addr, PeerLink>>,
}

impl PeerLinks {
    /// The links of the daemon at `local_ip`; every daemon listens at the same `port`.
    pub fn new(executor: Executor, local_ip: Ipv4Addr, port: u16) -> Self {
        PeerLinks { executor, local_ip, port, links: shared(HashMap::new()) }
    }

    /// Accepts links of other daemons, in tasks of their own, until the process ends.
    pub fn listen(&self, handler: MessageHandler) -> Result<(), ListenError> {
        let listener = socket::listen(SocketAddrV4::new(self.local_ip, self.port))?;
        self.executor.spawn(accept_links(self.executor, listener, handler)).detach();
        Ok(())
    }

    /// Sends a message, dialling first where no link is open. It is dropped if the link breaks, if dialling fails, or
    /// within `REDIAL_BACKOFF` of a failure.
    pub fn send(&self, to: Ipv4Addr, message: &PeerMessage) {
        let frame = encode_frame(message);
        let now = Instant::now();
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to) {
            if !link.stream.is_closed() {
                return link.stream.write(&frame);
            }
            if link.redial_after.is_some_and(|redial_after| now < redial_after) {
                return;
            }
        }
        let stream = ByteStream::pending(self.executor);
        stream.write(&self.preamble());
        stream.write(&frame);
        links.insert(to, PeerLink { stream: Rc::clone(&stream), redial_after: None });
        let peer_links = self.clone();
        self.executor.spawn(async move { peer_links.run_link(to, stream).await }).detach();
    }

    fn preamble(&self) -> Vec<u8> {
        let mut preamble = MAGIC.to_vec();
        preamble.extend_from_slice(&self.local_ip.octets());
        preamble
    }

    /// The task of an outgoing link: connects, then waits for the link's end and starts the redial back-off.
    async fn run_link(self, to: Ipv4Addr, stream: Rc<ByteStream>) {
        let address = SocketAddrV4::new(to, self.port);
        if let Some(Ok(socket)) = with_timeout(DIAL_TIMEOUT, Async::<TcpStream>::connect(address)).await {
            configure_socket(socket.get_ref(), SILENCE_TIMEOUT);
            stream.attach(socket);
            // The peer sends nothing on this link; reading only notices its end.
            Rc::clone(&stream).read(|_| {}).await;
        }
        stream.abort();
        if let Some(link) = self.links.borrow_mut().get_mut(&to)
            && Rc::ptr_eq(&link.stream, &stream)
        {
            link.redial_after = Some(Instant::now() + REDIAL_BACKOFF);
        }
    }
}

/// A message with its length (four bytes, big endian) in front.
fn encode_frame(message: &PeerMessage) -> Vec<u8> {
    let bytes = peer_message::encode(message);
    let mut frame = Vec::with_capacity(bytes.len() + frame_reader::LENGTH_BYTES);
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    frame
}

/// The accept task: never ends while the process runs.
async fn accept_links(executor: Executor, listener: Async<TcpListener>, handler: MessageHandler) {
    loop {
        let socket = socket::accept(&listener).await;
        configure_socket(socket.get_ref(), SILENCE_TIMEOUT);
        executor.spawn(receive(executor, socket, Rc::clone(&handler))).detach();
    }
}

/// The task of an incoming link: ends with the link, or at the first bytes that are not a valid frame. The peer
/// dials again with its next message.
async fn receive(executor: Executor, socket: Async<TcpStream>, handler: MessageHandler) {
    let stream = ByteStream::connected(executor, socket);
    let mut reader = FrameReader::default();
    let aborted_stream = Rc::clone(&stream);
    let on_bytes = move |bytes: &[u8]| {
        if let Err(error) = reader.feed(bytes, |from, message| handler(from, message)) {
            tracing::warn!(%error, "peer link closed");
            aborted_stream.abort();
        }
    };
    Rc::clone(&stream).read(on_bytes).await;
    stream.abort();
}
