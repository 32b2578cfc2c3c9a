//! Tests of the assignment of carriers and of the relay of a forwarded session.

use super::carrier_assignment::RESERVED_CONNECTIONS;
use super::*;
use crate::connection::draining::{DrainPhase, SessionState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Instant;

fn pooler_shares(n: u8) -> PoolerShares {
    (0..n)
        .map(|i| {
            let share = PoolerShare { ip: Ipv4Addr::new(10, 0, 0, i), zone: format!("z{}", i % 4) };
            (format!("edge-{i}"), share)
        })
        .collect()
}

fn assignment(own_name: &str, shares: &PoolerShares, services: &[(String, u32)]) -> CarrierAssignment {
    CarrierAssignment::new(own_name, shares, services.iter().map(|(name, cap)| (name.as_str(), *cap)))
}

fn services(n: usize, cap: u32) -> Vec<(String, u32)> {
    (0..n).map(|s| (format!("s{s}"), cap)).collect()
}

#[test]
fn scarce_connections_are_held_by_few_carriers_within_the_cap() {
    let small = assignment("edge-1", &pooler_shares(7), &services(1, 60));
    assert!(small.forwarding_targets("s0", "t").is_empty(), "enough for everybody");
    assert_eq!(small.holding("s0").map(|holding| holding.connection_limit), Some(8));
    let (all, services) = (pooler_shares(86), services(30, 59));
    let view = assignment("out", &all, &services);
    let mut loads: BTreeMap<String, usize> = BTreeMap::new();
    for (service, _) in &services {
        let carriers = &view.holding(service).expect("known").carriers;
        let zones: BTreeSet<_> = carriers.iter().map(|carrier| &carrier.share.zone).collect();
        assert_eq!((carriers.len(), zones.len()), (3, 3), "spread over zones");
        carriers.iter().for_each(|carrier| *loads.entry(carrier.name.clone()).or_default() += 1);
        let connections = |carrier: &Carrier| {
            let own_view = assignment(&carrier.name, &all, &services);
            own_view.holding(service).map_or(0, |holding| holding.connection_limit)
        };
        let total: usize = carriers.iter().map(connections).sum();
        assert!(total > 45 && total <= 59 - RESERVED_CONNECTIONS as usize, "{total} in all");
    }
    assert!(loads.values().all(|n| *n <= 2), "no pooler carries many: {loads:?}");
    // One more or fewer pooler changes little.
    let mut fewer = all.clone();
    fewer.remove("edge-40");
    let other = assignment("out", &fewer, &services);
    let same = services.iter().filter(|(s, _)| view.holding(s) == other.holding(s)).count();
    assert!(same >= 24, "{same} of 30 stay");
    let spread: BTreeSet<Ipv4Addr> = (0..40).map(|t| view.forwarding_targets("s0", &format!("t{t}"))[0]).collect();
    assert_eq!(spread.len(), 3, "tenants spread over the carriers");
}

#[test]
fn a_forwarded_session_relays_everything_but_control_lines() {
    let now = Instant::now();
    let mut session = ForwardedSession::new(3);
    let up = session.handle_client_bytes(now, b"QUERY a READ x\r\nQUE", 3);
    assert_eq!(up, b"QUERY a READ x\r\nQUE");
    assert_eq!(
        session.handle_client_bytes(now, b"RY b READ REV 9\r\n", 5),
        b"RY b READ REV 9\r\n",
        "not within a line"
    );
    assert_eq!(session.handle_client_bytes(now, b"QUERY c COMMIT\r\n", 5), b"REV 5\r\nQUERY c COMMIT\r\n");
    assert_eq!(session.session_state(), SessionState::Busy);
    let answer = b"REV 6\r\nROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long";
    let mut down = Vec::new();
    let mut seen = None;
    for byte in answer {
        let output = session.handle_carrier_bytes(&[*byte]);
        down.extend(output.to_client);
        seen = seen.max(output.served_revision);
    }
    assert_eq!(seen, Some(6));
    down.extend(session.handle_carrier_bytes(&[b'x'; 40]).to_client);
    down.extend(
        session.handle_carrier_bytes(b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n").to_client,
    );
    let expected = [
        &b"ROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long"[..],
        &[b'x'; 40],
        b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n",
    ]
    .concat();
    assert_eq!(down, expected);
    assert_eq!(session.session_state(), SessionState::InTransaction, "three answers came, and a transaction is open");
    let mut lost = session.clone();
    assert_eq!(lost.handle_carrier_loss(), "", "nothing is owed yet");
    assert!(!lost.may_close(now, DrainPhase::RollingBack, false), "its client is to be told when it goes on");
    assert!(lost.reject_requests(now, b"QUERY e COMMIT\r\n").ends_with("READY E -\r\n"), "its transaction failed");
    assert!(lost.may_close(now, DrainPhase::Serving, true));
    session.handle_client_bytes(now, b"QUERY d READ x\r\n", 6);
    assert!(session.clone().handle_carrier_loss().starts_with("ERROR UNSURE"), "it may have run");
    session.handle_carrier_bytes(b"ROW long, longer than any control line of the poolers");
    assert_eq!(session.clone().handle_carrier_loss(), "", "broken off within a line");
    session.handle_carrier_bytes(b"\r\nERROR MALFORMED the end\r\n");
    assert_eq!(session.handle_carrier_loss(), "", "the carrier's error is the final answer");
}

#[test]
fn a_close_request_of_the_carrier_takes_effect_when_the_session_is_idle() {
    let start = Instant::now();
    let mut session = ForwardedSession::new(3);
    session.handle_client_bytes(start, b"CONNECT db key\r\n", 3);
    session.handle_carrier_bytes(b"READY I -\r\n");
    session.handle_client_bytes(start, b"QUERY a SET x 1\r\n", 3);
    assert!(!session.handle_carrier_bytes(CLOSE_REQUEST_LINE.as_bytes()).may_close, "a question is on its way there");
    let output = session.handle_carrier_bytes(b"DONE -\r\nREADY I -\r\n");
    assert_eq!(output.to_client, b"DONE -\r\nREADY I -\r\n");
    assert!(!session.may_close(start, DrainPhase::Serving, true), "the operation is still to come");
    session.handle_client_bytes(start, b"QUERY b BEGIN\r\nQUERY c WRITE x y\r\nQUERY d COMMIT\r\n", 3);
    session.handle_carrier_bytes(b"DONE -\r\nREADY T -\r\nDONE 1.2\r\nREADY T 1.2\r\n");
    assert!(!session.may_close(start, DrainPhase::Serving, true));
    session.handle_carrier_bytes(b"DONE 1.3\r\nREADY I 1.3\r\n");
    assert!(session.may_close(start, DrainPhase::Serving, true), "the operation has ended");
    assert!(session.handle_carrier_bytes(CLOSE_REQUEST_LINE.as_bytes()).may_close, "nothing is asked");
}
