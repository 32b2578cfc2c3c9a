//! Links between daemons: length-prefixed `bincode` frames over TCP, each side dialling for what it
//! sends. A message that cannot be sent soon is dropped: the state machines repeat what matters.

use crate::byte_stream::{self, ByteStream};
use crate::{Executor, Shared, shared, within};
use lichenfield_engine::process::peer_message::{self, FRAME_MAX, PeerMessage};
use smol::Async;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First bytes of a link, followed by the dialler's address.
const MAGIC: &[u8; 8] = b"lichen-1";
/// Shorter than the second after which a lost opening packet goes out again: a peer that was down when
/// it was first called answers the next call.
const DIAL: Duration = Duration::from_millis(250);
/// A peer that acknowledges nothing for this long is given up; the next message dials anew.
const SILENCE: Duration = Duration::from_millis(1500);
/// After a failed dial, messages are dropped for this long.
const REST: Duration = Duration::from_millis(150);

type Inbox = Rc<dyn Fn(Ipv4Addr, PeerMessage)>;

struct Link {
    pipe: Rc<ByteStream>,
    rests: Option<Instant>,
}

#[derive(Clone)]
pub struct Links {
    executor: Executor,
    me: Ipv4Addr,
    port: u16,
    links: Shared<HashMap<Ipv4Addr, Link>>,
}

impl Links {
    pub fn new(executor: Executor, me: Ipv4Addr, port: u16) -> Self {
        Links { executor, me, port, links: shared(HashMap::new()) }
    }

    /// Listens for the other daemons.
    pub fn listen(&self, inbox: Inbox) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(SocketAddrV4::new(self.me, self.port))?;
        let executor = self.executor;
        executor
            .spawn(async move {
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => {
                            byte_stream::tune(stream.get_ref(), SILENCE);
                            let inbox = Rc::clone(&inbox);
                            executor.spawn(receive(executor, stream, inbox)).detach();
                        }
                        Err(_) => drop(smol::Timer::after(Duration::from_millis(20)).await),
                    }
                }
            })
            .detach();
        Ok(())
    }

    pub fn send(&self, to: Ipv4Addr, message: &PeerMessage) {
        let bytes = peer_message::encode(message);
        let mut frame = Vec::with_capacity(bytes.len() + 4);
        frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        frame.extend_from_slice(&bytes);
        let now = Instant::now();
        let mut links = self.links.borrow_mut();
        let known = links.get(&to).is_some_and(|l| !l.pipe.is_closed());
        if known {
            if let Some(link) = links.get(&to) {
                link.pipe.write(&frame);
            }
            return;
        }
        if links.get(&to).is_some_and(|l| l.rests.is_some_and(|until| now < until)) {
            return;
        }
        let pipe = ByteStream::pending(self.executor);
        let mut hello = MAGIC.to_vec();
        hello.extend_from_slice(&self.me.octets());
        pipe.write(&hello);
        pipe.write(&frame);
        links.insert(to, Link { pipe: Rc::clone(&pipe), rests: None });
        let this = self.clone();
        self.executor.spawn(async move { this.dial(to, pipe).await }).detach();
    }

    async fn dial(self, to: Ipv4Addr, pipe: Rc<ByteStream>) {
        let address = SocketAddrV4::new(to, self.port);
        if let Some(Ok(stream)) = within(DIAL, Async::<TcpStream>::connect(address)).await {
            byte_stream::tune(stream.get_ref(), SILENCE);
            pipe.attach(stream);
            Rc::clone(&pipe).read(|_| {}).await;
        }
        pipe.cut();
        if let Some(link) = self.links.borrow_mut().get_mut(&to)
            && Rc::ptr_eq(&link.pipe, &pipe)
        {
            link.rests = Some(Instant::now() + REST);
        }
    }
}

/// Takes frames until the link ends or carries something else.
async fn receive(executor: Executor, stream: Async<TcpStream>, inbox: Inbox) {
    let pipe = ByteStream::connected(executor, stream);
    let mut buffer: Vec<u8> = Vec::new();
    let mut from = None;
    let inner = Rc::clone(&pipe);
    Rc::clone(&pipe)
        .read(move |bytes| {
            buffer.extend_from_slice(bytes);
            let mut at = 0;
            if from.is_none() {
                if buffer.len() < MAGIC.len() + 4 {
                    return;
                }
                if &buffer[..MAGIC.len()] != MAGIC {
                    inner.cut();
                    return;
                }
                let ip: [u8; 4] = [buffer[8], buffer[9], buffer[10], buffer[11]];
                from = Some(Ipv4Addr::from(ip));
                at = MAGIC.len() + 4;
            }
            let Some(from) = from else { return };
            while let Some(head) = buffer.get(at..at + 4) {
                let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
                if length > FRAME_MAX {
                    inner.cut();
                    return;
                }
                let Some(frame) = buffer.get(at + 4..at + 4 + length) else { break };
                let Ok(message) = peer_message::decode(frame) else {
                    inner.cut();
                    return;
                };
                at += 4 + length;
                inbox(from, message);
            }
            buffer.drain(..at);
        })
        .await;
    pipe.cut();
}
