//! Concurrency limit, ejection and the choice of an idle connection.

use super::*;
use crate::connection::backend_connection::{BackendConnection, ConnectionState};

fn pool() -> InstancePool {
    let instance = Instance {
        id: "i".into(),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
        capacity: 5,
        draining: false,
        gone: false,
        primary: false,
        warmup_left_ms: 0,
    };
    let address = instance.address.parse().ok();
    InstancePool::new(instance, address)
}

fn idle_connection(connections: &mut ConnectionTable, now: Instant, tenant: &str) -> ConnectionId {
    let mut connection = BackendConnection::new(now, "i", "s", tenant);
    connection.state = ConnectionState::Idle;
    connections.insert(connection)
}

#[test]
fn concurrency_falls_at_most_once_an_interval_and_grows_with_answers() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit { limit: CONCURRENCY_LIMIT_MAX, decreased_at: None };
    assert!(limit.allows(1000), "nothing is limited at first");
    limit.decrease(start, 9);
    assert!(limit.allows(6) && !limit.allows(7));
    limit.decrease(start, 1);
    assert!(limit.allows(6), "the second decrease comes too soon");
    limit.decrease(start + CONCURRENCY_DECREASE_INTERVAL, 0);
    assert!(limit.allows(0) && !limit.allows(1), "one statement is always allowed");
    limit.increase();
    assert!(limit.allows(1));
}

#[test]
fn a_failed_instance_is_ejected_for_a_while() {
    let start = Instant::now();
    let connections = ConnectionTable::new();
    let mut pool = pool();
    pool.record_failure(start);
    assert!(pool.is_ejected(start) && pool.is_failing(start, &connections));
    assert!(!pool.is_ejected(start + EJECTION_TIME));
    pool.record_response(start);
    assert!(!pool.is_failing(start, &connections));
    pool.record_refusal(start, "FULL");
    assert!(pool.is_full(start) && !pool.is_full(start + EJECTION_TIME));
}

#[test]
fn an_idle_connection_with_the_session_variables_is_preferred() {
    let start = Instant::now();
    let mut connections = ConnectionTable::new();
    let mut pool = pool();
    let other_tenant = idle_connection(&mut connections, start, "u");
    let plain = idle_connection(&mut connections, start, "t");
    let aligned = idle_connection(&mut connections, start, "t");
    pool.connections = vec![other_tenant, plain, aligned];
    let variables = BTreeMap::from([("a".to_owned(), "1".to_owned())]);
    assert_eq!(pool.best_idle_connection(&connections, "t", &variables), Some(plain));
    connections.get_mut(aligned).expect("inserted above").variables = variables.clone();
    assert_eq!(pool.best_idle_connection(&connections, "t", &variables), Some(aligned));
    assert_eq!(pool.best_idle_connection(&connections, "v", &variables), None);
    assert_eq!(pool.idle_connection(&connections, "t"), Some(plain));
}
