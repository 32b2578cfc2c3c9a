//! What clients do: one session after another, one operation at a time, with retries of what was not executed.

use super::client::ClientStatement;
use super::events::Event;
use super::{ClientIndex, HostIndex, SessionId, World};
use crate::judge::{Acknowledgement, AttemptOutcome, ExpectedState, Violation};
use lichenfield_engine::connection::client_session::Position;
use std::time::Duration;

/// Until a client tries again when no pooler is ready.
const NO_POOLER_RETRY: Duration = Duration::from_millis(200);
/// Attempts at an operation.
const MAX_ATTEMPTS: u32 = 3;
/// From a failed attempt to the next session, and to the next operation's if this one is given up.
const RETRY_DELAY: Duration = Duration::from_millis(30);
const GIVE_UP_DELAY: Duration = Duration::from_millis(100);
/// From a failed attempt to the end of its session.
const FAILED_SESSION_CLOSE: Duration = Duration::from_millis(1);
/// Pause after an operation, and after a lost session, in milliseconds.
const OPERATION_PAUSE_MILLIS: std::ops::Range<u64> = 20..120;
const LOST_SESSION_PAUSE_MILLIS: std::ops::Range<u64> = 10..60;
/// A request that was under way no longer than this when its session was closed may be lost unnoticed.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// For so long after a disturbance requests may be lost.
const DISTURBANCE_EFFECT: Duration = Duration::from_secs(4);

impl World {
    /// A client opens a session at a pooler that is ready.
    pub(super) fn connect_client(&mut self, client: ClientIndex) {
        let state = &self.clients[client];
        if self.clients_stopped || state.session.is_some() || !state.script.is_empty() {
            return;
        }
        let usable = self.poolers_for_new_clients();
        if usable.is_empty() {
            return self.schedule(NO_POOLER_RETRY, Event::ClientConnects(client));
        }
        let entry = usable[self.rng.usize(0..usable.len())];
        let key = &self.operator.keys[client % self.operator.keys.len()];
        let hello = format!("CONNECT {} {key}\r\n", self.clients[client].route.name());
        let session_id = self.open_session(entry, client, &hello);
        let state = &mut self.clients[client];
        state.pooler = self.sessions[&session_id].pooler;
        state.session = Some(session_id);
        state.values.clear();
        state.transaction_ids = None;
        state.outstanding = Some(ClientStatement { id: String::new(), text: "CONNECT".into() });
        state.reply.clear();
        self.send_from_client(session_id, &hello);
    }

    /// The platform sends new clients to the poolers that are ready; while fewer than half of them are, to any that
    /// accepts connections.
    fn poolers_for_new_clients(&self) -> Vec<HostIndex> {
        let now = self.instant();
        let poolers = self.controllers..self.hosts.len();
        let is_ready = |host: &HostIndex| self.hosts[*host].running_pooler().is_some_and(|pooler| pooler.ready(now));
        let ready: Vec<HostIndex> = poolers.clone().filter(is_ready).collect();
        if !ready.is_empty() && ready.len() * 2 < poolers.len() {
            return poolers.filter(|host| self.hosts[*host].accepts_clients()).collect();
        }
        ready
    }

    fn begin_operation(&mut self, client: ClientIndex) {
        self.clients[client].operations += 1;
        self.clients[client].attempts = 0;
        self.judge.operations += 1;
        self.begin_attempt(client);
    }

    fn begin_attempt(&mut self, client: ClientIndex) {
        let kind = self.rng.u32(0..5);
        let extra_values = self.rng.u32(0..3);
        let state = &mut self.clients[client];
        state.begin_attempt(self.now);
        let prefix = format!("c{client}-{}-{}", state.operations, state.attempts);
        let statements = state.statements(kind, extra_values).into_iter().enumerate();
        state.script =
            statements.map(|(number, text)| ClientStatement { id: format!("{prefix}-{number}"), text }).collect();
        self.send_next_statement(client);
    }

    /// Sends the attempt's next statement; after the last one the operation has succeeded.
    fn send_next_statement(&mut self, client: ClientIndex) {
        let state = &mut self.clients[client];
        let Some(session_id) = state.session else { return };
        let Some(statement) = state.script.pop_front() else {
            return self.finish_operation(client, session_id);
        };
        if statement.is_read() || statement.is_write() || statement.is_run() {
            let shape = statement.is_run().then(|| state.written_shape());
            let expected = ExpectedState { values: state.values.clone(), shape };
            self.judge.expected.insert(statement.id.clone(), expected);
        }
        state.note_sent(self.now, &statement);
        let line = format!("QUERY {} {}\r\n", statement.id, statement.text);
        state.outstanding = Some(statement);
        self.send_from_client(session_id, &line);
    }

    fn finish_operation(&mut self, client: ClientIndex, session_id: SessionId) {
        self.judge.succeeded += 1;
        self.record_outcome(client, AttemptOutcome::Acknowledged);
        self.clients[client].outstanding = None;
        let pause = Duration::from_millis(self.rng.u64(OPERATION_PAUSE_MILLIS));
        self.schedule(pause, Event::ClientInput { client, session_id, text: Some(String::new()) });
    }

    fn record_outcome(&mut self, client: ClientIndex, outcome: AttemptOutcome) {
        for statement in &self.clients[client].write_ids {
            self.judge.outcomes.insert(statement.clone(), outcome);
        }
    }

    /// A client receives bytes or the end of its session, or its pause is over.
    pub(super) fn deliver_to_client(&mut self, client: ClientIndex, session_id: SessionId, text: Option<String>) {
        if self.clients[client].session != Some(session_id) {
            return;
        }
        let Some(text) = text else { return self.session_lost(client, session_id) };
        if text.is_empty() && self.clients[client].outstanding.is_none() {
            if !self.clients_stopped {
                self.begin_operation(client);
            }
            return;
        }
        self.clients[client].reply.push_str(&text);
        let reply = self.clients[client].reply.clone();
        let last_line = reply.trim_end().rsplit("\r\n").next().unwrap_or_default();
        if last_line.starts_with("READY") {
            self.statement_answered(client, session_id, &reply, last_line);
        }
    }

    fn statement_answered(&mut self, client: ClientIndex, session_id: SessionId, reply: &str, ready: &str) {
        let Some(statement) = self.clients[client].outstanding.take() else {
            return self.judge.report(self.now, Violation::UnexpectedAnswer { reply: reply.to_owned() });
        };
        if statement.is_connect() {
            return self.begin_operation(client);
        }
        if let Some(error) = reply.split("ERROR ").nth(1) {
            let code = error.split([' ', '\r']).next().unwrap_or_default();
            return self.attempt_failed(client, session_id, code);
        }
        self.clients[client].note_answered(&statement);
        if statement.is_read() {
            self.check_freshness(client, &statement.id, reply);
        }
        if statement.is_commit() {
            let statements = self.clients[client].transaction_ids.take().unwrap_or_default();
            self.judge.check_transaction(self.now, &statement.id, &statements);
        }
        let commits_writes = statement.is_commit() && !self.clients[client].write_ids.is_empty();
        if statement.is_write() || commits_writes {
            self.record_acknowledgement(session_id, ready);
        }
        self.send_next_statement(client);
    }

    /// Readers may rely on the position that a write was acknowledged with.
    fn record_acknowledgement(&mut self, session_id: SessionId, ready: &str) {
        if !ready.starts_with("READY I") {
            return;
        }
        let Some(position) = ready.split(' ').nth(2).and_then(Position::parse) else { return };
        // Not on one that was truncated meanwhile.
        let is_truncated = self.judge.commits.iter().any(|commit| commit.position == position && commit.truncated);
        if !is_truncated {
            self.judge.acknowledgements.push(Acknowledgement { at: self.now, session_id, position });
        }
    }

    /// A session was closed by the other side.
    fn session_lost(&mut self, client: ClientIndex, session_id: SessionId) {
        self.sessions.remove(&session_id);
        self.check_transaction_lost(client);
        let state = &mut self.clients[client];
        state.session = None;
        let outstanding = state.outstanding.take();
        if let Some(statement) = outstanding.filter(|statement| !statement.is_connect()) {
            self.check_request_lost(client, &statement.id);
            let commit_sent = self.clients[client].commit_sent;
            let outcome = if commit_sent { AttemptOutcome::Unknown } else { AttemptOutcome::NotExecuted };
            self.record_outcome(client, outcome);
        }
        self.clients[client].script.clear();
        let pause = Duration::from_millis(self.rng.u64(LOST_SESSION_PAUSE_MILLIS));
        self.schedule(pause, Event::ClientConnects(client));
    }

    /// LOST, for a transaction: without a disturbance, a session is not closed before its end once an instance has got
    /// one of its statements.
    fn check_transaction_lost(&mut self, client: ClientIndex) {
        let state = &self.clients[client];
        let mut statements = state.transaction_ids.iter().flatten();
        let has_arrived = statements.any(|statement| self.judge.has_arrived(statement));
        if has_arrived && self.is_calm() {
            let began_at = state.attempt_began;
            self.judge.report(self.now, Violation::RequestLost { client, began_at });
        }
    }

    fn is_calm(&self) -> bool {
        self.last_disturbance_at.is_none_or(|at| self.now - at > DISTURBANCE_EFFECT)
    }

    /// LOST: without a disturbance, sessions are closed with an answer only, unless the request has only just come and
    /// was not passed on to an instance.
    fn check_request_lost(&mut self, client: ClientIndex, statement: &str) {
        let began_at = self.clients[client].attempt_began;
        let slack = LOSS_SLACK + self.network.client_latency;
        let is_late = self.now - began_at > slack;
        if self.is_calm() && (is_late || self.judge.has_arrived(statement)) {
            self.judge.report(self.now, Violation::RequestLost { client, began_at });
        }
    }

    /// An attempt was answered with an error. The next one takes a new session, because this one may still be in a
    /// transaction.
    fn attempt_failed(&mut self, client: ClientIndex, session_id: SessionId, code: &str) {
        let not_executed =
            lichenfield_engine::request::error::guarantees_not_executed(code) || !self.clients[client].commit_sent;
        let outcome = if not_executed { AttemptOutcome::NotExecuted } else { AttemptOutcome::Unknown };
        self.record_outcome(client, outcome);
        self.clients[client].script.clear();
        self.schedule(FAILED_SESSION_CLOSE, Event::SessionInput { session_id, text: None });
        self.sessions.remove(&session_id);
        let now = self.instant();
        let state = &mut self.clients[client];
        state.session = None;
        if let Some(pooler) = self.hosts[state.pooler].running_pooler_mut() {
            pooler.handle_client_closed(now, session_id);
        }
        let retries = not_executed && state.attempts < MAX_ATTEMPTS;
        let pause = if retries { RETRY_DELAY } else { GIVE_UP_DELAY };
        self.schedule(pause, Event::ClientConnects(client));
    }
}
