//! Changes of the configuration by several operators, and changes that are sent again: the outcome of each copy.

use crate::control_plane::{ControlPlane, document};
use std::time::Duration;

/// A change whose answer was lost is acknowledged again, also when others were built on it since.
#[test]
fn a_change_sent_again_is_acknowledged_after_another_was_built_on_it() {
    let mut control_plane = ControlPlane::new(3);
    let at = control_plane.followers();
    let first = control_plane.put_config(at[0], 0, &document(3, "a"));
    control_plane.run(300);
    assert_eq!(control_plane.status(first), Some(200), "the answer that is lost on its way");
    let on_top = control_plane.put_config(at[1], 3, &document(8, "b"));
    control_plane.run(300);
    assert_eq!(control_plane.status(on_top), Some(200));
    for controller in 0..3 {
        let again = control_plane.put_config(controller, 0, &document(3, "a"));
        control_plane.run(300);
        assert_eq!(control_plane.status(again), Some(200), "sent again to q{controller}");
    }
    assert_eq!(control_plane.controller(0).control_state().revision(), 8);
}

/// An isolated leader keeps proposing a change; meanwhile the same change was accepted elsewhere.
#[test]
fn an_isolated_controller_proposes_a_change_that_was_accepted_elsewhere() {
    for on_top in [false, true] {
        let mut control_plane = ControlPlane::new(3);
        let old = control_plane.leader();
        control_plane.isolate(&[old]);
        let pending = control_plane.put_config(old, 0, &document(3, "a"));
        control_plane.run(1500);
        let other = control_plane.leader();
        assert_ne!(other, old);
        let again = control_plane.put_config(other, 0, &document(3, "a"));
        control_plane.run(200);
        assert_eq!(control_plane.status(again), Some(200));
        if on_top {
            let next = control_plane.put_config(other, 3, &document(5, "b"));
            control_plane.run(200);
            assert_eq!(control_plane.status(next), Some(200));
        }
        control_plane.heal();
        control_plane.run(3000);
        assert!(matches!(control_plane.status(pending), Some(200 | 503)), "{:?}", control_plane.status(pending));
        let control_state = control_plane.controller(old).control_state();
        assert_eq!(control_state.revision(), if on_top { 5 } else { 3 });
        assert_eq!(control_state.change_history.len(), 1 + usize::from(on_top), "accepted once");
    }
}

/// The same, but another version was accepted meanwhile: whoever is still answered gets a conflict, and the change is
/// not accepted.
#[test]
fn an_isolated_controller_proposes_a_change_that_conflicts() {
    let mut control_plane = ControlPlane::new(3);
    let old = control_plane.leader();
    control_plane.isolate(&[old]);
    let pending = control_plane.put_config(old, 0, &document(3, "a"));
    control_plane.run(1500);
    let other = control_plane.leader();
    let rival = control_plane.put_config(other, 0, &document(3, "b"));
    control_plane.run(200);
    let again = control_plane.put_config(other, 0, &document(3, "a"));
    control_plane.run(200);
    assert_eq!((control_plane.status(rival), control_plane.status(again)), (Some(200), Some(412)));
    control_plane.heal();
    control_plane.run(3000);
    assert!(matches!(control_plane.status(pending), Some(412 | 503)), "{:?}", control_plane.status(pending));
    for controller in 0..3 {
        let config = control_plane.controller(controller).control_state().config.as_ref().map(|c| c.raw.clone());
        assert_eq!(config, Some(document(3, "b")), "q{controller}");
    }
}

#[test]
fn two_operators_propose_one_revision_at_once() {
    for same in [false, true] {
        let mut control_plane = ControlPlane::new(3);
        let (one, two) = (document(4, "a"), document(4, if same { "a" } else { "b" }));
        let first = control_plane.put_config(0, 0, &one);
        let second = control_plane.put_config(1, 0, &two);
        control_plane.run(400);
        let mut statuses = [control_plane.status(first), control_plane.status(second)];
        statuses.sort();
        assert_eq!(statuses, if same { [Some(200), Some(200)] } else { [Some(200), Some(412)] });
        assert_eq!(control_plane.controller(2).control_state().change_history.len(), 1);
    }
}

/// A change that builds on one still under way is not refused: its base may be accepted at any moment, and then a copy
/// that an isolated controller proposes later would be accepted after its operator got a refusal.
#[test]
fn a_change_on_a_version_not_known_yet_waits_for_it() {
    let mut control_plane = ControlPlane::new(3);
    let at = control_plane.followers();
    let second = control_plane.put_config(at[0], 3, &document(5, "b"));
    control_plane.run(300);
    assert_eq!(control_plane.status(second), None, "its base is not known yet");
    let first = control_plane.put_config(at[1], 0, &document(3, "a"));
    control_plane.run(300);
    assert_eq!((control_plane.status(first), control_plane.status(second)), (Some(200), Some(200)));
    let waited = control_plane.replies[&second].at.saturating_duration_since(control_plane.replies[&first].at);
    assert!(waited < Duration::from_millis(100), "accepted {waited:?} after the one it waited for");
    let below = control_plane.put_config(at[0], 1000, &document(1000, "c"));
    assert_eq!(control_plane.status(below), Some(400), "whatever becomes of version 1000");
    let never = control_plane.put_config(at[0], 1000, &document(1001, "c"));
    control_plane.run(3000);
    assert_eq!(control_plane.status(never), None);
    control_plane.run(1500);
    assert_eq!(control_plane.status(never), Some(503), "a bounded wait");
    let last = control_plane.controller(control_plane.leader()).raft().last_index();
    assert!(last < 20, "a waiting change is not appended to the log: {last} entries");
}

/// What must not happen: refused at one controller, accepted from another.
#[test]
fn no_copy_of_a_refused_change_is_accepted() {
    let mut control_plane = ControlPlane::new(3);
    let followers = control_plane.followers();
    control_plane.isolate(&[followers[0]]);
    control_plane.run(20);
    let copy = control_plane.put_config(followers[0], 3, &document(5, "b"));
    let again = control_plane.put_config(followers[1], 3, &document(5, "b"));
    control_plane.run(1200);
    let first = control_plane.put_config(followers[1], 0, &document(3, "a"));
    control_plane.run(300);
    control_plane.heal();
    control_plane.run(5000);
    assert_eq!(control_plane.status(first), Some(200));
    let refused = [copy, again].iter().any(|t| control_plane.status(*t).is_some_and(|s| (400..500).contains(&s)));
    assert!(!refused || control_plane.controller(0).control_state().revision() == 3, "refused, and accepted");
}

/// Accepted changes are known from snapshots too, after hundreds of changes and a restart of all controllers.
#[test]
fn a_change_is_acknowledged_again_after_hundreds_of_changes_and_a_restart() {
    let mut control_plane = ControlPlane::new(3);
    for n in 0..450 {
        let leader = control_plane.leader();
        control_plane.put_config(leader, n, &document(n + 1, "a"));
        control_plane.run(20);
    }
    for controller in 0..3 {
        control_plane.stop(controller);
    }
    for controller in 0..3 {
        control_plane.restart(controller);
    }
    control_plane.run(2000);
    assert_eq!(control_plane.controller(0).control_state().revision(), 450);
    let again: Vec<_> =
        [0, 7, 300].map(|n| control_plane.put_config((n % 3) as usize, n, &document(n + 1, "a"))).into();
    control_plane.run(300);
    assert!(
        again.iter().all(|t| control_plane.status(*t) == Some(200)),
        "{:?}",
        again.iter().map(|t| control_plane.status(*t))
    );
}

/// A leader that freezes with a pending change, and thaws when the outcome is decided.
#[test]
fn a_frozen_leader_thaws_with_a_pending_change() {
    for lost in [false, true] {
        let mut control_plane = ControlPlane::new(3);
        let old = control_plane.leader();
        let pending = control_plane.put_config(old, 0, &document(3, "a"));
        control_plane.freeze(old);
        control_plane.run(1500);
        let other = control_plane.leader();
        let accepted_already = control_plane.controller(other).control_state().revision() == 3;
        if lost && !accepted_already {
            control_plane.put_config(other, 0, &document(3, "b"));
            control_plane.run(200);
        }
        let again = control_plane.put_config(other, 0, &document(3, "a"));
        control_plane.run(300);
        let unread = control_plane.thaw(old);
        control_plane.tick(old);
        control_plane.read(old, unread);
        control_plane.run(5000);
        let accepted = control_plane.controller(other).control_state().config.as_ref().map(|c| c.raw.clone())
            == Some(document(3, "a"));
        for copy in [pending, again] {
            let right: &[u16] = if accepted { &[200, 503] } else { &[412, 503] };
            assert!(
                control_plane.status(copy).is_some_and(|s| right.contains(&s)),
                "{:?}, accepted {accepted}",
                control_plane.status(copy)
            );
        }
    }
}

/// An `If-Match` that is no version number is refused at once by every controller.
#[test]
fn if_match_must_be_one_version_number() {
    let mut control_plane = ControlPlane::new(3);
    let follower = control_plane.followers()[0];
    for bad in
        [None, Some(""), Some("-1"), Some("+0"), Some("0, 0"), Some("0x0"), Some("\"0"), Some("W/\"0\""), Some("*")]
    {
        let refused = control_plane.put_config_if_match(follower, bad, &document(3, "a"));
        assert_eq!(control_plane.status(refused), Some(400), "{bad:?}");
    }
    for over in ["18446744073709551616", "99999999999999999999999999", "18446744073709551615", "9007199254740992"] {
        let refused = control_plane.put_config_if_match(follower, Some(over), &document(3, "a"));
        assert_eq!(control_plane.status(refused), Some(400), "{over}");
    }
    let quoted = control_plane.put_config_if_match(follower, Some("\"0\""), &document(3, "a"));
    control_plane.run(300);
    assert_eq!(control_plane.status(quoted), Some(200));
}

/// A leader that shuts down commits what it accepted, hands its lead on, and accepts nothing more; a follower's proposal
/// that was on its way to it is sent to the new leader at once.
#[test]
fn a_leader_that_shuts_down_leaves_no_proposal_behind() {
    let mut control_plane = ControlPlane::new(3);
    let (old, follower) = (control_plane.leader(), control_plane.followers()[0]);
    let accepted = control_plane.put_config(old, 0, &document(3, "a"));
    control_plane.begin_shutdown(old);
    let late = control_plane.put_config(old, 3, &document(5, "b"));
    assert_eq!(control_plane.status(late), Some(503));
    // Not a change on a version that is not known yet: that waits for the version, whoever leads.
    let on_its_way = control_plane.heartbeat(follower, "i-1", "draining", 1);
    control_plane.run(60);
    assert_ne!(control_plane.leader(), old, "another leads within 60 ms");
    control_plane.run(60);
    assert_eq!([accepted, on_its_way].map(|t| control_plane.status(t)), [Some(200); 2]);
    assert!(control_plane.controller(old).may_exit() || control_plane.controller(old).raft().is_voter());
    control_plane.run(1000);
    assert!(control_plane.controller(old).may_exit());
}
