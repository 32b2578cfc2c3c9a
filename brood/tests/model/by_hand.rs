//! Queens whose messages are passed by hand, where a test needs one certain order of a few of them.

use super::schedule::ms;
use brood::process::raft::{Body, Effect, Message, Parameters, Raft, Role, Stored};
use brood::version::electorate::Voter;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

struct Queens {
    now: Instant,
    queens: Vec<Raft>,
    /// What was sent and not yet passed on, and what was not passed on.
    sent: Vec<Message>,
    lost: Vec<Message>,
    readable: Vec<u64>,
}

impl Queens {
    fn founded(count: u8) -> Self {
        let now = Instant::now();
        let voters: Vec<Voter> =
            (1..=count).map(|n| Voter { id: u64::from(n), ip: Ipv4Addr::new(10, 0, 0, n) }).collect();
        let parameters = Parameters::new(ms(150), ms(400), 1);
        let queen = |v: &Voter| {
            let stored = Stored { id: v.id, ..Stored::default() };
            let mut raft = Raft::new(now, v.ip, parameters, stored, fastrand::Rng::with_seed(v.id));
            raft.found(voters.clone());
            raft
        };
        let queens = voters.iter().map(queen).collect();
        let mut all = Queens { now, queens, sent: Vec::new(), lost: Vec::new(), readable: Vec::new() };
        (0..count as usize).for_each(|at| all.settle(at));
        all
    }

    /// Writes are durable at once.
    fn settle(&mut self, at: usize) {
        loop {
            let effects = self.queens[at].effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write(number, _) => self.queens[at].durable(self.now, number),
                    Effect::Send(_, message, _) => self.sent.push(message),
                    Effect::Readable(token) => self.readable.push(token),
                    _ => {}
                }
            }
        }
    }

    /// Passes on what was sent between these, and what that leads to.
    fn pass_between(&mut self, among: &[u64]) {
        while let Some(message) = self.sent.pop() {
            if among.contains(&message.to) && among.contains(&message.from.id) {
                self.give(message);
            } else {
                self.lost.push(message);
            }
        }
    }

    fn give(&mut self, message: Message) {
        let at = message.to as usize - 1;
        self.queens[at].receive(self.now, message);
        self.settle(at);
    }

    fn tick(&mut self, at: usize, after: Duration) {
        self.now += after;
        self.queens[at].tick(self.now);
        self.settle(at);
    }

    /// The first is elected by the second.
    fn elect_first(&mut self) {
        while self.queens[0].role() != Role::Leader {
            self.tick(0, ms(400));
            self.pass_between(&[1, 2]);
        }
    }
}

/// A message of a leader's older term comes late; the refusal must not count as the answer to a round of
/// the term that the same queen leads now.
#[test]
fn an_older_terms_round_confirms_nothing() {
    let mut queens = Queens::founded(3);
    queens.elect_first();
    let term = queens.queens[0].term();
    let mut late = None;
    for _ in 0..20 {
        queens.tick(0, ms(75));
        late =
            queens.sent.iter().rfind(|m| m.to == 2 && matches!(m.body, Body::AppendEntries { .. })).cloned().or(late);
        queens.sent.clear();
    }
    assert_ne!(queens.queens[0].role(), Role::Leader, "nobody answered");
    queens.elect_first();
    assert!(queens.queens[0].term() > term);
    queens.sent.clear();
    queens.queens[0].read(queens.now, 7);
    queens.settle(0);
    queens.sent.clear();
    queens.give(late.expect("a message of the older term"));
    queens.pass_between(&[1, 2]);
    assert!(queens.readable.is_empty(), "nobody answered a round of this term");
    queens.tick(0, ms(75));
    queens.pass_between(&[1, 2]);
    assert_eq!(queens.readable, [7]);
}

/// A vote comes when the leader that it was for has stepped down: it must not lead the term a second time,
/// with its rounds counted from the beginning and answers to those of the first time on the way.
#[test]
fn a_late_vote_makes_no_leader_again() {
    let mut queens = Queens::founded(3);
    queens.elect_first();
    let term = queens.queens[0].term();
    let asked = queens.lost.iter().find(|m| m.to == 3 && m.term == term && matches!(m.body, Body::RequestVote { .. }));
    let asked = asked.cloned().expect("the third was asked too");
    while queens.queens[0].role() == Role::Leader {
        queens.tick(0, ms(75));
        queens.sent.clear();
    }
    while queens.queens[0].role() != Role::PreCandidate {
        queens.tick(0, ms(75));
    }
    queens.sent.clear();
    queens.give(asked);
    queens.pass_between(&[1, 3]);
    assert_eq!((queens.queens[0].term(), queens.queens[0].role()), (term, Role::PreCandidate));
}
