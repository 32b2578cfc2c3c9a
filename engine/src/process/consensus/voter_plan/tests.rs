//! The steps of a voter plan.

use super::VoterPlan;
use crate::version::electorate::{Voter, VoterId};
use std::net::Ipv4Addr;

/// A voter at the address with this last byte.
fn at(id: VoterId, address: u8) -> Voter {
    Voter { id, ip: Ipv4Addr::new(10, 0, 0, address) }
}

/// Voters with identities and addresses 1 to `count`.
fn voters(count: u8) -> Vec<Voter> {
    (1..=count).map(|n| at(u64::from(n), n)).collect()
}

fn ids(plan: VoterPlan) -> Vec<VoterId> {
    plan.into_voters().iter().map(|voter| voter.id).collect()
}

#[test]
fn a_departing_voter_is_replaced_by_the_learner_at_its_address() {
    let ready = vec![at(10, 9), at(11, 2)];
    let mut plan = VoterPlan { voters: voters(3), ready, departing: vec![at(2, 2)] };
    plan.replace_departing();
    assert_eq!(plan.ready, [at(10, 9)]);
    assert!(plan.departing.is_empty());
    assert_eq!(ids(plan), [1, 3, 11]);
}

#[test]
fn a_learner_at_the_address_of_another_voter_replaces_nobody() {
    let mut plan = VoterPlan { voters: voters(3), ready: vec![at(10, 1)], departing: vec![at(2, 2)] };
    plan.replace_departing();
    assert_eq!(plan.departing, [at(2, 2)]);
    plan.grow(true);
    assert_eq!(ids(plan), [1, 2, 3]);
}

#[test]
fn one_learner_joins_an_even_electorate_and_waits_at_an_odd_one() {
    let learner = vec![at(10, 10)];
    let mut even = VoterPlan { voters: voters(4), ready: learner.clone(), departing: Vec::new() };
    even.grow(false);
    assert_eq!(ids(even), [1, 2, 3, 4, 10]);
    let mut odd = VoterPlan { voters: voters(3), ready: learner, departing: Vec::new() };
    odd.grow(true);
    assert_eq!(ids(odd), [1, 2, 3]);
}

#[test]
fn two_learners_join_an_odd_electorate_only_while_all_voters_are_present() {
    let learners = vec![at(10, 10), at(11, 11)];
    for (all_present, expected) in [(false, vec![1, 2, 3]), (true, vec![1, 2, 3, 10, 11])] {
        let mut plan = VoterPlan { voters: voters(3), ready: learners.clone(), departing: Vec::new() };
        plan.grow(all_present);
        assert_eq!(ids(plan), expected);
    }
}

#[test]
fn the_electorate_does_not_grow_beyond_nine() {
    let ready = (20..30).map(|n| at(u64::from(n), n)).collect();
    let mut plan = VoterPlan { voters: voters(3), ready, departing: Vec::new() };
    plan.grow(true);
    assert_eq!(plan.voters.len(), 9);
}

#[test]
fn departing_voters_without_a_replacement_stay_while_they_are_needed() {
    for (size, expected) in [(3, vec![1, 2, 3]), (4, vec![2, 3, 4]), (5, vec![3, 4, 5])] {
        let mut plan = VoterPlan { voters: voters(size), ready: Vec::new(), departing: vec![at(1, 1), at(2, 2)] };
        plan.shrink(3);
        assert_eq!(ids(plan), expected);
    }
}
