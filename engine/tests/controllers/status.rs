//! The report of `GET /api/status`: its JSON names, which operators' scripts read.

use crate::control_plane::{ControlPlane, controller_ip};
use serde_json::Value;

fn keys(value: &Value) -> Vec<&str> {
    value.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[test]
fn the_status_report_keeps_its_json_names() {
    let mut control_plane = ControlPlane::new(3);
    let follower = control_plane.followers()[0];
    control_plane.heartbeat(follower, "i-1", "ready", 1);
    let status = control_plane.get(follower, "/api/status");
    let report: Value = serde_json::from_slice(&control_plane.replies[&status].response.body).expect("JSON");
    let expected = [
        "candidate-timeout-ms",
        "commit",
        "config-revision",
        "contact-age-ms",
        "daemons-seen",
        "drains",
        "in-contact",
        "instances",
        "last",
        "leader",
        "leader-control",
        "leadership",
        "node",
        "primaries",
        "role",
        "shares",
        "term",
        "voters",
    ];
    assert_eq!(keys(&report), expected);
    let instance = &report["instances"][0];
    assert_eq!(keys(instance), ["address", "id", "role", "service", "silent-ms", "status", "zone"]);
    assert_eq!(
        (&report["role"], &instance["role"], &instance["status"]),
        (&"follower".into(), &"replica".into(), &"ready".into())
    );
    let leader = control_plane.leader();
    let report = control_plane.controller(leader).status(control_plane.now);
    assert_eq!((&report["role"], &report["leader"]), (&"leader".into(), &controller_ip(leader).to_string().into()));
}
