//! The periodic work of a controller, and when it is next due.

use super::{Controller, LeaderContext, leader_context};
use crate::process::consensus::Role;
use crate::process::instance_registry;
use crate::process::peer_message::PeerMessage;
use std::time::{Duration, Instant};

/// How often controllers exchange the liveness of instances and the digests of their updates.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(1000);
/// Liveness of instances this old is still passed on: an exchange may be half an interval late.
const GOSSIP_SPAN: Duration = Duration::from_millis(1500);
/// How often the leader's duties are run, unless something happens before.
const LEADER_DUTY_INTERVAL: Duration = Duration::from_millis(25);
/// How often controllers greet each other while there is no electorate.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// So many times rarer once there is one.
const SETTLED_HELLO_FACTOR: u32 = 25;
/// How often a daemon outside the electorate, or without a leader, asks the others for the log.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Wake-ups are at least this far apart, so that a deadline that has passed can't keep the daemon spinning.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(2);

/// When each periodic work is next due.
pub(super) struct Deadlines {
    pub(super) hello: Instant,
    pub(super) join: Instant,
    pub(super) gossip: Instant,
    pub(super) leader_duties: Instant,
}

impl Deadlines {
    pub(super) fn new(now: Instant) -> Self {
        Deadlines { hello: now, join: now, gossip: now + GOSSIP_INTERVAL / 2, leader_duties: now }
    }
}

impl Controller {
    /// Does what is due. `wall_clock`: the time of day since 1970.
    pub fn tick(&mut self, now: Instant, wall_clock: Duration) {
        self.wall_clock = wall_clock;
        self.raft.tick(now);
        self.process_effects(now);
        if now >= self.deadlines.hello {
            self.greet_controllers(now);
        }
        if now >= self.deadlines.join {
            self.request_log(now);
        }
        if now >= self.deadlines.gossip {
            self.gossip(now);
        }
        self.send_due_proposals(now);
        self.expire_reads(now);
        self.tree.tick(now);
        if now >= self.deadlines.leader_duties {
            self.run_leader_duties(now);
        }
        self.process_effects(now);
    }

    /// The earliest moment at which [`Controller::tick`] is worth calling.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        self.next_deadline().max(now + MIN_WAKEUP_DELAY)
    }

    fn next_deadline(&self) -> Instant {
        let mut next = self.raft.next_due().min(self.tree.next_due());
        next = next.min(self.deadlines.gossip).min(self.deadlines.hello);
        if !self.raft.is_voter() || self.raft.leader().is_none() {
            next = next.min(self.deadlines.join);
        }
        if self.raft.role() == Role::Leader {
            next = next.min(self.deadlines.leader_duties);
        }
        let proposals = self.proposals.next_deadline().into_iter();
        let reads = self.reads.next_deadline().into_iter();
        proposals.chain(reads).fold(next, Instant::min)
    }

    /// Greets the other controllers, and forgets those that have been silent for long.
    fn greet_controllers(&mut self, now: Instant) {
        let has_electorate = !self.raft.voters().is_empty();
        let interval = if has_electorate { HELLO_INTERVAL * SETTLED_HELLO_FACTOR } else { HELLO_INTERVAL };
        self.deadlines.hello = now + interval;
        let hello = self.hello();
        for to in self.other_controllers() {
            self.send(to, hello.clone());
        }
        self.membership.forget_silent_controllers(now);
        self.bootstrap_electorate();
    }

    /// Asks the other controllers for the log, where this daemon is not sent it.
    fn request_log(&mut self, now: Instant) {
        self.deadlines.join = now + JOIN_INTERVAL;
        let has_electorate = !self.raft.voters().is_empty();
        let will_bootstrap = self.membership.bootstrap && !has_electorate && self.is_seed();
        let is_outsider = !self.raft.is_voter() && !will_bootstrap;
        // A voter that finds no leader for so long may have been removed from the electorate while it was away.
        let lost_leader = self.raft.leader().is_none() && has_electorate;
        if !is_outsider && !lost_leader {
            return;
        }
        for to in self.other_controllers() {
            self.raft.request_to_join(to, self.membership.in_quorum);
        }
    }

    /// Tells the other controllers which instances called here lately, and forgets instances long gone.
    fn gossip(&mut self, now: Instant) {
        self.deadlines.gossip = now + GOSSIP_INTERVAL;
        let beats = self.registry.recent_heartbeats(now, GOSSIP_SPAN);
        let digests = self.tree.update_store.digests();
        for to in self.other_controllers() {
            self.send(to, PeerMessage::InstanceHeartbeats { heartbeats: beats.clone(), digests });
        }
        for id in self.registry.remove_expired(now) {
            self.tree.update_store.remove(&instance_registry::key(&id));
        }
    }

    /// One step of the leader's duties; nothing at a daemon that is not confirmed as the leader.
    fn run_leader_duties(&mut self, now: Instant) {
        self.deadlines.leader_duties = now + LEADER_DUTY_INTERVAL;
        if !self.raft.is_confirmed_leader(now) {
            return;
        }
        let context = leader_context(now, &self.raft, &self.control_state, &self.registry);
        let context = LeaderContext { time_of_day: self.wall_clock, ..context };
        self.leadership.step(&context);
    }
}
