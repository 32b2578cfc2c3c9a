//! Cases that need one particular order of a few messages, which the test delivers one by one.

use super::schedule::ms;
use lichenfield_engine::process::consensus::{Effect, Message, MessageBody, Parameters, PersistentState, Raft, Role};
use lichenfield_engine::version::electorate::Voter;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

struct Cluster {
    now: Instant,
    controllers: Vec<Raft>,
    /// Messages sent and not yet delivered, and messages that were lost.
    sent: Vec<Message>,
    lost: Vec<Message>,
    readable: Vec<u64>,
}

impl Cluster {
    fn with_voters(count: u8) -> Self {
        let now = Instant::now();
        let voters: Vec<Voter> =
            (1..=count).map(|n| Voter { id: u64::from(n), ip: Ipv4Addr::new(10, 0, 0, n) }).collect();
        let parameters = Parameters::new(ms(150), ms(400), 1);
        let controller = |v: &Voter| {
            let stored = PersistentState { id: v.id, ..PersistentState::default() };
            let mut raft = Raft::new(now, v.ip, parameters, stored, fastrand::Rng::with_seed(v.id));
            raft.bootstrap(voters.clone());
            raft
        };
        let controllers = voters.iter().map(controller).collect();
        let mut all = Cluster { now, controllers, sent: Vec::new(), lost: Vec::new(), readable: Vec::new() };
        (0..count as usize).for_each(|at| all.perform_effects(at));
        all
    }

    /// Writes are durable at once.
    fn perform_effects(&mut self, at: usize) {
        loop {
            let effects = self.controllers[at].take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write { number, .. } => self.controllers[at].on_write_durable(self.now, number),
                    Effect::Send { message, .. } => self.sent.push(message),
                    Effect::ReadReady(token) => self.readable.push(token),
                    _ => {}
                }
            }
        }
    }

    /// Delivers the messages between these voters, and those that follow; the others are lost.
    fn deliver_between(&mut self, among: &[u64]) {
        while let Some(message) = self.sent.pop() {
            if among.contains(&message.to) && among.contains(&message.from.id) {
                self.deliver(message);
            } else {
                self.lost.push(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let at = message.to as usize - 1;
        self.controllers[at].handle_message(self.now, message);
        self.perform_effects(at);
    }

    fn tick(&mut self, at: usize, after: Duration) {
        self.now += after;
        self.controllers[at].tick(self.now);
        self.perform_effects(at);
    }

    /// The first controller is elected with the vote of the second.
    fn elect_first(&mut self) {
        while self.controllers[0].role() != Role::Leader {
            self.tick(0, ms(400));
            self.deliver_between(&[1, 2]);
        }
    }
}

/// A message of a leader's older term comes late; the refusal must not count as the answer to a round of
/// the term that the same controller leads now.
#[test]
fn a_refusal_of_an_older_terms_message_confirms_no_round() {
    let mut cluster = Cluster::with_voters(3);
    cluster.elect_first();
    let term = cluster.controllers[0].term();
    let mut late = None;
    for _ in 0..20 {
        cluster.tick(0, ms(75));
        late = cluster
            .sent
            .iter()
            .rfind(|m| m.to == 2 && matches!(m.body, MessageBody::AppendEntries { .. }))
            .cloned()
            .or(late);
        cluster.sent.clear();
    }
    assert_ne!(cluster.controllers[0].role(), Role::Leader, "nobody answered");
    cluster.elect_first();
    assert!(cluster.controllers[0].term() > term);
    cluster.sent.clear();
    cluster.controllers[0].read(cluster.now, 7);
    cluster.perform_effects(0);
    cluster.sent.clear();
    cluster.deliver(late.expect("a message of the older term"));
    cluster.deliver_between(&[1, 2]);
    assert!(cluster.readable.is_empty(), "nobody answered a round of this term");
    cluster.tick(0, ms(75));
    cluster.deliver_between(&[1, 2]);
    assert_eq!(cluster.readable, [7]);
}

/// A vote comes when the leader that it was for has stepped down: it must not lead the term a second time,
/// with its rounds counted from the beginning and answers to those of the first time on the way.
#[test]
fn a_late_vote_does_not_make_a_leader_of_the_same_term_twice() {
    let mut cluster = Cluster::with_voters(3);
    cluster.elect_first();
    let term = cluster.controllers[0].term();
    let request =
        cluster.lost.iter().find(|m| m.to == 3 && m.term == term && matches!(m.body, MessageBody::RequestVote { .. }));
    let request = request.cloned().expect("the third got a request too");
    while cluster.controllers[0].role() == Role::Leader {
        cluster.tick(0, ms(75));
        cluster.sent.clear();
    }
    while cluster.controllers[0].role() != Role::PreCandidate {
        cluster.tick(0, ms(75));
    }
    cluster.sent.clear();
    cluster.deliver(request);
    cluster.deliver_between(&[1, 3]);
    assert_eq!((cluster.controllers[0].term(), cluster.controllers[0].role()), (term, Role::PreCandidate));
}
