//! Ticks of the daemons, and the effects that they ask for.

use super::events::Event;
use super::host::{Daemon, HeldMessage, PendingWrite, ProcessId};
use super::platform::PlatformRequest;
use super::{HostIndex, INITIAL_TIME_OF_DAY, World};
use crate::judge::Violation;
use crate::trace::Party;
use lichenfield_engine::process::consensus::{Entry, Role};
use lichenfield_engine::process::controller;
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::pooler;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Shortest time from a daemon's input to its next tick.
const MIN_TICK_DELAY: Duration = Duration::from_micros(200);
/// Seconds in the time slot that poolers are given at a tick.
const SLOT_SECONDS: u64 = 5;

/// What a pooler asks for after an input.
struct PoolerOutput {
    messages: Vec<(Ipv4Addr, PeerMessage)>,
    effects: Vec<pooler::Effect>,
    due: Instant,
}

impl World {
    pub(super) fn tick(&mut self, process: ProcessId) {
        if !self.is_live(process) {
            return;
        }
        let now = self.instant();
        let time_of_day = INITIAL_TIME_OF_DAY + self.now;
        let host = &mut self.hosts[process.host];
        host.tick_at = None;
        match &mut host.daemon {
            Daemon::Controller(node) => {
                if let Some(controller) = &mut node.controller {
                    controller.tick(now, time_of_day);
                }
            }
            Daemon::Pooler(node) => {
                if let (Some(pooler), Some(tree)) = (&mut node.pooler, &mut node.tree) {
                    tree.tick(now);
                    pooler.tick(now, time_of_day.as_secs() / SLOT_SECONDS);
                }
            }
        }
        self.process_effects(process.host);
    }

    /// Performs what a daemon asks for after an input, and schedules its next tick.
    pub(super) fn process_effects(&mut self, host: HostIndex) {
        let due = match self.hosts[host].daemon {
            Daemon::Controller(_) => self.process_controller_effects(host),
            Daemon::Pooler(_) => self.process_pooler_effects(host),
        };
        let Some(due) = due else { return };
        let at = due.saturating_duration_since(self.base).max(self.now + MIN_TICK_DELAY);
        if self.hosts[host].tick_at.is_none_or(|scheduled| at < scheduled) {
            self.hosts[host].tick_at = Some(at);
            self.schedule(at - self.now, Event::Tick(self.process(host)));
        }
    }

    /// Returns when the controller is due next; none if it does not run.
    fn process_controller_effects(&mut self, host: HostIndex) -> Option<Instant> {
        let now = self.instant();
        let Daemon::Controller(node) = &mut self.hosts[host].daemon else { return None };
        let controller = node.controller.as_mut()?;
        let effects = controller.effects();
        let due = controller.next_wakeup(now);
        let leads_term = (controller.raft().role() == Role::Leader).then(|| controller.raft().term());
        let mut ready = Vec::new();
        for effect in effects {
            match effect {
                controller::Effect::Write { number, write } => {
                    node.written = number;
                    node.pending_writes.push_back(PendingWrite { number, write });
                }
                controller::Effect::Send { to, message, after_write: after } if after > node.durable => {
                    node.held_messages.push(HeldMessage { after, to, message });
                }
                effect => ready.push(effect),
            }
        }
        let durable = node.durable;
        for held in node.held_messages.extract_if(.., |held| held.after <= durable) {
            let HeldMessage { after, to, message } = held;
            ready.push(controller::Effect::Send { to, message, after_write: after });
        }
        self.start_sync(host);
        if let Some(term) = leads_term {
            self.judge.record_leader(self.now, term, host);
        }
        self.check_applied(host);
        for effect in ready {
            self.perform_controller_effect(host, effect);
        }
        Some(due)
    }

    /// Begins a sync of what was written, unless one is under way.
    fn start_sync(&mut self, host: HostIndex) {
        let process = self.process(host);
        let Daemon::Controller(node) = &mut self.hosts[host].daemon else { return };
        if node.syncing || node.pending_writes.is_empty() {
            return;
        }
        node.syncing = true;
        let write = node.written;
        self.schedule(self.disk_sync, Event::DiskSynced { process, write });
    }

    pub(super) fn disk_synced(&mut self, process: ProcessId, number: u64) {
        if !self.is_live(process) {
            return;
        }
        let now = self.instant();
        let Daemon::Controller(node) = &mut self.hosts[process.host].daemon else { return };
        let synced = node.pending_writes.iter().take_while(|pending| pending.number <= number).count();
        for pending in node.pending_writes.drain(..synced) {
            node.disk.apply(pending.write);
        }
        node.durable = number;
        node.syncing = false;
        if let Some(controller) = &mut node.controller {
            controller.on_write_durable(now, number);
        }
        self.process_effects(process.host);
    }

    /// Reports the entries that a controller has applied since the last check.
    fn check_applied(&mut self, host: HostIndex) {
        let Some(controller) = self.hosts[host].running_controller() else { return };
        let newest = controller.control_state().applied_index;
        let raft = controller.raft();
        let indexed = |index: u64| raft.entry(index).map(|entry| (index, entry.clone()));
        let entries: Vec<(u64, Entry)> = (self.applied[host] + 1..=newest).filter_map(indexed).collect();
        self.applied[host] = newest;
        for (index, entry) in entries {
            self.judge.record_applied(self.now, index, &entry);
        }
    }

    fn perform_controller_effect(&mut self, host: HostIndex, effect: controller::Effect) {
        let process = self.process(host);
        let from = Party::Daemon(self.hosts[host].ip);
        match effect {
            controller::Effect::Send { to, message, .. } => self.send_peer_message(host, to, message),
            controller::Effect::Reply(token, response) => {
                let answer = [&response.status.to_le_bytes()[..], &response.body[..]].concat();
                self.trace_sent(from, Party::Caller(token), &answer);
                self.api_call_answered(token, response.status);
            }
            controller::Effect::HealthCheck { token, instance, statement } => {
                self.check_health(process, token, &instance.id, &statement);
            }
            controller::Effect::PlatformCall { token, path, fence, body } => {
                self.trace_sent(from, Party::Platform, format!("{path} {fence} {body}").as_bytes());
                self.call_platform(process, token, PlatformRequest { path, fence, body: &body });
            }
            _ => {}
        }
    }

    /// Returns when the pooler is due next; none if it does not run.
    fn process_pooler_effects(&mut self, host: HostIndex) -> Option<Instant> {
        let output = self.take_pooler_output(host)?;
        self.check_pooler_revision(host);
        let mut messages = output.messages;
        for effect in output.effects {
            match effect {
                pooler::Effect::SendToPeer(to, message) => messages.push((to, message)),
                effect => self.perform_pooler_effect(host, effect),
            }
        }
        for (to, message) in messages {
            self.send_peer_message(host, to, message);
        }
        Some(output.due)
    }

    fn take_pooler_output(&mut self, host: HostIndex) -> Option<PoolerOutput> {
        let now = self.instant();
        let Daemon::Pooler(node) = &mut self.hosts[host].daemon else { return None };
        let (pooler, tree) = (node.pooler.as_mut()?, node.tree.as_mut()?);
        pooler.observe_tree(now, tree);
        let updates = tree.take_updates();
        if !updates.is_empty() {
            pooler.apply_updates(now, &updates);
        }
        let messages = tree.take_messages();
        let mut effects = Vec::new();
        loop {
            pooler.finish_input(now);
            let more = pooler.take_effects();
            if more.is_empty() {
                break;
            }
            effects.extend(more);
        }
        let due = pooler.next_due().min(tree.next_due());
        Some(PoolerOutput { messages, effects, due })
    }

    /// CONFIG: a pooler's revision never goes back, nor below what was acknowledged when it began.
    fn check_pooler_revision(&mut self, host: HostIndex) {
        let Daemon::Pooler(node) = &mut self.hosts[host].daemon else { return };
        let Some(pooler) = &node.pooler else { return };
        let revision = pooler.revision();
        let in_force = node.revision_at_start;
        let previous = std::mem::replace(&mut node.revision, revision);
        if revision > 0 && revision < in_force {
            self.judge.report(self.now, Violation::ConfigStartedBehind { node: host, revision, in_force });
        }
        if revision < previous {
            self.judge.report(self.now, Violation::ConfigWentBack { node: host });
        }
    }

    fn perform_pooler_effect(&mut self, host: HostIndex, effect: pooler::Effect) {
        match effect {
            pooler::Effect::SendToClient(session_id, text) => self.answer_client(session_id, text),
            pooler::Effect::CloseClient(session_id) => self.close_session(session_id),
            pooler::Effect::CloseClientIfIdle(session_id) => self.close_session_if_read(session_id),
            pooler::Effect::OpenBackend(connection, address) => {
                self.open_connection(self.connection_key(host, connection), &address.to_string());
            }
            pooler::Effect::SendToBackend(connection, text) => {
                self.send_to_instance(self.connection_key(host, connection), text);
            }
            pooler::Effect::CloseBackend(connection) => self.close_connection(self.connection_key(host, connection)),
            pooler::Effect::SendToPeer(..) | pooler::Effect::Log(_) => {}
        }
    }
}
