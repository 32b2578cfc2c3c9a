//! The project's own programs as processes, each with an address of its own, and the calls of the operator.

use crate::{http, note};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const CONTROL_PORT: u16 = 8462;
pub const SESSION_PORT: u16 = 8465;
pub const READINESS_PORT: u16 = 8460;
const PLATFORM_PORT: u16 = 8466;
const INSTANCE_PORT: u16 = 9000;
const PEER_PORTS: [u16; 2] = [7560, 7575];

/// The loopback addresses of a case: 127.a.b.x.
#[derive(Clone, Copy)]
pub struct Addresses {
    a: u8,
    b: u8,
}

impl Addresses {
    /// A network in which the ports are free.
    pub fn free() -> Option<Self> {
        let seed = std::process::id();
        (0..200u32).map(|step| seed.wrapping_mul(7919).wrapping_add(step * 613)).find_map(|number| {
            let addresses = Addresses { a: 64 + (number % 128) as u8, b: (number / 128 % 250) as u8 };
            let free = |host: u8, port| TcpListener::bind((addresses.ip(host), port)).is_ok();
            let usable =
                free(11, CONTROL_PORT) && free(11, PEER_PORTS[0]) && free(31, SESSION_PORT) && free(91, INSTANCE_PORT);
            usable.then_some(addresses)
        })
    }

    fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }

    pub fn control(self, number: usize) -> SocketAddr {
        (self.ip(11 + number as u8), CONTROL_PORT).into()
    }

    pub fn session(self, pooler: usize) -> SocketAddr {
        (self.ip(31 + pooler as u8), SESSION_PORT).into()
    }

    fn readiness(self, pooler: usize) -> SocketAddr {
        (self.ip(31 + pooler as u8), READINESS_PORT).into()
    }

    pub fn platform(self) -> SocketAddr {
        (self.ip(71), PLATFORM_PORT).into()
    }

    pub fn instance(self, number: usize) -> SocketAddr {
        (self.ip(91 + number as u8), INSTANCE_PORT).into()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Controller,
    Pooler,
}

struct Process {
    role: Role,
    number: usize,
    child: Child,
}

pub struct Daemons {
    pub addresses: Addresses,
    pub controllers: usize,
    pub poolers: usize,
    folder: PathBuf,
    programs: PathBuf,
    processes: Mutex<Vec<Process>>,
}

impl Daemons {
    /// Starts all of them for the first time.
    pub fn start(addresses: Addresses, controllers: usize, poolers: usize) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("lichenfield-review-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let programs = PathBuf::from("target/release");
        let daemons = Daemons { addresses, controllers, poolers, folder, programs, processes: Mutex::new(Vec::new()) };
        for number in 0..controllers {
            daemons.spawn(Role::Controller, number, true)?;
        }
        for number in 0..poolers {
            daemons.spawn(Role::Pooler, number, true)?;
        }
        Ok(daemons)
    }

    fn settings(&self, role: Role, number: usize, bootstrap: bool) -> String {
        let addresses = self.addresses;
        let (host, class, serves) = match role {
            Role::Controller => (11 + number as u8, "core", "control"),
            Role::Pooler => (31 + number as u8, "edge", "edge"),
        };
        let ip = addresses.ip(host);
        let seeds: Vec<String> = (0..self.controllers).map(|seed| format!("\"{}\"", addresses.control(seed))).collect();
        let zones = ["hal-emc", "hal-klimaat", "hal-rf"];
        let zone = zones[number % zones.len()];
        let [first, last] = PEER_PORTS;
        let mut text = format!(
            "node-name = \"{class}-{zone}-{number}\"\nrole = \"{serves}\"\nmachine-class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"nl-brabant\"\ninternal-ports = [{first},{last}]\n\
             seed-nodes = [{}]\nbootstrap = {bootstrap}\nin-quorum = {}\npeer-source = \"self_registered\"\n\
             entry-mode = \"shared_address\"\nbeat-ms = 1200\n",
            seeds.join(","),
            role == Role::Controller
        );
        if role == Role::Controller {
            text += &format!("data-path = \"{}\"\n", self.folder.join(format!("disk-{number}")).display());
        }
        text += "rules = [\"base\",\"drain\",\"config\",\"cost\",\"sql\",\"tenants\",\"leader\"]\n[zones]\n";
        for zone in zones {
            text += &format!("{zone} = \"nl-brabant\"\n");
        }
        text += "[listen]\n";
        text += &match role {
            Role::Controller => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
            Role::Pooler => format!("session = \"{ip}:{SESSION_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n"),
        };
        text += "[limits]\ncpu-share = 0.6\ncpu-cores = 1\nmemory-mb = 256\nopen-files = 4096\nlink-mbps = 1000.0\n";
        text += &format!("disk-mb = {}\n", if role == Role::Controller { 128 } else { 0 });
        text += "[tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[timing-bounds]\nseed-delay-s = 3\nreuse-after-s = 2\n\
                 contact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 7000\ngrace-s = 6\nloss-slack-ms = 200\n\
                 apply-ms = 3000\nrevert-slack-ms = 250\nstretch-ms = 12000\nstrict-revoke = false\nrevoke-ms = 5000\n\
                 fence-checks = false\nlease-ms = 3000\nthaw-ms = 300\nusage-window-s = 5\nusage-error = 0.05\n\
                 usage-delay-s = 10\nrecovery-s = 12\n";
        text += &format!(
            "[platform]\naddress = \"{}\"\nrate-per-s = 50.0\ntasks = [\"usage_report\",\"failover\"]\nduty-per-s = 50.0\n",
            addresses.platform()
        );
        text
    }

    /// Starts a process with the command of the deploy file.
    pub fn spawn(&self, role: Role, number: usize, bootstrap: bool) -> std::io::Result<()> {
        let name = match role {
            Role::Controller => "lichenfield-controller",
            Role::Pooler => "lichenfield-pooler",
        };
        let file = self.folder.join(format!("{name}-{number}.toml"));
        std::fs::write(&file, self.settings(role, number, bootstrap))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}-{number}.log")))?;
        let child = Command::new(self.programs.join(name))
            .env("LICHENFIELD_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note!("platform: {name} {number} starts");
        self.lock().push(Process { role, number, child });
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Process>> {
        self.processes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sends a signal, named as `kill` takes it.
    pub fn signal(&self, role: Role, number: usize, name: &str) {
        for process in self.lock().iter().filter(|process| process.role == role && process.number == number) {
            let id = process.child.id().to_string();
            let _ = Command::new("kill").args([name, &id]).stderr(Stdio::null()).status();
            note!("platform: {role:?} {number} gets {name}");
        }
    }

    /// The processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in self.lock().iter_mut() {
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push(format!("{:?} {} ended: {status}", process.role, process.number));
            }
        }
        ended
    }

    /// Ends everything that was started, and notes what the daemons logged.
    pub fn end(&self) {
        let mut processes = self.lock();
        for process in processes.iter() {
            let _ =
                Command::new("kill").args(["-USR1", &process.child.id().to_string()]).stderr(Stdio::null()).status();
        }
        std::thread::sleep(Duration::from_millis(150));
        for process in processes.iter_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        processes.clear();
        for entry in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
                for line in std::fs::read_to_string(&path).unwrap_or_default().lines().take(60) {
                    note!("log of {name}: {line}");
                }
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    // The operator.

    /// Sends a configuration until it is taken, at any controller.
    pub fn put_config(&self, if_match: u64, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let mut number = 0;
        while Instant::now() < until {
            let headers = format!("If-Match: {if_match}\r\n");
            let to = self.addresses.control(number % self.controllers);
            let answer = http::call(to, "PUT", "/api/config", &headers, body, Duration::from_secs(5));
            if let Ok((status, _, text)) = &answer {
                note!("operator: configuration on {if_match} sent to {to}: {status} {text}");
                match status {
                    200 => return true,
                    400..=499 => return false,
                    _ => {}
                }
            }
            number += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// A controller's own report.
    pub fn status(&self, number: usize) -> String {
        let to = self.addresses.control(number);
        http::call(to, "GET", "/api/status", "", "", Duration::from_secs(1))
            .map(|(_, _, body)| body)
            .unwrap_or_default()
    }

    /// The controller that says it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controllers).find(|number| {
            let named = http::json_text(&self.status(*number), "leader-control");
            named == self.addresses.control(*number).to_string()
        })
    }

    /// Waits until every pooler answers its probe with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = |pooler| {
                let to = self.addresses.readiness(pooler);
                http::call(to, "GET", "/api/ready", "", "", Duration::from_secs(1))
                    .is_ok_and(|(status, ..)| status == 200)
            };
            if (0..self.poolers).all(ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
