//! Sessions and carriers.

use super::timeouts::MOVE_INTERVAL;
use super::*;
use crate::process::dissemination::anti_entropy::{Update, UpdateValue};
use crate::process::forwarding;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Shares may come before the first configuration; the pooler does not wake until that comes.
#[test]
fn pooler_shares_without_a_configuration_leave_nothing_due() {
    let start = Instant::now();
    let mut pooler = Pooler::new(start, "edge-1", "z", TimingBounds::default(), 1);
    let part = forwarding::PoolerShare { ip: Ipv4Addr::LOCALHOST, zone: "z".into() };
    let value = UpdateValue::PoolerShare { name: "edge-1".into(), share: Some(part) };
    pooler.apply_updates(start, &[Update { key: "s/edge-1".into(), version: 1, value }]);
    let later = start + MOVE_INTERVAL * 2;
    pooler.tick(later, 1);
    assert!(pooler.next_due() > later);
}

/// A session that was accepted while no carrier could be reached is closed once its operation has ended.
#[test]
fn a_session_whose_service_others_carry_is_closed_after_its_operation() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pooler = Pooler::new(start, "edge-0", "z0", TimingBounds::default(), 1);
    let share = |n: u8| {
        let part = forwarding::PoolerShare { ip: Ipv4Addr::new(10, 0, 0, n), zone: format!("z{}", n % 3) };
        Update {
            key: format!("s/edge-{n}"),
            version: 1,
            value: UpdateValue::PoolerShare { name: format!("edge-{n}"), share: Some(part) },
        }
    };
    let names: Vec<String> = (0..12).map(|n| format!("s{n}")).collect();
    let route =
        |s: &String| format!(r#"{{"name":"{s}","hostname":"{s}","type":"primary","deadline-ms":800,"service":"{s}"}}"#);
    let routes: Vec<String> = names.iter().map(route).collect();
    let backends: Vec<String> = names.iter().map(|s| format!(r#"{{"name":"{s}","max-connections":20}}"#)).collect();
    let raw = format!(
        r#"{{"revision":2,"routes":[{}],"backends":[{}],"customers":[{{"name":"t","api-keys":["k"]}}]}}"#,
        routes.join(","),
        backends.join(",")
    );
    let config = Update { key: "c/".into(), version: 2, value: UpdateValue::Config(raw.into_bytes()) };
    pooler.apply_updates(start, &(0..12).map(share).chain([config]).collect::<Vec<_>>());
    let closes = |pooler: &mut Pooler| pooler.take_effects().iter().any(|e| matches!(e, Effect::CloseClientIfIdle(_)));
    for (session_id, service) in names.iter().enumerate() {
        let session_id = session_id as SessionId;
        let elsewhere = pooler.carriers.is_carried_elsewhere(service);
        pooler.accept_session(session_id);
        pooler.handle_client_bytes(start, session_id, format!("CONNECT {service} k\r\nQUERY a READ\r\n").as_bytes());
        pooler.handle_client_bytes(at(100), session_id, b"QUERY b COMMIT\r\n");
        assert!(!closes(&mut pooler), "it has only just come");
        pooler.handle_client_bytes(at(2100), session_id, b"QUERY c SET x 1\r\n");
        assert!(!closes(&mut pooler), "its operation is still to come");
        pooler.handle_client_bytes(at(2200), session_id, b"QUERY d COMMIT\r\n");
        assert_eq!(closes(&mut pooler), elsewhere, "{service}");
    }
    assert!(
        names.iter().any(|s| pooler.carriers.is_carried_elsewhere(s))
            && !names.iter().all(|s| pooler.carriers.is_carried_elsewhere(s))
    );
}
