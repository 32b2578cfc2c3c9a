//! Controllers out of contact with a majority: what each call is answered, and what is told to those they feed.

use crate::control_plane::{Core, document, outside};
use lichenfield_engine::process::consensus::MessageBody;
use lichenfield_engine::process::dissemination::partial_view::PeerDescriptor;
use lichenfield_engine::process::peer_message::{Heartbeat, LeaseRequest, PeerMessage};
use std::time::Duration;

fn attach(core: &mut Core, n: usize, child: u8) {
    let descriptor =
        PeerDescriptor { name: format!("f{child}"), ip: outside(child), zone: "z".into(), control: None, age: 0 };
    core.say(outside(child), n, PeerMessage::Attach { descriptor });
}

/// What a child was last told by a controller.
fn last_pulse(core: &Core, n: usize, child: u8) -> Option<Heartbeat> {
    core.said.iter().rev().filter(|(from, to, _)| (*from, *to) == (n, outside(child))).find_map(|(.., message)| {
        match message {
            PeerMessage::Heartbeat(heartbeat) | PeerMessage::AttachAccepted { heartbeat } => Some(heartbeat.clone()),
            _ => None,
        }
    })
}

/// A core in which everybody knows a first version.
fn settled(controllers: usize) -> Core {
    let mut core = Core::new(controllers);
    let first = core.put(0, 0, &document(3, "a"));
    core.run(1000);
    assert_eq!(core.status(first), Some(200));
    core
}

/// Everything that a cut-off controller is asked, for as long as the cut lasts.
#[test]
fn a_controller_out_of_contact_answers_no_call_from_what_it_has() {
    for cut_leader in [false, true] {
        let mut core = settled(3);
        let cut = if cut_leader { core.leader() } else { core.followers()[0] };
        core.cut(&[cut]);
        core.run(2000);
        let other = core.leader();
        let newer = core.put(other, 3, &document(5, "b"));
        let gone = core.call(other, "DELETE", "/api/instances/i-9", None, b"");
        core.run(300);
        assert_eq!((core.status(newer), core.status(gone)), (Some(200), Some(200)));
        for second in 0..18 {
            let calls = [
                core.beat(cut, "i-1", "ready", second + 1),
                core.beat(cut, "i-2", "draining", second + 1),
                core.call(cut, "DELETE", "/api/instances/i-3", None, b""),
                core.call(cut, "GET", "/api/config", None, b""),
                core.call(cut, "GET", "/api/history", None, b""),
                core.put(cut, 3, &document(7, "c")),
                core.put(cut, 3, &document(5, "b")),
            ];
            core.run(100);
            let told: Vec<_> = calls.iter().map(|t| core.status(*t)).collect();
            assert_eq!(told, [Some(503); 7], "second {second}, the leader cut: {cut_leader}");
            let status = core.call(cut, "GET", "/api/status", None, b"");
            let told: serde_json::Value = serde_json::from_slice(&core.replies[&status].1.body).expect("JSON");
            assert_eq!(told["in-contact"], false);
            assert!(told["contact-age-ms"].as_u64() >= Some(2000 + second * 1000), "{told}");
            core.run(900);
        }
        let known = core.controller(cut).status(core.now);
        assert_eq!(known["instances"].as_array().map(Vec::len), Some(2), "what was heard is noted all the same");
        core.heal();
        core.run(1000);
        let calls = [
            core.beat(cut, "i-1", "ready", 50),
            core.beat(cut, "i-2", "draining", 50),
            core.call(cut, "DELETE", "/api/instances/i-3", None, b""),
            core.put(cut, 3, &document(5, "b")),
        ];
        core.run(300);
        assert!(calls.iter().all(|t| core.status(*t) == Some(200)));
        let lost = core.put(cut, 3, &document(7, "c"));
        core.run(300);
        assert_eq!(core.status(lost), Some(412), "and what is decided is told");
    }
}

/// An election is no loss of contact: nobody is sent elsewhere for it.
#[test]
fn beats_are_acknowledged_through_an_election() {
    let mut core = settled(3);
    let leader = core.leader();
    let others = core.followers();
    core.stop(leader);
    for count in 1..30 {
        let calls = [core.beat(others[0], "i-1", "ready", count), core.beat(others[1], "i-2", "ready", count)];
        assert_eq!(calls.map(|t| core.status(t)), [Some(200); 2], "beat {count}");
        core.run(50);
    }
}

/// No majority anywhere: what instances say is kept and exchanged, so that the next leader knows who lives.
#[test]
fn without_a_majority_beats_are_heard_and_passed_on() {
    let mut core = settled(5);
    for controller in 0..3 {
        core.stop(controller);
    }
    core.run(3000);
    let told = core.beat(3, "i-1", "ready", 1);
    core.run(1500);
    assert_eq!(core.status(told), Some(503));
    let known = core.controller(4).status(core.now);
    assert_eq!(known["instances"][0]["id"], "i-1", "the other one knows it too");
}

/// Children are told how old the news is, and new ones are sent to those who may know better.
#[test]
fn a_controller_out_of_contact_feeds_nobody_new_and_ages_for_its_children() {
    let mut core = settled(3);
    let cut = core.followers()[0];
    attach(&mut core, cut, 1);
    core.run(600);
    let heartbeat = last_pulse(&core, cut, 1).expect("it is fed");
    assert!(heartbeat.leader_contact_age < Duration::from_millis(500), "{:?}", heartbeat.leader_contact_age);
    core.cut(&[cut]);
    for _ in 0..10 {
        core.run(500);
        core.say(outside(1), cut, PeerMessage::CompareVersions { ranges: Vec::new(), versions: Vec::new() });
    }
    let heartbeat = last_pulse(&core, cut, 1).expect("it is fed on");
    assert!(
        heartbeat.leader_contact_age > Duration::from_millis(4200)
            && heartbeat.leader_contact_age < Duration::from_millis(5500),
        "{:?}",
        heartbeat.leader_contact_age
    );
    attach(&mut core, cut, 2);
    assert!(last_pulse(&core, cut, 2).is_none(), "a new child is not welcomed");
    let to_child = |core: &Core| -> Vec<PeerMessage> {
        core.said.iter().filter(|(_, to, _)| *to == outside(2)).map(|(.., message)| message.clone()).collect()
    };
    let sent = to_child(&core);
    let Some(PeerMessage::AttachRejected { alternatives }) = sent.last() else { panic!("it is sent on: {sent:?}") };
    assert_eq!(alternatives.len(), 2, "to the other controllers");
    attach(&mut core, cut, 2);
    assert_eq!(to_child(&core).len(), sent.len(), "who asks again at once hears nothing: it would ask without end");
    core.heal();
    core.run(700);
    attach(&mut core, cut, 2);
    let heartbeat = last_pulse(&core, cut, 2).expect("welcome again");
    assert!(heartbeat.leader_contact_age < Duration::from_millis(500), "{:?}", heartbeat.leader_contact_age);
}

/// Frozen with an answer of the leader's on its way: whatever it hears first when it wakes, nothing is answered
/// as of before, and nobody is sent to who led then.
#[test]
fn a_thawed_controller_answers_nothing_from_before_its_freeze() {
    for (leads, old_messages, seconds) in [
        (false, false, 20),
        (false, true, 20),
        (true, false, 20),
        (true, true, 20),
        (false, false, 3),
        (false, true, 3),
    ] {
        let what = format!("leads: {leads}, old messages first: {old_messages}, {seconds} s");
        let mut core = settled(3);
        let cold = if leads { core.leader() } else { core.followers()[0] };
        attach(&mut core, cold, 1);
        core.run(600);
        for _ in 0..1000 {
            if leads
                || core.flies(
                    cold,
                    |message| matches!(message, PeerMessage::Raft(m) if matches!(m.body, MessageBody::AppendEntries { .. })),
                )
            {
                break;
            }
            core.run(1);
        }
        core.say(outside(1), cold, PeerMessage::CompareVersions { ranges: Vec::new(), versions: Vec::new() });
        let frozen = core.now;
        core.freeze(cold);
        if !leads {
            let leader = core.leader();
            core.stop(leader);
            core.run(1000);
            core.restart(leader);
        }
        core.run(1500);
        let other = (0..3).find(|n| *n != cold && *n == core.leader()).unwrap_or((cold + 1) % 3);
        let newer = core.put(other, 3, &document(5, "b"));
        core.run(300);
        assert_eq!(core.status(newer), Some(200));
        core.run((seconds * 1000_u64).saturating_sub(core.now.duration_since(frozen).as_millis() as u64));
        let unread = core.thaw(cold);
        assert!(!unread.is_empty(), "the kernel has kept some of what came");
        core.said.clear();
        if old_messages {
            core.read(cold, unread);
        }
        let beat = core.beat(cold, "i-1", "ready", 1);
        let reads =
            [core.call(cold, "GET", "/api/config", None, b""), core.call(cold, "GET", "/api/history", None, b"")];
        assert_eq!(core.status(beat), Some(503), "{what}");
        if !leads {
            assert_eq!(reads.map(|t| core.status(t)), [Some(503); 2], "{what}");
        }
        core.say(outside(3), cold, PeerMessage::LeaseRequest(LeaseRequest::default()));
        let led = core
            .said
            .iter()
            .any(|(.., message)| matches!(message, PeerMessage::LeaderRedirect { .. } | PeerMessage::LeaseGrant(_)));
        assert!(!led, "{what}: {:?}", core.said);
        attach(&mut core, cold, 2);
        core.tick(cold);
        let old = Duration::from_millis(seconds * 1000 - 50);
        match last_pulse(&core, cold, 1) {
            Some(heartbeat) => assert!(
                heartbeat.leader_contact_age > old,
                "{what}: a child is told {:?}",
                heartbeat.leader_contact_age
            ),
            None => assert!(seconds == 20, "{what}: a child that was heard lately is told something"),
        }
        assert!(last_pulse(&core, cold, 2).is_none(), "{what}: a new child is welcomed");
        core.run(1000);
        for read in reads {
            let told = &core.replies[&read].1;
            let newest = String::from_utf8_lossy(&told.body).contains("\"revision\":5");
            assert!(newest || matches!(told.status, 307 | 503), "{what}: {told:?}");
        }
        let beat = core.beat(cold, "i-1", "ready", 2);
        assert_eq!(core.status(beat), Some(200), "{what}: awake and in contact again");
    }
}

/// Restarted among controllers that are all cut off: there is nobody to learn from, and nothing is told.
#[test]
fn a_restarted_controller_tells_nothing_until_it_knows_the_newest() {
    let mut core = settled(5);
    let (leader, followers) = (core.leader(), core.followers());
    let cut = [followers[0], followers[1]];
    core.cut(&cut);
    core.run(2000);
    let newer = core.put(leader, 3, &document(5, "b"));
    core.run(300);
    assert_eq!(core.status(newer), Some(200));
    core.restart(cut[0]);
    core.run(3000);
    attach(&mut core, cut[0], 1);
    let calls =
        [core.call(cut[0], "GET", "/api/config", None, b""), core.call(cut[0], "GET", "/api/history", None, b"")];
    core.run(1000);
    assert_eq!(calls.map(|t| core.status(t)), [Some(503); 2]);
    assert!(last_pulse(&core, cut[0], 1).is_none());
    core.heal();
    core.run(1000);
    attach(&mut core, cut[0], 1);
    assert_eq!(core.controller(cut[0]).control_state().revision(), 5);
    assert!(last_pulse(&core, cut[0], 1).is_some_and(|p| p.leader_contact_age < Duration::from_millis(500)));
}

/// A leader with voters enough to stay one and too few to hold a change on more disks than may be lost.
#[test]
fn a_read_that_no_leader_can_confirm_is_answered_within_a_second() {
    let mut core = settled(2);
    let leader = core.leader();
    let other = core.followers()[0];
    core.freeze(other);
    core.run(100);
    let read = core.call(leader, "GET", "/api/config", None, b"");
    core.run(1000);
    assert_eq!(core.status(read), Some(503));
}

/// History is read like the configuration: from the leader, once it is confirmed.
#[test]
fn the_history_is_as_new_as_the_configuration() {
    let mut core = settled(3);
    let (leader, follower) = (core.leader(), core.followers()[0]);
    let sent_on = core.call(follower, "GET", "/api/history", None, b"");
    let told = core.replies[&sent_on].1.clone();
    let there = format!("http://{}:80/api/history", crate::control_plane::ip(leader));
    assert_eq!((told.status, told.location), (307, Some(there)));
    let here = core.call(leader, "GET", "/api/history", None, b"");
    assert_eq!(core.status(here), None, "not before a majority has confirmed it");
    core.run(50);
    assert_eq!(core.status(here), Some(200));
    assert!(String::from_utf8_lossy(&core.replies[&here].1.body).contains("\"revision\":3"));
}

/// The log comes to it seconds late, and steadily: it hears the leader all the time, and is behind.
#[test]
fn a_controller_behind_the_log_is_out_of_contact() {
    let mut core = settled(3);
    let (leader, late) = (core.leader(), core.followers()[0]);
    core.late = Some((late, Duration::from_millis(2500)));
    core.run(4000);
    let beat = core.beat(late, "i-1", "ready", 1);
    assert_eq!(core.status(beat), Some(503), "it can't know whether something has changed");
    let newer = core.put(leader, 3, &document(5, "b"));
    core.run(1800);
    assert_eq!((core.status(newer), core.controller(late).control_state().revision()), (Some(200), 3));
    let beat = core.beat(late, "i-1", "ready", 2);
    assert_eq!(core.status(beat), Some(503), "it lacks what was acknowledged");
    attach(&mut core, late, 1);
    assert!(last_pulse(&core, late, 1).is_none());
    core.late = None;
    core.run(4000);
    let beat = core.beat(late, "i-1", "ready", 3);
    assert_eq!((core.status(beat), core.controller(late).control_state().revision()), (Some(200), 5));
}

/// The log comes half a second late: what is known here is that old, and no more is claimed.
#[test]
fn a_controller_a_little_behind_the_log_says_how_much() {
    let mut core = settled(3);
    let late = core.followers()[0];
    core.late = Some((late, Duration::from_millis(500)));
    core.run(3000);
    let beat = core.beat(late, "i-1", "ready", 1);
    assert_eq!(core.status(beat), Some(200));
    let as_of = core.controller(late).raft().last_quorum_contact().expect("in contact");
    let age = core.now.duration_since(as_of);
    assert!(age > Duration::from_millis(500) && age < Duration::from_millis(1200), "{age:?}");
}
