//! The operator's configuration: what is taken and what is refused.

use lichenfield_engine::version::config::{Kind, Quota, REVISION_MAX, quotas, read};
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

/// The last number there is would leave none for any later change.
#[test]
fn a_revision_that_not_every_reader_of_json_takes_for_the_same_is_refused() {
    let numbered = |revision: &str| GOOD.replace("\"revision\":7", &format!("\"revision\":{revision}"));
    for (bad, told) in [
        ("18446744073709551615", "revision"),
        ("9007199254740992", "revision"),
        ("18446744073709551616", "read whole"),
        ("-1", "read whole"),
        ("7.0", "read whole"),
        ("1e3", "read whole"),
        ("\"7\"", "read whole"),
        ("null", "read whole"),
        ("7,\"revision\":8", "read whole"),
    ] {
        let why = read(numbered(bad).as_bytes()).expect_err(bad);
        assert!(why.contains(told), "{bad}: {why}");
    }
    let most = REVISION_MAX.to_string();
    assert_eq!(read(numbered(&most).as_bytes()).map(|d| d.revision), Ok(REVISION_MAX));
}

/// Every controller judges a document alike: by its bytes alone.
#[test]
fn the_verdict_on_a_document_is_the_same_each_time() {
    let route = |n: u32, service: u32| {
        format!(r#"{{"name":"r{n}","hostname":"h{n}","type":"primary","deadline-ms":5,"service":"s{service}"}}"#)
    };
    let routes: Vec<String> = (0..40).map(|n| route(n % 37, n % 3)).collect();
    let keys: Vec<String> = (0..40).map(|n| format!(r#"{{"name":"t{n}","api-keys":["k{}"]}}"#, n % 31)).collect();
    let raw = format!(
        r#"{{"revision":7,"routes":[{}],"backends":[{{"name":"s0"}},{{"name":"s1"}}],"customers":[{}]}}"#,
        routes.join(","),
        keys.join(",")
    );
    let first = read(raw.as_bytes());
    assert!(first.is_err());
    for _ in 0..50 {
        assert_eq!(read(raw.as_bytes()), first);
    }
}
