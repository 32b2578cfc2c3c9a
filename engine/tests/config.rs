//! The operator's configuration: which documents are accepted and how others are refused.

use lichenfield_engine::version::config::{Quota, REVISION_MAX, ReadConsistency, parse, quotas};
use std::collections::HashMap;

const VALID: &str = r#"{"revision":7,"routes":[{"name":"r","hostname":"db","path-prefix":"/","type":"bounded",
    "deadline-ms":800,"service":"s","stale_ms":1500}],"backends":[{"name":"s","max-connections":60}],
    "customers":[{"name":"t","api-keys":["k1"]},{"name":"u","api-keys":["k2"]}]}"#;

#[test]
fn quotas_and_alternative_names_of_bounded_staleness_are_parsed() {
    let other = VALID.replace("\"bounded\"", "\"bounded_stale\"").replace("stale_ms", "max-staleness-ms");
    let other = other.replace("[\"k1\"]", "[\"k1\"],\"rate-per-s\":244,\"burst\":12.5");
    let document = parse(other.as_bytes()).expect("a valid document");
    assert_eq!(
        (document.routes[0].consistency, document.routes[0].max_staleness_ms),
        (ReadConsistency::BoundedStaleness, Some(1500))
    );
    assert_eq!(quotas(&document), HashMap::from([("t".to_owned(), Quota { rate: 244.0, burst: 12.5 })]));
    assert!(
        parse(other.replace("244", "-1").as_bytes()).expect_err("a limit below 0").to_string().contains("rate_per_s")
    );
}

#[test]
fn a_valid_document_is_accepted_and_each_fault_is_named() {
    assert_eq!(parse(VALID.as_bytes()).map(|d| d.revision), Ok(7));
    for (from, to, fault) in [
        ("\"service\":\"s\"", "\"service\":\"x\"", "unknown service"),
        ("\"deadline-ms\":800", "\"deadline-ms\":0", "deadline"),
        ("\"deadline-ms\":800,", "", "deadline-ms"),
        ("\"k2\"", "\"k1\"", "shares a key"),
        ("\"customers\"", "\"customers", "read whole"),
    ] {
        let bad = VALID.replace(from, to);
        let error = parse(bad.as_bytes()).expect_err(fault).to_string();
        assert!(error.contains(fault), "{error} should name {fault}");
    }
    let duplicate = VALID.replace("\"routes\":[", "\"routes\":[{\"name\":\"q\",\"hostname\":\"db\",\"path-prefix\":\"/\",\"type\":\"primary\",\"deadline-ms\":5,\"service\":\"s\"},");
    assert!(parse(duplicate.as_bytes()).expect_err("two routes for one place").to_string().contains("shares host"));
}

/// A revision must survive every JSON reader, and the highest integer would leave none for a later change.
#[test]
fn a_revision_that_json_readers_may_round_is_refused() {
    let numbered = |revision: &str| VALID.replace("\"revision\":7", &format!("\"revision\":{revision}"));
    for (bad, fault) in [
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
        let error = parse(numbered(bad).as_bytes()).expect_err(bad).to_string();
        assert!(error.contains(fault), "{bad}: {error}");
    }
    let highest = REVISION_MAX.to_string();
    assert_eq!(parse(numbered(&highest).as_bytes()).map(|d| d.revision), Ok(REVISION_MAX));
}

/// Controllers apply the log separately: the verdict depends on the bytes of the document alone.
#[test]
fn validating_a_document_again_gives_the_same_error() {
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
    let first = parse(raw.as_bytes());
    assert!(first.is_err());
    for _ in 0..50 {
        assert_eq!(parse(raw.as_bytes()), first);
    }
}
