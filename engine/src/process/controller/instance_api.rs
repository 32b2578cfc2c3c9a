//! `/api/instances/ID`: instances' heartbeats (`PUT`) and their end (`DELETE`).

use super::http_api::{ApiError, Reply};
use super::proposals::{Purpose, REQUEST_TIMEOUT};
use super::{Controller, RequestToken, Response};
use crate::process::dissemination::anti_entropy::Update;
use crate::process::instance_registry::InstanceHeartbeat;
use crate::version::control_state::Command;
use std::time::Instant;

/// The status that an instance reports while it drains.
const STATUS_DRAINING: &str = "draining";

impl Controller {
    /// A heartbeat. Out of contact with a majority it is recorded and passed on, but not acknowledged: the instance
    /// tries another controller, and by that the leader learns of it.
    pub(super) fn put_instance(
        &mut self,
        now: Instant,
        token: RequestToken,
        id: &str,
        body: &[u8],
    ) -> Result<Reply, ApiError> {
        let heartbeat: InstanceHeartbeat =
            serde_json::from_slice(body).map_err(|error| ApiError::UnreadableHeartbeat(error.to_string()))?;
        let update = self.registry.record_heartbeat(now, id, &heartbeat);
        self.broadcast_registry_update(now, update);
        if heartbeat.status == STATUS_DRAINING {
            return self.record_draining(now, token, id);
        }
        self.require_quorum_contact(now)?;
        Ok(Reply::Now(Response::ok()))
    }

    /// The instance is gone.
    pub(super) fn delete_instance(&mut self, now: Instant, token: RequestToken, id: &str) -> Result<Reply, ApiError> {
        let update = self.registry.mark_gone(now, id);
        self.broadcast_registry_update(now, update);
        self.record_draining(now, token, id)
    }

    fn broadcast_registry_update(&mut self, now: Instant, update: Option<Update>) {
        if let Some(update) = update {
            self.broadcast_update(update);
            self.deadlines.leader_duties = now;
        }
    }

    /// That an instance drains is acknowledged only once the log holds it: it stays known whatever restarts.
    fn record_draining(&mut self, now: Instant, token: RequestToken, id: &str) -> Result<Reply, ApiError> {
        if self.control_state.draining_instances.iter().any(|draining| draining == id) {
            return Ok(Reply::Now(Response::ok()));
        }
        if self.raft.leader().is_none() {
            self.require_quorum_contact(now)?;
        }
        let command = Command::DrainInstance { id: id.to_owned() };
        self.propose(now, command, Purpose::Request { token, deadline: now + REQUEST_TIMEOUT });
        Ok(Reply::Later)
    }
}
