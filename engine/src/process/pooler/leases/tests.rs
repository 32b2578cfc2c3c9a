//! Grants, renewals and recalls of a service's lease.

use super::*;
use std::time::Duration;

fn lease(epoch: u64, valid_until: Instant) -> Lease {
    Lease { epoch, valid_until }
}

#[test]
fn a_grant_extends_the_lease_of_its_epoch_and_never_goes_back() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut state = LeaseState::default();
    state.grant(lease(2, later));
    state.grant(lease(2, start));
    assert_eq!(state.held(), Some(lease(2, later)), "an earlier end shortens nothing");
    state.grant(lease(1, later + Duration::from_secs(1)));
    assert_eq!(state.held(), Some(lease(2, later)), "an older epoch is over");
    state.grant(lease(3, start));
    assert_eq!(state.held(), Some(lease(3, start)));
}

#[test]
fn a_recalled_lease_ends_early_and_is_not_granted_again() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut state = LeaseState::default();
    state.grant(lease(2, later));
    state.start_recall(Recall { epoch: 2, finish_by: start, leader: Ipv4Addr::LOCALHOST });
    assert_eq!(state.ends_at(), Some(start));
    state.release();
    state.grant(lease(2, later));
    assert_eq!((state.held(), state.ends_at()), (None, None));
    state.grant(lease(3, later));
    assert_eq!(state.ends_at(), Some(later), "the recall is not of this epoch");
    assert!(state.has_recall() && state.recall_of_held().is_none());
}
