//! Two operators, one number, and orders that are sent again: what becomes of each copy.

use crate::control_plane::{Core, document};
use std::time::Duration;

/// An order whose answer was lost is acknowledged again, also when others were built on it since.
#[test]
fn a_lost_answer_and_another_change_on_top() {
    let mut core = Core::new(3);
    let at = core.followers();
    let first = core.put(at[0], 0, &document(3, "a"));
    core.run(300);
    assert_eq!(core.status(first), Some(200), "the answer that is lost on its way");
    let on_top = core.put(at[1], 3, &document(8, "b"));
    core.run(300);
    assert_eq!(core.status(on_top), Some(200));
    for controller in 0..3 {
        let again = core.put(controller, 0, &document(3, "a"));
        core.run(300);
        assert_eq!(core.status(again), Some(200), "sent again to q{controller}");
    }
    assert_eq!(core.controller(0).control_state().revision(), 8);
}

/// A leader that was cut off goes on pushing the order that it took until it is heard: the same order was sent
/// elsewhere meanwhile.
#[test]
fn a_cut_off_controller_pushes_an_order_that_was_taken_elsewhere() {
    for on_top in [false, true] {
        let mut core = Core::new(3);
        let old = core.leader();
        core.cut(&[old]);
        let here = core.put(old, 0, &document(3, "a"));
        core.run(1500);
        let other = core.leader();
        assert_ne!(other, old);
        let again = core.put(other, 0, &document(3, "a"));
        core.run(200);
        assert_eq!(core.status(again), Some(200));
        if on_top {
            let next = core.put(other, 3, &document(5, "b"));
            core.run(200);
            assert_eq!(core.status(next), Some(200));
        }
        core.heal();
        core.run(3000);
        assert!(matches!(core.status(here), Some(200 | 503)), "{:?}", core.status(here));
        let control_state = core.controller(old).control_state();
        assert_eq!(control_state.revision(), if on_top { 5 } else { 3 });
        assert_eq!(control_state.change_history.len(), 1 + usize::from(on_top), "taken once");
    }
}

/// The same, and another version was taken meanwhile: whoever still hears of it is told of the conflict, and the
/// order does not come into force.
#[test]
fn a_cut_off_controller_pushes_an_order_that_lost_its_race() {
    let mut core = Core::new(3);
    let old = core.leader();
    core.cut(&[old]);
    let here = core.put(old, 0, &document(3, "a"));
    core.run(1500);
    let other = core.leader();
    let rival = core.put(other, 0, &document(3, "b"));
    core.run(200);
    let again = core.put(other, 0, &document(3, "a"));
    core.run(200);
    assert_eq!((core.status(rival), core.status(again)), (Some(200), Some(412)));
    core.heal();
    core.run(3000);
    assert!(matches!(core.status(here), Some(412 | 503)), "{:?}", core.status(here));
    for controller in 0..3 {
        let config = core.controller(controller).control_state().config.as_ref().map(|c| c.raw.clone());
        assert_eq!(config, Some(document(3, "b")), "q{controller}");
    }
}

#[test]
fn one_number_from_two_operators_at_once() {
    for same in [false, true] {
        let mut core = Core::new(3);
        let (one, two) = (document(4, "a"), document(4, if same { "a" } else { "b" }));
        let first = core.put(0, 0, &one);
        let second = core.put(1, 0, &two);
        core.run(400);
        let mut told = [core.status(first), core.status(second)];
        told.sort();
        assert_eq!(told, if same { [Some(200), Some(200)] } else { [Some(200), Some(412)] });
        assert_eq!(core.controller(2).control_state().change_history.len(), 1);
    }
}

/// An order that builds on one still under way is not refused: what it builds on may be taken at any moment, and
/// a copy of it that a cut-off controller pushes later would come into force after its operator was told no.
#[test]
fn an_order_on_a_version_not_known_yet_waits_for_it() {
    let mut core = Core::new(3);
    let at = core.followers();
    let second = core.put(at[0], 3, &document(5, "b"));
    core.run(300);
    assert_eq!(core.status(second), None, "nobody knows yet");
    let first = core.put(at[1], 0, &document(3, "a"));
    core.run(300);
    assert_eq!((core.status(first), core.status(second)), (Some(200), Some(200)));
    let waited = core.replies[&second].0.saturating_duration_since(core.replies[&first].0);
    assert!(waited < Duration::from_millis(100), "taken up {waited:?} after the one it waited for");
    let below = core.put(at[0], 1000, &document(1000, "c"));
    assert_eq!(core.status(below), Some(400), "whatever becomes of version 1000");
    let never = core.put(at[0], 1000, &document(1001, "c"));
    core.run(3000);
    assert_eq!(core.status(never), None);
    core.run(1500);
    assert_eq!(core.status(never), Some(503), "a bounded wait");
    let last = core.controller(core.leader()).raft().last_index();
    assert!(last < 20, "a waiting order leaves the log alone: {last} entries");
}

/// The harm that it would do: refused at one controller, taken from another.
#[test]
fn no_copy_comes_into_force_of_an_order_that_was_refused() {
    let mut core = Core::new(3);
    let followers = core.followers();
    core.cut(&[followers[0]]);
    core.run(20);
    let copy = core.put(followers[0], 3, &document(5, "b"));
    let again = core.put(followers[1], 3, &document(5, "b"));
    core.run(1200);
    let first = core.put(followers[1], 0, &document(3, "a"));
    core.run(300);
    core.heal();
    core.run(5000);
    assert_eq!(core.status(first), Some(200));
    let refused = [copy, again].iter().any(|t| core.status(*t).is_some_and(|s| (400..500).contains(&s)));
    assert!(!refused || core.controller(0).control_state().revision() == 3, "refused, and in force");
}

/// What was taken is known from snapshots too, hundreds of changes and a restart of everybody later.
#[test]
fn an_order_sent_again_after_hundreds_of_changes_and_a_restart() {
    let mut core = Core::new(3);
    for n in 0..450 {
        let leader = core.leader();
        core.put(leader, n, &document(n + 1, "a"));
        core.run(20);
    }
    for controller in 0..3 {
        core.stop(controller);
    }
    for controller in 0..3 {
        core.restart(controller);
    }
    core.run(2000);
    assert_eq!(core.controller(0).control_state().revision(), 450);
    let again: Vec<_> = [0, 7, 300].map(|n| core.put((n % 3) as usize, n, &document(n + 1, "a"))).into();
    core.run(300);
    assert!(again.iter().all(|t| core.status(*t) == Some(200)), "{:?}", again.iter().map(|t| core.status(*t)));
}

/// A leader that freezes with an order in its hands, and wakes when the race is over.
#[test]
fn a_frozen_leader_wakes_with_an_order_in_its_hands() {
    for lost in [false, true] {
        let mut core = Core::new(3);
        let old = core.leader();
        let here = core.put(old, 0, &document(3, "a"));
        core.freeze(old);
        core.run(1500);
        let other = core.leader();
        let taken_already = core.controller(other).control_state().revision() == 3;
        if lost && !taken_already {
            core.put(other, 0, &document(3, "b"));
            core.run(200);
        }
        let again = core.put(other, 0, &document(3, "a"));
        core.run(300);
        let unread = core.thaw(old);
        core.tick(old);
        core.read(old, unread);
        core.run(5000);
        let taken =
            core.controller(other).control_state().config.as_ref().map(|c| c.raw.clone()) == Some(document(3, "a"));
        for copy in [here, again] {
            let right: &[u16] = if taken { &[200, 503] } else { &[412, 503] };
            assert!(core.status(copy).is_some_and(|s| right.contains(&s)), "{:?}, taken {taken}", core.status(copy));
        }
    }
}

/// What is no version number is refused at once, wherever it comes.
#[test]
fn if_match_is_one_number_or_the_call_is_refused() {
    let mut core = Core::new(3);
    let follower = core.followers()[0];
    for bad in
        [None, Some(""), Some("-1"), Some("+0"), Some("0, 0"), Some("0x0"), Some("\"0"), Some("W/\"0\""), Some("*")]
    {
        let told = core.call(follower, "PUT", "/api/config", bad, &document(3, "a"));
        assert_eq!(core.status(told), Some(400), "{bad:?}");
    }
    for over in ["18446744073709551616", "99999999999999999999999999", "18446744073709551615", "9007199254740992"] {
        let told = core.call(follower, "PUT", "/api/config", Some(over), &document(3, "a"));
        assert_eq!(core.status(told), Some(400), "{over}");
    }
    let quoted = core.call(follower, "PUT", "/api/config", Some("\"0\""), &document(3, "a"));
    core.run(300);
    assert_eq!(core.status(quoted), Some(200));
}

/// A leader that ends decides what it took, hands its lead on, and takes nothing more; a follower's order that was on its
/// way to it is handed to the successor at once.
#[test]
fn a_leader_that_ends_leaves_no_order_behind() {
    let mut core = Core::new(3);
    let (old, follower) = (core.leader(), core.followers()[0]);
    let taken = core.put(old, 0, &document(3, "a"));
    core.leave(old);
    let late = core.put(old, 3, &document(5, "b"));
    assert_eq!(core.status(late), Some(503));
    // Not an order on a version that is not known yet: that waits for the version, whoever leads.
    let on_its_way = core.beat(follower, "i-1", "draining", 1);
    core.run(60);
    assert_ne!(core.leader(), old, "another leads within 60 ms");
    core.run(60);
    assert_eq!([taken, on_its_way].map(|t| core.status(t)), [Some(200); 2]);
    assert!(core.controller(old).may_end() || core.controller(old).raft().is_voter());
    core.run(1000);
    assert!(core.controller(old).may_end());
}
