//! Connections between poolers and database instances.

use super::database_group::DRAIN_TIME;
use super::events::Event;
use super::host::ProcessId;
use super::{HostIndex, InstanceIndex, World};
use crate::database::{GroupContext, Response};
use crate::judge::Violation;
use std::time::Duration;

/// How long an instance works on what it has received.
const WORK_TIME: Duration = Duration::from_millis(6);
/// How long it takes until a pooler learns that an instance has closed a connection or refused it.
const CLOSE_DELAY: Duration = Duration::from_millis(1);
/// One answer in this many is lost while answers are dropped.
const DROPPED_ANSWER_ODDS: u32 = 6;
/// Begins a client's statement: "QUERY cCLIENT-OPERATION-ATTEMPT-STATEMENT ...".
const CLIENT_STATEMENT: &str = "QUERY c";

/// A connection of a pooler's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionKey {
    pub(super) process: ProcessId,
    pub(super) connection: u64,
}

impl ConnectionKey {
    /// The connection's number at the instance. Health checks use numbers from the highest down.
    fn number(self) -> u64 {
        let host = (self.process.host as u64) << 48;
        let incarnation = u64::from(self.process.incarnation) << 32;
        host | incarnation | self.connection
    }
}

impl World {
    pub(super) fn connection_key(&self, host: HostIndex, connection: u64) -> ConnectionKey {
        ConnectionKey { process: self.process(host), connection }
    }

    /// Connects to an instance. One that is isolated accepts and does not answer.
    pub(super) fn open_connection(&mut self, connection: ConnectionKey, address: &str) {
        let found = self.instances.iter().position(|instance| instance.address() == address);
        match found.filter(|index| self.instances[*index].up || self.instances[*index].isolated) {
            Some(instance) => {
                self.connections.insert(connection, instance);
            }
            // There is no instance to name; the receiver only checks that the named one is not isolated.
            None => self.schedule(CLOSE_DELAY, Event::InstanceOutput { connection, instance: 0, text: None }),
        }
    }

    pub(super) fn send_to_instance(&mut self, connection: ConnectionKey, text: String) {
        let Some(instance) = self.connections.get(&connection).copied() else { return };
        let latency = self.random_latency();
        self.schedule(latency, Event::InstanceInput { connection, instance, text });
    }

    pub(super) fn close_connection(&mut self, connection: ConnectionKey) {
        if let Some(instance) = self.connections.remove(&connection) {
            self.instances[instance].close_connection(connection.number());
        }
    }

    /// Closes all connections of a host's processes.
    pub(super) fn end_connections_of(&mut self, host: HostIndex) {
        let ended: Vec<ConnectionKey> =
            self.connections.keys().filter(|connection| connection.process.host == host).copied().collect();
        ended.into_iter().for_each(|connection| self.close_connection(connection));
    }

    /// Poolers learn that an instance has closed their connections.
    pub(super) fn reset_connections_to(&mut self, instance: InstanceIndex) {
        let reset = self.connections.iter().filter(|(_, at)| **at == instance);
        let reset: Vec<ConnectionKey> = reset.map(|(connection, _)| *connection).collect();
        for connection in reset {
            self.schedule(CLOSE_DELAY, Event::InstanceOutput { connection, instance, text: None });
        }
    }

    /// Bytes of an instance, or the end of its connection, arrive at a pooler.
    pub(super) fn deliver_from_instance(
        &mut self,
        connection: ConnectionKey,
        instance: InstanceIndex,
        text: Option<String>,
    ) {
        if !self.is_live(connection.process) || self.instances[instance].isolated {
            return;
        }
        let now = self.instant();
        let host = connection.process.host;
        if let Some(pooler) = self.hosts[host].running_pooler_mut() {
            match text {
                Some(text) => pooler.handle_backend_bytes(now, connection.connection, text.as_bytes()),
                None => {
                    self.connections.remove(&connection);
                    pooler.handle_backend_closed(now, connection.connection);
                }
            }
        }
        self.process_effects(host);
    }

    /// Bytes of a pooler arrive at an instance.
    pub(super) fn deliver_to_instance(&mut self, connection: ConnectionKey, instance: InstanceIndex, text: &str) {
        if self.connections.get(&connection) != Some(&instance) || self.instances[instance].isolated {
            return;
        }
        if !self.instances[instance].up {
            self.connections.remove(&connection);
            return self.schedule(CLOSE_DELAY, Event::InstanceOutput { connection, instance, text: None });
        }
        self.check_arrival(connection, instance, text);
        let response = self.feed_instance(instance, connection.number(), text);
        let drops = self.instances[instance].drops_answers && text.contains(CLIENT_STATEMENT);
        let is_dropped = drops && self.rng.u32(0..DROPPED_ANSWER_ODDS) == 0;
        if !response.text.is_empty() && !is_dropped {
            let delay = WORK_TIME + self.random_latency();
            self.schedule(delay, Event::InstanceOutput { connection, instance, text: Some(response.text) });
        }
        if response.closes {
            self.schedule(WORK_TIME * 2, Event::InstanceOutput { connection, instance, text: None });
        }
    }

    /// DRAIN, and the arrivals that QUOTA counts.
    fn check_arrival(&mut self, connection: ConnectionKey, instance: InstanceIndex, text: &str) {
        let acknowledged_at = self.instances[instance].drain_acknowledged_at;
        let has_drained = acknowledged_at.is_some_and(|at| self.now > at + DRAIN_TIME);
        if has_drained && text.contains(CLIENT_STATEMENT) {
            let id = self.instances[instance].id.clone();
            let node = connection.process.host;
            let violation = Violation::SentToDrainedInstance { node, text: text.to_owned(), instance: id };
            self.judge.report(self.now, violation);
        }
        for statement in text.split(CLIENT_STATEMENT).skip(1) {
            let id = statement.split(' ').next().unwrap_or_default();
            self.judge.record_statement_arrival(&format!("c{id}"));
            let Some((attempt, _)) = id.rsplit_once('-') else { continue };
            let client: Option<usize> = attempt.split('-').next().and_then(|client| client.parse().ok());
            let tenant = client.unwrap_or(0) % self.operator.keys.len();
            self.judge.record_arrival(self.now, tenant, attempt);
        }
    }

    /// An instance catches up with the log and handles bytes.
    pub(super) fn feed_instance(&mut self, instance: InstanceIndex, connection: u64, text: &str) -> Response {
        let mut context = GroupContext { now: self.now, log: &mut self.log, judge: &mut self.judge };
        let instance = &mut self.instances[instance];
        instance.replicate(context.now, context.log);
        instance.receive(connection, text, &mut context)
    }
}
