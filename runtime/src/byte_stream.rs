//! A TCP connection that a state machine writes to without waiting: bytes go to the kernel at once where it takes
//! them, and into a bounded backlog otherwise.

pub use crate::socket::configure_socket;
use crate::{Executor, with_timeout};
use smol::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes that may wait for a peer that does not read; beyond this the connection is aborted.
const BACKLOG_MAX: usize = 4 << 20;
/// How long a connection whose sending side is closed still reads, and drops, what the peer sends. Closing a socket
/// with unread bytes makes the kernel send a reset, which could destroy the last bytes written.
const LINGER_TIMEOUT: Duration = Duration::from_millis(800);
/// How often it is checked whether the backlog is written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes taken from the kernel by one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A connection, possibly not established yet, with its write backlog.
pub struct ByteStream {
    executor: Executor,
    /// `None` until [`ByteStream::attach`].
    socket: RefCell<Option<Rc<Async<TcpStream>>>>,
    backlog: RefCell<Vec<u8>>,
    /// Whether a task is writing out the backlog.
    flush_running: Cell<bool>,
    /// When the sending side was closed.
    closed_at: Cell<Option<Instant>>,
}

impl ByteStream {
    /// A stream without a connection: what is written goes into the backlog.
    pub fn pending(executor: Executor) -> Rc<Self> {
        Rc::new(ByteStream {
            executor,
            socket: RefCell::new(None),
            backlog: RefCell::default(),
            flush_running: Cell::new(false),
            closed_at: Cell::new(None),
        })
    }

    /// A stream over an established connection.
    pub fn connected(executor: Executor, socket: Async<TcpStream>) -> Rc<Self> {
        let stream = ByteStream::pending(executor);
        stream.attach(socket);
        stream
    }

    /// Gives a pending stream its connection, and writes the backlog to it.
    pub fn attach(self: &Rc<Self>, socket: Async<TcpStream>) {
        *self.socket.borrow_mut() = Some(Rc::new(socket));
        let backlog = std::mem::take(&mut *self.backlog.borrow_mut());
        if !backlog.is_empty() {
            self.write(&backlog);
        }
    }

    /// Whether the kernel holds bytes from the peer that were not read yet.
    pub fn has_unread(&self) -> bool {
        let socket = self.socket.borrow();
        socket.as_ref().is_some_and(|socket| socket.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0))
    }

    /// Whether the sending side was closed, by [`ByteStream::close`] or [`ByteStream::abort`].
    pub fn is_closed(&self) -> bool {
        self.closed_at.get().is_some()
    }

    /// Sends `bytes` after all that was written before. Nothing is sent on a closed stream. A write error is not
    /// reported here: the task in [`ByteStream::read`] meets the end of the connection.
    pub fn write(self: &Rc<Self>, bytes: &[u8]) {
        if self.is_closed() {
            return;
        }
        let socket = self.socket.borrow().clone();
        let mut backlog = self.backlog.borrow_mut();
        let mut unwritten = bytes;
        if let Some(socket) = &socket
            && backlog.is_empty()
        {
            match socket.get_ref().write(unwritten) {
                Ok(count) => unwritten = &unwritten[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        if unwritten.is_empty() {
            return;
        }
        backlog.extend_from_slice(unwritten);
        let overflow = backlog.len() > BACKLOG_MAX;
        drop(backlog);
        if overflow {
            self.abort();
        } else if socket.is_some() && !self.flush_running.replace(true) {
            let stream = Rc::clone(self);
            self.executor.spawn(async move { stream.flush().await }).detach();
        }
    }

    /// The flush task: ends once the backlog is empty or the connection fails; the next write that finds the
    /// kernel's buffer full starts another.
    async fn flush(self: Rc<Self>) {
        let socket = self.socket.borrow().clone();
        if let Some(socket) = socket {
            while !self.backlog.borrow().is_empty() {
                if socket.writable().await.is_err() {
                    break;
                }
                let mut backlog = self.backlog.borrow_mut();
                match socket.get_ref().write(&backlog) {
                    Ok(count) => drop(backlog.drain(..count)),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => {
                        backlog.clear();
                        break;
                    }
                }
            }
            if self.is_closed() {
                let _ = socket.get_ref().shutdown(Shutdown::Write);
            }
        }
        self.flush_running.set(false);
    }

    /// Waits until the kernel has taken all that was written, or the connection has failed.
    pub async fn flushed(&self) {
        while self.flush_running.get() {
            smol::Timer::after(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Closes the sending side once the backlog is written.
    pub fn close(&self) {
        if self.is_closed() {
            return;
        }
        self.closed_at.set(Some(Instant::now()));
        if self.backlog.borrow().is_empty()
            && let Some(socket) = &*self.socket.borrow()
        {
            let _ = socket.get_ref().shutdown(Shutdown::Write);
        }
    }

    /// Ends the connection in both directions at once and drops the backlog.
    pub fn abort(&self) {
        self.closed_at.set(Some(Instant::now()));
        self.backlog.borrow_mut().clear();
        if let Some(socket) = &*self.socket.borrow() {
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Reads until the connection ends and passes what arrives to `on_bytes`. After [`ByteStream::close`] what
    /// arrives is dropped, and reading ends `LINGER_TIMEOUT` later at the latest.
    pub async fn read(self: Rc<Self>, mut on_bytes: impl FnMut(&[u8])) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while self.wait_readable(&socket).await {
            match socket.get_ref().read(&mut buffer) {
                Ok(0) => return,
                Ok(count) if !self.is_closed() => on_bytes(&buffer[..count]),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(_) => return,
            }
        }
    }

    /// Waits until the socket has bytes or an end to read; false once the connection failed or lingered long enough.
    async fn wait_readable(&self, socket: &Async<TcpStream>) -> bool {
        match self.closed_at.get() {
            Some(closed_at) => {
                let remaining = LINGER_TIMEOUT.saturating_sub(closed_at.elapsed());
                with_timeout(remaining, socket.readable()).await.is_some_and(|result| result.is_ok())
            }
            None => socket.readable().await.is_ok(),
        }
    }
}
