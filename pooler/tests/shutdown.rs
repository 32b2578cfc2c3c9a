//! Signals to the real process, above all those at which it ends, on loopback addresses. The poolers here know no controller and have no configuration, so
//! that they answer each `CONNECT` with an error.

use std::fs::OpenOptions;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const SESSION_PORT: u16 = 8465;
const READINESS_PORT: u16 = 8460;
const SETTINGS_FILE: &str = "settings.toml";
const GRACE: Duration = Duration::from_secs(6);
/// The process starts and ends well within this.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A pooler of its own on an address of its own.
struct PoolerProcess {
    child: Child,
    number: u8,
    ip: Ipv4Addr,
    folder: PathBuf,
}

impl PoolerProcess {
    /// Starts the `number`th pooler of this test and waits until it accepts connections.
    fn start(number: u8, grace: Duration) -> PoolerProcess {
        let (ip, folder) = (test_ip(number), create_folder(number));
        write_settings(&folder, number, ip, grace);
        let pooler = PoolerProcess { child: spawn(&folder), number, ip, folder };
        pooler.wait_until_accepting();
        pooler
    }

    fn wait_until_accepting(&self) {
        let started_at = Instant::now();
        while TcpStream::connect(self.address()).is_err() {
            assert!(started_at.elapsed() < PATIENCE, "pooler {} does not accept connections", self.number);
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn address(&self) -> SocketAddr {
        (self.ip, SESSION_PORT).into()
    }

    /// Gives it another grace period while it runs.
    fn change_grace(&self, grace: Duration) {
        write_settings(&self.folder, self.number, self.ip, grace);
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
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

/// An address of this test's own.
fn test_ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + process[2] % 100, process[3], 10 + number)
}

fn create_folder(number: u8) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pooler-shutdown-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

fn spawn(folder: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lichenfield-pooler"))
        .arg("--settings")
        .arg(folder.join(SETTINGS_FILE))
        .stdin(Stdio::null())
        .spawn()
        .expect("the pooler starts")
}

fn write_settings(folder: &Path, number: u8, ip: Ipv4Addr, grace: Duration) {
    std::fs::write(folder.join(SETTINGS_FILE), settings(number, ip, grace)).expect("the settings can be written");
}

fn settings(number: u8, ip: Ipv4Addr, grace: Duration) -> String {
    format!(
        "node-name = \"pooler-{number}\"\nip = \"{ip}\"\nzone = \"local\"\ninternal-ports = [7560, 7575]\n\
         seed-nodes = [\"{ip}:8462\"]\n[listen]\nsession = \"{ip}:{SESSION_PORT}\"\n\
         readiness = \"{ip}:{READINESS_PORT}\"\n[timing-bounds]\ngrace-s = {}\n",
        grace.as_secs()
    )
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
    let poolers: Vec<PoolerProcess> = (0..POOLERS).map(|number| PoolerProcess::start(number, GRACE)).collect();
    let clients = poolers.into_iter().zip(0..).map(|(mut pooler, number)| {
        thread::spawn(move || {
            pooler.signal("-TERM");
            thread::sleep(FIRST_CLIENT + CLIENT_INTERVAL * number);
            let outcome = connect_slowly(pooler.address(), PAUSE_IN_LINE);
            assert!(pooler.wait(), "pooler {number} does not end well");
            (number, outcome)
        })
    });
    let clients: Vec<_> = clients.collect();
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let cut: Vec<_> = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Cut).collect();
    assert!(cut.is_empty(), "cut off: {cut:?} of {outcomes:?}");
}

/// Guards against a drain by the grace period of the process's start: after it was shortened, the process was killed with
/// requests under way.
#[test]
fn a_changed_grace_period_counts_without_a_restart() {
    const LONG_GRACE: Duration = Duration::from_secs(300);
    const SHORT_GRACE: Duration = Duration::from_secs(2);
    const RELOAD_TIME: Duration = Duration::from_secs(1);
    let mut pooler = PoolerProcess::start(100, LONG_GRACE);
    pooler.change_grace(SHORT_GRACE);
    thread::sleep(RELOAD_TIME);
    let silent_client = TcpStream::connect(pooler.address()).expect("a connection");
    pooler.signal("-TERM");
    assert!(pooler.wait(), "the pooler waits for its client beyond its grace");
    drop(silent_client);
}

/// Guards against a starting process that SIGHUP ends: its settings are a pipe, so that it waits while it reads them.
#[test]
fn a_process_that_is_starting_survives_a_reload() {
    const SIGNAL_TIME: Duration = Duration::from_millis(500);
    let (number, ip) = (101, test_ip(101));
    let folder = create_folder(number);
    let (pipe, file) = (folder.join(SETTINGS_FILE), folder.join("plain.toml"));
    assert!(Command::new("mkfifo").arg(&pipe).status().is_ok_and(|status| status.success()));
    let child = spawn(&folder);
    let mut pooler = PoolerProcess { child, number, ip, folder };
    // Opens once the process has opened it for reading.
    let mut writer = OpenOptions::new().write(true).open(&pipe).expect("the pipe");
    pooler.signal("-HUP");
    thread::sleep(SIGNAL_TIME);
    assert!(matches!(pooler.child.try_wait(), Ok(None)), "the process has ended");
    let text = settings(number, ip, GRACE);
    std::fs::write(&file, &text).expect("the settings can be written");
    writer.write_all(text.as_bytes()).expect("the process reads");
    std::fs::rename(&file, &pipe).expect("later reads find a file");
    drop(writer);
    pooler.wait_until_accepting();
}
