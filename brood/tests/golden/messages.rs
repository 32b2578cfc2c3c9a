//! Samples of the messages between daemons. Fields are set, and differ from each other, so that swapped ones show.

use crate::ledger::{command_name, commands, mark, outcome_name, outcomes, voter};
use crate::{Sample, assert_all_sampled, sample, variants};
use brood::process::carry::Part;
use brood::process::dance::{self, Ask, Dance, Grant, Pulse, Sight};
use brood::process::nectar::{Need, Pour};
use brood::process::raft::{Body, Entry, Message, SnapshotId};
use brood::process::repair::{Digests, Fact, Instance, Value};
use brood::process::views::Card;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

variants!(MESSAGES, message_name, Dance, {
    "hello" => Dance::Hello { .. },
    "raft" => Dance::Raft(_),
    "propose" => Dance::Propose { .. },
    "heard" => Dance::Heard { .. },
    "decided" => Dance::Decided { .. },
    "elsewhere" => Dance::Elsewhere { .. },
    "beats" => Dance::Beats { .. },
    "attach" => Dance::Attach { .. },
    "welcome" => Dance::Welcome { .. },
    "full" => Dance::Full { .. },
    "detach" => Dance::Detach,
    "facts" => Dance::Facts(_),
    "pulse" => Dance::Pulse(_),
    "compare" => Dance::Compare { .. },
    "shuffle" => Dance::Shuffle { .. },
    "ask" => Dance::Ask(_),
    "grant" => Dance::Grant(_),
    "dip" => Dance::Dip { .. },
    "poured" => Dance::Poured { .. },
    "led" => Dance::Led { .. },
    "recall" => Dance::Recall { .. },
    "returned" => Dance::Returned { .. },
});

variants!(BODIES, body_name, Body, {
    "pre-vote" => Body::PreVote { .. },
    "pre-vote-answer" => Body::PreVoteAnswer { .. },
    "request-vote" => Body::RequestVote { .. },
    "vote" => Body::Vote { .. },
    "append-entries" => Body::AppendEntries { .. },
    "appended" => Body::Appended { .. },
    "deposed" => Body::Deposed,
    "install-snapshot" => Body::InstallSnapshot { .. },
    "snapshot-taken" => Body::SnapshotTaken { .. },
    "join" => Body::Join { .. },
    "succeed" => Body::Succeed,
    "leave" => Body::Leave,
    "left" => Body::Left,
});

variants!(VALUES, value_name, Value, {
    "config" => Value::Config(_),
    "packed" => Value::Packed { .. },
    "epoch" => Value::Epoch { .. },
    "drain" => Value::Drain { .. },
    "share" => Value::Share { .. },
    "instance" => Value::Instance(_),
    "voters" => Value::Queens(_),
});

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 20, 30, last)
}

fn card(n: u8) -> Card {
    Card {
        name: format!("daemon-{n}"),
        ip: ip(n),
        zone: format!("zone-{n}"),
        control: Some(SocketAddrV4::new(ip(n + 100), 8000 + u16::from(n))),
        age: 300 + u16::from(n),
    }
}

fn span(n: u64) -> Duration {
    Duration::new(n, 1_000_000 + n as u32)
}

fn digests() -> Digests {
    [1, 250, 251, 65_535, 65_536, u64::from(u32::MAX), 1 << 32, u64::MAX]
}

/// Its counts are private: they are set by name.
fn need(n: u64) -> Need {
    serde_json::from_value(serde_json::json!({
        "tenant": format!("tenant-{n}"),
        "taken": [[n + 1, n + 2], [n + 3, n + 4]],
        "given": [[n + 5, n + 6]],
        "spent": n + 7,
        "target": n + 8,
    }))
    .expect("a need")
}

fn pour(n: u64) -> Pour {
    let fields = serde_json::json!({ "tenant": format!("tenant-{n}"), "given": n + 1, "spent": n + 2 });
    serde_json::from_value(fields).expect("a pour")
}

fn bodies() -> Vec<Body> {
    let of = SnapshotId { index: 901, term: 902, length: 903, digest: u64::MAX - 904 };
    let entry = |(at, command)| Entry { term: 70 + at as u64, mark: mark(80 + 2 * at as u64), command };
    vec![
        Body::PreVote { last_index: 11, last_term: 12 },
        Body::PreVoteAnswer { granted: true },
        Body::RequestVote { last_index: 13, last_term: 14 },
        Body::Vote { granted: true },
        Body::AppendEntries {
            round: 21,
            prev_index: 22,
            prev_term: 23,
            entries: commands().into_iter().take(3).enumerate().map(entry).collect(),
            commit: 24,
            echo: u32::MAX - 25,
            confirmed: 26,
        },
        Body::Appended { round: 31, success: true, index: 32, nonce: 33 },
        Body::Deposed,
        Body::InstallSnapshot { round: 41, of, offset: 42, bytes: vec![43, 44, 45] },
        Body::SnapshotTaken { round: 51, of, offset: 52 },
        Body::Join { voter: true },
        Body::Succeed,
        Body::Leave,
        Body::Left,
    ]
}

fn instance(draining: bool, gone: bool, primary: bool) -> Value {
    Value::Instance(Instance {
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

fn values() -> Vec<Value> {
    vec![
        Value::Config(vec![1, 2, 3]),
        Value::Packed { base: Some(4), bytes: vec![5, 6] },
        Value::Epoch { service: "service".into(), epoch: 7, primary: "primary".into(), term: 8, closed: true },
        Value::Drain { id: "instance".into() },
        Value::Share { name: "daemon".into(), part: Some(Part { ip: ip(9), zone: "zone".into() }) },
        instance(true, false, false),
        instance(false, true, false),
        instance(false, false, true),
        Value::Queens(vec![ip(12), ip(13)]),
    ]
}

fn facts() -> Vec<Fact> {
    let fact = |(at, value)| Fact { key: format!("key-{at}"), version: 500 + at as u64, value };
    values().into_iter().enumerate().map(fact).collect()
}

fn pulse() -> Pulse {
    Pulse { age: span(61), depth: 62, leader: Some(ip(63)), sum: 64, digests: Some(digests()) }
}

fn ask() -> Ask {
    let counts = |n| BTreeMap::from([("tenant-a".to_owned(), n), ("tenant-b".to_owned(), n + 1)]);
    let sight = |n: u64, failing: bool| Sight {
        service: format!("service-{n}"),
        epoch: n,
        failing,
        deposed: !failing,
        heard: Some(span(n + 1)),
    };
    Ask {
        nonce: 101,
        node: "daemon".into(),
        zone: "zone".into(),
        life: 102,
        usage: BTreeMap::from([(103, counts(104)), (106, counts(107))]),
        wants: vec!["service-x".into(), "service-y".into()],
        sights: vec![sight(110, true), sight(112, false)],
        demand: 114,
        sum: 115,
        needs: vec![need(120), need(140)],
        known: 116,
    }
}

fn grant() -> Grant {
    Grant {
        nonce: 201,
        leases: vec![("service-x".into(), 202), ("service-y".into(), 203)],
        span: span(204),
        reported: Some(205),
        digests: Some(digests()),
        term: 206,
        pours: vec![pour(210), pour(220)],
    }
}

/// One of each message but those of `Raft`, in the order of the variants, with every command, outcome and value.
fn messages() -> Vec<(String, Dance)> {
    let named = |dance: Dance| (message_name(&dance).to_owned(), dance);
    let mut all: Vec<(String, Dance)> = [
        Dance::Hello { card: card(1), voter: Some(u64::MAX - 2), founding: true, known: vec![card(3), card(4)] },
        Dance::Heard { mark: mark(5) },
        Dance::Elsewhere { mark: mark(7) },
        Dance::Beats { beats: vec![("a".into(), 9, span(10)), ("b".into(), 11, span(12))], digests: digests() },
        Dance::Attach { card: card(13) },
        Dance::Welcome { pulse: Pulse { leader: None, digests: None, ..pulse() } },
        Dance::Full { others: vec![card(14), card(15)] },
        Dance::Detach,
        Dance::Facts(facts()),
        Dance::Pulse(pulse()),
        Dance::Compare { ranges: vec![2, 7], versions: vec![("key-a".into(), 16), ("key-b".into(), 17)] },
        Dance::Shuffle { cards: vec![card(18), card(19)], answer: true },
        Dance::Ask(ask()),
        Dance::Grant(grant()),
        Dance::Dip { nonce: 20, node: "daemon".into(), life: 21, needs: vec![need(300), need(320)] },
        Dance::Poured { nonce: 22, span: span(23), term: 24, pours: vec![pour(400), pour(410)] },
        Dance::Led { leader: ip(25) },
        Dance::Recall { service: "service".into(), epoch: 26 },
        Dance::Returned { service: "service".into(), epoch: 27 },
    ]
    .map(named)
    .into();
    let raft = |body| Dance::Raft(Message { from: voter(30), to: u64::MAX - 31, term: 32, body });
    all.extend(bodies().into_iter().map(|body| (format!("raft.{}", body_name(&body)), raft(body))));
    all.extend(commands().into_iter().map(|command| {
        let name = format!("propose.{}", command_name(&command));
        (name, Dance::Propose { mark: mark(33), command })
    }));
    all.extend(outcomes().into_iter().map(|outcome| {
        let name = format!("decided.{}", outcome_name(&outcome));
        (name, Dance::Decided { mark: mark(35), outcome })
    }));
    all
}

/// Long enough to be compressed on its way.
fn long() -> Dance {
    Dance::Facts((0..12).flat_map(|_| facts()).collect())
}

pub fn samples() -> Vec<Sample> {
    let sampled = |name: String, value| sample(format!("message.{name}"), value, dance::encode, dance::decode);
    let mut all: Vec<Sample> = messages().into_iter().map(|(name, value)| sampled(name, value)).collect();
    all.push(Sample { compressed: true, ..sampled("facts-compressed".into(), long()) });
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
    let kinds = |dances: Vec<Dance>| dances.iter().map(|d| dance::encode(d)[0]).collect::<Vec<u8>>();
    assert!(kinds(messages().into_iter().map(|(_, dance)| dance).collect()).iter().all(|kind| *kind == 0));
    assert_eq!(kinds(vec![long()]), [1]);
    assert_eq!(dance::FRAME_MAX, 8 << 20);
}
