//! The database group: its instances' heartbeats, health, promotion, failures and replacement.

use super::actions::InstanceTarget;
use super::events::{Event, FollowUp};
use super::host::ProcessId;
use super::operator::{ApiCall, ApiRequest};
use super::{InstanceIndex, SERVICE, World};
use crate::database::{self, DatabaseInstance};
use lichenfield_engine::connection::client_session::Position;
use lichenfield_engine::process::leadership::HealthCheckResult;
use std::time::Duration;

/// The instance that is the primary at the beginning.
pub(super) const PRIMARY_INDEX: InstanceIndex = 0;
/// From an acknowledged drain to when no client's statement may reach the instance.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(7);
/// Interval of heartbeats, as in the daemons' settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// When an instance sends its first heartbeat, in milliseconds.
const FIRST_HEARTBEAT_MILLIS: std::ops::Range<u64> = 100..1200;
/// From a promotion to the new primary's heartbeat.
const PROMOTED_HEARTBEAT_DELAY: Duration = Duration::from_millis(1);
/// From the beginning of a drain, or from a deregistration, to the instance's end.
const DRAIN_TO_END: Duration = Duration::from_secs(8);
const DEREGISTRATION_TO_END: Duration = Duration::from_secs(9);
/// Duration of a health check that is answered, and of one that is not.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(3);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Zones that instances are spread over.
const ZONES: usize = 3;
/// Number in the id of the first instance, and of the first one of an idle service.
const FIRST_ID: usize = 1000;
const FIRST_IDLE_ID: usize = 5000;

/// Instances of services that no client uses, one for each.
pub(super) fn idle_instances(count: usize) -> Vec<DatabaseInstance> {
    let instance = |index: usize| {
        let id = format!("i-{}", FIRST_IDLE_ID + index);
        DatabaseInstance::new(id, &format!("idle{index}"), "z0".into(), true)
    };
    (0..count).map(instance).collect()
}

/// Path of an instance in a controller's API.
fn instance_path(instance: &DatabaseInstance) -> String {
    format!("/api/instances/{}", instance.id)
}

impl World {
    /// Adds an instance that begins to send heartbeats.
    pub(super) fn add_instance(&mut self, is_primary: bool) {
        let index = self.instances.len();
        let id = format!("i-{}", FIRST_ID + index);
        self.instances.push(DatabaseInstance::new(id, SERVICE, format!("z{}", index % ZONES), is_primary));
        let first = Duration::from_millis(self.rng.u64(FIRST_HEARTBEAT_MILLIS));
        self.schedule(first, Event::Heartbeat(index));
    }

    /// The primary of the newest term.
    pub(super) fn primary(&self) -> Option<InstanceIndex> {
        let primaries = self.instances.iter().enumerate().filter(|(_, instance)| instance.is_primary);
        let present = primaries.filter(|(_, instance)| !instance.removed);
        present.max_by_key(|(_, instance)| instance.term).map(|(index, _)| index)
    }

    /// The first replica that runs and is to stay.
    fn staying_replica(&self) -> Option<InstanceIndex> {
        let stays = |instance: &DatabaseInstance| instance.up && !instance.draining && !instance.removed;
        self.instances.iter().position(|instance| !instance.is_primary && stays(instance))
    }

    /// The instance that a scenario's target stands for at the moment.
    fn resolve_instance(&self, target: InstanceTarget) -> Option<InstanceIndex> {
        match target {
            InstanceTarget::Primary => self.primary(),
            InstanceTarget::Replica => self.instances.iter().position(|instance| !instance.is_primary && instance.up),
        }
    }

    /// Sends an instance's heartbeat to some controller, and schedules the next one.
    pub(super) fn send_heartbeat(&mut self, index: InstanceIndex) {
        let instance = &mut self.instances[index];
        if instance.removed {
            return;
        }
        if instance.up && !instance.isolated && !instance.heartbeats_stopped {
            let body = instance.next_heartbeat().to_string().into_bytes();
            let path = instance_path(instance);
            let call = if instance.draining { ApiCall::DrainNotice { instance: index } } else { ApiCall::Heartbeat };
            if let Some(controller) = self.random_controller() {
                self.call_api(controller, ApiRequest { call, method: "PUT", path: &path, if_match: None, body });
            }
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat(index));
    }

    /// Sends the heartbeats of the idle services' instances, and schedules the next ones.
    pub(super) fn send_idle_heartbeats(&mut self) {
        for index in 0..self.idle_instances.len() {
            let instance = &mut self.idle_instances[index];
            let body = instance.next_heartbeat().to_string().into_bytes();
            let path = instance_path(instance);
            if let Some(controller) = self.random_controller() {
                let call = ApiCall::Heartbeat;
                self.call_api(controller, ApiRequest { call, method: "PUT", path: &path, if_match: None, body });
            }
        }
        self.follow_up(HEARTBEAT_INTERVAL, FollowUp::IdleHeartbeats);
    }

    /// A controller checks an instance's health with a statement.
    pub(super) fn check_health(&mut self, process: ProcessId, token: u64, instance_id: &str, statement: &str) {
        let is_checked = |instance: &DatabaseInstance| instance.id == instance_id;
        let answers = |instance: &DatabaseInstance| instance.up && !instance.isolated;
        let index = self.instances.iter().position(|instance| is_checked(instance) && answers(instance));
        let (result, delay) = match index {
            Some(index) => (self.query_health(index, token, statement), HEALTH_CHECK_TIME),
            None if self.idle_instances.iter().any(is_checked) => {
                let received = Position { term: 1, number: 0 };
                (HealthCheckResult::Status { primary: true, term: 1, received }, HEALTH_CHECK_TIMEOUT)
            }
            None => (HealthCheckResult::Failed, HEALTH_CHECK_TIMEOUT),
        };
        self.schedule(delay, Event::HealthCheckFinished { process, token, result });
    }

    /// Runs a health check's statement on a connection of its own.
    fn query_health(&mut self, index: InstanceIndex, token: u64, statement: &str) -> HealthCheckResult {
        let connection = u64::MAX - token;
        let text = format!("CONNECT {SERVICE} - {}\r\nQUERY - {statement}\r\n", self.instances[index].id);
        let response = self.feed_instance(index, connection, &text);
        self.instances[index].close_connection(connection);
        let Some(rest) = response.text.split("ROW ").nth(1) else { return HealthCheckResult::Failed };
        HealthCheckResult::read(rest.split("\r\n").next().unwrap_or_default())
    }

    pub(super) fn health_check_finished(&mut self, process: ProcessId, token: u64, result: HealthCheckResult) {
        if !self.is_live(process) {
            return;
        }
        let now = self.instant();
        if let Some(controller) = self.hosts[process.host].running_controller_mut() {
            controller.health_check_finished(now, token, result);
        }
        self.process_effects(process.host);
    }

    /// An instance becomes the primary. What it had not received is truncated, and no reader may rely on it.
    pub(super) fn promote(&mut self, index: InstanceIndex) {
        let Some(kept) = database::promote(&mut self.instances, index, self.now, &mut self.log) else { return };
        for commit in self.judge.commits.iter_mut().filter(|commit| commit.position > kept) {
            commit.truncated = true;
        }
        self.judge.acknowledgements.retain(|write| write.position <= kept);
        self.judge.promotions += 1;
        self.schedule(PROMOTED_HEARTBEAT_DELAY, Event::Heartbeat(index));
    }

    /// An instance's process ends.
    fn crash_instance(&mut self, index: InstanceIndex) {
        self.instances[index].up = false;
        self.instances[index].close_all_connections();
        self.reset_connections_to(index);
    }

    /// Crashes the instance that a target stands for.
    pub(super) fn crash_target_instance(&mut self, target: InstanceTarget) {
        if let Some(index) = self.resolve_instance(target) {
            self.crash_instance(index);
        }
    }

    /// Cuts off the instance that a target stands for.
    pub(super) fn isolate_instance(&mut self, target: InstanceTarget) {
        if let Some(index) = self.resolve_instance(target) {
            self.instances[index].isolated = true;
        }
    }

    /// Instances that are down or isolated work again; a deposed primary comes back as an empty replica.
    pub(super) fn recover_instances(&mut self) {
        let term = self.log.term;
        let recovers = |instance: &&mut DatabaseInstance| !instance.removed && (!instance.up || instance.isolated);
        for instance in self.instances.iter_mut().filter(recovers) {
            instance.up = true;
            instance.isolated = false;
            if instance.is_primary && instance.term < term {
                instance.is_primary = false;
                instance.term = term;
                instance.received = Position { term: 0, number: 0 };
            }
        }
    }

    /// Starts a new replica, and begins to drain an instance.
    pub(super) fn drain_instance(&mut self, target: InstanceTarget) {
        self.add_instance(false);
        let index = match target {
            InstanceTarget::Primary => self.primary(),
            InstanceTarget::Replica => self.staying_replica(),
        };
        let Some(index) = index else { return };
        self.instances[index].draining = true;
        self.schedule(Duration::ZERO, Event::Heartbeat(index));
        self.follow_up(DRAIN_TO_END, FollowUp::RemoveInstance { instance: index });
    }

    /// A replica that has nothing to drain announces its end once, to one controller.
    pub(super) fn deregister_replica(&mut self) {
        let (Some(index), Some(controller)) = (self.staying_replica(), self.random_controller()) else { return };
        self.add_instance(false);
        let path = instance_path(&self.instances[index]);
        self.instances[index].heartbeats_stopped = true;
        let call = ApiCall::DrainNotice { instance: index };
        let request = ApiRequest { call, method: "DELETE", path: &path, if_match: None, body: Vec::new() };
        self.call_api(controller, request);
        self.follow_up(DEREGISTRATION_TO_END, FollowUp::RemoveInstance { instance: index });
    }

    /// An instance ends for good.
    pub(super) fn remove_instance(&mut self, index: InstanceIndex) {
        self.instances[index].removed = true;
        self.crash_instance(index);
    }

    /// Replicas stop to receive commits, except instances that are primary now.
    pub(super) fn stop_replication(&mut self) {
        let replicas = self.instances.iter_mut().filter(|instance| !instance.is_primary);
        replicas.for_each(|replica| replica.replication_stopped = true);
    }

    /// Replicas receive commits again.
    pub(super) fn resume_replication(&mut self) {
        self.instances.iter_mut().for_each(|instance| instance.replication_stopped = false);
    }

    /// Whether some answers of the instances are lost.
    pub(super) fn set_answers_dropped(&mut self, dropped: bool) {
        self.instances.iter_mut().for_each(|instance| instance.drops_answers = dropped);
    }

    /// Whether instances refuse some of the statements that prepare a connection.
    pub(super) fn set_setup_refused(&mut self, refused: bool) {
        self.instances.iter_mut().for_each(|instance| instance.refuses_setup = refused);
    }
}
