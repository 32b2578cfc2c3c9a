//! Sessions between clients and poolers, some of them forwarded by the pooler they came to.

use super::events::{Event, FollowUp};
use super::{ClientIndex, HostIndex, SessionId, World};
use lichenfield_engine::connection::draining::DrainPhase;
use lichenfield_engine::process::forwarding::{self, ForwardedSession};
use std::time::Duration;

/// How often a session that lost its carrier is checked until it may be closed.
const SEVERED_RETRY: Duration = Duration::from_millis(200);
/// How long the pooler that a session came to takes to reach the carrier.
const FORWARDING_DELAY: Duration = Duration::from_millis(2);

/// An open session.
#[derive(Debug, Clone, Copy)]
pub(super) struct Session {
    /// The pooler that serves it.
    pub(super) pooler: HostIndex,
    pub(super) client: ClientIndex,
}

/// A session that is forwarded to a carrier.
#[derive(Debug)]
pub(super) struct Forwarding {
    /// The pooler that it came to.
    pub(super) entry_pooler: HostIndex,
    /// What that pooler knows of it.
    pub(super) session: ForwardedSession,
}

impl World {
    /// Opens a session at a pooler, which may forward it to another. Returns the pooler that serves it.
    pub(super) fn open_session(&mut self, entry: HostIndex, client: ClientIndex, hello: &str) -> SessionId {
        let session_id = self.next_session_id;
        self.next_session_id += 1;
        let carrier = self.forward_session(session_id, entry, hello);
        self.sessions.insert(session_id, Session { pooler: carrier.unwrap_or(entry), client });
        if carrier.is_none()
            && let Some(pooler) = self.hosts[entry].running_pooler_mut()
        {
            pooler.accept_session(session_id);
        }
        session_id
    }

    /// Forwards a session to the first carrier that can be reached and accepts it, if there is one.
    fn forward_session(&mut self, session_id: SessionId, entry: HostIndex, hello: &str) -> Option<HostIndex> {
        if self.drain_phase(entry) >= DrainPhase::RollingBack {
            return None;
        }
        let entry_pooler = self.hosts[entry].running_pooler()?;
        let carriers = entry_pooler.carriers_for(hello);
        let revision = entry_pooler.newest_revision();
        for ip in carriers {
            let Some(carrier) = self.host_with_ip(ip) else { continue };
            if !self.hosts[carrier].up || !self.hosts[carrier].accepts_clients() || self.network.is_cut(entry, carrier)
            {
                continue;
            }
            let Some(pooler) = self.hosts[carrier].running_pooler_mut() else { continue };
            if !pooler.accept_forwarded_session(session_id) {
                continue;
            }
            let session = ForwardedSession::new(revision);
            self.forwarded_sessions.insert(session_id, Forwarding { entry_pooler: entry, session });
            self.forwarded_session_count += 1;
            let text = Some(forwarding::revision_line(revision));
            self.schedule(FORWARDING_DELAY, Event::SessionInput { session_id, text });
            return Some(carrier);
        }
        None
    }

    /// A client sends bytes, by way of the pooler that its session came to.
    pub(super) fn send_from_client(&mut self, session_id: SessionId, text: &str) {
        let now = self.instant();
        let latency = self.network.client_latency;
        let Some(forwarding) = self.forwarded_sessions.get_mut(&session_id) else {
            return self.schedule(latency, Event::SessionInput { session_id, text: Some(text.to_owned()) });
        };
        if forwarding.session.is_carrier_lost() {
            let refusal = forwarding.session.reject_requests(now, text.as_bytes());
            let closes = forwarding.session.may_close(now, DrainPhase::Serving, true);
            return self.refuse_client(session_id, refusal, closes);
        }
        let Some(pooler) = self.hosts[forwarding.entry_pooler].running_pooler() else { return };
        let forwarded = forwarding.session.handle_client_bytes(now, text.as_bytes(), pooler.newest_revision());
        let text = Some(String::from_utf8_lossy(&forwarded).into_owned());
        self.schedule(latency, Event::SessionInput { session_id, text });
    }

    /// The answer to a client whose session has lost its carrier, after a round trip.
    fn refuse_client(&mut self, session_id: SessionId, refusal: String, closes: bool) {
        let Some(Session { client, .. }) = self.sessions.get(&session_id).copied() else { return };
        if refusal.is_empty() {
            return;
        }
        let round_trip = self.network.client_latency * 2;
        self.schedule(round_trip, Event::ClientInput { client, session_id, text: Some(refusal) });
        if closes {
            self.schedule(round_trip, Event::ClientInput { client, session_id, text: None });
        }
    }

    /// A client's bytes, or its end of the session, arrive at the pooler that serves it.
    pub(super) fn deliver_to_session(&mut self, session_id: SessionId, text: Option<String>) {
        let now = self.instant();
        let Some(Session { pooler: host, .. }) = self.sessions.get(&session_id).copied() else { return };
        let Some(pooler) = self.hosts[host].running_pooler_mut() else { return };
        match text {
            Some(text) => pooler.handle_client_bytes(now, session_id, text.as_bytes()),
            None => pooler.handle_client_closed(now, session_id),
        }
        self.process_effects(host);
    }

    /// The pooler that serves a session answers its client, by way of the pooler that the session came to.
    pub(super) fn answer_client(&mut self, session_id: SessionId, text: String) {
        let Some(forwarding) = self.forwarded_sessions.get_mut(&session_id) else {
            return self.send_to_client(session_id, text);
        };
        let output = forwarding.session.handle_carrier_bytes(text.as_bytes());
        let entry = forwarding.entry_pooler;
        let text = String::from_utf8_lossy(&output.to_client).into_owned();
        if let (Some(revision), Some(pooler)) = (output.served_revision, self.hosts[entry].running_pooler_mut()) {
            pooler.require_revision(revision);
        }
        let (now, phase) = (self.instant(), self.drain_phase(entry));
        let forwarding = self.forwarded_sessions.get(&session_id);
        let may_close = forwarding.is_some_and(|forwarding| forwarding.session.may_close(now, phase, true));
        let answered = !text.is_empty() && may_close;
        self.send_to_client(session_id, text);
        if output.may_close || answered {
            self.close_session_if_read(session_id);
        }
    }

    /// Sends text to a session's client, if there is any.
    pub(super) fn send_to_client(&mut self, session_id: SessionId, text: String) {
        if let Some(Session { client, .. }) = self.sessions.get(&session_id).copied()
            && !text.is_empty()
        {
            self.schedule(self.network.client_latency, Event::ClientInput { client, session_id, text: Some(text) });
        }
    }

    /// Closes a session: its client and the pooler that serves it learn of it.
    pub(super) fn close_session(&mut self, session_id: SessionId) {
        if let Some(Session { client, .. }) = self.sessions.get(&session_id).copied() {
            self.schedule(self.network.client_latency, Event::ClientInput { client, session_id, text: None });
            self.schedule(Duration::ZERO, Event::SessionInput { session_id, text: None });
        }
        self.forwarded_sessions.remove(&session_id);
    }

    /// Closes a session unless input of it has come that was not read yet.
    pub(super) fn close_session_if_read(&mut self, session_id: SessionId) {
        if !self.unread_sessions.contains(&session_id) {
            return self.close_session(session_id);
        }
        let now = self.instant();
        let Some(Session { pooler: host, .. }) = self.sessions.get(&session_id).copied() else { return };
        if let Some(forwarding) = self.forwarded_sessions.get_mut(&session_id) {
            forwarding.session.activity.note_input(now);
        } else if let Some(pooler) = self.hosts[host].running_pooler_mut() {
            pooler.note_unread_bytes(now, session_id);
        }
    }

    /// Ends the sessions of a pooler that has stopped, those that it forwarded included.
    pub(super) fn end_sessions_of(&mut self, host: HostIndex) {
        let is_forwarded_by_host = |session_id: &SessionId| {
            self.forwarded_sessions.get(session_id).is_some_and(|forwarding| forwarding.entry_pooler == host)
        };
        let ended: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(session_id, session)| session.pooler == host || is_forwarded_by_host(session_id))
            .map(|(session_id, _)| *session_id)
            .collect();
        ended.into_iter().for_each(|session_id| self.end_session(session_id, host));
    }

    /// A session that lost its carrier is ended by the pooler it came to, once it may be.
    fn end_session(&mut self, session_id: SessionId, stopped: HostIndex) {
        let now = self.instant();
        let forwarding = self.forwarded_sessions.get_mut(&session_id);
        let Some(forwarding) = forwarding.filter(|forwarding| forwarding.entry_pooler != stopped) else {
            return self.close_session(session_id);
        };
        let last_answer = forwarding.session.handle_carrier_loss();
        let may_close = forwarding.session.may_close(now, DrainPhase::Serving, false);
        self.send_to_client(session_id, last_answer);
        if may_close {
            self.close_session(session_id);
        } else {
            self.follow_up(SEVERED_RETRY, FollowUp::CloseSeveredSession { session_id });
        }
    }

    /// Closes a session that lost its carrier, or checks again later.
    pub(super) fn close_severed_session(&mut self, session_id: SessionId) {
        let now = self.instant();
        let Some(forwarding) = self.forwarded_sessions.get(&session_id) else { return };
        if forwarding.session.may_close(now, DrainPhase::Serving, false) {
            self.close_session_if_read(session_id);
        } else {
            self.follow_up(SEVERED_RETRY, FollowUp::CloseSeveredSession { session_id });
        }
    }
}
