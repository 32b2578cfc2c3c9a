//! LOST: with `sync-replicas` 1, the instance that is promoted lacks acknowledged commits.

use crate::wire::Session;
use crate::{DATABASE, Deployment, Options, Verdict, note};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A write that was answered with success.
#[derive(Clone)]
struct Acknowledged {
    at: Instant,
    thing: String,
    data: String,
}

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: 3,
        sync_replicas: 1,
        max_connections: 60,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, KEY) else { return Verdict::NotRun };
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (0..options.poolers)
        .map(|pooler| {
            let to = deployment.daemons.addresses.session(pooler);
            let (acknowledged, stop) = (Arc::clone(&acknowledged), Arc::clone(&stop));
            std::thread::spawn(move || write(pooler, to, &acknowledged, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    disrupt(&deployment);
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    judge(&deployment, &acknowledged.lock().map(|list| list.clone()).unwrap_or_default())
}

/// Writes one thing after the other; a write that fails is not repeated.
fn write(pooler: usize, to: std::net::SocketAddr, acknowledged: &Mutex<Vec<Acknowledged>>, stop: &AtomicBool) {
    let name = format!("writer-{pooler}");
    let mut session = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(60));
        if session.is_none() {
            session = Session::connect(&name, to, DATABASE, KEY).ok();
        }
        let Some(open) = &mut session else { continue };
        number += 1;
        let (thing, data) = (format!("run-{pooler}-{number}"), format!("verdict-{number}"));
        let answer = open.query(&format!("w{pooler}-{number}"), &format!("WRITE {thing} {data}"));
        if answer.is_success() {
            if let Ok(mut list) = acknowledged.lock() {
                list.push(Acknowledged { at: Instant::now(), thing, data });
            }
        } else if answer.error.starts_with("CUT") || answer.state != "I" {
            session = None;
        }
    }
}

/// One replica receives nothing for 6.4 s, and the primary crashes meanwhile (`replica_lag`, deaf crash); the other
/// replica goes dark for 4.4 s (`srv_crash`, dark replica).
fn disrupt(deployment: &Deployment) {
    let group = &deployment.group;
    if !deployment.trouble {
        std::thread::sleep(Duration::from_millis(11_000));
        return;
    }
    group.set_deaf(2, true);
    std::thread::sleep(Duration::from_millis(2000));
    group.set_dark(1, true);
    std::thread::sleep(Duration::from_millis(50));
    group.crash(0);
    std::thread::sleep(Duration::from_millis(4350));
    group.set_dark(1, false);
    group.set_deaf(2, false);
    std::thread::sleep(Duration::from_millis(2650));
    group.restart(0);
    std::thread::sleep(Duration::from_millis(2000));
}

fn judge(deployment: &Deployment, acknowledged: &[Acknowledged]) -> Verdict {
    let promotions = deployment.group.lock().promotions.clone();
    note!("{} writes were acknowledged, {} promotions", acknowledged.len(), promotions.len());
    if acknowledged.is_empty() {
        return Verdict::NotRun;
    }
    let mut lost: Vec<&Acknowledged> = Vec::new();
    for promotion in &promotions {
        let before = acknowledged.iter().filter(|write| write.at < promotion.at);
        let lacking = before
            .filter(|write| !promotion.log.iter().any(|entry| entry.thing == write.thing && entry.data == write.data));
        let lacking: Vec<&Acknowledged> = lacking.collect();
        note!(
            "{} was promoted to term {} and lacks {} acknowledged commits",
            promotion.id,
            promotion.term,
            lacking.len()
        );
        for write in &lacking {
            note!("LOST: WRITE {} {} was acknowledged", write.thing, write.data);
        }
        lost.extend(lacking);
    }
    // What a client sees of the last of them.
    if let Some(write) = lost.last() {
        let to = deployment.daemons.addresses.session(0);
        if let Ok(mut session) = Session::connect("reader", to, DATABASE, KEY) {
            session.query("reader-1", &format!("READ {}", write.thing));
        }
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
