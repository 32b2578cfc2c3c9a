//! The daemons' processes, and the platform that starts and ends them.

use super::SoakOptions;
use super::addresses::Addresses;
use super::observations::Incident;
use super::settings;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// From SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// This program is looked after no later than its daemons: when it was not for so long, nor were they.
const STALL_MIN: Duration = Duration::from_millis(100);
/// A process that is killed has this time to write its log out.
const LOG_TIME: Duration = Duration::from_millis(50);
/// From the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Why a soak could not run.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// No network of loopback addresses is free.
    #[error("no loopback addresses are free")]
    NoAddresses,
    /// The poolers did not become ready.
    #[error("the poolers did not become ready")]
    NotReady,
    /// A file, a socket or a process could not be made.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// A program of the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    Controller,
    Pooler,
}

impl Role {
    pub(super) fn program(self) -> &'static str {
        match self {
            Role::Controller => "lichenfield-controller",
            Role::Pooler => "lichenfield-pooler",
        }
    }
}

/// What a daemon is doing.
#[derive(Debug)]
enum Process {
    Running(Child),
    /// SIGTERM was sent.
    Ending(Child, Instant),
    /// SIGKILL was sent on purpose.
    Killed(Child),
    /// It starts again at this time.
    Down(Instant),
}

impl Process {
    fn child(&mut self) -> Option<&mut Child> {
        match self {
            Process::Running(child) | Process::Ending(child, _) | Process::Killed(child) => Some(child),
            Process::Down(_) => None,
        }
    }
}

#[derive(Debug)]
struct Daemon {
    role: Role,
    number: usize,
    process: Process,
    /// It was frozen while it ended, so that it may miss its grace.
    frozen: bool,
}

/// All daemons. Their processes end with it.
#[derive(Debug)]
pub(super) struct Deployment {
    addresses: Addresses,
    programs: PathBuf,
    folder: PathBuf,
    daemons: Vec<Daemon>,
    supervised_at: Instant,
}

impl Deployment {
    /// Starts all daemons for the first time.
    pub(super) fn start(addresses: Addresses, options: &SoakOptions) -> Result<Self, DeploymentError> {
        let folder = std::env::temp_dir().join(format!("lichenfield-soak-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let mut deployment = Deployment {
            addresses,
            programs: options.programs.clone(),
            folder,
            daemons: Vec::new(),
            supervised_at: Instant::now(),
        };
        let controllers = (0..options.size.controllers()).map(|number| (Role::Controller, number));
        let poolers = (0..options.size.poolers()).map(|number| (Role::Pooler, number));
        for (role, number) in controllers.chain(poolers) {
            let process = Process::Running(deployment.spawn(role, number, true)?);
            deployment.daemons.push(Daemon { role, number, process, frozen: false });
        }
        Ok(deployment)
    }

    /// The folder of the settings, the controllers' disks and the logs.
    pub(super) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Where clients connect to a pooler.
    pub(super) fn session_address(&self, pooler: usize) -> SocketAddrV4 {
        self.addresses.session(pooler)
    }

    fn spawn(&self, role: Role, number: usize, bootstrap: bool) -> io::Result<Child> {
        let name = format!("{}-{number}", role.program());
        let settings_file = self.folder.join(format!("{name}.toml"));
        let data = self.folder.join(&name);
        std::fs::write(&settings_file, settings::text(self.addresses, role, number, bootstrap, &data))?;
        let log = self.open_log(&name)?;
        Command::new(self.programs.join(role.program()))
            .env_clear()
            .env("LICHENFIELD_NODE_FILE", &settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// A daemon's log goes on over its restarts.
    fn open_log(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")))
    }

    fn find(&mut self, role: Role, number: usize) -> Option<&mut Daemon> {
        self.daemons.iter_mut().find(|daemon| daemon.role == role && daemon.number == number)
    }

    /// Sends SIGTERM, also to a process that has had one.
    pub(super) fn terminate(&mut self, role: Role, number: usize) {
        let Some(daemon) = self.find(role, number) else { return };
        if let Some(child) = daemon.process.child() {
            signal(child, "-TERM");
        }
        let down = Process::Down(Instant::now());
        daemon.process = match std::mem::replace(&mut daemon.process, down) {
            Process::Running(child) => Process::Ending(child, Instant::now()),
            other => other,
        };
    }

    /// Sends SIGKILL.
    pub(super) fn kill(&mut self, role: Role, number: usize) {
        let Some(daemon) = self.find(role, number) else { return };
        let down = Process::Down(Instant::now());
        daemon.process = match std::mem::replace(&mut daemon.process, down) {
            Process::Running(mut child) | Process::Ending(mut child, _) => {
                let _ = child.kill();
                Process::Killed(child)
            }
            other => other,
        };
    }

    /// Sends SIGHUP.
    pub(super) fn reload(&mut self, role: Role, number: usize) {
        self.send_signal(role, number, "-HUP");
    }

    /// Lets a process stand still.
    pub(super) fn freeze(&mut self, role: Role, number: usize) {
        self.send_signal(role, number, "-STOP");
        if let Some(daemon) = self.find(role, number) {
            daemon.frozen = true;
        }
    }

    /// Lets it go on.
    pub(super) fn thaw(&mut self, role: Role, number: usize) {
        self.send_signal(role, number, "-CONT");
    }

    fn send_signal(&mut self, role: Role, number: usize, name: &str) {
        if let Some(child) = self.find(role, number).and_then(|daemon| daemon.process.child()) {
            signal(child, name);
        }
    }

    /// Starts what has ended, and kills what has not ended in its grace. Returns what a daemon did wrong.
    pub(super) fn supervise(&mut self) -> Vec<Incident> {
        let now = Instant::now();
        let stall = now.duration_since(std::mem::replace(&mut self.supervised_at, now));
        if stall > STALL_MIN {
            self.extend_graces(stall);
        }
        let mut incidents = Vec::new();
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            let (role, number) = (daemon.role, daemon.number);
            if let Process::Down(at) = daemon.process {
                if now >= at
                    && let Ok(child) = self.spawn(role, number, false)
                {
                    let daemon = &mut self.daemons[index];
                    daemon.process = Process::Running(child);
                    daemon.frozen = false;
                }
                continue;
            }
            incidents.extend(look_after(daemon, now));
        }
        incidents
    }

    /// The machine stood still: daemons that end get that time on top of their grace.
    fn extend_graces(&mut self, stall: Duration) {
        for daemon in &mut self.daemons {
            if let Process::Ending(_, since) = &mut daemon.process {
                *since += stall;
            }
        }
    }

    /// Lets every daemon write its log out.
    pub(super) fn dump_logs(&self) {
        for daemon in &self.daemons {
            if let Process::Running(child) | Process::Ending(child, _) = &daemon.process {
                signal(child, "-USR1");
            }
        }
    }

    /// Ends all processes; the folder goes too unless it is wanted.
    pub(super) fn end(&mut self, removes_folder: bool) {
        for child in self.daemons.iter_mut().filter_map(|daemon| daemon.process.child()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.daemons.clear();
        if removes_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end(false);
    }
}

/// Notices the end of a process, or that it is overdue.
fn look_after(daemon: &mut Daemon, now: Instant) -> Option<Incident> {
    let (role, number) = (daemon.role.program(), daemon.number);
    if let Process::Ending(child, since) = &mut daemon.process
        && now >= *since + GRACE
        && matches!(child.try_wait(), Ok(None))
    {
        // Its log says what it waited for.
        signal(child, "-USR1");
        std::thread::sleep(LOG_TIME);
        let _ = child.kill();
        let _ = child.wait();
        daemon.process = Process::Down(now + RESTART_DELAY);
        return (!daemon.frozen).then_some(Incident::MissedGrace { role, number });
    }
    let status = daemon.process.child().and_then(|child| child.try_wait().ok().flatten())?;
    let ended_by_itself = matches!(daemon.process, Process::Running(_));
    daemon.process = Process::Down(now + RESTART_DELAY);
    ended_by_itself.then(|| Incident::EndedByItself { role, number, status: status.to_string() })
}

fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").args([name, &child.id().to_string()]).stderr(Stdio::null()).status();
}
