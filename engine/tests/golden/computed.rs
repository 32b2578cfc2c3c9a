//! What each daemon computes for itself and expects to be equal at the others: digests, and who carries a service's
//! sessions. Also configurations as they are compressed against an older version.

use crate::{Sample, sample};
use lichenfield_engine::digest::digest;
use lichenfield_engine::process::dissemination::anti_entropy::{
    AppliedUpdate, Update, UpdateStore, UpdateValue, combine_digests,
};
use lichenfield_engine::process::forwarding::{CarrierAssignment, PoolerShare, PoolerShares};
use std::net::Ipv4Addr;

const BASE: &[u8] = b"{\"revision\":1,\"routes\":[],\"backends\":[],\"customers\":[]}";
const NEXT: &[u8] = b"{\"revision\":2,\"routes\":[],\"backends\":[],\"customers\":[{}]}";

fn config(version: u64, value: UpdateValue) -> Update {
    Update { key: "c/".into(), version, value }
}

fn store_with_base() -> UpdateStore {
    let mut store = UpdateStore::default();
    store.apply(&config(1, UpdateValue::Config(BASE.to_vec())));
    store
}

/// The bytes by which a configuration is passed on to those that hold the base, or (`whole`) to others.
fn compress(mut store: UpdateStore, text: &[u8]) -> Vec<u8> {
    match store.apply(&config(2, UpdateValue::Config(text.to_vec()))) {
        Some(AppliedUpdate { forwarded: Update { value: UpdateValue::Compressed { bytes, .. }, .. }, .. }) => bytes,
        other => panic!("not compressed: {other:?}"),
    }
}

fn decompress(mut store: UpdateStore, base: Option<u64>, bytes: &[u8]) -> Option<Vec<u8>> {
    match store.apply(&config(2, UpdateValue::Compressed { base, bytes: bytes.to_vec() }))?.stored.value {
        UpdateValue::Config(text) => Some(text),
        _ => None,
    }
}

pub fn samples() -> [Sample; 2] {
    let whole = sample(
        "config.whole".into(),
        NEXT.to_vec(),
        |text| compress(UpdateStore::default(), text),
        |bytes| decompress(UpdateStore::default(), None, bytes),
    );
    let step = sample(
        "config.step".into(),
        NEXT.to_vec(),
        |text| compress(store_with_base(), text),
        |bytes| decompress(store_with_base(), Some(1), bytes),
    );
    [whole, step].map(|sample| Sample { compressed: true, ..sample })
}

#[test]
fn digests_are_unchanged() {
    let mut store = UpdateStore::default();
    for (key, version) in ["c/", "q/", "e/database", "s/frankfurt", "i/1000", "i/replica", "d/x"].into_iter().zip(600..)
    {
        store.apply(&Update { key: key.into(), version, value: UpdateValue::DrainInstance { id: key.into() } });
    }
    assert_eq!(digest(b"lichenfield"), 1_038_474_292_884_277_550);
    let digests = [
        17_249_858_888_352_149_158,
        0,
        0,
        25_980_223_083_200_651,
        8_650_742_440_380_566_148,
        0,
        5_556_880_655_265_869_045,
        16_441_883_052_170_465_949,
    ];
    assert_eq!(store.digests(), digests);
    assert_eq!(store.digest_sum(), 13_416_203_970_024_161_014);
    assert_eq!(store.digest_sum(), combine_digests(&store.digests()));
}

#[test]
fn carriers_are_unchanged() {
    let share =
        |n| (format!("daemon-{n}"), PoolerShare { ip: Ipv4Addr::new(10, 0, 0, n), zone: format!("zone-{}", n % 3) });
    let shares: PoolerShares = (1..=20).map(share).collect();
    let assignment =
        CarrierAssignment::new("daemon-0", &shares, [("service-a", 60), ("service-b", 80), ("service-c", 1000)]);
    let targets = |service, tenant| {
        assignment.forwarding_targets(service, tenant).iter().map(|ip| ip.octets()[3]).collect::<Vec<u8>>()
    };
    let limits =
        ["service-a", "service-b", "service-c"].map(|s| assignment.holding(s).map(|holding| holding.connection_limit));
    assert_eq!(limits, [Some(1), Some(1), Some(33)]);
    let carried = [("service-a", "tenant-a"), ("service-a", "tenant-c"), ("service-b", "tenant-a")];
    assert_eq!(carried.map(|(service, tenant)| targets(service, tenant)), [[14, 7, 3], [3, 14, 7], [13, 20, 12]]);
    assert!(targets("service-c", "tenant-a").is_empty(), "each daemon has connections of its own");
}
