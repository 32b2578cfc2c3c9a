//! RECOVER: after all processes of the core were killed while the primary restarted, nothing is served any more.

use crate::daemons::Role;
use crate::wire::Session;
use crate::{DATABASE, Deployment, Options, Verdict, http, note};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The bound `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(15);

/// A request: when it was sent, and whether it was answered with success.
type Sent = (Instant, bool);

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: 3,
        sync_replicas: 0,
        max_connections: 60,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, KEY) else { return Verdict::NotRun };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..options.poolers * 3)
        .map(|number| {
            let to = deployment.daemons.addresses.session(number % options.poolers);
            let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
            std::thread::spawn(move || ask(number, to, &sent, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let disrupted_at = Instant::now();
    if !disrupt(&deployment) {
        return Verdict::NotRun;
    }
    let back_at = Instant::now();
    note!("all processes and instances are back");
    std::thread::sleep(RECOVERY + MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    report(&deployment);
    let sent = sent.lock().map(|list| list.clone()).unwrap_or_default();
    let before = share(&sent, |at| at < disrupted_at);
    let after = share(&sent, |at| at > back_at + RECOVERY);
    note!("served before: {before:.3}; of those sent more than {RECOVERY:?} after all were back: {after:.3}");
    match () {
        () if before < 0.25 => Verdict::NotRun,
        () if after < 0.25 => Verdict::Broken,
        () => Verdict::Held,
    }
}

fn share(sent: &[Sent], counts: impl Fn(Instant) -> bool) -> f64 {
    let counted: Vec<&Sent> = sent.iter().filter(|(at, _)| counts(*at)).collect();
    counted.iter().filter(|(_, served)| *served).count() as f64 / counted.len().max(1) as f64
}

/// Writes and reads in turn, on one session after the other.
fn ask(number: usize, to: std::net::SocketAddr, sent: &Mutex<Vec<Sent>>, stop: &AtomicBool) {
    let name = format!("client-{number}");
    let mut session = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
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
            list.push((at, served));
        }
        if !served && answer.state != "I" {
            session = None;
        }
    }
}

/// The primary crashes, and the processes of the core are killed, the leader's 0.5 s after the others; each returns
/// a second after its end, the primary after 0.6 s.
fn disrupt(deployment: &Deployment) -> bool {
    let Deployment { daemons, group, trouble } = deployment;
    if !trouble {
        std::thread::sleep(Duration::from_millis(1300));
        return true;
    }
    let Some(leader) = daemons.leader() else { return false };
    note!("controller {leader} leads");
    let others: Vec<usize> = (0..daemons.controllers).filter(|number| *number != leader).collect();
    let began_at = Instant::now();
    let wait_until = |milliseconds| {
        let at = began_at + Duration::from_millis(milliseconds);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    group.crash(0);
    for number in &others {
        daemons.kill(Role::Controller, *number);
    }
    wait_until(500);
    daemons.kill(Role::Controller, leader);
    wait_until(600);
    group.restart(0);
    wait_until(1000);
    let mut started = true;
    for number in &others {
        started &= daemons.spawn(Role::Controller, *number, false).is_ok();
    }
    wait_until(1500);
    started && daemons.spawn(Role::Controller, leader, false).is_ok()
}

/// Notes what the controllers say, and that the primary itself works.
fn report(deployment: &Deployment) {
    for number in 0..deployment.daemons.controllers {
        note!("status of controller {number}: {}", deployment.daemons.status(number));
    }
    let state = deployment.group.lock();
    for instance in &state.instances {
        note!("{}: primary {}, term {}, down {}", instance.id, instance.primary, instance.term, instance.down);
    }
    drop(state);
    let to = deployment.daemons.addresses.control(0);
    let answer = http::call(to, "GET", "/api/config", "", "", Duration::from_secs(2));
    note!("a read of the configuration: {:?}", answer.map(|(status, location, _)| (status, location)));
}
