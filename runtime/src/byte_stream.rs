//! A socket that state machines write to: at once where the kernel takes it, later where it does not.

use crate::Executor;
use smol::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What may wait for a peer that does not read; beyond it the connection is cut.
const BACKLOG_MAX: usize = 4 << 20;
/// After our side is closed, what the other still sends is read and dropped this long: a close with bytes
/// unread would reset, and destroy what was said last.
const LINGER: Duration = Duration::from_millis(800);
const READ: usize = 8 * 1024;

pub struct ByteStream {
    executor: Executor,
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    backlog: RefCell<Vec<u8>>,
    flushing: Cell<bool>,
    /// Since when our side is.
    closed: Cell<Option<Instant>>,
}

/// The options of every connection: small messages at once, a dark peer noticed.
pub fn tune(stream: &TcpStream, silence: Duration) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(silence));
    let probes = socket2::TcpKeepalive::new()
        .with_time(silence.max(Duration::from_secs(1)))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    let _ = socket.set_tcp_keepalive(&probes);
}

impl ByteStream {
    /// Not connected yet: what is written waits.
    pub fn pending(executor: Executor) -> Rc<Self> {
        Rc::new(ByteStream {
            executor,
            stream: RefCell::new(None),
            backlog: RefCell::default(),
            flushing: Cell::new(false),
            closed: Cell::new(None),
        })
    }

    pub fn connected(executor: Executor, stream: Async<TcpStream>) -> Rc<Self> {
        let pipe = ByteStream::pending(executor);
        pipe.attach(stream);
        pipe
    }

    pub fn attach(self: &Rc<Self>, stream: Async<TcpStream>) {
        *self.stream.borrow_mut() = Some(Rc::new(stream));
        let waiting = std::mem::take(&mut *self.backlog.borrow_mut());
        if !waiting.is_empty() {
            self.write(&waiting);
        }
    }

    /// Whether something has come that was not read yet.
    pub fn has_unread(&self) -> bool {
        self.stream.borrow().as_ref().is_some_and(|s| s.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0))
    }

    pub fn is_closed(&self) -> bool {
        self.closed.get().is_some()
    }

    pub fn write(self: &Rc<Self>, bytes: &[u8]) {
        if self.is_closed() {
            return;
        }
        let stream = self.stream.borrow().clone();
        let mut backlog = self.backlog.borrow_mut();
        let mut rest = bytes;
        if let Some(stream) = &stream
            && backlog.is_empty()
        {
            match stream.get_ref().write(rest) {
                Ok(n) => rest = &rest[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                // The reader learns of the end in its own way.
                Err(_) => return,
            }
        }
        if rest.is_empty() {
            return;
        }
        backlog.extend_from_slice(rest);
        let over = backlog.len() > BACKLOG_MAX;
        drop(backlog);
        if over {
            self.cut();
        } else if stream.is_some() && !self.flushing.replace(true) {
            let pipe = Rc::clone(self);
            self.executor.spawn(async move { pipe.flush().await }).detach();
        }
    }

    async fn flush(self: Rc<Self>) {
        let stream = self.stream.borrow().clone();
        if let Some(stream) = stream {
            while !self.backlog.borrow().is_empty() {
                if stream.writable().await.is_err() {
                    break;
                }
                let mut backlog = self.backlog.borrow_mut();
                match stream.get_ref().write(&backlog) {
                    Ok(n) => drop(backlog.drain(..n)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => {
                        backlog.clear();
                        break;
                    }
                }
            }
            if self.is_closed() {
                let _ = stream.get_ref().shutdown(Shutdown::Write);
            }
        }
        self.flushing.set(false);
    }

    /// Ends our side once everything is written.
    pub fn close(&self) {
        if self.is_closed() {
            return;
        }
        self.closed.set(Some(Instant::now()));
        if self.backlog.borrow().is_empty()
            && let Some(stream) = &*self.stream.borrow()
        {
            let _ = stream.get_ref().shutdown(Shutdown::Write);
        }
    }

    /// Ends the connection at once.
    pub fn cut(&self) {
        self.closed.set(Some(Instant::now()));
        self.backlog.borrow_mut().clear();
        if let Some(stream) = &*self.stream.borrow() {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Reads until the end, handing on what comes; after [`ByteStream::close`] what comes is dropped.
    pub async fn read(self: Rc<Self>, mut take: impl FnMut(&[u8])) {
        let Some(stream) = self.stream.borrow().clone() else { return };
        let mut buffer = vec![0; READ];
        loop {
            let readable = match self.closed.get() {
                Some(at) => {
                    let rest = LINGER.saturating_sub(at.elapsed());
                    crate::within(rest, stream.readable()).await.is_some_and(|r| r.is_ok())
                }
                None => stream.readable().await.is_ok(),
            };
            if !readable {
                return;
            }
            match stream.get_ref().read(&mut buffer) {
                Ok(0) => return,
                Ok(n) if !self.is_closed() => take(&buffer[..n]),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }
}
