//! A scale run: many hollow daemons in one process, each a real state machine on simulated time, and what
//! they cost at a few sizes. Figures for `docs/CAPACITY.md`; not part of any test.
//!
//!     cargo run --release -p lichenfield-simulator --bin scale-report -- 60 120 240

use lichenfield_simulator::world::{Size, World};
use std::time::{Duration, Instant};

/// Resident memory of this process, in KB.
fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

fn main() {
    println!("poolers services  pooler B/s  most B/s  KB each  processor ms a simulated second");
    for word in std::env::args().skip(1) {
        let Ok(poolers) = word.parse::<usize>() else {
            eprintln!("scale-report: {word}: a number of poolers");
            std::process::exit(2);
        };
        let services = poolers;
        let before = memory();
        let mut world = World::new(1, Size { controllers: 5, spare: 0, poolers, clients: 4, tolerance: 2 });
        world.idle_routes = services;
        world.add_idle(services);
        world.plan(Duration::from_secs(2), "config");
        world.run_until(Duration::from_secs(12));
        world.plan(Duration::from_secs(12), "mark");
        world.plan(Duration::from_secs(14), "config");
        let began = Instant::now();
        world.run_until(Duration::from_secs(22));
        let spent = began.elapsed().as_secs_f64() * 1000.0 / 10.0;
        let (mean, most) = world.upkeep();
        let each = (memory() - before) / (poolers + 5) as f64;
        println!("{poolers:8} {services:8} {mean:12.0} {most:9.0} {each:8.0} {spent:8.1}");
    }
}
