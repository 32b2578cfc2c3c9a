//! Scenarios as small text files: what the world holds, what happens when, and what must be true.

use crate::trace::Trace;
use crate::world::{Size, World};
use std::time::Duration;

/// Runs a scenario for each of its seeds; tells what was broken, with the seed. Gives the trace over all seeds, if
/// one was asked for.
pub fn run(text: &str) -> Result<Option<Trace>, String> {
    let mut trace = Trace::from_environment();
    let mut seeds = 1..=1;
    let mut size = Size { controllers: 3, spare: 0, poolers: 3, clients: 6, tolerance: 1 };
    let mut until = Duration::from_secs(15);
    let mut sync = Duration::from_millis(2);
    let mut cap = None;
    let (mut idle_services, mut idle_routes) = (0, 0);
    let mut actions = Vec::new();
    let mut expects = Vec::new();
    for line in text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let number = || rest.parse::<usize>().map_err(|e| format!("{line}: {e}"));
        match word {
            "seeds" => {
                let (a, b) = rest.split_once("..").ok_or(format!("{line}: a..b"))?;
                seeds =
                    a.parse().map_err(|e| format!("{line}: {e}"))?..=b.parse().map_err(|e| format!("{line}: {e}"))?;
            }
            "controllers" => size.controllers = number()?,
            "spare" => size.spare = number()?,
            "poolers" => size.poolers = number()?,
            "clients" => size.clients = number()?,
            "tolerance" => size.tolerance = number()?,
            "idle-services" => idle_services = number()?,
            "idle-routes" => idle_routes = number()?,
            "cap" => cap = Some(number()?),
            "sync" => sync = seconds(rest)?,
            "until" => until = seconds(rest)?,
            "at" => {
                let (at, action) = rest.split_once(' ').ok_or(format!("{line}: at TIME ACTION"))?;
                actions.push((seconds(at)?, action.to_owned()));
            }
            "expect" => expects.push(rest.to_owned()),
            other => return Err(format!("no such word: {other}")),
        }
    }
    for seed in seeds {
        let mut world = World::new(seed, size);
        world.sync = sync;
        world.cap = cap.map_or(world.cap, |c| c as u32);
        world.idle_routes = idle_routes;
        world.add_idle(idle_services);
        world.plan(Duration::from_secs(2), "config");
        for (at, action) in &actions {
            world.plan(*at, action);
        }
        world.run_until(until);
        world.finish();
        if let Some(first) = world.judge.broken.first() {
            return Err(format!("seed {seed}: {first} (and {} more)", world.judge.broken.len() - 1));
        }
        for expect in &expects {
            check(&world, expect).map_err(|why| format!("seed {seed}: expected {expect}, {why}"))?;
        }
        if let (Some(whole), Some(part)) = (&mut trace, world.trace()) {
            whole.add(part);
        }
    }
    Ok(trace)
}

fn seconds(text: &str) -> Result<Duration, String> {
    text.parse().map(Duration::from_secs_f64).map_err(|e| format!("{text}: {e}"))
}

fn check(world: &World, expect: &str) -> Result<(), String> {
    let words: Vec<&str> = expect.split_whitespace().collect();
    let least: f64 = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(1.0);
    let found = match words.first().copied().unwrap_or_default() {
        "served" => world.judge.served as f64 / world.judge.asked.max(1) as f64,
        "asked" => world.judge.asked as f64,
        "promotions" => world.judge.promotions as f64,
        "revision" => world.acked_revision as f64,
        "refused" => world.refused as f64,
        "reports" => world.judge.windows_reported() as f64,
        "voters" => world.voters().len() as f64,
        "epochs" => world.epoch() as f64,
        "carried" => world.carried as f64,
        "upkeep" => world.upkeep().0,
        "most-sent" => world.upkeep().1,
        "leader" => f64::from(u8::from(world.leader().is_some())),
        other => return Err(format!("no such measure: {other}")),
    };
    let exactly = words.get(2) == Some(&"exactly");
    let at_most = words.get(2) == Some(&"at-most");
    let holds = match () {
        () if exactly => found == least,
        () if at_most => found <= least,
        () => found >= least,
    };
    if holds { Ok(()) } else { Err(format!("found {found}")) }
}
