//! Controllers out of contact with a majority: what each call is answered, and what is sent to children in the tree.

use crate::control_plane::{ControlPlane, SentMessage, controller_ip, document, pooler_ip};
use lichenfield_engine::process::consensus::MessageBody;
use lichenfield_engine::process::dissemination::partial_view::PeerDescriptor;
use lichenfield_engine::process::peer_message::{Heartbeat, LeaseRequest, PeerMessage};
use std::net::Ipv4Addr;
use std::time::Duration;

fn attach(control_plane: &mut ControlPlane, n: usize, child: u8) {
    let descriptor =
        PeerDescriptor { name: format!("f{child}"), ip: pooler_ip(child), zone: "z".into(), control: None, age: 0 };
    control_plane.deliver(pooler_ip(child), n, PeerMessage::Attach { descriptor });
}

/// A message that keeps a child attached.
fn send_from_child(control_plane: &mut ControlPlane, n: usize, child: u8) {
    let message = PeerMessage::CompareVersions { ranges: Vec::new(), versions: Vec::new() };
    control_plane.deliver(pooler_ip(child), n, message);
}

/// The last heartbeat that a controller sent to a child.
fn last_heartbeat(control_plane: &ControlPlane, n: usize, child: u8) -> Option<Heartbeat> {
    let to_child = |sent: &&SentMessage| (sent.from, sent.to) == (n, pooler_ip(child));
    control_plane.sent_outside.iter().rev().filter(to_child).find_map(|sent| match &sent.message {
        PeerMessage::Heartbeat(heartbeat) | PeerMessage::AttachAccepted { heartbeat } => Some(heartbeat.clone()),
        _ => None,
    })
}

/// A control plane in which every controller knows a first version.
fn settled(controllers: usize) -> ControlPlane {
    let mut control_plane = ControlPlane::new(controllers);
    let first = control_plane.put_config(0, 0, &document(3, "a"));
    control_plane.run(1000);
    assert_eq!(control_plane.status(first), Some(200));
    control_plane
}

/// All calls at an isolated controller, for as long as it is isolated.
#[test]
fn a_controller_out_of_contact_answers_no_call_from_its_state() {
    for isolate_leader in [false, true] {
        let mut control_plane = settled(3);
        let isolated = if isolate_leader { control_plane.leader() } else { control_plane.followers()[0] };
        control_plane.isolate(&[isolated]);
        control_plane.run(2000);
        let other = control_plane.leader();
        let newer = control_plane.put_config(other, 3, &document(5, "b"));
        let gone = control_plane.delete(other, "/api/instances/i-9");
        control_plane.run(300);
        assert_eq!((control_plane.status(newer), control_plane.status(gone)), (Some(200), Some(200)));
        for second in 0..18 {
            let calls = [
                control_plane.heartbeat(isolated, "i-1", "ready", second + 1),
                control_plane.heartbeat(isolated, "i-2", "draining", second + 1),
                control_plane.delete(isolated, "/api/instances/i-3"),
                control_plane.get(isolated, "/api/config"),
                control_plane.get(isolated, "/api/history"),
                control_plane.put_config(isolated, 3, &document(7, "c")),
                control_plane.put_config(isolated, 3, &document(5, "b")),
            ];
            control_plane.run(100);
            let statuses: Vec<_> = calls.iter().map(|t| control_plane.status(*t)).collect();
            assert_eq!(statuses, [Some(503); 7], "second {second}, the leader isolated: {isolate_leader}");
            let status = control_plane.get(isolated, "/api/status");
            let report: serde_json::Value =
                serde_json::from_slice(&control_plane.replies[&status].response.body).expect("JSON");
            assert_eq!(report["in-contact"], false);
            assert!(report["contact-age-ms"].as_u64() >= Some(2000 + second * 1000), "{report}");
            control_plane.run(900);
        }
        let known = control_plane.controller(isolated).status(control_plane.now);
        assert_eq!(known["instances"].as_array().map(Vec::len), Some(2), "heartbeats are recorded all the same");
        control_plane.heal();
        control_plane.run(1000);
        let calls = [
            control_plane.heartbeat(isolated, "i-1", "ready", 50),
            control_plane.heartbeat(isolated, "i-2", "draining", 50),
            control_plane.delete(isolated, "/api/instances/i-3"),
            control_plane.put_config(isolated, 3, &document(5, "b")),
        ];
        control_plane.run(300);
        assert!(calls.iter().all(|t| control_plane.status(*t) == Some(200)));
        let lost = control_plane.put_config(isolated, 3, &document(7, "c"));
        control_plane.run(300);
        assert_eq!(control_plane.status(lost), Some(412), "and what is decided is answered");
    }
}

/// An election is no loss of contact: heartbeats are still acknowledged.
#[test]
fn heartbeats_are_acknowledged_during_an_election() {
    let mut control_plane = settled(3);
    let leader = control_plane.leader();
    let others = control_plane.followers();
    control_plane.stop(leader);
    for count in 1..30 {
        let calls = [
            control_plane.heartbeat(others[0], "i-1", "ready", count),
            control_plane.heartbeat(others[1], "i-2", "ready", count),
        ];
        assert_eq!(calls.map(|t| control_plane.status(t)), [Some(200); 2], "heartbeat {count}");
        control_plane.run(50);
    }
}

/// Without a majority heartbeats are recorded and exchanged, so that the next leader knows which instances live.
#[test]
fn without_a_majority_heartbeats_are_recorded_and_exchanged() {
    let mut control_plane = settled(5);
    for controller in 0..3 {
        control_plane.stop(controller);
    }
    control_plane.run(3000);
    let refused = control_plane.heartbeat(3, "i-1", "ready", 1);
    control_plane.run(1500);
    assert_eq!(control_plane.status(refused), Some(503));
    let known = control_plane.controller(4).status(control_plane.now);
    assert_eq!(known["instances"][0]["id"], "i-1", "the other one knows it too");
}

/// Children learn how old the state is, and new ones are redirected to the other controllers.
#[test]
fn a_controller_out_of_contact_rejects_new_children_and_reports_its_age_to_old_ones() {
    let mut control_plane = settled(3);
    let isolated = control_plane.followers()[0];
    attach(&mut control_plane, isolated, 1);
    control_plane.run(600);
    let heartbeat = last_heartbeat(&control_plane, isolated, 1).expect("it is attached");
    assert!(heartbeat.leader_contact_age < Duration::from_millis(500), "{:?}", heartbeat.leader_contact_age);
    control_plane.isolate(&[isolated]);
    for _ in 0..10 {
        control_plane.run(500);
        send_from_child(&mut control_plane, isolated, 1);
    }
    let heartbeat = last_heartbeat(&control_plane, isolated, 1).expect("it stays attached");
    assert!(
        heartbeat.leader_contact_age > Duration::from_millis(4200)
            && heartbeat.leader_contact_age < Duration::from_millis(5500),
        "{:?}",
        heartbeat.leader_contact_age
    );
    attach(&mut control_plane, isolated, 2);
    assert!(last_heartbeat(&control_plane, isolated, 2).is_none(), "a new child is not accepted");
    let to_child = |control_plane: &ControlPlane| -> Vec<PeerMessage> {
        let to_child = control_plane.sent_outside.iter().filter(|sent| sent.to == pooler_ip(2));
        to_child.map(|sent| sent.message.clone()).collect()
    };
    let sent = to_child(&control_plane);
    let Some(PeerMessage::AttachRejected { alternatives }) = sent.last() else { panic!("it is redirected: {sent:?}") };
    assert_eq!(alternatives.len(), 2, "to the other controllers");
    attach(&mut control_plane, isolated, 2);
    assert_eq!(
        to_child(&control_plane).len(),
        sent.len(),
        "a child that asks again at once gets no answer: it would ask without end"
    );
    control_plane.heal();
    control_plane.run(700);
    attach(&mut control_plane, isolated, 2);
    let heartbeat = last_heartbeat(&control_plane, isolated, 2).expect("accepted again");
    assert!(heartbeat.leader_contact_age < Duration::from_millis(500), "{:?}", heartbeat.leader_contact_age);
}

/// A freeze of a controller.
#[derive(Debug, Clone, Copy)]
struct Freeze {
    /// The leader freezes; else a follower, with a message of the leader on its way.
    of_leader: bool,
    /// After the thaw it first reads what came during the freeze.
    reads_old_messages: bool,
    seconds: u64,
}

/// Freezes a controller; meanwhile the others elect a leader and accept another version. Gives the controller, and what
/// came during the freeze.
fn freeze_and_thaw(control_plane: &mut ControlPlane, freeze: Freeze) -> (usize, Vec<(Ipv4Addr, PeerMessage)>) {
    let frozen = if freeze.of_leader { control_plane.leader() } else { control_plane.followers()[0] };
    attach(control_plane, frozen, 1);
    control_plane.run(600);
    if !freeze.of_leader {
        run_until_append_entries_is_in_flight(control_plane, frozen);
    }
    send_from_child(control_plane, frozen, 1);
    let frozen_at = control_plane.now;
    control_plane.freeze(frozen);
    if !freeze.of_leader {
        let leader = control_plane.leader();
        control_plane.stop(leader);
        control_plane.run(1000);
        control_plane.restart(leader);
    }
    control_plane.run(1500);
    let other = (0..3).find(|n| *n != frozen && *n == control_plane.leader()).unwrap_or((frozen + 1) % 3);
    let newer = control_plane.put_config(other, 3, &document(5, "b"));
    control_plane.run(300);
    assert_eq!(control_plane.status(newer), Some(200));
    let elapsed = control_plane.now.duration_since(frozen_at).as_millis() as u64;
    control_plane.run((freeze.seconds * 1000).saturating_sub(elapsed));
    let unread = control_plane.thaw(frozen);
    assert!(!unread.is_empty(), "the kernel has kept some of what came");
    (frozen, unread)
}

fn run_until_append_entries_is_in_flight(control_plane: &mut ControlPlane, to: usize) {
    let is_append_entries = |message: &PeerMessage| match message {
        PeerMessage::Raft(message) => matches!(message.body, MessageBody::AppendEntries { .. }),
        _ => false,
    };
    for _ in 0..1000 {
        if control_plane.is_in_flight(to, is_append_entries) {
            return;
        }
        control_plane.run(1);
    }
}

/// Whatever a controller reads first when it thaws, nothing is answered from the state before its freeze, and no pooler
/// is redirected to the leader of that time.
#[test]
fn a_thawed_controller_answers_nothing_from_before_its_freeze() {
    for freeze in [
        Freeze { of_leader: false, reads_old_messages: false, seconds: 20 },
        Freeze { of_leader: false, reads_old_messages: true, seconds: 20 },
        Freeze { of_leader: true, reads_old_messages: false, seconds: 20 },
        Freeze { of_leader: true, reads_old_messages: true, seconds: 20 },
        Freeze { of_leader: false, reads_old_messages: false, seconds: 3 },
        Freeze { of_leader: false, reads_old_messages: true, seconds: 3 },
    ] {
        let mut control_plane = settled(3);
        let (thawed, unread) = freeze_and_thaw(&mut control_plane, freeze);
        control_plane.sent_outside.clear();
        if freeze.reads_old_messages {
            control_plane.read(thawed, unread);
        }
        let heartbeat = control_plane.heartbeat(thawed, "i-1", "ready", 1);
        let reads = [control_plane.get(thawed, "/api/config"), control_plane.get(thawed, "/api/history")];
        assert_eq!(control_plane.status(heartbeat), Some(503), "{freeze:?}");
        if !freeze.of_leader {
            assert_eq!(reads.map(|read| control_plane.status(read)), [Some(503); 2], "{freeze:?}");
        }
        control_plane.deliver(pooler_ip(3), thawed, PeerMessage::LeaseRequest(LeaseRequest::default()));
        let led = control_plane
            .sent_outside
            .iter()
            .any(|sent| matches!(sent.message, PeerMessage::LeaderRedirect { .. } | PeerMessage::LeaseGrant(_)));
        assert!(!led, "{freeze:?}: {:?}", control_plane.sent_outside);
        attach(&mut control_plane, thawed, 2);
        control_plane.tick(thawed);
        let min_age = Duration::from_millis(freeze.seconds * 1000 - 50);
        match last_heartbeat(&control_plane, thawed, 1) {
            Some(heartbeat) => {
                let age = heartbeat.leader_contact_age;
                assert!(age > min_age, "{freeze:?}: a child receives {age:?}");
            }
            None => assert!(freeze.seconds == 20, "{freeze:?}: a child still attached receives a heartbeat"),
        }
        assert!(last_heartbeat(&control_plane, thawed, 2).is_none(), "{freeze:?}: a new child is accepted");
        control_plane.run(1000);
        for read in reads {
            let response = &control_plane.replies[&read].response;
            let newest = String::from_utf8_lossy(&response.body).contains("\"revision\":5");
            assert!(newest || matches!(response.status, 307 | 503), "{freeze:?}: {response:?}");
        }
        let heartbeat = control_plane.heartbeat(thawed, "i-1", "ready", 2);
        assert_eq!(control_plane.status(heartbeat), Some(200), "{freeze:?}: awake and in contact again");
    }
}

/// Restarted among controllers that are all isolated: none has the newest state, and nothing is answered.
#[test]
fn a_restarted_controller_answers_nothing_until_it_has_the_newest_state() {
    let mut control_plane = settled(5);
    let (leader, followers) = (control_plane.leader(), control_plane.followers());
    let isolated = [followers[0], followers[1]];
    control_plane.isolate(&isolated);
    control_plane.run(2000);
    let newer = control_plane.put_config(leader, 3, &document(5, "b"));
    control_plane.run(300);
    assert_eq!(control_plane.status(newer), Some(200));
    control_plane.restart(isolated[0]);
    control_plane.run(3000);
    attach(&mut control_plane, isolated[0], 1);
    let calls = [control_plane.get(isolated[0], "/api/config"), control_plane.get(isolated[0], "/api/history")];
    control_plane.run(1000);
    assert_eq!(calls.map(|t| control_plane.status(t)), [Some(503); 2]);
    assert!(last_heartbeat(&control_plane, isolated[0], 1).is_none());
    control_plane.heal();
    control_plane.run(1000);
    attach(&mut control_plane, isolated[0], 1);
    assert_eq!(control_plane.controller(isolated[0]).control_state().revision(), 5);
    assert!(
        last_heartbeat(&control_plane, isolated[0], 1)
            .is_some_and(|p| p.leader_contact_age < Duration::from_millis(500))
    );
}

/// A leader with enough voters to stay the leader, and too few to commit on more disks than may be lost.
#[test]
fn a_read_that_no_leader_can_confirm_is_answered_within_a_second() {
    let mut control_plane = settled(2);
    let leader = control_plane.leader();
    let other = control_plane.followers()[0];
    control_plane.freeze(other);
    control_plane.run(100);
    let read = control_plane.get(leader, "/api/config");
    control_plane.run(1000);
    assert_eq!(control_plane.status(read), Some(503));
}

/// The history is read like the configuration: from the leader, once it is confirmed.
#[test]
fn the_history_is_read_as_linearizably_as_the_configuration() {
    let mut control_plane = settled(3);
    let (leader, follower) = (control_plane.leader(), control_plane.followers()[0]);
    let redirected = control_plane.get(follower, "/api/history");
    let response = control_plane.replies[&redirected].response.clone();
    let location = format!("http://{}:80/api/history", controller_ip(leader));
    assert_eq!((response.status, response.location), (307, Some(location)));
    let pending = control_plane.get(leader, "/api/history");
    assert_eq!(control_plane.status(pending), None, "not before a majority has confirmed it");
    control_plane.run(50);
    assert_eq!(control_plane.status(pending), Some(200));
    assert!(String::from_utf8_lossy(&control_plane.replies[&pending].response.body).contains("\"revision\":3"));
}

/// The log comes seconds late, and steadily: it receives messages of the leader all the time, and is behind.
#[test]
fn a_controller_behind_the_log_is_out_of_contact() {
    let mut control_plane = settled(3);
    let (leader, late) = (control_plane.leader(), control_plane.followers()[0]);
    control_plane.raft_delay = Some((late, Duration::from_millis(2500)));
    control_plane.run(4000);
    let heartbeat = control_plane.heartbeat(late, "i-1", "ready", 1);
    assert_eq!(control_plane.status(heartbeat), Some(503), "it can't know whether something has changed");
    let newer = control_plane.put_config(leader, 3, &document(5, "b"));
    control_plane.run(1800);
    assert_eq!(
        (control_plane.status(newer), control_plane.controller(late).control_state().revision()),
        (Some(200), 3)
    );
    let heartbeat = control_plane.heartbeat(late, "i-1", "ready", 2);
    assert_eq!(control_plane.status(heartbeat), Some(503), "it lacks what was acknowledged");
    attach(&mut control_plane, late, 1);
    assert!(last_heartbeat(&control_plane, late, 1).is_none());
    control_plane.raft_delay = None;
    control_plane.run(4000);
    let heartbeat = control_plane.heartbeat(late, "i-1", "ready", 3);
    assert_eq!(
        (control_plane.status(heartbeat), control_plane.controller(late).control_state().revision()),
        (Some(200), 5)
    );
}

/// The log comes half a second late: the state is that old, and no newer contact is claimed.
#[test]
fn a_controller_slightly_behind_the_log_reports_its_age() {
    let mut control_plane = settled(3);
    let late = control_plane.followers()[0];
    control_plane.raft_delay = Some((late, Duration::from_millis(500)));
    control_plane.run(3000);
    let heartbeat = control_plane.heartbeat(late, "i-1", "ready", 1);
    assert_eq!(control_plane.status(heartbeat), Some(200));
    let as_of = control_plane.controller(late).raft().last_quorum_contact().expect("in contact");
    let age = control_plane.now.duration_since(as_of);
    assert!(age > Duration::from_millis(500) && age < Duration::from_millis(1200), "{age:?}");
}
