//! Carriers: which poolers hold a service's connections, and sessions that are forwarded to this pooler or have to move
//! to another one.

use super::limits::UNCONFIGURED_CONNECTION_SHARE;
use super::timeouts::{MOVE_INTERVAL, UNCARRIED_SESSION_TIME};
use super::{Pooler, SessionId};
use crate::connection::client_session::Session;
use crate::connection::draining::DrainPhase;
use crate::process::forwarding::{CarrierAssignment, PoolerShare, PoolerShares};
use crate::request::statement::split_word;
use crate::version::config::Configuration;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::time::Instant;

/// The poolers that share the connections, and who carries which service accordingly.
#[derive(Debug, Default)]
pub(super) struct CarrierDirectory {
    shares: PoolerShares,
    assignment: CarrierAssignment,
    /// When sessions are looked for whose service others carry by now.
    moves_due: Option<Instant>,
}

impl CarrierDirectory {
    /// A pooler takes part in sharing, or no longer does.
    pub(super) fn set_share(&mut self, name: &str, share: Option<&PoolerShare>) {
        match share {
            Some(share) => self.shares.insert(name.to_owned(), share.clone()),
            None => self.shares.remove(name),
        };
    }

    /// Computes anew who carries which service.
    pub(super) fn recompute(&mut self, node: &str, config: &Configuration) {
        let services = config.backends.values().map(|backend| (backend.name.as_str(), backend.max_connections));
        self.assignment = CarrierAssignment::new(node, &self.shares, services);
    }

    /// Connections that may be held here to one instance of the service.
    pub(super) fn connection_share(&self, service: &str) -> usize {
        self.assignment.holding(service).map_or(UNCONFIGURED_CONNECTION_SHARE, |holding| holding.connection_limit)
    }

    /// Services that this pooler carries for others.
    pub(super) fn carried(&self) -> impl Iterator<Item = &String> {
        self.assignment.carried_services()
    }

    /// Whether only others carry the service.
    pub(super) fn is_carried_elsewhere(&self, service: &str) -> bool {
        self.assignment.is_carried_by_others(service)
    }

    /// The poolers that a tenant's sessions go to, the best first; empty where they are served here.
    pub(super) fn homes(&self, service: &str, tenant: &str) -> Vec<Ipv4Addr> {
        self.assignment.forwarding_targets(service, tenant)
    }

    pub(super) fn moves_due(&self) -> Option<Instant> {
        self.moves_due
    }

    pub(super) fn schedule_moves(&mut self, now: Instant) {
        self.moves_due = Some(now + MOVE_INTERVAL);
    }

    fn cancel_moves(&mut self) {
        self.moves_due = None;
    }
}

impl Pooler {
    /// Where a session whose first line is this is served, the best first; empty for here.
    pub fn carriers_for(&self, first_line: &str) -> Vec<Ipv4Addr> {
        let (verb, rest) = split_word(first_line.trim_end());
        if verb != "CONNECT" {
            return Vec::new();
        }
        let (database, key) = split_word(rest);
        let Ok(tenant) = self.configuration.authorize(database, key) else { return Vec::new() };
        let Some(route) = self.configuration.route(database) else { return Vec::new() };
        self.carriers.homes(&route.service, &tenant)
    }

    /// Takes a session that another pooler forwards; refused without a configuration, since it would have to wait here
    /// and need not at another carrier.
    pub fn accept_forwarded_session(&mut self, session_id: SessionId) -> bool {
        if self.draining_since.is_some() || self.configuration.current().is_none() {
            return false;
        }
        self.sessions.insert(session_id, Session::forwarded());
        true
    }

    /// The newest configuration revision that this daemon goes by or has seen at work.
    pub fn newest_revision(&self) -> u64 {
        self.configuration.newest_revision()
    }

    /// A carrier served a session by this revision: nothing is handled here by an older one from now on.
    pub fn require_revision(&mut self, revision: u64) {
        self.configuration.require(revision);
    }

    /// Closes idle sessions whose service only others carry by now, a few at a time. Their clients reconnect and are
    /// forwarded.
    pub(super) fn move_sessions(&mut self, now: Instant) {
        self.carriers.cancel_moves();
        // Without a configuration no session has been accepted that could have to move.
        let Some(config) = self.configuration.current() else { return };
        let routes = config.routes.iter();
        let moved_databases: HashSet<&String> = routes
            .filter(|(_, route)| self.carriers.is_carried_elsewhere(&route.service))
            .map(|(database, _)| database)
            .collect();
        let moving: HashSet<SessionId> =
            self.sessions.ids_where(|_, session| session.open && moved_databases.contains(&session.database)).collect();
        if moving.is_empty() {
            return;
        }
        self.carriers.schedule_moves(now);
        if !self.link_is_responsive(now) {
            return;
        }
        self.request_closing(DrainPhase::Draining, |session_id, session| {
            let may_close =
                || session.client_activity.may_close(now, session.session_state(), DrainPhase::Draining, false);
            moving.contains(&session_id) && may_close()
        });
    }

    /// Whether only others carry the session's service, and it has been here for a while: its client may reach them now.
    /// Here it has to make do with a single connection.
    pub(super) fn should_move(&self, now: Instant, session_id: SessionId) -> bool {
        let Some(session) = self.sessions.get(session_id) else { return false };
        let Some(route) = self.configuration.route(&session.database) else { return false };
        let stayed = session.opened_at.is_some_and(|at| now.duration_since(at) > UNCARRIED_SESSION_TIME);
        stayed && self.carriers.is_carried_elsewhere(&route.service)
    }
}
