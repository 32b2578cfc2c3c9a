//! What operators read of the history and of a status report.

use super::render;

#[test]
fn history_is_one_line_a_change_and_one_a_kind_of_difference() {
    let body = r#"{"changes":[{"revision":3,"built_on":0,"by":"q0","at":{"secs":12,"nanos":5},
        "routes":{"added":["r1","r2"],"removed":[],"changed":["r3"]},
        "backends":{"added":[],"removed":["b"],"changed":[]},
        "customers":{"added":[],"removed":[],"changed":[]}}]}"#;
    let expected =
        ["3 on 0 by \"q0\" at 12", "  routes added: r1, r2", "  routes changed: r3", "  backends removed: b"];
    assert_eq!(render::history(body).expect("a history"), expected);
    assert_eq!(render::history(r#"{"changes":[]}"#), Some(Vec::new()));
    assert_eq!(render::history("no JSON"), None);
}

#[test]
fn status_is_one_line_a_field_with_lists_of_objects_indented() {
    let body = r#"{"term":7,"node":"q0","leader":null,"voters":["10.0.0.1"],"instances":[{"id":"i"}],
        "primaries":{"s":{"epoch":1}}}"#;
    let expected = [
        "instances:",
        "  {\"id\":\"i\"}",
        "leader: null",
        "node: q0",
        "primaries:",
        "  s: {\"epoch\":1}",
        "term: 7",
        "voters: [\"10.0.0.1\"]",
    ];
    assert_eq!(render::status(body).expect("a report"), expected);
    assert_eq!(render::status("[]"), None);
}
