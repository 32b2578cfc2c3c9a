//! A model test of the log: the real `Raft`, `ControlState` and `PersistentState` in a simulated world, under schedules
//! drawn from seeds.
//!
//! The explorer is our own. `proptest-state-machine` was weighed: it draws all transitions before the
//! run and shrinks that list. Here most of what matters (which message is lost, which sync takes long)
//! is known only while the run goes on, and would have to be drawn inside a transition, where it can't
//! be shrunk; and steps such as a wipe are allowed or not by what the run has come to. So a schedule is
//! recorded instead, by the names of what each fate befalls, and shrunk by leaving parts of it out
//! (`schedule.rs`). No dependency is added.
//!
//! `MODEL_RUNS=20000 cargo test -p lichenfield-engine --test model explore -- --nocapture` explores more;
//! `MODEL_SEED` begins at another seed, `MODEL_THREADS` says on how many threads, `MODEL_SHRINK` how many runs
//! are spent on shrinking, and `MODEL_TELL` prints the shrunk run step by step.

mod disk;
mod judge;
mod known_faults;
mod network;
mod node;
mod register;
mod schedule;
mod world;
mod written_schedules;

use judge::{Counts, Violation};
use schedule::Schedule;
use std::cell::Cell;
use std::panic;
use std::sync::Once;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use world::World;

/// In every test run.
const RUNS: u64 = 200;
const THREADS: usize = 4;
/// Runs spent on making a failing schedule shorter.
const SHRINK_TRIES: u64 = 3000;

thread_local! {
    static QUIET: Cell<bool> = const { Cell::new(false) };
    static TELLS: Cell<bool> = const { Cell::new(false) };
}

/// A panic of the log is a violation like others; it is told once, with the schedule.
fn run(schedule: &Schedule) -> world::Run {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let usual = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if !QUIET.get() {
                usual(info);
            }
        }));
    });
    QUIET.set(true);
    let result = panic::catch_unwind(|| World::run(schedule, TELLS.get()));
    QUIET.set(false);
    result.unwrap_or_else(|cause| {
        let what = cause.downcast_ref::<String>().cloned();
        let what = what.or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_owned())).unwrap_or_default();
        let broken = Some((schedule.end, Violation { kind: "panic", what }));
        world::Run { broken, fates: schedule.fates.clone(), counts: Counts::default() }
    })
}

/// Runs a seed's schedule; a broken one is told with a schedule that is as short as it gets,
/// and with `MODEL_TELL` set step by step; with `MODEL_TELL=whole` the run that was drawn is told too.
fn explore_seed(seed: u64) -> Result<Counts, String> {
    let mut schedule = Schedule::draw(seed);
    TELLS.set(std::env::var("MODEL_TELL").is_ok_and(|t| t == "whole"));
    let result = run(&schedule);
    TELLS.set(false);
    let Some((at, first)) = result.broken else { return Ok(result.counts) };
    schedule.fates = result.fates;
    let fails = |s: &Schedule| run(s).broken.filter(|(_, v)| v.kind == first.kind).map(|(at, _)| at);
    let short = schedule.shrink(setting("MODEL_SHRINK", SHRINK_TRIES) as usize, fails);
    TELLS.set(std::env::var("MODEL_TELL").is_ok());
    let last = run(&short).broken.map_or_else(|| "not again".to_owned(), |(at, v)| format!("{at:?}: {}", v.what));
    Err(format!("{} (seed {seed}, {at:?}: {})\nshort, {last}\n{short}", first.kind, first.what))
}

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

#[test]
fn explore() {
    let runs = setting("MODEL_RUNS", RUNS);
    let from = setting("MODEL_SEED", 1);
    let threads = setting("MODEL_THREADS", THREADS as u64);
    let next = AtomicU64::new(from);
    let work = || {
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
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        threads.into_iter().map(|t| t.join().expect("an explorer ends")).collect()
    });
    let seen: Vec<Counts> = results.iter().flat_map(|(s, _)| s.iter().copied()).collect();
    let sum = |of: fn(&Counts) -> usize| seen.iter().map(of).sum::<usize>();
    println!(
        "{} runs: {} terms led, {} entries committed, {} changes told, {} reads, {} electorates, {} snapshots, \
         {} restored, {} truncations, {} disks lost",
        seen.len(),
        sum(|c| c.terms),
        sum(|c| c.committed),
        sum(|c| c.told),
        sum(|c| c.reads),
        sum(|c| c.electorates),
        sum(|c| c.snapshots),
        sum(|c| c.restored),
        sum(|c| c.truncated),
        sum(|c| c.graves),
    );
    let failed: Vec<String> = results.into_iter().flat_map(|(_, f)| f).collect();
    assert!(failed.is_empty(), "{} failed:\n{}", failed.len(), failed.join("\n"));
}

/// A run is a function of its schedule, and its recorded fates lead to the same one.
#[test]
fn a_recorded_schedule_leads_to_the_same_run() {
    for seed in 1..=5 {
        let mut schedule = Schedule::draw(seed);
        let first = run(&schedule);
        schedule.fates = first.fates;
        schedule.weather.clear();
        let again = run(&schedule);
        assert_eq!(format!("{:?}", first.counts), format!("{:?}", again.counts), "seed {seed}");
    }
}

/// Schedules name only durations that a reader can follow.
#[test]
fn a_schedule_is_told_step_by_step() {
    let told = Schedule::draw(1).to_string();
    assert!(told.lines().count() > 10 && told.starts_with("seed 1: "), "{told}");
    assert!(Schedule::draw(1).end > Duration::from_secs(4));
}
