//! The settings file: what a process is told. Unknown fields are skipped.

use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    #[garde(length(min = 1))]
    pub node_name: String,
    #[garde(skip)]
    pub ip: Ipv4Addr,
    #[garde(length(min = 1))]
    pub zone: String,
    /// First and last of the ports that are free for what daemons say to each other.
    #[garde(custom(ordered))]
    pub internal_ports: [u16; 2],
    #[garde(length(min = 1))]
    pub seed_nodes: Vec<SocketAddrV4>,
    #[serde(default)]
    #[garde(skip)]
    pub bootstrap: bool,
    #[serde(default)]
    #[garde(skip)]
    pub in_quorum: bool,
    #[serde(default)]
    #[garde(skip)]
    pub data_path: Option<String>,
    #[serde(default = "default_beat_ms")]
    #[garde(range(min = 1))]
    pub beat_ms: u64,
    #[garde(dive)]
    pub listen: Listen,
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    #[serde(default)]
    #[garde(dive)]
    pub tolerance: Tolerance,
    #[serde(default)]
    #[garde(dive)]
    pub timing_bounds: TimingBounds,
    #[serde(default)]
    #[garde(dive)]
    pub platform: Option<Platform>,
    #[serde(default)]
    #[garde(skip)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    #[garde(dive)]
    pub election: Election,
}

fn default_beat_ms() -> u64 {
    1000
}

fn ordered(ports: &[u16; 2], _: &()) -> garde::Result {
    if ports[0] == 0 || ports[0] > ports[1] {
        return Err(garde::Error::new("must be a first and a last port"));
    }
    Ok(())
}

#[derive(Debug, Clone, Default, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Listen {
    #[garde(skip)]
    pub session: Option<SocketAddrV4>,
    #[garde(skip)]
    pub readiness: Option<SocketAddrV4>,
    #[garde(skip)]
    pub control: Option<SocketAddrV4>,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    #[garde(range(min = 16))]
    pub memory_mb: u64,
    #[garde(range(min = 300))]
    pub open_files: u64,
    #[garde(skip)]
    pub disk_mb: u64,
    #[garde(range(min = 0.0))]
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, open_files: 4096, disk_mb: 128, link_mbps: 100.0 }
    }
}

/// What may be lost at once with every rule kept.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Tolerance {
    /// Machines that vote, with their disks.
    #[garde(skip)]
    pub machines: usize,
}

/// The bounds that the rules set; where the file is silent, the protocol pages' usual figures.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct TimingBounds {
    #[garde(range(min = 0.0))]
    pub drain_ms: f64,
    #[garde(range(min = 0.1))]
    pub grace_s: f64,
    #[garde(range(min = 0.0))]
    pub apply_ms: f64,
    #[garde(range(min = 0.0))]
    pub lease_ms: f64,
    #[garde(range(min = 0.0))]
    pub thaw_ms: f64,
    #[garde(range(min = 0.1))]
    pub usage_window_s: f64,
    #[garde(range(min = 0.0))]
    pub usage_delay_s: f64,
    /// PoolerShare and number by which a tenant's limit may be passed.
    #[garde(range(min = 0.0))]
    pub quota_excess: f64,
    #[garde(range(min = 0.0))]
    pub quota_slack: f64,
}

impl Default for TimingBounds {
    fn default() -> Self {
        TimingBounds {
            drain_ms: 7000.0,
            grace_s: 6.0,
            apply_ms: 3000.0,
            lease_ms: 3000.0,
            thaw_ms: 300.0,
            usage_window_s: 5.0,
            usage_delay_s: 10.0,
            quota_excess: 0.0,
            quota_slack: 0.0,
        }
    }
}

impl TimingBounds {
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_ms / 1000.0)
    }
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
    pub fn apply(&self) -> Duration {
        Duration::from_secs_f64(self.apply_ms / 1000.0)
    }
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_ms / 1000.0)
    }
    pub fn thaw(&self) -> Duration {
        Duration::from_secs_f64(self.thaw_ms / 1000.0)
    }
    pub fn usage_window(&self) -> Duration {
        Duration::from_secs_f64(self.usage_window_s)
    }
    pub fn usage_delay(&self) -> Duration {
        Duration::from_secs_f64(self.usage_delay_s)
    }
}

#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    #[garde(skip)]
    pub address: SocketAddrV4,
    #[serde(default = "default_duty_rate")]
    #[garde(range(min = 0.001))]
    pub duty_per_s: f64,
}

fn default_duty_rate() -> f64 {
    50.0
}

/// Raft's timing; the defaults are the design's.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Election {
    /// T: follower timeouts are drawn from U(T, 2T), heartbeats go every T/2.
    #[garde(range(min = 10))]
    pub t_ms: u64,
}

impl Default for Election {
    fn default() -> Self {
        Election { t_ms: 150 }
    }
}

impl Settings {
    /// Reads and checks the text of a settings file; the message names the field.
    pub fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.message().to_owned() + &place(text, e.span()))?;
        settings.validate().map_err(|e| e.to_string().trim().replace('\n', "; "))?;
        Ok(settings)
    }

    /// Where this daemon takes sessions that others pass on, if there is a port for it.
    pub fn forwarding_port(&self) -> Option<u16> {
        Some(self.internal_ports[1]).filter(|p| *p != self.internal_ports[0])
    }

    /// Where this daemon listens for the others.
    pub fn peer_port(&self) -> u16 {
        self.internal_ports[0]
    }
}

fn place(text: &str, span: Option<std::ops::Range<usize>>) -> String {
    span.and_then(|s| text.get(..s.start))
        .map(|before| format!(" (line {})", before.matches('\n').count() + 1))
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = r#"
node-name = "edge-1"
ip = "10.1.0.26"
zone = "z"
internal-ports = [7560,7575]
seed-nodes = ["10.1.0.28:8462"]
something-new = 3
[listen]
session = "10.1.0.26:8465"
[timing-bounds]
drain-ms = 7000
grace-s = 6.5
"#;

    #[test]
    fn unknown_fields_are_skipped_and_bad_ones_named() {
        let settings = Settings::read(FILE).expect("a whole file");
        assert_eq!(settings.timing_bounds.grace(), Duration::from_millis(6500));
        for (from, to, told) in [
            ("node-name = \"edge-1\"", "", "node-name"),
            ("[7560,7575]", "[7575,7560]", "internal_ports"),
            ("grace-s = 6.5", "grace-s = -1", "grace_s"),
            ("\"10.1.0.26\"\nzone", "\"here\"\nzone", "line 3"),
        ] {
            let why = Settings::read(&FILE.replace(from, to)).expect_err(told);
            assert!(why.contains(told), "{why} should tell of {told}");
        }
    }
}
