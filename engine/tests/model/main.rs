//! A model test of the log: the real `Raft`, `ControlState` and `PersistentState` in a simulated world, under schedules
//! drawn from seeds.
//!
//! The explorer is written for this test. `proptest-state-machine` was considered: it draws all transitions before the
//! run and shrinks that list. Here most of what matters (which message is lost, which sync takes long)
//! is known only while the run goes on, and would have to be drawn inside a transition, where it can't
//! be shrunk; and whether a step such as a wipe is allowed depends on the run so far. So a schedule is
//! recorded instead, by the names of what each fate applies to, and shrunk by leaving parts of it out
//! (`schedule/`). No dependency is added.
//!
//! `MODEL_RUNS=20000 cargo test -p lichenfield-engine --test model explore -- --nocapture` explores more;
//! `MODEL_SEED` sets the first seed, `MODEL_THREADS` the number of threads, `MODEL_SHRINK` the number of runs
//! spent on shrinking, and `MODEL_TRACE` prints the shrunk run step by step.

mod checker;
mod disk;
mod message_orders;
mod network;
mod node;
mod register;
mod schedule;
mod world;
mod written_schedules;

use checker::{Counts, Violation};
use schedule::Schedule;
use std::cell::Cell;
use std::panic;
use std::sync::Once;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use world::World;

/// Seeds explored in every test run.
const DEFAULT_RUNS: u64 = 200;
const DEFAULT_THREADS: usize = 4;
/// Runs spent on shrinking a failing schedule.
const DEFAULT_SHRINK_RUNS: u64 = 3000;

thread_local! {
    static SILENCE_PANICS: Cell<bool> = const { Cell::new(false) };
    static TRACE: Cell<bool> = const { Cell::new(false) };
}

/// Runs a schedule. A panic is a violation like others; it is printed once, with the schedule.
fn run(schedule: &Schedule) -> world::RunResult {
    static PANIC_HOOK: Once = Once::new();
    PANIC_HOOK.call_once(|| {
        let usual = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if !SILENCE_PANICS.get() {
                usual(info);
            }
        }));
    });
    SILENCE_PANICS.set(true);
    let result = panic::catch_unwind(|| World::run(schedule, TRACE.get()));
    SILENCE_PANICS.set(false);
    result.unwrap_or_else(|cause| {
        let what = cause.downcast_ref::<String>().cloned();
        let what = what.or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_owned())).unwrap_or_default();
        let broken = Some((schedule.end, Violation { kind: "panic", what }));
        world::RunResult { broken, fates: schedule.fates.clone(), counts: Counts::default() }
    })
}

/// Runs a seed's schedule; a violation is reported with a schedule shrunk as far as possible, and with
/// `MODEL_TRACE` set step by step; with `MODEL_TRACE=whole` the run as drawn is printed too.
fn explore_seed(seed: u64) -> Result<Counts, String> {
    let mut schedule = Schedule::draw(seed);
    TRACE.set(std::env::var("MODEL_TRACE").is_ok_and(|t| t == "whole"));
    let result = run(&schedule);
    TRACE.set(false);
    let Some((at, first)) = result.broken else { return Ok(result.counts) };
    schedule.fates = result.fates;
    let fails = |s: &Schedule| run(s).broken.filter(|(_, v)| v.kind == first.kind).map(|(at, _)| at);
    let short = schedule.shrink(env_or("MODEL_SHRINK", DEFAULT_SHRINK_RUNS) as usize, fails);
    TRACE.set(std::env::var("MODEL_TRACE").is_ok());
    let last = run(&short).broken.map_or_else(|| "not again".to_owned(), |(at, v)| format!("{at:?}: {}", v.what));
    Err(format!("{} (seed {seed}, {at:?}: {})\nshort, {last}\n{short}", first.kind, first.what))
}

fn env_or(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

#[test]
fn explore() {
    let runs = env_or("MODEL_RUNS", DEFAULT_RUNS);
    let from = env_or("MODEL_SEED", 1);
    let threads = env_or("MODEL_THREADS", DEFAULT_THREADS as u64);
    let next = AtomicU64::new(from);
    let explore_seeds = || {
        let mut failed = Vec::new();
        let mut seen = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= from + runs || failed.len() >= 3 {
                return (seen, failed);
            }
            match explore_seed(seed) {
                Ok(counts) => seen.push(counts),
                Err(what) => failed.push(what),
            }
        }
    };
    let results: Vec<(Vec<Counts>, Vec<String>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(explore_seeds)).collect();
        threads.into_iter().map(|t| t.join().expect("an explorer ends")).collect()
    });
    let seen: Vec<Counts> = results.iter().flat_map(|(s, _)| s.iter().copied()).collect();
    let sum = |of: fn(&Counts) -> usize| seen.iter().map(of).sum::<usize>();
    println!(
        "{} runs: {} terms led, {} entries committed, {} changes acknowledged, {} reads, {} electorates, {} snapshots, \
         {} restored, {} truncations, {} disks lost",
        seen.len(),
        sum(|c| c.terms),
        sum(|c| c.committed),
        sum(|c| c.acknowledged),
        sum(|c| c.reads),
        sum(|c| c.electorates),
        sum(|c| c.snapshots),
        sum(|c| c.restored),
        sum(|c| c.truncated),
        sum(|c| c.lost_disks),
    );
    let failed: Vec<String> = results.into_iter().flat_map(|(_, f)| f).collect();
    assert!(failed.is_empty(), "{} failed:\n{}", failed.len(), failed.join("\n"));
}

/// A run is a function of its schedule, and its recorded fates lead to the same run.
#[test]
fn a_recorded_schedule_leads_to_the_same_run() {
    for seed in 1..=5 {
        let mut schedule = Schedule::draw(seed);
        let first = run(&schedule);
        schedule.fates = first.fates;
        schedule.fault_periods.clear();
        let again = run(&schedule);
        assert_eq!(format!("{:?}", first.counts), format!("{:?}", again.counts), "seed {seed}");
    }
}

/// Schedules name only durations that a reader can follow.
#[test]
fn a_schedule_is_printed_step_by_step() {
    let printed = Schedule::draw(1).to_string();
    assert!(printed.lines().count() > 10 && printed.starts_with("seed 1: "), "{printed}");
    assert!(Schedule::draw(1).end > Duration::from_secs(4));
}
