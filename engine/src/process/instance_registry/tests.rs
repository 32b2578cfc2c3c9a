//! Versions and liveness of instances that restart.

use super::*;

#[test]
fn late_heartbeats_are_ignored_and_a_restarted_count_is_recognised_after_silence() {
    let mut registry = InstanceRegistry::default();
    let t = Instant::now();
    let heartbeat = |count, status: &str| InstanceHeartbeat {
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
        capacity: 5,
        status: status.into(),
        warmup_left_ms: 0,
        read_from: "replica".into(),
        call_count: count,
    };
    assert!(registry.record_heartbeat(t, "i", &heartbeat(4, "ready")).is_some());
    assert!(registry.record_heartbeat(t, "i", &heartbeat(6, "draining")).is_some());
    assert!(registry.record_heartbeat(t, "i", &heartbeat(5, "ready")).is_none());
    assert!(registry.get("i").is_some_and(|i| i.draining), "the late heartbeat is ignored");
    let later = t + RESTARTED_AFTER_SILENCE + Duration::from_millis(1);
    let update = registry.record_heartbeat(later, "i", &heartbeat(1, "ready")).expect("a restarted count");
    assert!(update.version > 6, "the versions of the new incarnation are above those of the old one");
    assert!(registry.mark_gone(later, "i").is_some_and(|f| f.version > update.version));
}
