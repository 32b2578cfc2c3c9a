//! ONE: a write is committed at the old primary and acknowledged after a promote has taken effect.

use crate::wire::Session;
use crate::{DATABASE, Deployment, Options, Verdict, note};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Late writes that the record names.
const REPORTED: usize = 25;

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: 3,
        sync_replicas: 0,
        max_connections: 100,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, KEY) else { return Verdict::NotRun };
    let acknowledged = Arc::new(Mutex::new(BTreeSet::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (0..options.poolers * 2)
        .map(|number| {
            let to = deployment.daemons.addresses.session(number % options.poolers);
            let (acknowledged, stop) = (Arc::clone(&acknowledged), Arc::clone(&stop));
            std::thread::spawn(move || write(number, to, &acknowledged, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let disrupted = disrupt(&deployment);
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    let acknowledged = acknowledged.lock().map(|set| set.clone()).unwrap_or_default();
    if !disrupted || acknowledged.is_empty() {
        return Verdict::NotRun;
    }
    judge(&deployment, &acknowledged)
}

/// Writes one thing after the other; a write that fails is not repeated.
fn write(number: usize, to: std::net::SocketAddr, acknowledged: &Mutex<BTreeSet<String>>, stop: &AtomicBool) {
    let mut session = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(80));
        if session.is_none() {
            session = Session::connect(&format!("writer-{number}"), to, DATABASE, KEY).ok();
        }
        let Some(open) = &mut session else { continue };
        count += 1;
        let data = format!("verdict-{number}-{count}");
        let answer = open.query(&format!("w{number}-{count}"), &format!("WRITE run-{number} {data}"));
        if answer.is_success() {
            if let Ok(mut set) = acknowledged.lock() {
                set.insert(data);
            }
        } else if answer.state != "I" {
            session = None;
        }
    }
}

/// The primary crashes for 7 s; the replica that the platform is asked to promote goes dark 0.1 s after that call, for
/// 4.4 s. False if no such call came.
fn disrupt(deployment: &Deployment) -> bool {
    let group = &deployment.group;
    if !deployment.trouble {
        std::thread::sleep(Duration::from_secs(7));
        return true;
    }
    let crashed_at = Instant::now();
    group.crash(0);
    let first = || group.lock().accepted_calls.first().copied();
    while first().is_none() && crashed_at.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let Some(call) = first() else { return false };
    let sleep_until = |at: Instant| std::thread::sleep(at.saturating_duration_since(Instant::now()));
    sleep_until(call.at + Duration::from_millis(100));
    group.set_dark(call.instance, true);
    sleep_until(call.at + Duration::from_millis(4500));
    group.set_dark(call.instance, false);
    sleep_until(crashed_at + Duration::from_secs(7));
    group.restart(0);
    true
}

fn judge(deployment: &Deployment, acknowledged: &BTreeSet<String>) -> Verdict {
    let state = deployment.group.lock();
    let mut late = 0;
    for commit in state.commits.iter().filter(|commit| acknowledged.contains(&commit.data)) {
        let newer = state.promotions.iter().find(|promotion| promotion.term > commit.term && promotion.at < commit.at);
        if let Some(promotion) = newer {
            late += 1;
            if late > REPORTED {
                continue;
            }
            note!(
                "ONE: {} was committed at instance {} in term {} and acknowledged, {} ms after {} was promoted to term {}",
                commit.data,
                commit.instance,
                commit.term,
                commit.at.duration_since(promotion.at).as_millis(),
                promotion.id,
                promotion.term
            );
        }
    }
    let newest = state.instances.iter().filter(|instance| instance.primary).max_by_key(|instance| instance.term);
    let kept: BTreeSet<&String> = newest.iter().flat_map(|instance| &instance.log).map(|entry| &entry.data).collect();
    let lost = acknowledged.iter().filter(|data| data.starts_with("verdict-") && !kept.contains(data)).count();
    note!(
        "{} writes acknowledged, {late} of them late; {lost} are not in the newest primary's log",
        acknowledged.len()
    );
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
