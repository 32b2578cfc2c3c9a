//! Streams over real sockets.

use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::with_timeout;
use smol::Async;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::Read;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const KERNEL_BUFFER_BYTES: usize = 16 << 10;
/// More than the kernel buffers.
const ANSWER_BYTES: usize = 3 << 20;
/// Longer than a closed stream waits for its peer's end.
const READER_PAUSE: Duration = Duration::from_millis(1500);

/// Guards against a process that ends while a client still reads: reading from a closed stream ends after a while, but
/// the stream is flushed only once its peer has taken everything.
#[test]
fn a_closed_stream_is_flushed_once_a_slow_reader_has_taken_all() {
    lichenfield_runtime::run(|executor| async move {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("its address");
        let reader = thread::spawn(move || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES).expect("a small buffer");
            socket.connect(&address.into()).expect("a connection");
            let mut socket = TcpStream::from(socket);
            thread::sleep(READER_PAUSE);
            let mut received = Vec::new();
            socket.read_to_end(&mut received).expect("the whole answer");
            received.len()
        });
        let (socket, _) = listener.accept().expect("the connection");
        SockRef::from(&socket).set_send_buffer_size(KERNEL_BUFFER_BYTES).expect("a small buffer");
        let stream = ByteStream::connected(executor, Async::new(socket).expect("a socket"));
        let began = Instant::now();
        stream.write(&vec![b'x'; ANSWER_BYTES]);
        stream.close();
        std::rc::Rc::clone(&stream).read(|_| {}).await;
        assert!(began.elapsed() < READER_PAUSE, "reading has ended while the peer has not read");
        with_timeout(READER_PAUSE * 10, stream.flushed()).await.expect("the stream is flushed");
        assert!(began.elapsed() >= READER_PAUSE, "it took the peer to read");
        drop(stream);
        assert_eq!(reader.join().expect("the reader"), ANSWER_BYTES);
    });
}
