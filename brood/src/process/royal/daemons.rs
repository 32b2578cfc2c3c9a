//! What other daemons say: greetings, the log's messages, proposals, asks for leases, the tree.

use super::proposals::DECIDED_TIMER;
use super::{CONFIRM, Royal};
use crate::process::dance::{Dance, Grant};
use crate::process::duties::{self, Scene};
use crate::process::raft::Role;
use crate::process::repair::{Fact, Value};
use crate::process::views::Card;
use crate::version::electorate::Voter;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

impl Royal {
    pub fn dance(&mut self, now: Instant, from: Ipv4Addr, dance: Dance) {
        if self.turns_away(now, from, &dance) {
            return self.turn(now);
        }
        if let Some(rest) = self.relay.receive(now, from, dance) {
            self.other_dance(now, from, rest);
        }
        let news = self.relay.news();
        for fact in &news {
            if let Value::Instance(instance) = &fact.value {
                self.registry.learn(now, fact.version, instance);
            }
        }
        self.turn(now);
    }

    fn other_dance(&mut self, now: Instant, from: Ipv4Addr, dance: Dance) {
        match dance {
            Dance::Hello { card, voter, founding, known } => {
                if card.control.is_some() {
                    let new = self.queens.insert(from, (card.clone(), now)).is_none_or(|(c, _)| c.control.is_none());
                    if new {
                        let hello = self.hello();
                        self.send(from, hello);
                    }
                }
                for card in known.into_iter().filter(|c| c.ip != self.card.ip && c.control.is_some()) {
                    self.queens.entry(card.ip).or_insert((card, now));
                }
                self.relay.views.take(std::slice::from_ref(&card));
                if let Some(id) = voter.filter(|_| founding && self.seeds.contains(&from)) {
                    self.founders.insert(from, id);
                    self.found();
                }
            }
            Dance::Raft(message) => {
                let unknown = || Card { name: from.to_string(), ip: from, zone: String::new(), control: None, age: 0 };
                self.queens.entry(from).or_insert_with(|| (unknown(), now)).1 = now;
                self.raft.receive(now, message);
            }
            Dance::Propose { mark, command } => {
                if self.raft.role() != Role::Leader {
                    self.send(from, Dance::Elsewhere { mark });
                } else if let Some(outcome) = self.ledger.result(mark).cloned() {
                    self.send(from, Dance::Decided { mark, outcome });
                } else if self.raft.propose(now, mark, command).is_some() {
                    self.send(from, Dance::Heard { mark });
                } else {
                    // It hands its lead on, or has too much under way.
                    self.send(from, Dance::Elsewhere { mark });
                }
            }
            Dance::Heard { mark } => {
                if let Some(p) = self.proposals.get_mut(&mark.serial).filter(|_| mark.proposer == self.proposer) {
                    p.heard = true;
                    p.due = now + DECIDED_TIMER;
                }
            }
            Dance::Decided { mark, outcome } if mark.proposer == self.proposer => self.decided(now, mark, &outcome),
            Dance::Elsewhere { .. } => {}
            Dance::Beats { beats, digests } => {
                self.registry.heard(now, &beats);
                let ranges = self.relay.copies.differing(&digests);
                if !ranges.is_empty() {
                    let versions = self.relay.copies.versions(&ranges);
                    self.send(from, Dance::Compare { ranges, versions });
                }
            }
            Dance::Ask(ask) => {
                if !self.raft.confirmed(now) {
                    if let Some(leader) = self.raft.leader().filter(|l| l.ip != self.card.ip && self.in_contact(now)) {
                        self.send(from, Dance::Led { leader: leader.ip });
                    }
                    return;
                }
                let (nonce, sum) = (ask.nonce, ask.sum);
                let scene = Scene {
                    now,
                    term: self.raft.term(),
                    ledger: &self.ledger,
                    registry: &self.registry,
                    wall: Duration::ZERO,
                    confirm: CONFIRM,
                };
                let (leases, reported, pours) = self.duties.asked(&scene, from, ask);
                let digests = (sum != self.relay.copies.sum()).then(|| self.relay.copies.digests());
                let (span, term) = (duties::LEASE, self.raft.term());
                self.send(from, Dance::Grant(Grant { nonce, leases, span, reported, digests, term, pours }));
            }
            Dance::Dip { nonce, node, life, needs } if self.raft.confirmed(now) => {
                let term = self.raft.term();
                let pours = self.duties.pour(now, term, &self.ledger, (&node, life), false, needs);
                self.send(from, Dance::Poured { nonce, span: duties::LEASE, term, pours });
            }
            Dance::Returned { service, epoch } => {
                self.duties.returned(from, &service, epoch);
                self.duty_due = now;
            }
            _ => {}
        }
    }

    pub(super) fn hello(&self) -> Dance {
        let founding = self.bootstrap && self.in_quorum;
        let known = self.queens.values().map(|(c, _)| c.clone()).collect();
        Dance::Hello { card: self.card.clone(), voter: Some(self.raft.me().id), founding, known }
    }

    /// Where callers of `control` find another daemon that keeps the log.
    pub(super) fn control_of(&self, ip: Ipv4Addr) -> Option<SocketAddrV4> {
        if ip == self.card.ip { self.card.control } else { self.queens.get(&ip).and_then(|(c, _)| c.control) }
    }

    /// Fixes the first electorate: the seeds that vote, once each has told its identity.
    pub(super) fn found(&mut self) {
        if !self.bootstrap || !self.in_quorum || !self.raft.voters().is_empty() || !self.seeds.contains(&self.card.ip) {
            return;
        }
        let mut voters: Vec<Voter> = vec![self.raft.me()];
        for seed in self.seeds.iter().filter(|s| **s != self.card.ip) {
            match self.founders.get(seed) {
                Some(id) => voters.push(Voter { id: *id, ip: *seed }),
                None => return,
            }
        }
        voters.sort_unstable();
        voters.dedup();
        self.raft.found(voters);
    }

    /// To the own children in the tree, and to the other roots for theirs.
    pub(super) fn spread(&mut self, fact: Fact) {
        for to in self.others() {
            self.send(to, Dance::Facts(vec![fact.clone()]));
        }
        self.relay.publish(vec![fact]);
    }
}
