//! The simulated world: machines, network, disks and time, and stand-ins for all that surrounds the daemons.
//!
//! Everything happens as an event at a simulated time. Collections of the world that are iterated are ordered, so
//! that a world behaves alike in each run with the same seed, as far as the daemons in it do.

pub mod actions;
mod client;
mod clients;
mod connections;
mod database_group;
mod draining;
mod effects;
mod events;
mod host;
mod hosts;
mod measures;
mod network;
mod operator;
mod perform;
mod platform;
mod reads;
mod sessions;
mod trace_hooks;

pub use measures::Traffic;

use crate::database::{CandidateIsolation, DatabaseInstance, GroupLog};
use crate::judge::Judge;
use crate::trace::Trace;
use actions::PlatformState;
use client::Client;
use connections::ConnectionKey;
use database_group::PRIMARY_INDEX;
use events::{Event, EventQueue, FollowUp};
use host::Host;
use network::Network;
use operator::Operator;
use sessions::{Forwarding, Session};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

/// The service that clients use.
pub const SERVICE: &str = "svc";
/// Time of day at the world's beginning, since 1970.
const INITIAL_TIME_OF_DAY: Duration = Duration::from_secs(1_800_000_000);
/// The base of simulated time lies ahead of the real clock, so that state machines can subtract from it.
const BASE_AHEAD: Duration = Duration::from_secs(3600);
/// While the daemons start for the first time, whatever the world's disks take later.
const INITIAL_DISK_SYNC: Duration = Duration::from_millis(2);
/// Instances in the group at the beginning.
const INITIAL_INSTANCES: usize = 3;
/// When clients begin, and how far apart.
const FIRST_CLIENT: Duration = Duration::from_secs(4);
const CLIENT_INTERVAL: Duration = Duration::from_millis(13);
/// When the idle services' instances send their first heartbeat.
const FIRST_IDLE_HEARTBEAT: Duration = Duration::from_millis(1500);

/// Index into [`World::hosts`]: controllers first, then poolers.
type HostIndex = usize;
/// Index into [`World::instances`].
type InstanceIndex = usize;
/// Index into [`World::clients`].
type ClientIndex = usize;
/// A session between a client and a pooler.
type SessionId = u64;

/// What a world holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorldConfig {
    /// Controllers that found the system.
    pub controllers: usize,
    /// Further controller machines, which stay off until they are added.
    pub spare_controllers: usize,
    /// Poolers.
    pub poolers: usize,
    /// Clients, each with one session at a time.
    pub clients: usize,
    /// Machines that may be lost at once.
    pub tolerance: usize,
    /// Duration of a disk's sync.
    pub disk_sync: Duration,
    /// Connections that a service allows over all poolers.
    pub max_connections: u32,
    /// Services that no client uses, each of one instance.
    pub idle_services: usize,
    /// Routes that no client uses.
    pub idle_routes: usize,
}

impl Default for WorldConfig {
    fn default() -> Self {
        WorldConfig {
            controllers: 3,
            spare_controllers: 0,
            poolers: 3,
            clients: 6,
            tolerance: 1,
            disk_sync: INITIAL_DISK_SYNC,
            max_connections: 60,
            idle_services: 0,
            idle_routes: 0,
        }
    }
}

/// A simulated system and its surroundings.
pub struct World {
    /// What must hold, and what happened.
    pub judge: Judge,
    config: WorldConfig,
    /// Since the world's beginning.
    now: Duration,
    /// The beginning, as the state machines know it.
    base: Instant,
    rng: fastrand::Rng,
    events: EventQueue,
    hosts: Vec<Host>,
    /// Controllers, spare ones included: the first of the hosts.
    controllers: usize,
    /// Index applied last, by host.
    applied: Vec<u64>,
    disk_sync: Duration,
    network: Network,
    instances: Vec<DatabaseInstance>,
    log: GroupLog,
    /// Instances of the idle services.
    idle_instances: Vec<DatabaseInstance>,
    connections: BTreeMap<ConnectionKey, InstanceIndex>,
    platform_state: PlatformState,
    candidate_isolation: CandidateIsolation,
    operator: Operator,
    clients: Vec<Client>,
    clients_stopped: bool,
    sessions: BTreeMap<SessionId, Session>,
    next_session_id: SessionId,
    /// Sessions that the pooler they came to forwards to another.
    forwarded_sessions: BTreeMap<SessionId, Forwarding>,
    forwarded_session_count: usize,
    /// Sessions with input that a frozen pooler has not read.
    unread_sessions: HashSet<SessionId>,
    /// When something last happened that was no planned operation.
    last_disturbance_at: Option<Duration>,
    trace: Option<Trace>,
}

impl World {
    /// A world in which all but the spare daemons start at once.
    pub fn new(seed: u64, config: WorldConfig) -> Self {
        let mut world = World::empty(seed, config);
        world.add_hosts();
        for index in 0..INITIAL_INSTANCES {
            world.add_instance(index == PRIMARY_INDEX);
        }
        world.add_clients();
        world.disk_sync = config.disk_sync;
        world.idle_instances = database_group::idle_instances(config.idle_services);
        world.schedule(FIRST_IDLE_HEARTBEAT, Event::FollowUp(FollowUp::IdleHeartbeats));
        world
    }

    fn empty(seed: u64, config: WorldConfig) -> Self {
        World {
            config,
            now: Duration::ZERO,
            base: Instant::now() + BASE_AHEAD,
            rng: fastrand::Rng::with_seed(seed),
            events: EventQueue::default(),
            hosts: Vec::new(),
            controllers: config.controllers + config.spare_controllers,
            applied: Vec::new(),
            disk_sync: INITIAL_DISK_SYNC,
            network: Network::default(),
            instances: Vec::new(),
            log: GroupLog::new(),
            idle_instances: Vec::new(),
            platform_state: PlatformState::Up,
            candidate_isolation: CandidateIsolation::Off,
            operator: Operator::new(),
            clients: Vec::new(),
            clients_stopped: false,
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_session_id: 1,
            forwarded_sessions: BTreeMap::new(),
            forwarded_session_count: 0,
            unread_sessions: HashSet::new(),
            judge: Judge::default(),
            last_disturbance_at: None,
            trace: Trace::from_environment(),
        }
    }

    fn add_hosts(&mut self) {
        let founders = self.config.controllers;
        for index in 0..self.controllers + self.config.poolers {
            let host =
                if index < self.controllers { Host::controller(index, self.rng.u64(1..)) } else { Host::pooler(index) };
            self.hosts.push(host);
            self.applied.push(0);
            if index < founders || index >= self.controllers {
                self.start(index, true);
            } else {
                self.hosts[index].removed = true;
            }
        }
    }

    fn add_clients(&mut self) {
        for index in 0..self.config.clients {
            let pooler = self.controllers + index % self.config.poolers.max(1);
            self.clients.push(Client::new(index, pooler));
            let first = FIRST_CLIENT + CLIENT_INTERVAL * index as u32;
            self.schedule(first, Event::ClientConnects(index));
        }
    }

    /// The present as the state machines know it.
    fn instant(&self) -> Instant {
        self.base + self.now
    }
}
