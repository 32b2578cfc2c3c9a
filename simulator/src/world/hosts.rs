//! Starts and stops daemons, and loses or replaces their disks.

use super::actions::Target;
use super::host::{Daemon, ProcessId, empty_disk};
use super::{HostIndex, World, network};
use lichenfield_engine::process::controller::Controller;
use lichenfield_engine::process::dissemination::partial_view::{PartialView, PeerDescriptor};
use lichenfield_engine::process::dissemination::tree::{DisseminationTree, TreeOptions};
use lichenfield_engine::process::pooler::Pooler;
use lichenfield_engine::process::settings::Settings;
use std::net::Ipv4Addr;

/// Bandwidth of a daemon's link, in Mbit/s. Low, so that trees grow deep with few daemons.
const LINK_MBPS: f64 = 2.0;
/// Seed nodes in a daemon's settings.
const SEED_NODES: usize = 3;
/// Zones that machines are spread over.
const ZONES: usize = 3;
/// Of the writes under way when the power fails, fewer than this reach the disk.
const MAX_SURVIVING_WRITES: usize = 3;

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopCause {
    /// What it wrote reaches the disk.
    ProcessExit,
    /// Writes under way are lost, but for the first few.
    PowerLoss,
}

impl World {
    /// The process that runs on a host.
    pub(super) fn process(&self, host: HostIndex) -> ProcessId {
        ProcessId { host, incarnation: self.hosts[host].incarnation }
    }

    /// Whether a process still runs.
    pub(super) fn is_live(&self, process: ProcessId) -> bool {
        let host = &self.hosts[process.host];
        host.up && host.incarnation == process.incarnation
    }

    /// The host with an address.
    pub(super) fn host_with_ip(&self, ip: Ipv4Addr) -> Option<HostIndex> {
        self.hosts.iter().position(|host| host.ip == ip)
    }

    /// The hosts that a scenario's target stands for at the moment.
    pub(super) fn resolve(&self, target: Target) -> Vec<HostIndex> {
        let leader = self.leader();
        let mut followers = (0..self.controllers).filter(|host| Some(*host) != leader);
        match target {
            Target::Leader => leader.into_iter().collect(),
            Target::Follower => followers.next().into_iter().collect(),
            Target::Followers => followers.collect(),
            Target::Controllers => (0..self.controllers).collect(),
            Target::Poolers => (self.controllers..self.hosts.len()).collect(),
            Target::Controller(number) => vec![number],
            Target::Pooler(number) => vec![self.controllers + number],
        }
    }

    /// Starts a daemon, unless it runs or its machine is removed.
    pub(super) fn start(&mut self, index: HostIndex, bootstrap: bool) {
        if self.hosts[index].up || self.hosts[index].removed {
            return;
        }
        let settings = self.settings(index, bootstrap);
        let seed = self.rng.u64(..);
        let host = &mut self.hosts[index];
        host.up = true;
        host.frozen = false;
        host.incarnation += 1;
        host.tick_at = None;
        match host.daemon {
            Daemon::Controller(_) => self.start_controller(index, &settings, seed),
            Daemon::Pooler(_) => self.start_pooler(index, &settings, seed),
        }
        self.process_effects(index);
    }

    fn start_controller(&mut self, index: HostIndex, settings: &Settings, seed: u64) {
        let now = self.instant();
        let rng = fastrand::Rng::with_seed(seed);
        let Daemon::Controller(node) = &mut self.hosts[index].daemon else { return };
        node.controller = Some(Box::new(Controller::new(now, settings, node.disk.clone(), rng)));
        node.written = 0;
        node.durable = 0;
        node.syncing = false;
        self.applied[index] = 0;
    }

    fn start_pooler(&mut self, index: HostIndex, settings: &Settings, seed: u64) {
        let now = self.instant();
        let rng = fastrand::Rng::with_seed(seed);
        let descriptor = PeerDescriptor::of_daemon(settings, None);
        let seeds = settings.seed_nodes.iter().map(|address| *address.ip()).collect();
        let partial_view = PartialView::new(descriptor, rng);
        let pooler = Pooler::new(now, &settings.node_name, &settings.zone, settings.timing_bounds.clone(), seed);
        let Daemon::Pooler(node) = &mut self.hosts[index].daemon else { return };
        node.pooler = Some(Box::new(pooler));
        let tree_options = TreeOptions { partial_view, seeds, is_root: false, link_mbps: LINK_MBPS };
        node.tree = Some(Box::new(DisseminationTree::new(now, tree_options)));
        node.revision = 0;
        node.revision_at_start = self.operator.acknowledged_revision;
        node.drain = None;
    }

    /// The settings of a daemon. Its seed nodes are the first machines of the operator's list as it stands.
    fn settings(&self, index: HostIndex, bootstrap: bool) -> Settings {
        let ip = self.hosts[index].ip;
        let is_founder = |controller: HostIndex| controller < self.config.controllers;
        let is_listed = |controller: &HostIndex| {
            self.hosts.get(*controller).map_or_else(|| is_founder(*controller), |host| !host.removed)
        };
        let seed_nodes: Vec<String> = (0..self.controllers)
            .filter(is_listed)
            .take(SEED_NODES)
            .map(|controller| format!("\"{}:80\"", network::address(controller)))
            .collect();
        let text = format!(
            r#"
            node-name = "n{index}"
            ip = "{ip}"
            zone = "z{zone}"
            internal-ports = [7000, 7001]
            seed-nodes = [{seed_nodes}]
            bootstrap = {bootstrap}
            in-quorum = {in_quorum}
            beat-ms = 1200
            [tolerance]
            machines = {tolerance}
            [listen]
            control = "{ip}:80"
            [platform]
            address = "10.8.0.1:80"
            "#,
            zone = index % ZONES,
            seed_nodes = seed_nodes.join(","),
            in_quorum = index < self.controllers,
            tolerance = self.config.tolerance,
        );
        Settings::read(&text).expect("the simulation's own settings are valid")
    }

    /// Ends a process, and the sessions and connections that it has.
    pub(super) fn stop(&mut self, index: HostIndex, cause: StopCause) {
        let host = &mut self.hosts[index];
        host.up = false;
        host.incarnation += 1;
        let surviving_writes = match cause {
            StopCause::ProcessExit => usize::MAX,
            StopCause::PowerLoss => self.rng.usize(0..MAX_SURVIVING_WRITES),
        };
        match &mut host.daemon {
            Daemon::Controller(node) => {
                node.controller = None;
                for pending in node.pending_writes.drain(..).take(surviving_writes) {
                    node.disk.apply(pending.write);
                }
                node.held_messages.clear();
            }
            Daemon::Pooler(node) => {
                node.pooler = None;
                node.tree = None;
            }
        }
        self.end_sessions_of(index);
        self.end_connections_of(index);
    }

    /// Kills a process and starts it at once.
    pub(super) fn crash_restart(&mut self, index: HostIndex) {
        self.stop(index, StopCause::ProcessExit);
        self.start(index, false);
    }

    /// Takes a machine away.
    pub(super) fn remove_host(&mut self, index: HostIndex) {
        self.stop(index, StopCause::PowerLoss);
        self.hosts[index].removed = true;
    }

    /// Starts a machine that was removed or spare.
    pub(super) fn add_host(&mut self, index: HostIndex) {
        self.hosts[index].removed = false;
        self.start(index, false);
    }

    /// Replaces a machine's disk by an empty one.
    pub(super) fn wipe_disk(&mut self, index: HostIndex) {
        self.stop(index, StopCause::PowerLoss);
        let id = self.rng.u64(1..);
        if let Daemon::Controller(node) = &mut self.hosts[index].daemon {
            node.disk = empty_disk(id);
        }
    }

    /// Starts every daemon that is down.
    pub(super) fn start_all(&mut self) {
        (0..self.hosts.len()).for_each(|index| self.start(index, false));
    }

    /// Lets frozen processes go on.
    pub(super) fn unfreeze_all(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.frozen = false);
    }
}
