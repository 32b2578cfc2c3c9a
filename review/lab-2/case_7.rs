//! UNASKED: statements run in the name of a tenant that does not hold the client's key any more.

use crate::wire::Session;
use crate::{APPLY, DATABASE, Deployment, Options, Verdict, config, note};
use std::time::{Duration, Instant};

const KEY: &str = "anfqasnmgkcuyj8pjbvk";

pub fn run() -> Verdict {
    let options = Options {
        controllers: 3,
        poolers: 3,
        sync_replicas: 0,
        max_connections: 60,
        customers: "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\",\"anfqasnmgkcuyj8pjbvk\"],\"rank\":1},\
                    {\"name\":\"jeye931\",\"api-keys\":[\"k0q2m4zzv7d1x8s5t3hw\"],\"rank\":1}",
    };
    let Some(deployment) = Deployment::start(&options, KEY) else { return Verdict::NotRun };
    // The key goes from one tenant to the other; without the disruption another key is added.
    let (customers, holder) = match deployment.trouble {
        true => (
            "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"rank\":1},\
             {\"name\":\"jeye931\",\"api-keys\":[\"k0q2m4zzv7d1x8s5t3hw\",\"anfqasnmgkcuyj8pjbvk\"],\"rank\":1}",
            "jeye931",
        ),
        false => (
            "{\"name\":\"kaxa490\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\",\"anfqasnmgkcuyj8pjbvk\"],\"rank\":1},\
             {\"name\":\"jeye931\",\"api-keys\":[\"k0q2m4zzv7d1x8s5t3hw\",\"b6yq0d9c2r5n1w8e4u7j\"],\"rank\":1}",
            "kaxa490",
        ),
    };
    let to = deployment.daemons.addresses.session(0);
    let Ok(mut session) = Session::connect("kiosk", to, DATABASE, KEY) else { return Verdict::NotRun };
    let begun =
        session.query("k-1", "BEGIN").is_success() && session.query("k-2", "WRITE booking-7 bench-3").is_success();
    if !begun || !deployment.daemons.put_config(1, &config(2, &options, customers)) {
        return Verdict::NotRun;
    }
    let acknowledged_at = Instant::now();
    note!("from now on {holder} holds the client's key");
    for number in 3..8 {
        std::thread::sleep(Duration::from_millis(1000));
        session.query(&format!("k-{number}"), "READ booking-7");
    }
    session.query("k-8", "WRITE booking-8 bench-4");
    session.query("k-9", "COMMIT");
    session.query("k-10", "READ booking-8");
    let runs = deployment.group.lock().runs.clone();
    let late = runs.iter().filter(|run| run.at > acknowledged_at + APPLY && run.id.starts_with("k-"));
    let foreign: Vec<_> = late.filter(|run| run.tenant != holder).collect();
    for run in &foreign {
        let after = run.at.duration_since(acknowledged_at).as_millis();
        note!("UNASKED: {} {} ran for {}, {after} ms after {holder} got the key", run.id, run.text, run.tenant);
    }
    if foreign.is_empty() { Verdict::Held } else { Verdict::Broken }
}
