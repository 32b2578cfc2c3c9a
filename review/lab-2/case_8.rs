//! Gate: a pooler that stood still during a change of primary never serves the primary's work again.

use crate::daemons::Role;
use crate::wire::Session;
use crate::{DATABASE, Deployment, Options, Verdict, note};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const POOLERS: usize = 6;
/// The bound `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(20);

/// A request: when it was sent, at which pooler, and whether it was answered with success.
type Sent = (Instant, usize, bool);

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: POOLERS,
        sync_replicas: 0,
        max_connections: 100,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, KEY) else { return Verdict::NotRun };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..POOLERS * 3)
        .map(|number| {
            let to = deployment.daemons.addresses.session(number % POOLERS);
            let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
            std::thread::spawn(move || ask(number, to, &sent, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    // Those that stand still are of other zones than the leader: their updates are likely to come by another controller.
    let Some(leader) = deployment.daemons.leader() else { return Verdict::NotRun };
    let frozen = [1, 2].map(|step| (leader + step) % deployment.daemons.controllers);
    note!("controller {leader} leads; poolers {frozen:?} are to stand still");
    let disrupted_at = Instant::now();
    disrupt(&deployment, frozen);
    let over_at = Instant::now();
    note!("all processes and instances are back");
    std::thread::sleep(RECOVERY + MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().map(|list| list.clone()).unwrap_or_default();
    let mut unserved_there: f64 = 0.0;
    for pooler in 0..POOLERS {
        let before = unserved(&sent, |at, there| there == pooler && at < disrupted_at);
        let after = unserved(&sent, |at, there| there == pooler && at > over_at + RECOVERY);
        note!(
            "pooler {pooler}: refused and failed before: {before:.3}; later than {RECOVERY:?} after all were back: {after:.3}"
        );
        if frozen.contains(&pooler) {
            unserved_there = unserved_there.max(after);
            if before > 0.1 {
                return Verdict::NotRun;
            }
        }
    }
    if unserved_there > 0.6 { Verdict::Broken } else { Verdict::Held }
}

/// The part of the requests that was refused or failed.
fn unserved(sent: &[Sent], counts: impl Fn(Instant, usize) -> bool) -> f64 {
    let counted: Vec<&Sent> = sent.iter().filter(|(at, pooler, _)| counts(*at, *pooler)).collect();
    counted.iter().filter(|(.., served)| !*served).count() as f64 / counted.len().max(1) as f64
}

/// Writes and reads in turn, on one session after the other.
fn ask(number: usize, to: std::net::SocketAddr, sent: &Mutex<Vec<Sent>>, stop: &AtomicBool) {
    let name = format!("client-{number}");
    let mut session = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(150));
        count += 1;
        let at = Instant::now();
        if session.is_none() {
            session = Session::connect(&name, to, DATABASE, KEY).ok();
        }
        let text =
            if count % 3 == 0 { format!("WRITE bench-{number} {count}") } else { format!("READ bench-{number}") };
        let answer = session.as_mut().map(|open| open.query(&format!("c{number}-{count}"), &text)).unwrap_or_default();
        let served = session.is_some() && answer.is_success();
        if let Ok(mut list) = sent.lock() {
            list.push((at, number % POOLERS, served));
        }
        if !served && answer.state != "I" {
            session = None;
        }
    }
}

/// Two poolers stand still for 4.8 s; 0.7 s after that has begun the primary crashes, for 7 s.
fn disrupt(deployment: &Deployment, frozen: [usize; 2]) {
    let Deployment { daemons, group, trouble } = deployment;
    if !trouble {
        std::thread::sleep(Duration::from_secs(7));
        return;
    }
    for pooler in frozen {
        daemons.signal(Role::Pooler, pooler, "-STOP");
    }
    std::thread::sleep(Duration::from_millis(700));
    group.crash(0);
    std::thread::sleep(Duration::from_millis(4100));
    for pooler in frozen {
        daemons.signal(Role::Pooler, pooler, "-CONT");
    }
    std::thread::sleep(Duration::from_millis(2900));
    group.restart(0);
}
