//! The settings file of a daemon. Its keys are the fields' names in kebab case; unknown keys are ignored.

mod error;
#[cfg(test)]
mod tests;
mod timing_bounds;

pub use error::SettingsError;
pub use timing_bounds::TimingBounds;

use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The settings of a daemon.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The daemon's name, which no other daemon has.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// The address at which other daemons reach this one.
    #[garde(skip)]
    pub ip: Ipv4Addr,
    /// The zone that the daemon runs in.
    #[garde(length(min = 1))]
    pub zone: String,
    /// The first and the last of the ports that are free for traffic between daemons.
    #[garde(custom(is_port_range))]
    pub internal_ports: [u16; 2],
    /// Controllers by which a new daemon finds the others.
    #[garde(length(min = 1))]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this controller may form the first electorate, with the other seed nodes.
    #[serde(default)]
    #[garde(skip)]
    pub bootstrap: bool,
    /// Whether this controller is to vote.
    #[serde(default)]
    #[garde(skip)]
    pub in_quorum: bool,
    /// The directory of a controller's log and snapshots.
    #[serde(default)]
    #[garde(skip)]
    pub data_path: Option<String>,
    /// The interval of instances' heartbeats, in milliseconds.
    #[serde(default = "default_beat_ms")]
    #[garde(range(min = 1))]
    pub beat_ms: u64,
    /// Where the daemon listens for clients, instances and the operator.
    #[garde(dive)]
    pub listen: Listen,
    /// What the machine provides.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// How many failures are tolerated.
    #[serde(default)]
    #[garde(dive)]
    pub tolerance: Tolerance,
    /// The bounds on times and usage that the daemons keep.
    #[serde(default)]
    #[garde(dive)]
    pub timing_bounds: TimingBounds,
    /// The platform that promotes instances, for a controller.
    #[serde(default)]
    #[garde(dive)]
    pub platform: Option<Platform>,
    /// Further zones.
    #[serde(default)]
    #[garde(skip)]
    pub zones: BTreeMap<String, String>,
    /// The timing of elections.
    #[serde(default)]
    #[garde(dive)]
    pub election: Election,
}

fn default_beat_ms() -> u64 {
    1000
}

fn is_port_range(ports: &[u16; 2], _: &()) -> garde::Result {
    let [first, last] = *ports;
    if first == 0 || first > last {
        return Err(garde::Error::new("must be a first and a last port"));
    }
    Ok(())
}

/// Where a daemon listens. An absent address is not listened on.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Listen {
    /// Clients' sessions, at a pooler.
    #[garde(skip)]
    pub session: Option<SocketAddrV4>,
    /// The platform's readiness checks, at a pooler.
    #[garde(skip)]
    pub readiness: Option<SocketAddrV4>,
    /// Calls of instances and the operator, at a controller.
    #[garde(skip)]
    pub control: Option<SocketAddrV4>,
}

/// What the machine provides.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Memory, in megabytes.
    #[garde(range(min = 16))]
    pub memory_mb: u64,
    /// Open files.
    #[garde(range(min = 300))]
    pub open_files: u64,
    /// Disk space for a controller's log and snapshots, in megabytes.
    #[garde(skip)]
    pub disk_mb: u64,
    /// The speed of the link, in megabits per second.
    #[garde(range(min = 0.0))]
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, open_files: 4096, disk_mb: 128, link_mbps: 100.0 }
    }
}

/// What may fail at once with every guarantee kept.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Tolerance {
    /// Voting machines, with their disks.
    #[garde(skip)]
    pub machines: usize,
}

/// The platform, which promotes instances when the leader calls it.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// Where it takes calls.
    #[garde(skip)]
    pub address: SocketAddrV4,
    /// Calls that it takes, per second.
    #[serde(default = "default_duty_per_s")]
    #[garde(range(min = 0.001))]
    pub duty_per_s: f64,
}

fn default_duty_per_s() -> f64 {
    50.0
}

/// The timing of elections.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Election {
    /// The Raft paper's minimum election timeout T, in milliseconds: timeouts are drawn from T to 2T, and
    /// heartbeats are sent every T/2.
    #[garde(range(min = 10))]
    pub t_ms: u64,
}

impl Default for Election {
    fn default() -> Self {
        Election { t_ms: 150 }
    }
}

impl Settings {
    /// Parses and validates the text of a settings file.
    pub fn read(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::malformed(text, &error))?;
        settings.validate().map_err(SettingsError::Invalid)?;
        Ok(settings)
    }

    /// The port for sessions that other poolers forward; `None` if there is only one internal port.
    pub fn forwarding_port(&self) -> Option<u16> {
        Some(self.internal_ports[1]).filter(|port| *port != self.internal_ports[0])
    }

    /// The port for messages of other daemons.
    pub fn peer_port(&self) -> u16 {
        self.internal_ports[0]
    }
}
