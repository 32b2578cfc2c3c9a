//! When a session may be closed, and the phases of a shutdown.

use super::*;

#[test]
fn a_session_is_not_closed_while_its_client_prepares_an_operation() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut activity = ClientActivity::default();
    activity.note_statement(at(0));
    activity.note_answer(true);
    assert!(
        !activity.may_close(at(1), SessionState::Idle, DrainPhase::Draining, true),
        "a value was set: its operation comes"
    );
    assert!(!activity.may_close(at(1000), SessionState::Idle, DrainPhase::RollingBack, false), "the link may be full");
    assert!(activity.may_close(at(1600), SessionState::Idle, DrainPhase::Draining, false), "nothing came");
    activity.note_statement(at(2000));
    assert!(!activity.may_close(at(9000), SessionState::Busy, DrainPhase::Closing, false), "the answer comes first");
    activity.note_answer(false);
    assert!(activity.may_close(at(2001), SessionState::Idle, DrainPhase::Draining, true), "the operation has ended");
    assert!(
        !activity.may_close(at(2150), SessionState::Idle, DrainPhase::Draining, false),
        "the next may be on its way"
    );
    assert!(activity.may_close(at(2250), SessionState::Idle, DrainPhase::Draining, false));
    assert!(
        !activity.may_close(at(2250), SessionState::InTransaction, DrainPhase::RollingBack, false),
        "its client has to be notified first"
    );
    assert!(activity.may_close(at(2250), SessionState::InTransaction, DrainPhase::Closing, false));
}

#[test]
fn drain_phases_follow_each_other_over_the_grace_period() {
    let grace = Duration::from_secs(6);
    let phases = [1000, 3100, 5200, 5800].map(|ms| DrainPhase::after(Duration::from_millis(ms), grace));
    assert_eq!(phases, [DrainPhase::Draining, DrainPhase::RollingBack, DrainPhase::Closing, DrainPhase::Finished]);
    assert!(phases.is_sorted() && DrainPhase::Serving < DrainPhase::Draining);
}
