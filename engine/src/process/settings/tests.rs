//! Tests of the settings file.

use super::*;
use std::time::Duration;

const FILE: &str = r#"
node-name = "edge-1"
ip = "10.1.0.26"
zone = "z"
internal-ports = [7560,7575]
seed-nodes = ["10.1.0.28:8462"]
something-new = 3
[listen]
session = "10.1.0.26:8465"
[timing-bounds]
drain-ms = 7000
grace-s = 6.5
"#;

#[test]
fn unknown_keys_are_ignored_and_errors_name_the_key() {
    let settings = Settings::read(FILE).expect("a whole file");
    assert_eq!(settings.timing_bounds.grace(), Duration::from_millis(6500));
    for (from, to, named) in [
        ("node-name = \"edge-1\"", "", "node-name"),
        ("[7560,7575]", "[7575,7560]", "internal_ports"),
        ("grace-s = 6.5", "grace-s = -1", "grace_s"),
        ("\"10.1.0.26\"\nzone", "\"here\"\nzone", "line 3"),
    ] {
        let error = Settings::read(&FILE.replace(from, to)).expect_err(named).to_string();
        assert!(error.contains(named), "{error} should name {named}");
    }
}
