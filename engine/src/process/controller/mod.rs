//! The control plane's state machine: the log, the registry, the tree's root and the leadership.

use super::consensus::{LEADER_CONFIRMATION, Parameters, PersistentState, Raft, Role, Write};
use super::dissemination::anti_entropy::Instance;
use super::dissemination::partial_view::{PartialView, PeerDescriptor};
use super::dissemination::tree::{DisseminationTree, TreeOptions};
use super::instance_registry::{self, InstanceRegistry};
use super::leadership::{HealthCheckResult, LeaderContext, Leadership};
use super::peer_message::PeerMessage;
use super::settings::{Settings, TimingBounds};
use crate::version::control_state::ControlState;
use crate::version::electorate::VoterId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

pub type Token = u64;

mod applied_log;
mod http_api;
mod peer_messages;
mod proposals;
mod quorum_gate;
mod status;

use http_api::Read;
pub use http_api::{Request, Response};
use proposals::Proposal;
use quorum_gate::QuorumGate;

#[derive(Debug)]
pub enum Effect {
    Write(u64, Write),
    /// To be let out once the write with this number is durable (0: at once).
    Send(Ipv4Addr, PeerMessage, u64),
    Reply(Token, Response),
    HealthCheck {
        token: u64,
        instance: Instance,
        text: String,
    },
    PlatformCall {
        token: u64,
        path: &'static str,
        fence: u64,
        body: String,
    },
    Log(String),
    /// Something that threatens a rule: the ring is written out.
    LogError(String),
}

/// Between controllers: how often liveness and digests are exchanged.
const GOSSIP: Duration = Duration::from_millis(1000);
const DUTY_TICK: Duration = Duration::from_millis(25);
const HELLO: Duration = Duration::from_millis(200);
const JOIN: Duration = Duration::from_millis(300);
/// Daemons that keep the log and were not heard for this long are forgotten, unless they are seeds or vote.
const CONTROLLER_FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// Timers armed for a tick are never nearer than this.
const BREATH: Duration = Duration::from_millis(2);

pub struct Controller {
    descriptor: PeerDescriptor,
    seeds: Vec<Ipv4Addr>,
    in_quorum: bool,
    bootstrap: bool,
    raft: Raft,
    gate: QuorumGate,
    control_state: ControlState,
    registry: InstanceRegistry,
    relay: DisseminationTree,
    leadership: Leadership,
    /// Other daemons that keep the log.
    controllers: BTreeMap<Ipv4Addr, (PeerDescriptor, Instant)>,
    founders: BTreeMap<Ipv4Addr, VoterId>,
    proposer: u64,
    serial: u64,
    proposals: BTreeMap<u64, Proposal>,
    reads: BTreeMap<u64, Read>,
    next_read: u64,
    published: u64,
    hello_due: Instant,
    join_due: Instant,
    gossip_due: Instant,
    duty_due: Instant,
    /// The time of day at the last tick, since 1970.
    wall: Duration,
    was: Role,
    /// The leader, and its term, that proposals go to.
    told: Option<(VoterId, u64)>,
    pending: VecDeque<Effect>,
}

impl Controller {
    pub fn new(now: Instant, settings: &Settings, stored: PersistentState, mut rng: fastrand::Rng) -> Self {
        let descriptor = PeerDescriptor {
            name: settings.node_name.clone(),
            ip: settings.ip,
            zone: settings.zone.clone(),
            control: settings.listen.control,
            age: 0,
        };
        let seeds: Vec<Ipv4Addr> = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
        let t = Duration::from_millis(settings.election.t_ms);
        let parameters = Parameters::new(t, LEADER_CONFIRMATION, settings.tolerance.machines);
        let proposer = rng.u64(1..);
        let raft = Raft::new(now, settings.ip, parameters, stored, rng.fork());
        let tree_options = TreeOptions {
            partial_view: PartialView::new(descriptor.clone(), rng.fork()),
            seeds: seeds.clone(),
            is_root: true,
            link_mbps: settings.limits.link_mbps,
        };
        let relay = DisseminationTree::new(now, tree_options);
        let beat = Duration::from_millis(settings.beat_ms);
        let bounds: TimingBounds = settings.timing_bounds.clone();
        let leadership = Leadership::new(now, &settings.node_name, bounds, beat, settings.platform.clone());
        let mut controller = Controller {
            descriptor,
            seeds,
            in_quorum: settings.in_quorum,
            bootstrap: settings.bootstrap,
            raft,
            gate: QuorumGate::new(t),
            control_state: ControlState::default(),
            registry: InstanceRegistry::default(),
            relay,
            leadership,
            controllers: BTreeMap::new(),
            founders: BTreeMap::new(),
            proposer,
            serial: 0,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            published: 0,
            hello_due: now,
            join_due: now,
            gossip_due: now + GOSSIP / 2,
            duty_due: now,
            wall: Duration::ZERO,
            was: Role::Follower,
            told: None,
            pending: VecDeque::new(),
        };
        controller.turn(now);
        controller
    }

    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.pending).into()
    }

    pub fn control_state(&self) -> &ControlState {
        &self.control_state
    }

    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    pub fn set_bounds(&mut self, bounds: TimingBounds) {
        self.leadership.set_bounds(bounds);
    }

    fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.pending.push_back(Effect::Send(to, message, 0));
    }

    /// Every other daemon that may keep the log: the seeds are only the first of them.
    fn others(&self) -> BTreeSet<Ipv4Addr> {
        let voters = self.raft.voters().into_iter().map(|v| v.ip);
        let mut all: BTreeSet<Ipv4Addr> =
            self.seeds.iter().copied().chain(self.controllers.keys().copied()).chain(voters).collect();
        all.remove(&self.descriptor.ip);
        all
    }

    pub fn durable(&mut self, now: Instant, write: u64) {
        self.raft.on_write_durable(now, write);
        self.turn(now);
    }

    /// This daemon is about to end.
    pub fn leave(&mut self, now: Instant) {
        self.raft.begin_shutdown(now);
        self.turn(now);
    }

    /// Whether this daemon, told to leave, is not needed any more.
    pub fn may_end(&self) -> bool {
        self.raft.may_end()
    }

    pub fn health_check_finished(&mut self, now: Instant, token: u64, result: HealthCheckResult) {
        self.leadership.health_check_finished(now, token, result);
        self.duty_due = now;
    }

    pub fn platform_call_finished(&mut self, now: Instant, token: u64, status: Option<u16>) {
        self.leadership.platform_call_finished(now, token, status);
        self.duty_due = now;
    }

    /// Whether a call to the platform may go out at this moment.
    pub fn may_call(&self, now: Instant, fence: u64) -> bool {
        self.raft.is_confirmed_leader(now) && self.raft.term() == fence
    }

    pub fn next_due(&self) -> Instant {
        let mut due = self.raft.next_due().min(self.relay.next_due()).min(self.gossip_due);
        due = due.min(self.hello_due);
        if !self.raft.is_voter() || self.raft.leader().is_none() {
            due = due.min(self.join_due);
        }
        if self.raft.role() == Role::Leader {
            due = due.min(self.duty_due);
        }
        for p in self.proposals.values() {
            due = due.min(p.due);
        }
        for read in self.reads.values() {
            due = due.min(read.by);
        }
        due
    }

    /// `wall` is the time of day since 1970.
    pub fn tick(&mut self, now: Instant, wall: Duration) {
        self.wall = wall;
        self.raft.tick(now);
        self.turn(now);
        if now >= self.hello_due {
            self.hello_due = now + if self.raft.voters().is_empty() { HELLO } else { HELLO * 25 };
            let hello = self.hello();
            for to in self.others() {
                self.send(to, hello.clone());
            }
            self.controllers.retain(|_, (_, heard)| now.duration_since(*heard) < CONTROLLER_FORGOTTEN_AFTER);
            self.found();
        }
        if now >= self.join_due {
            self.join_due = now + JOIN;
            let outside = !self.raft.is_voter()
                && (!self.bootstrap || !self.raft.voters().is_empty() || !self.seeds.contains(&self.descriptor.ip));
            // A voter that finds no leader for so long may have been retired while it was away.
            let lost = self.raft.leader().is_none() && !self.raft.voters().is_empty();
            if outside || lost {
                for to in self.others() {
                    self.raft.join(to, self.in_quorum);
                }
            }
        }
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP;
            let beats = self.registry.recent_heartbeats(now, GOSSIP + GOSSIP / 2);
            let digests = self.relay.update_store.digests();
            for to in self.others() {
                self.send(to, PeerMessage::InstanceHeartbeats { heartbeats: beats.clone(), digests });
            }
            for id in self.registry.remove_expired(now) {
                self.relay.update_store.remove(&instance_registry::key(&id));
            }
        }
        self.push_proposals(now);
        self.expire_reads(now);
        self.relay.tick(now);
        if self.raft.is_confirmed_leader(now) && now >= self.duty_due {
            self.duty_due = now + DUTY_TICK;
            let context = LeaderContext {
                now,
                term: self.raft.term(),
                control_state: &self.control_state,
                registry: &self.registry,
                wall,
                confirm: LEADER_CONFIRMATION,
            };
            self.leadership.run_once(&context);
        } else if now >= self.duty_due {
            self.duty_due = now + DUTY_TICK;
        }
        self.turn(now);
    }

    /// The earliest moment worth waking for.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        self.next_due().max(now + BREATH)
    }
}
