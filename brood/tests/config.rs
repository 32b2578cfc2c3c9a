//! The operator's configuration: what is taken and what is refused.

use brood::version::config::{Kind, Quota, quotas, read};
use std::collections::HashMap;

const GOOD: &str = r#"{"revision":7,"routes":[{"name":"r","hostname":"db","path-prefix":"/","type":"bounded",
    "deadline-ms":800,"service":"s","stale_ms":1500}],"backends":[{"name":"s","max-connections":60}],
    "customers":[{"name":"t","api-keys":["k1"]},{"name":"u","api-keys":["k2"]}]}"#;

#[test]
fn limits_and_the_other_words_for_a_bounded_route_are_read() {
    let other = GOOD.replace("\"bounded\"", "\"bounded_stale\"").replace("stale_ms", "max-staleness-ms");
    let other = other.replace("[\"k1\"]", "[\"k1\"],\"rate-per-s\":244,\"burst\":12.5");
    let document = read(other.as_bytes()).expect("a good one");
    assert_eq!((document.routes[0].kind, document.routes[0].stale_ms), (Kind::Bounded, Some(1500)));
    assert_eq!(quotas(&document), HashMap::from([("t".to_owned(), Quota { rate: 244.0, burst: 12.5 })]));
    assert!(read(other.replace("244", "-1").as_bytes()).expect_err("a limit below 0").contains("rate_per_s"));
}

#[test]
fn good_is_taken_and_each_kind_of_bad_is_named() {
    assert_eq!(read(GOOD.as_bytes()).map(|d| d.revision), Ok(7));
    for (from, to, told) in [
        ("\"service\":\"s\"", "\"service\":\"x\"", "unknown service"),
        ("\"deadline-ms\":800", "\"deadline-ms\":0", "deadline"),
        ("\"deadline-ms\":800,", "", "deadline-ms"),
        ("\"k2\"", "\"k1\"", "shares a key"),
        ("\"customers\"", "\"customers", "read whole"),
    ] {
        let bad = GOOD.replace(from, to);
        let why = read(bad.as_bytes()).expect_err(told);
        assert!(why.contains(told), "{why} should tell of {told}");
    }
    let twice = GOOD.replace("\"routes\":[", "\"routes\":[{\"name\":\"q\",\"hostname\":\"db\",\"path-prefix\":\"/\",\"type\":\"primary\",\"deadline-ms\":5,\"service\":\"s\"},");
    assert!(read(twice.as_bytes()).expect_err("two on one place").contains("shares host"));
}
