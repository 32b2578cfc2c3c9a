//! Tests of the parser of scenarios.

use super::{Comparison, Measure, Scenario};
use crate::world::actions::{Action, PartitionScope, Target};
use std::time::Duration;

#[test]
fn settings_actions_and_expectations_are_parsed() {
    let text =
        "# A comment.\nseeds 2..5\n\npoolers 7\nat 6.5 partition leader controllers-only\nexpect refused 3 at-most\n";
    let scenario = Scenario::parse(text).expect("a valid scenario");
    assert_eq!(scenario.seeds, 2..=5);
    assert_eq!(scenario.world.poolers, 7);
    assert_eq!(scenario.world.controllers, 3, "the default");
    assert_eq!(scenario.actions[0].at, Duration::from_millis(6500));
    let partition = Action::Partition { target: Target::Leader, scope: PartitionScope::ControllersOnly };
    assert_eq!(scenario.actions[0].action, partition);
    let expectation = scenario.expectations[0];
    assert_eq!((expectation.measure, expectation.comparison), (Measure::RefusedChanges, Comparison::AtMost));
    assert!(expectation.holds(3.0) && !expectation.holds(3.5));
}

/// The error of a text, as displayed.
fn error_of(text: &str) -> String {
    Scenario::parse(text).expect_err("an invalid scenario").to_string()
}

#[test]
fn errors_name_line_and_column() {
    assert_eq!(error_of("seeds 1..2\nat 6 explode leader\n"), "line 2, column 6: unknown action \"explode\"");
    assert_eq!(error_of("at 6 kill  nobody"), "line 1, column 12: unknown target \"nobody\"");
    assert_eq!(error_of("\n\n  poolers some"), "line 3, column 11: a number expected, found \"some\"");
    assert_eq!(error_of("at 6 kill"), "line 1, column 10: a target expected at the end of the line");
    assert_eq!(error_of("at 6 heal all"), "line 1, column 11: end of the line expected, found \"all\"");
    assert_eq!(error_of("expect luck"), "line 1, column 8: unknown measure \"luck\"");
    assert_eq!(error_of("seeds 3"), "line 1, column 7: seeds FIRST..LAST expected");
    assert_eq!(error_of("until -1").split(": ").next(), Some("line 1, column 7"));
}
