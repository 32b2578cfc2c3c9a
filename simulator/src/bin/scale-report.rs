//! Measures worlds of growing size: many daemons in one process, each a real state machine on simulated time, and
//! what they cost. The figures are for `docs/CAPACITY.md`; no test depends on them.
//!
//! ```text
//! cargo run --release -p lichenfield-simulator --bin scale-report -- 60 120 240
//! ```

use lichenfield_simulator::world::actions::Action;
use lichenfield_simulator::world::{World, WorldConfig};
use std::time::{Duration, Instant};

const USAGE: &str = "usage: scale-report POOLERS...\n\
    measures a world for each number of poolers, which has as many idle services and routes";
const CONTROLLERS: usize = 5;
const TOLERANCE: usize = 2;
const CLIENTS: usize = 4;
/// When the first configuration is set, when the measurement begins, when the configuration is changed, and when
/// the measurement ends.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(2);
const MEASUREMENT_START: Duration = Duration::from_secs(12);
const CHANGE: Duration = Duration::from_secs(14);
const MEASUREMENT_END: Duration = Duration::from_secs(22);

/// Resident memory of this process, in KB.
fn resident_kilobytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().split(' ').next().and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

/// Runs a world and prints a row of the report.
fn report(poolers: usize) {
    let services = poolers;
    let memory_before = resident_kilobytes();
    let config = WorldConfig {
        controllers: CONTROLLERS,
        poolers,
        clients: CLIENTS,
        tolerance: TOLERANCE,
        idle_services: services,
        idle_routes: services,
        ..WorldConfig::default()
    };
    let mut world = World::new(1, config);
    world.plan(FIRST_CONFIGURATION, Action::ChangeConfig);
    world.run_until(MEASUREMENT_START);
    world.plan(MEASUREMENT_START, Action::MeasureTraffic);
    world.plan(CHANGE, Action::ChangeConfig);
    let started = Instant::now();
    world.run_until(MEASUREMENT_END);
    let simulated_seconds = (MEASUREMENT_END - MEASUREMENT_START).as_secs_f64();
    let milliseconds = started.elapsed().as_secs_f64() * 1000.0 / simulated_seconds;
    let traffic = world.traffic();
    let (mean, highest) = (traffic.mean_pooler, traffic.highest);
    let memory = (resident_kilobytes() - memory_before) / (poolers + CONTROLLERS) as f64;
    println!("{poolers:8} {services:8} {mean:12.0} {highest:11.0} {memory:13.0} {milliseconds:9.1}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Result<Vec<usize>, _> = arguments.iter().map(|argument| argument.parse()).collect();
    let Some(sizes) = sizes.ok().filter(|sizes| !sizes.is_empty()) else {
        eprintln!("{USAGE}");
        std::process::exit(2);
    };
    println!("{:>30} {:>11} {:>13} {:>9}", "mean pooler", "highest", "memory of", "CPU ms a");
    println!("{:>8} {:>8} {:>12} {:>11} {:>13} {:>9}", "poolers", "services", "B/s", "B/s", "a daemon, KB", "second");
    sizes.into_iter().for_each(report);
}
