//! Connections to the databases' instances.

use super::PoolerDriver;
use lichenfield_engine::process::pooler::ConnectionId;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::socket::configure_socket;
use smol::{Async, Task};
use std::net::{SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An instance that acknowledges nothing for this long is unreachable.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A connection and the task that reads it. Dropping the task cancels it.
pub(super) struct BackendConnection {
    stream: Rc<ByteStream>,
    task: Task<()>,
}

impl PoolerDriver {
    /// Opens a connection. What is written before it is established waits.
    pub(super) fn open_backend(self: &Rc<Self>, connection_id: ConnectionId, address: SocketAddrV4) {
        let stream = ByteStream::pending(self.executor);
        let connection = Rc::clone(self).run_backend(connection_id, address, Rc::clone(&stream));
        let task = self.executor.spawn(connection);
        self.backend_connections.borrow_mut().insert(connection_id, BackendConnection { stream, task });
    }

    /// The task of a connection: connects, reads until the connection ends, and reports the end to the pooler. It is
    /// cancelled, and reports nothing, when the pooler closes the connection.
    async fn run_backend(self: Rc<Self>, connection_id: ConnectionId, address: SocketAddrV4, stream: Rc<ByteStream>) {
        if let Ok(socket) = Async::<TcpStream>::connect(address).await {
            configure_socket(socket.get_ref(), SILENCE_TIMEOUT);
            stream.attach(socket);
            let driver = Rc::clone(&self);
            stream.read(move |bytes| driver.handle_backend_bytes(connection_id, bytes)).await;
        }
        let now = Instant::now();
        // Holds this task's own handle, so it is dropped last.
        let removed = self.backend_connections.borrow_mut().remove(&connection_id);
        self.pooler.borrow_mut().handle_backend_closed(now, connection_id);
        self.perform_effects(now);
        drop(removed);
    }

    fn handle_backend_bytes(self: &Rc<Self>, connection_id: ConnectionId, bytes: &[u8]) {
        let now = Instant::now();
        self.pooler.borrow_mut().handle_backend_bytes(now, connection_id, bytes);
        self.perform_effects(now);
    }

    pub(super) fn write_to_backend(&self, connection_id: ConnectionId, text: &str) {
        if let Some(connection) = self.backend_connections.borrow().get(&connection_id) {
            connection.stream.write(text.as_bytes());
        }
    }

    /// Ends a connection at once.
    pub(super) fn close_backend(&self, connection_id: ConnectionId) {
        let removed = self.backend_connections.borrow_mut().remove(&connection_id);
        if let Some(connection) = removed {
            connection.stream.abort();
            // This may be the task that runs now: cancelled, it ends at its next `await`.
            drop(connection.task);
        }
    }
}
