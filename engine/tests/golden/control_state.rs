//! Samples of the log's commands, their outcomes, the control state that they lead to, and a snapshot of it.

use crate::{Sample, assert_all_sampled, bincode_sample, to_bincode, variants};
use lichenfield_engine::process::consensus::Snapshot;
use lichenfield_engine::process::forwarding::PoolerShare;
use lichenfield_engine::version::control_state::{Command, ControlState, Outcome, ProposalId};
use lichenfield_engine::version::electorate::{Electorate, Voter};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

variants!(COMMANDS, command_name, Command, {
    "noop" => Command::Noop,
    "configure" => Command::Configure { .. },
    "close-epoch" => Command::CloseEpoch { .. },
    "select-candidate" => Command::SelectCandidate { .. },
    "install-primary" => Command::InstallPrimary { .. },
    "drain-instance" => Command::DrainInstance { .. },
    "set-pooler-shares" => Command::SetPoolerShares { .. },
    "record-usage" => Command::RecordUsage { .. },
    "change-electorate" => Command::ChangeElectorate { .. },
});

variants!(OUTCOMES, outcome_name, Outcome, {
    "accepted" => Outcome::Accepted,
    "conflict" => Outcome::Conflict { .. },
    "invalid" => Outcome::Invalid { .. },
    "unknown" => Outcome::Unknown,
});

pub fn mark(n: u64) -> ProposalId {
    ProposalId { proposer: n, serial: n + 1 }
}

pub fn voter(n: u8) -> Voter {
    Voter { id: u64::MAX - u64::from(n), ip: Ipv4Addr::new(10, 40, 50, n) }
}

/// A configuration with a route, a backend and a customer, which share no name.
fn document(revision: u64) -> Vec<u8> {
    let route = r#"{"name":"r","hostname":"h","type":"primary","deadline-ms":900,"service":"b"}"#;
    let customer = format!(r#"{{"name":"c{revision}","api-keys":["k"]}}"#);
    format!(r#"{{"revision":{revision},"routes":[{route}],"backends":[{{"name":"b"}}],"customers":[{customer}]}}"#)
        .into_bytes()
}

fn configure(if_match: u64, revision: u64) -> Command {
    let at = Duration::new(1_800_000_000 + revision, 5_000_001);
    Command::Configure { if_match, raw: document(revision), by: "daemon".into(), at }
}

fn close_epoch(epoch: u64) -> Command {
    Command::CloseEpoch { service: "service".into(), epoch }
}

fn install_primary(epoch: u64, term: u64) -> Command {
    Command::InstallPrimary { service: "service".into(), epoch, primary: format!("primary-{term}"), term }
}

fn select_candidate(epoch: u64) -> Command {
    Command::SelectCandidate { service: "service".into(), epoch, candidate: "target".into(), caller: "holder".into() }
}

fn drain_instance(id: &str) -> Command {
    Command::DrainInstance { id: id.into() }
}

fn set_pooler_shares() -> Command {
    let share =
        |n| (format!("daemon-{n}"), PoolerShare { ip: Ipv4Addr::new(10, 60, 70, n), zone: format!("zone-{n}") });
    Command::SetPoolerShares { shares: [share(1), share(2)].into() }
}

fn record_usage(window: u64) -> Command {
    let counts = BTreeMap::from([("tenant-a".to_owned(), 600), ("tenant-b".to_owned(), 70_000)]);
    Command::RecordUsage { window, counts, reporter: "usage-holder".into() }
}

fn change_electorate() -> Command {
    Command::ChangeElectorate {
        electorate: Electorate { voters: vec![voter(1), voter(2)], outgoing: vec![voter(3), voter(4), voter(5)] },
    }
}

pub fn commands() -> Vec<Command> {
    vec![
        Command::Noop,
        configure(3, 4),
        close_epoch(5),
        select_candidate(6),
        install_primary(7, 8),
        drain_instance("instance"),
        set_pooler_shares(),
        record_usage(360_000_000),
        change_electorate(),
    ]
}

pub fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Accepted,
        Outcome::Conflict { current: 300 },
        Outcome::Invalid { reason: "no such field".into() },
        Outcome::Unknown,
    ]
}

/// The state after some of each command, with a conflict and an invalid change among the results.
fn control_state() -> ControlState {
    let mut control_state = ControlState::default();
    let applied = [
        Command::Noop,
        configure(0, 400),
        configure(400, 401),
        configure(7, 402),
        configure(401, 3),
        install_primary(1, 50),
        close_epoch(1),
        select_candidate(1),
        install_primary(2, 60),
        close_epoch(2),
        select_candidate(2),
        drain_instance("instance-1"),
        drain_instance("instance-2"),
        set_pooler_shares(),
        record_usage(80),
        record_usage(81),
        change_electorate(),
    ];
    for (command, index) in applied.iter().zip(1..) {
        // Proposals of two proposers, and the leader's own entries.
        let proposal_id = if index % 3 == 0 {
            ProposalId::default()
        } else {
            ProposalId { proposer: 1000 + index % 2, serial: index }
        };
        control_state.apply(index, proposal_id, command);
    }
    control_state
}

/// As after so many changes that the first of them are forgotten; that field is private.
fn state_with_forgotten_changes() -> ControlState {
    let mut fields = serde_json::to_value(control_state()).expect("fields");
    fields["accepted_changes"]["oldest_known_base"] = 77.into();
    serde_json::from_value(fields).expect("a control state")
}

fn snapshot() -> Snapshot {
    let electorate = Electorate { voters: vec![voter(1), voter(2)], outgoing: vec![voter(3)] };
    Snapshot { index: 17, term: 9, electorate, state: to_bincode(&control_state()) }
}

pub fn samples() -> Vec<Sample> {
    let command = |c| bincode_sample(format!("command.{}", command_name(&c)), c);
    let outcome = |o| bincode_sample(format!("outcome.{}", outcome_name(&o)), o);
    let mut all: Vec<Sample> = commands().into_iter().map(command).collect();
    all.extend(outcomes().into_iter().map(outcome));
    all.push(bincode_sample("control_state.state", control_state()));
    all.push(bincode_sample("control_state.state-forgotten", state_with_forgotten_changes()));
    all.push(bincode_sample("snapshot", snapshot()));
    all
}

#[test]
fn each_variant_has_a_sample() {
    assert_all_sampled(COMMANDS, commands().iter().map(command_name));
    assert_all_sampled(OUTCOMES, outcomes().iter().map(outcome_name));
}

#[test]
fn the_sampled_control_state_has_a_value_in_every_field() {
    let control_state = control_state();
    assert_eq!(
        (control_state.applied_index, control_state.revision(), control_state.change_history.len()),
        (17, 401, 2)
    );
    let service = &control_state.epochs["service"];
    assert_eq!((service.epoch, service.term, service.closed), (2, 60, true));
    assert_eq!((service.candidate.as_deref(), service.caller.as_deref()), (Some("target"), Some("holder")));
    assert_eq!(
        (control_state.draining_instances.len(), control_state.pooler_shares.len(), control_state.usage_reports.len()),
        (2, 2, 2)
    );
    assert_eq!((control_state.voters.len(), control_state.usage_reporter.as_deref()), (5, Some("usage-holder")));
    let result = |index: u64| control_state.result(ProposalId { proposer: 1000 + index % 2, serial: index });
    assert_eq!(result(4), Some(&Outcome::Conflict { current: 401 }));
    assert!(matches!(result(5), Some(Outcome::Invalid { .. })));
}
