//! The freshness of what clients read.

use super::client::ClientRoute;
use super::{ClientIndex, World};
use crate::judge::{Acknowledgement, Violation};
use lichenfield_engine::connection::client_session::Position;
use std::time::Duration;

/// Staleness that the routes with stale reads allow.
pub(super) const MAX_STALENESS: Duration = Duration::from_millis(1500);
/// Before every position.
const BEFORE_ALL: Position = Position { term: 0, number: 0 };

impl World {
    /// STALE: what was read holds every commit that the route's consistency promises.
    pub(super) fn check_freshness(&mut self, client: ClientIndex, statement: &str, reply: &str) {
        let state = &self.clients[client];
        let Some(since) = state.read_since else { return };
        let Some(row) = reply.strip_prefix("ROW ").and_then(|rest| rest.split("\r\n").next()) else { return };
        let seen = Position::parse(row).unwrap_or(BEFORE_ALL);
        let route = state.route;
        let own_session = state.session;
        let is_old = |write: &Acknowledgement| write.at + MAX_STALENESS < since;
        let is_own = |write: &Acknowledgement| Some(write.session_id) == own_session && write.at < since;
        let is_required = |write: &&Acknowledgement| match route {
            ClientRoute::Primary => write.at < since,
            ClientRoute::BoundedStaleness => is_old(write),
            ClientRoute::ReadYourWrites => is_old(write) || is_own(write),
        };
        let required = self.judge.acknowledgements.iter().filter(is_required).map(|write| write.position).max();
        let required = required.unwrap_or(BEFORE_ALL);
        if seen < required {
            let statement = statement.to_owned();
            let violation = Violation::StaleRead { statement, route: route.name(), seen, required };
            self.judge.report(self.now, violation);
        }
    }
}
