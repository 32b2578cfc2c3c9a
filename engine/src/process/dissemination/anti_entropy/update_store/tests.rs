//! Tests of the update store.

use super::*;

#[test]
fn copies_that_diverged_converge_to_the_newer_versions() {
    let update =
        |key: &str, version| Update { key: key.into(), version, value: UpdateValue::DrainInstance { id: key.into() } };
    let (mut a, mut b) = (UpdateStore::default(), UpdateStore::default());
    for i in 0..40 {
        a.apply(&update(&format!("k{i}"), 1 + u64::from(i == 7)));
        if i != 3 {
            b.apply(&update(&format!("k{i}"), 1 + u64::from(i == 9)));
        }
    }
    assert!(a.apply(&update("k7", 1)).is_none(), "an older version is not taken");
    let ranges = a.differing_ranges(&b.digests());
    assert!(!ranges.is_empty() && ranges.len() <= 3, "only the ranges that differ: {ranges:?}");
    for update in a.newer_than(&ranges, &b.versions(&ranges)) {
        b.apply(&update);
    }
    for update in b.newer_than(&ranges, &a.versions(&ranges)) {
        a.apply(&update);
    }
    assert_eq!(a.digests(), b.digests());
}
#[test]
fn a_configuration_is_sent_as_deltas_and_gaps_are_filled() {
    let text = |routes: u32, odd: u32| -> Vec<u8> {
        let route = |n: u32| format!("{{\"name\":\"r-{:x}\",\"n\":{n}}},", n.wrapping_mul(2_654_435_761));
        format!("{}{odd}", (0..routes).map(route).collect::<String>()).into_bytes()
    };
    let update = |version, text| Update { key: "c/".into(), version, value: UpdateValue::Config(text) };
    let (mut controller, mut child, mut late) =
        (UpdateStore::default(), UpdateStore::default(), UpdateStore::default());
    let first = controller.apply(&update(4, text(900, 1))).expect("new").forwarded;
    assert!(child.apply(&first).is_some() && late.apply(&first).is_some());
    let mut deltas = Vec::new();
    for (version, routes) in [(7, 900), (8, 1400), (11, 1399)] {
        let applied = controller.apply(&update(version, text(routes, version as u32))).expect("newer");
        deltas.push(applied.forwarded);
    }
    let UpdateValue::Compressed { base: Some(4), bytes } = &deltas[0].value else { panic!("{:?}", deltas[0].value) };
    assert!(bytes.len() < 200, "{} bytes for one figure", bytes.len());
    assert!(
        deltas.iter().all(|delta| child.apply(delta).is_some_and(|applied| applied.forwarded == *delta)),
        "passed on as they came"
    );
    assert_eq!(child.get("c/"), controller.get("c/"));
    assert!(late.apply(&deltas[2]).is_none(), "a delta against what is not held");
    let ranges = late.differing_ranges(&controller.digests());
    let missing = controller.newer_than(&ranges, &late.versions(&ranges));
    assert_eq!(missing, deltas, "only the deltas");
    assert!(missing.iter().all(|update| late.apply(update).is_some()));
    assert_eq!((late.get("c/"), late.digests()), (controller.get("c/"), controller.digests()));
    let mut fresh = UpdateStore::default();
    let full = controller.newer_than(&fresh.differing_ranges(&controller.digests()), &[]);
    assert!(full.len() == 1 && fresh.apply(&full[0]).is_some());
    assert_eq!(fresh.get("c/"), controller.get("c/"));
}
