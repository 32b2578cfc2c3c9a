//! Whom lease requests go to, and which answers are accepted.

use super::*;

const LEADER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const FOLLOWER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[test]
fn a_silent_leader_is_asked_together_with_the_controllers() {
    let start = Instant::now();
    let mut client = LeaderClient::new(start);
    client.set_controllers(&[FOLLOWER]);
    assert_eq!(client.responsive_leader(start), None, "no leader is known");
    client.announce(start, Some(LEADER));
    assert_eq!(client.responsive_leader(start), Some(LEADER));
    let later = start + LEADER_TIMEOUT;
    assert_eq!(client.responsive_leader(later), None);
    assert_eq!(client.all_candidates(), [FOLLOWER, LEADER]);
    client.note_grant(later, FOLLOWER, later);
    assert_eq!((client.responsive_leader(later), client.all_candidates()), (Some(FOLLOWER), vec![FOLLOWER]));
}

#[test]
fn an_urgent_request_is_never_put_off() {
    let start = Instant::now();
    let mut client = LeaderClient::new(start);
    client.request_leases_soon(start);
    assert_eq!(client.lease_request_due(), start, "one is due already");
    client.schedule_next_lease_request(start);
    client.request_leases_soon(start);
    assert_eq!(client.lease_request_due(), start + URGENT_LEASE_REQUEST_DELAY);
    client.announce(start, Some(LEADER));
    assert_eq!(client.lease_request_due(), start, "a newly announced leader is asked at once");
}

#[test]
fn answers_to_forgotten_requests_are_not_accepted() {
    let start = Instant::now();
    let mut client = LeaderClient::new(start);
    let first = client.next_nonce(start);
    assert_eq!(client.request_sent_at(first), Some(start));
    for _ in 0..LEADER_REQUESTS_REMEMBERED {
        client.next_nonce(start);
    }
    assert_eq!(client.request_sent_at(first), None);
}

#[test]
fn a_slow_or_missing_answer_shows_a_congested_link() {
    let start = Instant::now();
    let mut client = LeaderClient::new(start);
    assert!(client.is_responsive(start));
    let answered_at = start + UNCONGESTED_ROUND_TRIP;
    client.note_grant(answered_at, LEADER, start);
    assert!(!client.is_responsive(answered_at), "slow");
    client.note_grant(answered_at, LEADER, answered_at);
    assert!(client.is_responsive(answered_at) && !client.is_responsive(answered_at + LEADER_TIMEOUT));
}
