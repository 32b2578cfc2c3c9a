//! The daemons' settings files.

use super::addresses::{Addresses, INTERNAL_PORTS};
use super::deployment::Role;
use std::path::Path;

/// Controllers that a daemon is told of.
const SEED_NODES: usize = 3;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const TIMING_BOUNDS: &str = "seed-delay-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\n\
    drain-ms = 7000\ngrace-s = 6\nloss-slack-ms = 200\napply-ms = 3000\nrevert-slack-ms = 250\nstretch-ms = 12000\n\
    strict-revoke = false\nrevoke-ms = 5000\nfence-checks = false\nlease-ms = 3000\nthaw-ms = 300\n\
    usage-window-s = 5\nusage-error = 0.05\nusage-delay-s = 10\n";

/// The text of a daemon's settings file. `bootstrap`: at the first start of the whole system only.
pub(super) fn text(addresses: Addresses, role: Role, number: usize, bootstrap: bool, data: &Path) -> String {
    let ip = addresses.daemon(role, number);
    let seeds: Vec<String> = (0..SEED_NODES).map(|seed| format!("\"{}\"", addresses.control(seed))).collect();
    let is_controller = role == Role::Controller;
    let (listen, data_path) = match role {
        Role::Controller => {
            let data_path = format!("data-path = \"{}\"\n", data.display());
            (format!("control = \"{}\"", addresses.control(number)), data_path)
        }
        Role::Pooler => {
            let (session, readiness) = (addresses.session(number), addresses.readiness(number));
            (format!("session = \"{session}\"\nreadiness = \"{readiness}\""), String::new())
        }
    };
    format!(
        "node-name = \"{}-{number}\"\nip = \"{ip}\"\nzone = \"{}\"\ninternal-ports = [{}, {}]\nseed-nodes = [{}]\n\
         bootstrap = {bootstrap}\nin-quorum = {is_controller}\n{data_path}beat-ms = 1200\n[listen]\n{listen}\n\
         [limits]\nmemory-mb = 260\nopen-files = 4300\nlink-mbps = 1000.0\ndisk-mb = 128\n[tolerance]\nmachines = 1\n\
         [timing-bounds]\n{TIMING_BOUNDS}[platform]\naddress = \"{}\"\nduty-per-s = 50.0\n",
        role.program(),
        ZONES[number % ZONES.len()],
        INTERNAL_PORTS[0],
        INTERNAL_PORTS[1],
        seeds.join(", "),
        addresses.platform()
    )
}
