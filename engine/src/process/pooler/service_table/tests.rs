//! When a lease may be used, and when it has to be requested.

use super::*;
use crate::process::pooler::leases::{Lease, Recall};
use std::net::Ipv4Addr;

const SERVICE: &str = "s";

fn table(now: Instant) -> ServiceTable {
    let mut services = ServiceTable::default();
    let epoch = PrimaryEpoch { number: 2, primary: "i", term: 1, closed: false };
    assert!(services.get_or_insert(SERVICE).apply_epoch(&epoch));
    let lease = Lease { epoch: 2, valid_until: now + Duration::from_secs(1) };
    services.get_or_insert(SERVICE).lease.grant(lease);
    services
}

#[test]
fn a_lease_is_usable_only_in_its_epoch_and_while_the_primary_stands() {
    let now = Instant::now();
    assert_eq!(table(now).usable_lease(now, SERVICE), Some(2));
    assert_eq!(table(now).usable_lease(now + Duration::from_secs(1), SERVICE), None, "it has ended");
    let mut services = table(now);
    services.get_or_insert(SERVICE).deposed = true;
    assert_eq!(services.usable_lease(now, SERVICE), None, "another primary has taken over");
    let mut services = table(now);
    let closed = PrimaryEpoch { number: 2, primary: "i", term: 1, closed: true };
    assert!(!services.get_or_insert(SERVICE).apply_epoch(&closed));
    assert_eq!(services.usable_lease(now, SERVICE), None, "the epoch is closed");
    let mut services = table(now);
    let next = PrimaryEpoch { number: 3, primary: "j", term: 2, closed: false };
    assert!(services.get_or_insert(SERVICE).apply_epoch(&next));
    assert_eq!(services.usable_lease(now, SERVICE), None, "the lease is of the epoch before");
}

#[test]
fn a_recalled_lease_still_covers_work_under_way_but_no_new_work() {
    let now = Instant::now();
    let mut services = table(now);
    let recall = Recall { epoch: 2, finish_by: now, leader: Ipv4Addr::LOCALHOST };
    services.get_or_insert(SERVICE).lease.start_recall(recall);
    services.update_lease_deadlines();
    assert!(services.is_covered(now, SERVICE, 2) && services.recall_in_progress());
    assert_eq!((services.usable_lease(now, SERVICE), services.next_lease_end()), (None, Some(now)));
}

#[test]
fn a_service_newly_in_use_without_a_lease_is_requested_at_once() {
    let now = Instant::now();
    let mut services = table(now);
    assert!(!services.note_use(now, SERVICE), "its lease is held");
    assert!(services.note_use(now, "t"));
    assert!(!services.note_use(now, "t"), "it is in use already");
    services.expire_uses(now + Duration::from_secs(1), Duration::from_secs(1));
    assert!(!services.is_used("t"));
}
