//! The queue of events, and what handles each.

use super::actions::Action;
use super::connections::ConnectionKey;
use super::host::ProcessId;
use super::{ClientIndex, HostIndex, InstanceIndex, SessionId, World};
use lichenfield_engine::process::leadership::HealthCheckResult;
use lichenfield_engine::process::peer_message::PeerMessage;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// How often a frozen process's events are tried again.
const FROZEN_RETRY: Duration = Duration::from_millis(20);

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// A process's next deadline has come.
    Tick(ProcessId),
    /// A message between daemons arrives.
    PeerMessage { from: HostIndex, to: ProcessId, message: Box<PeerMessage> },
    /// A controller's writes up to a number are on its disk.
    DiskSynced { process: ProcessId, write: u64 },
    /// Bytes of a pooler arrive at an instance.
    InstanceInput { connection: ConnectionKey, instance: InstanceIndex, text: String },
    /// Bytes of an instance arrive at a pooler; none when the connection closes.
    InstanceOutput { connection: ConnectionKey, instance: InstanceIndex, text: Option<String> },
    /// A controller's health check of an instance has its result.
    HealthCheckFinished { process: ProcessId, token: u64, result: HealthCheckResult },
    /// A controller's call of the platform has its HTTP status; none when it failed.
    PlatformCallFinished { process: ProcessId, token: u64, status: Option<u16> },
    /// The platform makes an instance the primary.
    Promote(InstanceIndex),
    /// An instance's heartbeat is due.
    Heartbeat(InstanceIndex),
    /// Bytes arrive at a client; none when its session closes. Empty bytes end a client's pause.
    ClientInput { client: ClientIndex, session_id: SessionId, text: Option<String> },
    /// Bytes of a client arrive at the pooler that serves its session; none when the client closes it.
    SessionInput { session_id: SessionId, text: Option<String> },
    /// A client without a session opens one.
    ClientConnects(ClientIndex),
    /// A scenario's action.
    Action(Action),
    /// Work that an earlier event has left.
    FollowUp(FollowUp),
}

/// Work that the world plans for itself.
#[derive(Debug, Clone, Copy)]
pub(super) enum FollowUp {
    /// The idle services' instances send heartbeats.
    IdleHeartbeats,
    /// The operator sends a change again that is not acknowledged yet.
    SendConfig { revision: u64 },
    /// A draining pooler closes sessions.
    DrainStep { pooler: HostIndex },
    /// The process of a pooler that has drained ends.
    FinishDrain { pooler: HostIndex },
    /// A forwarded session that lost its carrier is closed once it may be.
    CloseSeveredSession { session_id: SessionId },
    /// An instance that has drained ends.
    RemoveInstance { instance: InstanceIndex },
}

/// Events by time; those of one time in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    due: BinaryHeap<Reverse<DueEvent>>,
    events: HashMap<u64, Event>,
    last_number: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueEvent {
    at: Duration,
    number: u64,
}

impl EventQueue {
    fn push(&mut self, at: Duration, event: Event) {
        self.last_number += 1;
        self.due.push(Reverse(DueEvent { at, number: self.last_number }));
        self.events.insert(self.last_number, event);
    }

    /// The next event, unless it is later than `until`.
    fn pop(&mut self, until: Duration) -> Option<(Duration, Event)> {
        let Reverse(next) = self.due.peek().copied()?;
        if next.at > until {
            return None;
        }
        self.due.pop();
        let event = self.events.remove(&next.number)?;
        Some((next.at, event))
    }
}

impl World {
    /// Lets everything happen up to a time, which then is the present.
    pub fn run_until(&mut self, until: Duration) {
        while let Some((at, event)) = self.events.pop(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Plans an action for a time; at once if that has passed.
    pub fn plan(&mut self, at: Duration, action: Action) {
        let delay = at.saturating_sub(self.now);
        self.schedule(delay, Event::Action(action));
    }

    /// Schedules an event, and traces what it carries.
    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.trace_event(&event);
        self.events.push(self.now + delay, event);
    }

    /// Schedules work that this event leaves.
    pub(super) fn follow_up(&mut self, delay: Duration, work: FollowUp) {
        self.schedule(delay, Event::FollowUp(work));
    }

    fn handle(&mut self, event: Event) {
        let is_frozen = self.receiver(&event).is_some_and(|host| self.hosts[host].frozen);
        self.note_unread(&event, is_frozen);
        if is_frozen {
            // A frozen process handles it once it goes on. It was traced when it was sent.
            return self.events.push(self.now + FROZEN_RETRY, event);
        }
        self.dispatch(event);
    }

    /// The daemon that handles an event, if one does.
    fn receiver(&self, event: &Event) -> Option<HostIndex> {
        match event {
            Event::Tick(process)
            | Event::PeerMessage { to: process, .. }
            | Event::DiskSynced { process, .. }
            | Event::HealthCheckFinished { process, .. }
            | Event::PlatformCallFinished { process, .. } => Some(process.host),
            Event::InstanceOutput { connection, .. } => Some(connection.process.host),
            Event::SessionInput { session_id, .. } => self.sessions.get(session_id).map(|session| session.pooler),
            _ => None,
        }
    }

    /// Keeps record of the sessions with input that a frozen pooler has not read.
    fn note_unread(&mut self, event: &Event, is_frozen: bool) {
        let Event::SessionInput { session_id, text } = event else { return };
        if is_frozen && text.is_some() {
            self.unread_sessions.insert(*session_id);
        } else {
            self.unread_sessions.remove(session_id);
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick(process) => self.tick(process),
            Event::PeerMessage { from, to, message } => self.deliver_peer_message(from, to, *message),
            Event::DiskSynced { process, write } => self.disk_synced(process, write),
            Event::InstanceInput { connection, instance, text } => {
                self.deliver_to_instance(connection, instance, &text);
            }
            Event::InstanceOutput { connection, instance, text } => {
                self.deliver_from_instance(connection, instance, text);
            }
            Event::HealthCheckFinished { process, token, result } => {
                self.health_check_finished(process, token, result);
            }
            Event::PlatformCallFinished { process, token, status } => {
                self.platform_call_finished(process, token, status);
            }
            Event::Promote(instance) => self.promote(instance),
            Event::Heartbeat(instance) => self.send_heartbeat(instance),
            Event::ClientInput { client, session_id, text } => self.deliver_to_client(client, session_id, text),
            Event::SessionInput { session_id, text } => self.deliver_to_session(session_id, text),
            Event::ClientConnects(client) => self.connect_client(client),
            Event::Action(action) => self.perform(action),
            Event::FollowUp(work) => self.perform_follow_up(work),
        }
    }

    fn perform_follow_up(&mut self, work: FollowUp) {
        match work {
            FollowUp::IdleHeartbeats => self.send_idle_heartbeats(),
            FollowUp::SendConfig { revision } => self.send_config(revision),
            FollowUp::DrainStep { pooler } => self.drain_step(pooler),
            FollowUp::FinishDrain { pooler } => self.finish_drain(pooler),
            FollowUp::CloseSeveredSession { session_id } => self.close_severed_session(session_id),
            FollowUp::RemoveInstance { instance } => self.remove_instance(instance),
        }
    }
}
