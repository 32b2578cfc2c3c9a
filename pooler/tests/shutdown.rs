//! The end of the real process, on loopback addresses. The poolers here know no controller and have no configuration, so
//! that they answer each `CONNECT` with an error.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const SESSION_PORT: u16 = 8465;
const READINESS_PORT: u16 = 8460;
const GRACE: Duration = Duration::from_secs(6);
/// The process starts and ends well within this.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A pooler of its own on an address of its own.
struct PoolerProcess {
    child: Child,
    address: SocketAddr,
    folder: PathBuf,
}

impl PoolerProcess {
    /// Starts the `number`th pooler of this test and waits until it accepts connections.
    fn start(number: u8) -> PoolerProcess {
        let process = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 100 + process[2] % 100, process[3], 10 + number);
        let folder = std::env::temp_dir().join(format!("pooler-shutdown-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "node-name = \"pooler-{number}\"\nip = \"{ip}\"\nzone = \"local\"\ninternal-ports = [7560, 7575]\n\
             seed-nodes = [\"{ip}:8462\"]\n[listen]\nsession = \"{ip}:{SESSION_PORT}\"\n\
             readiness = \"{ip}:{READINESS_PORT}\"\n[timing-bounds]\ngrace-s = {}\n",
            GRACE.as_secs()
        );
        let file = folder.join("settings.toml");
        std::fs::write(&file, settings).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_lichenfield-pooler"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .spawn()
            .expect("the pooler starts");
        let pooler = PoolerProcess { child, address: (ip, SESSION_PORT).into(), folder };
        let started_at = Instant::now();
        while TcpStream::connect(pooler.address).is_err() {
            assert!(started_at.elapsed() < PATIENCE, "{} does not accept connections", pooler.address);
            thread::sleep(POLL_INTERVAL);
        }
        pooler
    }

    fn terminate(&self) {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for the end of the process, and returns whether it ended well.
    fn wait(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

impl Drop for PoolerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a client saw.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Refused,
    Answered,
    /// The connection was accepted and ended without an answer.
    Cut,
}

/// Connects, and sends the first line in two parts with a pause between them.
fn connect_slowly(address: SocketAddr, pause: Duration) -> Outcome {
    let mut stream = match TcpStream::connect(address) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Outcome::Refused,
        Err(error) => panic!("connecting to {address}: {error}"),
    };
    let mut answer = String::new();
    let exchange = stream.write_all(b"CONNECT orders ").and_then(|()| {
        thread::sleep(pause);
        stream.write_all(b"key\r\n")?;
        stream.read_to_string(&mut answer)
    });
    match exchange {
        Ok(_) if answer.starts_with("ERROR BUSY ") => Outcome::Answered,
        _ => Outcome::Cut,
    }
}

/// Guards against a process that ends while it still accepts: clients that came in its last 60 ms were cut off. Clients
/// come to as many poolers, one each, at times around the one at which a pooler without clients ends.
#[test]
fn a_client_that_comes_while_the_process_ends_is_answered_or_refused() {
    const POOLERS: u8 = 24;
    const FIRST_CLIENT: Duration = Duration::from_millis(2550);
    const CLIENT_INTERVAL: Duration = Duration::from_millis(8);
    const PAUSE_IN_LINE: Duration = Duration::from_millis(150);
    let poolers: Vec<PoolerProcess> = (0..POOLERS).map(PoolerProcess::start).collect();
    let clients = poolers.into_iter().zip(0..).map(|(mut pooler, number)| {
        thread::spawn(move || {
            pooler.terminate();
            thread::sleep(FIRST_CLIENT + CLIENT_INTERVAL * number);
            let outcome = connect_slowly(pooler.address, PAUSE_IN_LINE);
            assert!(pooler.wait(), "pooler {number} does not end well");
            (number, outcome)
        })
    });
    let clients: Vec<_> = clients.collect();
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let cut: Vec<_> = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Cut).collect();
    assert!(cut.is_empty(), "cut off: {cut:?} of {outcomes:?}");
}
