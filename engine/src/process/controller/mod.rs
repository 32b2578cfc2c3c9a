//! The control plane's state machine: one [`Controller`] a daemon, without sockets, disks or clocks.
//!
//! It joins four components: the replicated log ([`Raft`]) with the state that the log decides ([`ControlState`]),
//! the registry of instances, the root of the dissemination tree, and the leader's duties ([`Leadership`]). The
//! driver feeds it what comes from outside, takes its [`Effect`]s after each call, and calls [`Controller::tick`]
//! again at [`Controller::next_wakeup`].
//!
//! Where to look:
//!
//! - `effect` — what the driver is asked to do;
//! - `timers` — the periodic work: greetings, requests for the log, gossip, the leader's duties;
//! - `component_effects` — what the components ask for, after every call: `process_effects` and its steps;
//! - `applied_log` — entries and snapshots that the log hands over;
//! - `publication` — updates for the tree, from what the log has changed;
//! - `peer_messages` — messages of other daemons, one handler a message;
//! - `membership` — greetings, the other controllers, the first electorate;
//! - `quorum_gate` — contact with a majority, and every reason for which a call is answered with 503;
//! - `http_api` — requests, routes and errors of the HTTP interface;
//! - `put_config` — how a `PUT` of a configuration becomes an acknowledged version;
//! - `instance_api` — instances' heartbeats and their end;
//! - `reads` — linearizable reads of the configuration and its history;
//! - `proposals` — commands on their way to the leader and through the log;
//! - `status` — the report that operators read.

use super::consensus::{LEADER_CONFIRMATION, Parameters, PersistentState, Raft, Role};
use super::dissemination::partial_view::{PartialView, PeerDescriptor};
use super::dissemination::tree::{DisseminationTree, TreeOptions};
use super::instance_registry::InstanceRegistry;
use super::leadership::{HealthCheckResult, LeaderContext, Leadership, PlatformCallOutcome};
use super::settings::{Settings, TimingBounds};
use crate::version::control_state::ControlState;
use crate::version::electorate::VoterId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

mod applied_log;
mod component_effects;
mod effect;
mod http_api;
mod instance_api;
mod membership;
mod peer_messages;
mod proposals;
mod publication;
mod put_config;
mod quorum_gate;
mod reads;
mod status;
mod timers;

pub use effect::{Effect, RequestToken};
pub use http_api::{Request, Response};
pub use status::{InstanceStatus, PrimaryStatus, StatusReport};

use membership::Membership;
use proposals::Proposals;
use quorum_gate::QuorumGate;
use reads::PendingReads;
use timers::Deadlines;

/// One daemon of the control plane.
pub struct Controller {
    /// This daemon, as it presents itself to others.
    descriptor: PeerDescriptor,
    membership: Membership,
    raft: Raft,
    quorum_gate: QuorumGate,
    /// What the applied part of the log has decided.
    control_state: ControlState,
    registry: InstanceRegistry,
    /// This daemon's place in the dissemination tree: one of its roots.
    tree: DisseminationTree,
    leadership: Leadership,
    proposals: Proposals,
    reads: PendingReads,
    deadlines: Deadlines,
    /// The log index up to which changes were published to the tree.
    published_index: u64,
    /// The time of day at the last tick, since 1970.
    wall_clock: Duration,
    /// The role when the last change of it was logged.
    last_role: Role,
    /// The leader, by its term, to which pending proposals were last sent.
    notified_leader: Option<LeaderTerm>,
    /// Effects that the driver has not taken yet, in order.
    pending_effects: VecDeque<Effect>,
}

/// A leader in one of its terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeaderTerm {
    leader: VoterId,
    term: u64,
}

impl Controller {
    /// A daemon that starts with what its disk holds.
    pub fn new(now: Instant, settings: &Settings, stored: PersistentState, mut rng: fastrand::Rng) -> Self {
        let descriptor = PeerDescriptor::of_daemon(settings, settings.listen.control);
        let membership = Membership::new(settings);
        let election_timeout = Duration::from_millis(settings.election.t_ms);
        let parameters = Parameters::new(election_timeout, LEADER_CONFIRMATION, settings.tolerance.machines);
        // The order of the draws from the generator is fixed: simulated runs are repeated by their seed.
        let proposals = Proposals::new(rng.u64(1..));
        let raft = Raft::new(now, settings.ip, parameters, stored, rng.fork());
        let partial_view = PartialView::new(descriptor.clone(), rng.fork());
        let tree_options = TreeOptions {
            partial_view,
            seeds: membership.seeds.clone(),
            is_root: true,
            link_mbps: settings.limits.link_mbps,
        };
        let tree = DisseminationTree::new(now, tree_options);
        let heartbeat_interval = Duration::from_millis(settings.beat_ms);
        let bounds = settings.timing_bounds.clone();
        let leadership =
            Leadership::new(now, &settings.node_name, bounds, heartbeat_interval, settings.platform.clone());
        let mut controller = Controller {
            descriptor,
            membership,
            raft,
            quorum_gate: QuorumGate::new(election_timeout),
            control_state: ControlState::default(),
            registry: InstanceRegistry::default(),
            tree,
            leadership,
            proposals,
            reads: PendingReads::default(),
            deadlines: Deadlines::new(now),
            published_index: 0,
            wall_clock: Duration::ZERO,
            last_role: Role::Follower,
            notified_leader: None,
            pending_effects: VecDeque::new(),
        };
        controller.process_effects(now);
        controller
    }

    /// Takes the effects that were asked for since the last call, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.pending_effects).into()
    }

    /// The state that the applied part of the log has decided.
    pub fn control_state(&self) -> &ControlState {
        &self.control_state
    }

    /// The log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Takes new timing bounds, after the settings file has changed.
    pub fn set_timing_bounds(&mut self, bounds: TimingBounds) {
        self.leadership.set_bounds(bounds);
    }

    /// All writes up to this number are durable.
    pub fn on_write_durable(&mut self, now: Instant, write: u64) {
        self.raft.on_write_durable(now, write);
        self.process_effects(now);
    }

    /// This daemon was asked to end: it hands its lead and its vote on. See [`Controller::may_exit`].
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.raft.begin_shutdown(now);
        self.process_effects(now);
    }

    /// Whether this daemon, asked to end, is not needed any more.
    pub fn may_exit(&self) -> bool {
        self.raft.may_shut_down()
    }

    /// The result of an [`Effect::HealthCheck`].
    pub fn health_check_finished(&mut self, now: Instant, token: u64, result: HealthCheckResult) {
        self.leadership.health_check_finished(now, token, result);
        self.deadlines.leader_duties = now;
    }

    /// The outcome of an [`Effect::PlatformCall`].
    pub fn platform_call_finished(&mut self, now: Instant, token: u64, outcome: PlatformCallOutcome) {
        self.leadership.platform_call_finished(now, token, outcome);
        self.deadlines.leader_duties = now;
    }

    /// Whether a call to the platform under this fencing token (the leader's term) may go out at this moment.
    pub fn may_call(&self, now: Instant, fence: u64) -> bool {
        self.raft.is_confirmed_leader(now) && self.raft.term() == fence
    }
}

/// What the leader's duties look at, without the time of day. Not a method, so that the duties can be borrowed beside it.
fn leader_context<'a>(
    now: Instant,
    raft: &Raft,
    control_state: &'a ControlState,
    registry: &'a InstanceRegistry,
) -> LeaderContext<'a> {
    LeaderContext { now, term: raft.term(), control_state, registry, time_of_day: Duration::ZERO }
}
