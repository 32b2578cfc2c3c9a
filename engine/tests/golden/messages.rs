//! Samples of the messages between daemons. Fields are set, and differ from each other, so that swapped ones show.

use crate::control_state::{command_name, commands, mark, outcome_name, outcomes, voter};
use crate::{Sample, assert_all_sampled, sample, variants};
use lichenfield_engine::process::consensus::{Entry, Message, MessageBody, SnapshotId};
use lichenfield_engine::process::dissemination::anti_entropy::{Digests, Instance, KeyVersion, Update, UpdateValue};
use lichenfield_engine::process::dissemination::partial_view::PeerDescriptor;
use lichenfield_engine::process::forwarding::PoolerShare;
use lichenfield_engine::process::peer_message::{
    self, GrantedLease, Heartbeat, InstanceLiveness, LeaseGrant, LeaseRequest, PeerMessage, PrimaryObservation,
};
use lichenfield_engine::process::quota::{RightsNeed, RightsTransfer};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

variants!(MESSAGES, message_name, PeerMessage, {
    "hello" => PeerMessage::Hello { .. },
    "consensus" => PeerMessage::Raft(_),
    "propose" => PeerMessage::Propose { .. },
    "proposal-received" => PeerMessage::ProposalReceived { .. },
    "proposal-decided" => PeerMessage::ProposalDecided { .. },
    "not-leader" => PeerMessage::NotLeader { .. },
    "instance-heartbeats" => PeerMessage::InstanceHeartbeats { .. },
    "attach" => PeerMessage::Attach { .. },
    "attach-accepted" => PeerMessage::AttachAccepted { .. },
    "attach-rejected" => PeerMessage::AttachRejected { .. },
    "detach" => PeerMessage::Detach,
    "updates" => PeerMessage::Updates(_),
    "heartbeat" => PeerMessage::Heartbeat(_),
    "compare-versions" => PeerMessage::CompareVersions { .. },
    "shuffle" => PeerMessage::Shuffle { .. },
    "lease-request" => PeerMessage::LeaseRequest(_),
    "lease-grant" => PeerMessage::LeaseGrant(_),
    "rights-request" => PeerMessage::RightsRequest { .. },
    "rights-grant" => PeerMessage::RightsGrant { .. },
    "leader-redirect" => PeerMessage::LeaderRedirect { .. },
    "lease-recall" => PeerMessage::LeaseRecall { .. },
    "lease-returned" => PeerMessage::LeaseReturned { .. },
});

variants!(BODIES, body_name, MessageBody, {
    "pre-vote" => MessageBody::PreVote { .. },
    "pre-vote-response" => MessageBody::PreVoteResponse { .. },
    "request-vote" => MessageBody::RequestVote { .. },
    "vote-response" => MessageBody::VoteResponse { .. },
    "append-entries" => MessageBody::AppendEntries { .. },
    "append-response" => MessageBody::AppendResponse { .. },
    "stale-term" => MessageBody::StaleTerm,
    "install-snapshot" => MessageBody::InstallSnapshot { .. },
    "snapshot-response" => MessageBody::SnapshotResponse { .. },
    "join" => MessageBody::Join { .. },
    "timeout-now" => MessageBody::TimeoutNow,
    "leave" => MessageBody::Leave,
    "leave-approved" => MessageBody::LeaveApproved,
});

variants!(VALUES, value_name, UpdateValue, {
    "config" => UpdateValue::Config(_),
    "compressed" => UpdateValue::Compressed { .. },
    "epoch" => UpdateValue::Epoch { .. },
    "drain-instance" => UpdateValue::DrainInstance { .. },
    "pooler-share" => UpdateValue::PoolerShare { .. },
    "instance" => UpdateValue::Instance(_),
    "voters" => UpdateValue::Voters(_),
});

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 20, 30, last)
}

fn descriptor(n: u8) -> PeerDescriptor {
    PeerDescriptor {
        name: format!("daemon-{n}"),
        ip: ip(n),
        zone: format!("zone-{n}"),
        control: Some(SocketAddrV4::new(ip(n + 100), 8000 + u16::from(n))),
        age: 300 + u16::from(n),
    }
}

fn duration(n: u64) -> Duration {
    Duration::new(n, 1_000_000 + n as u32)
}

fn digests() -> Digests {
    [1, 250, 251, 65_535, 65_536, u64::from(u32::MAX), 1 << 32, u64::MAX]
}

/// Its counts are private: they are set by name.
fn need(n: u64) -> RightsNeed {
    serde_json::from_value(serde_json::json!({
        "tenant": format!("tenant-{n}"),
        "received": [[n + 1, n + 2], [n + 3, n + 4]],
        "sent": [[n + 5, n + 6]],
        "consumed": n + 7,
        "target": n + 8,
    }))
    .expect("a need")
}

fn transfer(n: u64) -> RightsTransfer {
    let fields = serde_json::json!({ "tenant": format!("tenant-{n}"), "transferred": n + 1, "consumed": n + 2 });
    serde_json::from_value(fields).expect("a transfer")
}

fn bodies() -> Vec<MessageBody> {
    let snapshot = SnapshotId { index: 901, term: 902, length: 903, digest: u64::MAX - 904 };
    let entry = |(at, command)| Entry { term: 70 + at as u64, proposal_id: mark(80 + 2 * at as u64), command };
    vec![
        MessageBody::PreVote { last_index: 11, last_term: 12 },
        MessageBody::PreVoteResponse { granted: true },
        MessageBody::RequestVote { last_index: 13, last_term: 14 },
        MessageBody::VoteResponse { granted: true },
        MessageBody::AppendEntries {
            round: 21,
            prev_index: 22,
            prev_term: 23,
            entries: commands().into_iter().take(3).enumerate().map(entry).collect(),
            leader_commit: 24,
            echoed_nonce: u32::MAX - 25,
            confirmed_round: 26,
        },
        MessageBody::AppendResponse { round: 31, success: true, index: 32, nonce: 33 },
        MessageBody::StaleTerm,
        MessageBody::InstallSnapshot { round: 41, snapshot, offset: 42, bytes: vec![43, 44, 45] },
        MessageBody::SnapshotResponse { round: 51, snapshot, offset: 52 },
        MessageBody::Join { voter: true },
        MessageBody::TimeoutNow,
        MessageBody::Leave,
        MessageBody::LeaveApproved,
    ]
}

fn instance(draining: bool, gone: bool, primary: bool) -> UpdateValue {
    UpdateValue::Instance(Instance {
        id: "instance".into(),
        service: "service".into(),
        address: "10.0.0.1:5000".into(),
        zone: "zone".into(),
        capacity: 10,
        draining,
        gone,
        primary,
        warmup_left_ms: 11,
    })
}

fn values() -> Vec<UpdateValue> {
    vec![
        UpdateValue::Config(vec![1, 2, 3]),
        UpdateValue::Compressed { base: Some(4), bytes: vec![5, 6] },
        UpdateValue::Epoch { service: "service".into(), epoch: 7, primary: "primary".into(), term: 8, closed: true },
        UpdateValue::DrainInstance { id: "instance".into() },
        UpdateValue::PoolerShare { name: "daemon".into(), share: Some(PoolerShare { ip: ip(9), zone: "zone".into() }) },
        instance(true, false, false),
        instance(false, true, false),
        instance(false, false, true),
        UpdateValue::Voters(vec![ip(12), ip(13)]),
    ]
}

fn updates() -> Vec<Update> {
    let update = |(at, value)| Update { key: format!("key-{at}"), version: 500 + at as u64, value };
    values().into_iter().enumerate().map(update).collect()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        leader_contact_age: duration(61),
        depth: 62,
        leader: Some(ip(63)),
        digest_sum: 64,
        digests: Some(digests()),
    }
}

fn lease_request() -> LeaseRequest {
    let counts = |n| BTreeMap::from([("tenant-a".to_owned(), n), ("tenant-b".to_owned(), n + 1)]);
    let observation = |n: u64, failing: bool| PrimaryObservation {
        service: format!("service-{n}"),
        epoch: n,
        failing,
        deposed: !failing,
        last_answer_age: Some(duration(n + 1)),
    };
    LeaseRequest {
        nonce: 101,
        node: "daemon".into(),
        zone: "zone".into(),
        incarnation: 102,
        usage: BTreeMap::from([(103, counts(104)), (106, counts(107))]),
        services: vec!["service-x".into(), "service-y".into()],
        primary_observations: vec![observation(110, true), observation(112, false)],
        busy_connections: 114,
        digest_sum: 115,
        rights_needs: vec![need(120), need(140)],
        known_term: 116,
    }
}

fn lease_grant() -> LeaseGrant {
    LeaseGrant {
        nonce: 201,
        leases: vec![
            GrantedLease { service: "service-x".into(), epoch: 202 },
            GrantedLease { service: "service-y".into(), epoch: 203 },
        ],
        valid_for: duration(204),
        reported_through: Some(205),
        digests: Some(digests()),
        term: 206,
        transfers: vec![transfer(210), transfer(220)],
    }
}

/// One of each message but those of `Raft`, in the order of the variants, with every command, outcome and value.
fn messages() -> Vec<(String, PeerMessage)> {
    let named = |message: PeerMessage| (message_name(&message).to_owned(), message);
    let mut all: Vec<(String, PeerMessage)> = [
        PeerMessage::Hello {
            descriptor: descriptor(1),
            voter: Some(u64::MAX - 2),
            bootstrapping: true,
            known_controllers: vec![descriptor(3), descriptor(4)],
        },
        PeerMessage::ProposalReceived { proposal_id: mark(5) },
        PeerMessage::NotLeader { proposal_id: mark(7) },
        PeerMessage::InstanceHeartbeats {
            heartbeats: vec![
                InstanceLiveness { id: "a".into(), heartbeat_count: 9, age: duration(10) },
                InstanceLiveness { id: "b".into(), heartbeat_count: 11, age: duration(12) },
            ],
            digests: digests(),
        },
        PeerMessage::Attach { descriptor: descriptor(13) },
        PeerMessage::AttachAccepted { heartbeat: Heartbeat { leader: None, digests: None, ..heartbeat() } },
        PeerMessage::AttachRejected { alternatives: vec![descriptor(14), descriptor(15)] },
        PeerMessage::Detach,
        PeerMessage::Updates(updates()),
        PeerMessage::Heartbeat(heartbeat()),
        PeerMessage::CompareVersions {
            ranges: vec![2, 7],
            versions: vec![
                KeyVersion { key: "key-a".into(), version: 16 },
                KeyVersion { key: "key-b".into(), version: 17 },
            ],
        },
        PeerMessage::Shuffle { descriptors: vec![descriptor(18), descriptor(19)], is_reply: true },
        PeerMessage::LeaseRequest(lease_request()),
        PeerMessage::LeaseGrant(lease_grant()),
        PeerMessage::RightsRequest {
            nonce: 20,
            node: "daemon".into(),
            incarnation: 21,
            needs: vec![need(300), need(320)],
        },
        PeerMessage::RightsGrant {
            nonce: 22,
            valid_for: duration(23),
            term: 24,
            transfers: vec![transfer(400), transfer(410)],
        },
        PeerMessage::LeaderRedirect { leader: ip(25) },
        PeerMessage::LeaseRecall { service: "service".into(), epoch: 26 },
        PeerMessage::LeaseReturned { service: "service".into(), epoch: 27 },
    ]
    .map(named)
    .into();
    let raft = |body| PeerMessage::Raft(Message { from: voter(30), to: u64::MAX - 31, term: 32, body });
    all.extend(bodies().into_iter().map(|body| (format!("consensus.{}", body_name(&body)), raft(body))));
    all.extend(commands().into_iter().map(|command| {
        let name = format!("propose.{}", command_name(&command));
        (name, PeerMessage::Propose { proposal_id: mark(33), command })
    }));
    all.extend(outcomes().into_iter().map(|outcome| {
        let name = format!("proposal-decided.{}", outcome_name(&outcome));
        (name, PeerMessage::ProposalDecided { proposal_id: mark(35), outcome })
    }));
    all
}

/// Long enough to be compressed on its way.
fn long() -> PeerMessage {
    PeerMessage::Updates((0..12).flat_map(|_| updates()).collect())
}

pub fn samples() -> Vec<Sample> {
    let sampled = |name: String, value| {
        sample(format!("message.{name}"), value, peer_message::encode, |frame| peer_message::decode(frame).ok())
    };
    let mut all: Vec<Sample> = messages().into_iter().map(|(name, value)| sampled(name, value)).collect();
    all.push(Sample { compressed: true, ..sampled("updates-compressed".into(), long()) });
    all
}

#[test]
fn each_variant_has_a_sample() {
    let messages = messages();
    assert_all_sampled(MESSAGES, messages.iter().map(|(_, message)| message_name(message)));
    assert_all_sampled(BODIES, bodies().iter().map(body_name));
    assert_all_sampled(VALUES, values().iter().map(value_name));
}

#[test]
fn only_long_messages_are_compressed() {
    let kinds = |messages: Vec<PeerMessage>| messages.iter().map(|d| peer_message::encode(d)[0]).collect::<Vec<u8>>();
    assert!(kinds(messages().into_iter().map(|(_, message)| message).collect()).iter().all(|kind| *kind == 0));
    assert_eq!(kinds(vec![long()]), [1]);
    assert_eq!(peer_message::FRAME_MAX, 8 << 20);
}
