//! Gate: after a key was taken away from clients in transactions, their pooler serves nobody's primary work.

use crate::wire::Session;
use crate::{APPLY, DATABASE, Deployment, Options, Verdict, config, note};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OLD_KEY: &str = "n2ctnfzs989anu6wsjnb";
const NEW_KEY: &str = "w8e4u7jb6yq0d9c2r5n1";
const OTHER_KEY: &str = "k0q2m4zzv7d1x8s5t3hw";
/// Clients of the tenant whose key is taken away.
const KIOSKS: usize = 12;
/// Clients of another tenant.
const OTHERS: usize = 4;
const MEASURED: Duration = Duration::from_secs(30);

/// A request: when it was sent, whose it was, and whether it was answered with success.
type Sent = (Instant, &'static str, bool);

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: 7,
        sync_replicas: 0,
        max_connections: 60,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1},\
                    {\"name\":\"jeye931\",\"api-keys\":[\"k0q2m4zzv7d1x8s5t3hw\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, OLD_KEY) else { return Verdict::NotRun };
    let to = deployment.daemons.addresses.session(0);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let revoked = Arc::new(AtomicBool::new(false));
    let kiosks: Vec<_> = (0..KIOSKS)
        .map(|number| {
            let (sent, stop, revoked) = (Arc::clone(&sent), Arc::clone(&stop), Arc::clone(&revoked));
            std::thread::spawn(move || {
                book(number, to, &revoked, &stop);
                ask(&format!("kiosk-{number}"), to, NEW_KEY, "kaxa490", &sent, &stop);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1200));
    // The operator replaces the tenant's key; without the disruption it is kept beside the new one.
    let keys = if deployment.trouble { format!("\"{NEW_KEY}\"") } else { format!("\"{OLD_KEY}\",\"{NEW_KEY}\"") };
    let customers = format!(
        "{{\"name\":\"kaxa490\",\"api-keys\":[{keys}],\"rank\":1}},{{\"name\":\"jeye931\",\"api-keys\":[\"{OTHER_KEY}\"],\"rank\":1}}"
    );
    if !deployment.daemons.put_config(1, &config(2, &options, &customers)) {
        return Verdict::NotRun;
    }
    let acknowledged_at = Instant::now();
    revoked.store(true, Ordering::Relaxed);
    std::thread::sleep(APPLY);
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
            std::thread::spawn(move || ask(&format!("other-{number}"), to, OTHER_KEY, "jeye931", &sent, &stop))
        })
        .collect();
    std::thread::sleep(MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in kiosks.into_iter().chain(others) {
        let _ = client.join();
    }
    let sent = sent.lock().map(|list| list.clone()).unwrap_or_default();
    let owed: Vec<&Sent> = sent.iter().filter(|(at, ..)| *at > acknowledged_at + APPLY).collect();
    for tenant in ["kaxa490", "jeye931"] {
        let own: Vec<_> = owed.iter().filter(|(_, name, _)| *name == tenant).collect();
        note!("{tenant}: {} requests owed, {} served", own.len(), own.iter().filter(|(.., served)| *served).count());
    }
    let unserved = owed.iter().filter(|(.., served)| !served).count() as f64 / owed.len().max(1) as f64;
    note!("refused and failed, of {} owed: {unserved:.3}", owed.len());
    // That the database itself is well shows at another pooler.
    ask_once(deployment.daemons.addresses.session(1));
    match () {
        () if owed.len() < 100 => Verdict::NotRun,
        () if unserved > 0.6 => Verdict::Broken,
        () => Verdict::Held,
    }
}

fn ask_once(to: std::net::SocketAddr) {
    if let Ok(mut session) = Session::connect("elsewhere", to, DATABASE, OTHER_KEY) {
        session.query("elsewhere-1", "WRITE tray soup");
    }
}

/// Keeps a transaction open until the key was taken away, and then sends its next statement.
fn book(number: usize, to: std::net::SocketAddr, revoked: &AtomicBool, stop: &AtomicBool) {
    let name = format!("kiosk-{number}");
    while !revoked.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
        let Ok(mut session) = Session::connect(&name, to, DATABASE, OLD_KEY) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut count = 0;
        let mut next = |session: &mut Session, text: &str| {
            count += 1;
            session.query(&format!("b{number}-{count}"), text).is_success()
        };
        if !next(&mut session, "BEGIN") || !next(&mut session, &format!("WRITE order-{number} tray")) {
            continue;
        }
        while !revoked.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
        }
        // The next statement comes a moment later, and the transaction ends.
        std::thread::sleep(Duration::from_millis(500));
        let _ = next(&mut session, &format!("READ order-{number}")) && next(&mut session, "COMMIT");
        return;
    }
}

/// Writes again and again, on one session after the other.
fn ask(
    name: &str,
    to: std::net::SocketAddr,
    key: &str,
    tenant: &'static str,
    sent: &Mutex<Vec<Sent>>,
    stop: &AtomicBool,
) {
    let mut session = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(300));
        count += 1;
        let at = Instant::now();
        if session.is_none() {
            session = Session::connect(name, to, DATABASE, key).ok();
        }
        let text = format!("WRITE {name} {count}");
        let answer = session.as_mut().map(|open| open.query(&format!("{name}-{count}"), &text)).unwrap_or_default();
        let served = session.is_some() && answer.is_success();
        if let Ok(mut list) = sent.lock() {
            list.push((at, tenant, served));
        }
        if !served && answer.state != "I" {
            session = None;
        }
    }
}
