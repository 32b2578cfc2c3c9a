//! The project's own programs, as separate processes on loopback addresses.

use crate::record::say;
use crate::wire::call;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub const CONTROL: u16 = 8462;
pub const SESSION: u16 = 8465;
pub const READINESS: u16 = 8460;
pub const INSTANCE: u16 = 8482;
pub const PLATFORM: u16 = 8466;
const PEERS: [u16; 2] = [7560, 7575];
const ZONES: [&str; 3] = ["hal-emc", "hal-klimaat", "hal-rf"];

/// The bounds of the two small deployments, which are the same.
const BOUNDS: &str = "seed-delay-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\n\
    drain-ms = 7000\ngrace-s = 6\nloss-slack-ms = 200\napply-ms = 3000\nrevert-slack-ms = 250\nstretch-ms = 12000\n\
    strict-revoke = false\nrevoke-ms = 5000\nfence-checks = false\nlease-ms = 3000\nthaw-ms = 300\n\
    usage-window-s = 5\nusage-error = 0.05\nusage-delay-s = 10\n";

/// The addresses of a deployment: a part of the loopback network that nobody uses.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn find() -> Net {
        let start = std::process::id();
        for offset in 0..2000 {
            let number = start.wrapping_mul(7).wrapping_add(offset * 13);
            let net = Net(20 + (number % 200) as u8, (number / 200 % 250) as u8);
            let ports = [CONTROL, SESSION, READINESS, INSTANCE, PLATFORM, PEERS[0], PEERS[1]];
            let free = |host| ports.iter().all(|port| TcpListener::bind(net.at(host, *port)).is_ok());
            if (11..=60).step_by(7).all(free) {
                return net;
            }
        }
        panic!("no free loopback addresses");
    }

    fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }

    pub fn controller(self, number: u8) -> SocketAddr {
        self.at(10 + number, CONTROL)
    }

    pub fn pooler(self, number: u8) -> SocketAddr {
        self.at(20 + number, SESSION)
    }

    pub fn instance(self, number: u8) -> (SocketAddr, String) {
        (self.at(30 + number, INSTANCE), ZONES[(number as usize - 1) % 3].to_owned())
    }

    pub fn platform(self) -> SocketAddr {
        self.at(41, PLATFORM)
    }
}

/// A deployment; its processes end with it.
pub struct World {
    pub net: Net,
    pub controllers: Vec<SocketAddr>,
    folder: PathBuf,
    /// The zone of all poolers, if they share one.
    pooler_zone: Option<&'static str>,
    children: Vec<(String, Child)>,
}

impl World {
    /// Starts three controllers and so many poolers by the commands of the deploy file.
    pub fn start(folder: &Path, poolers: u8) -> World {
        World::start_in(folder, poolers, None)
    }

    /// The same, with all poolers in one zone if it is given.
    pub fn start_in(folder: &Path, poolers: u8, pooler_zone: Option<&'static str>) -> World {
        let net = Net::find();
        let controllers: Vec<SocketAddr> = (1..=3).map(|number| net.controller(number)).collect();
        let mut world = World { net, controllers, folder: folder.to_owned(), pooler_zone, children: Vec::new() };
        for number in 1..=3 {
            world.spawn("controller", number, true);
        }
        for number in 1..=poolers {
            world.spawn("pooler", number, true);
        }
        world
    }

    /// Starts a program; `bootstrap` only at the first start of the whole system.
    fn spawn(&mut self, role: &str, number: u8, bootstrap: bool) {
        let name = format!("{role}-{number}");
        let core = role == "controller";
        let host = if core { 10 + number } else { 20 + number };
        let ip = self.net.ip(host);
        let seeds: Vec<String> = self.controllers.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zone = ZONES[(number as usize - 1) % 3];
        let zone = self.pooler_zone.filter(|_| !core).unwrap_or(zone);
        let (class, limits) = match core {
            true => ("core", "memory-mb = 256\nopen-files = 4096\nlink-mbps = 1000.0\ndisk-mb = 128"),
            false => ("edge", "memory-mb = 260\nopen-files = 4300\nlink-mbps = 1000.0\ndisk-mb = 0"),
        };
        let data = self.folder.join(&name);
        let data_path = if core { format!("data-path = \"{}\"\n", data.display()) } else { String::new() };
        let serves = if core { "control" } else { "edge" };
        let listen = match core {
            true => format!("control = \"{ip}:{CONTROL}\""),
            false => format!("session = \"{ip}:{SESSION}\"\nreadiness = \"{ip}:{READINESS}\""),
        };
        let settings = format!(
            "node-name = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"nl-brabant\"\ninternal-ports = [{}, {}]\n\
             seed-nodes = [{}]\nbootstrap = {bootstrap}\nin-quorum = {core}\n{data_path}beat-ms = 1200\n\
             [zones]\nhal-emc = \"nl-brabant\"\nhal-klimaat = \"nl-brabant\"\nhal-rf = \"nl-brabant\"\n\
             [listen]\n{listen}\n[limits]\n{limits}\n[tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [timing-bounds]\n{BOUNDS}[platform]\naddress = \"{}\"\nrate-per-s = 50.0\n\
             tasks = [\"usage_report\", \"failover\"]\nduty-per-s = 50.0\n",
            PEERS[0],
            PEERS[1],
            seeds.join(", "),
            self.net.platform()
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log can be created");
        let command = format!("target/release/lichenfield-{role}");
        let child = Command::new(command)
            .env_clear()
            .env("LICHENFIELD_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.children.push((name, child));
                // For the script, should this program be ended before it can end them.
                let ids: Vec<String> = self.children.iter().map(|(_, child)| child.id().to_string()).collect();
                std::fs::write(self.folder.join("processes"), ids.join(" ")).expect("the folder can be written");
            }
            Err(error) => {
                eprintln!("{name} can't be started: {error}");
                self.end();
                std::process::exit(2);
            }
        }
    }

    /// Sends a configuration as the operator does, until it is acknowledged; whether it was.
    pub fn configure(&self, if_match: u64, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let mut turn = 0;
        while Instant::now() < until {
            let controller = self.controllers[turn % self.controllers.len()];
            turn += 1;
            let headers = format!("If-Match: {if_match}\r\n");
            match call(controller, "PUT", "/api/config", &headers, body, Duration::from_secs(5)) {
                Ok((200, ..)) => {
                    say(format!("a configuration built on version {if_match} is acknowledged"));
                    return true;
                }
                Ok((status @ (400 | 409 | 412 | 413 | 422), _, text)) => {
                    say(format!("the configuration is refused with {status}: {text}"));
                    return false;
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// Waits until a pooler answers its readiness probe with 200; whether it did.
    pub fn wait_ready(&self, number: u8) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let address = self.net.at(20 + number, READINESS);
        while Instant::now() < until {
            if let Ok((200, ..)) = call(address, "GET", "/api/ready", "", "", Duration::from_secs(1)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The controller that leads, by its number: the one that answers a read of the configuration itself.
    pub fn leader(&self) -> Option<u8> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            for number in 1..=3 {
                let address = self.net.controller(number);
                if let Ok((200, ..)) = call(address, "GET", "/api/config", "", "", Duration::from_secs(1)) {
                    return Some(number);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Sends SIGTERM to a daemon, and SIGKILL after the grace, as the platform does. Returns when it has ended.
    /// `meanwhile` is called once, this long after SIGTERM, unless it has ended before.
    pub fn stop(&mut self, role: &str, number: u8, grace: Duration, after: Duration, meanwhile: impl FnOnce()) {
        let name = format!("{role}-{number}");
        let place = self.children.iter().position(|(other, _)| *other == name).expect("the daemon runs");
        let (_, mut child) = self.children.remove(place);
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        let began = Instant::now();
        say(format!("{name} gets SIGTERM"));
        let mut meanwhile = Some(meanwhile);
        while matches!(child.try_wait(), Ok(None)) {
            if began.elapsed() >= after
                && let Some(meanwhile) = meanwhile.take()
            {
                meanwhile();
            }
            if began.elapsed() >= grace {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(5));
        }
        say(format!("{name} ended {} ms after SIGTERM", began.elapsed().as_millis()));
    }

    /// Starts a daemon that had ended.
    pub fn restart(&mut self, role: &str, number: u8) {
        self.spawn(role, number, false);
        say(format!("{role}-{number} starts again"));
    }

    /// Stops the poolers in turn, each this long after the one before, and starts each again a while after its end, as
    /// the platform does. Returns when all run again.
    pub fn restart_poolers(&mut self, numbers: &[u8], gap: Duration, grace: Duration, start_after: Duration) {
        let began = Instant::now();
        let mut waiting: Vec<(Duration, u8)> =
            numbers.iter().enumerate().map(|(place, number)| (gap * place as u32, *number)).collect();
        let mut ending: Vec<(Instant, u8, Child)> = Vec::new();
        let mut ended: Vec<(Instant, u8)> = Vec::new();
        while !waiting.is_empty() || !ending.is_empty() || !ended.is_empty() {
            while waiting.first().is_some_and(|(at, _)| began.elapsed() >= *at) {
                let (_, number) = waiting.remove(0);
                let name = format!("pooler-{number}");
                let place = self.children.iter().position(|(other, _)| *other == name).expect("the daemon runs");
                let (_, child) = self.children.remove(place);
                let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
                say(format!("{name} gets SIGTERM"));
                ending.push((Instant::now(), number, child));
            }
            for place in (0..ending.len()).rev() {
                let (since, number, child) = &mut ending[place];
                if since.elapsed() >= grace {
                    let _ = child.kill();
                }
                if !matches!(child.try_wait(), Ok(None)) {
                    say(format!("pooler-{number} ended {} ms after SIGTERM", since.elapsed().as_millis()));
                    ended.push((Instant::now(), *number));
                    ending.remove(place);
                }
            }
            for place in (0..ended.len()).rev() {
                let (since, number) = ended[place];
                if since.elapsed() >= start_after {
                    self.restart("pooler", number);
                    ended.remove(place);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> usize {
        let ended = |(_, child): &mut (String, Child)| matches!(child.try_wait(), Ok(Some(_)));
        self.children.iter_mut().map(ended).filter(|ended| *ended).count()
    }

    pub fn end(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        let _ = std::fs::remove_file(self.folder.join("processes"));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}
