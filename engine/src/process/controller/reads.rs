//! Linearizable reads of the configuration and its history (the Raft paper's section 8).
//!
//! The leader answers once a majority has confirmed it after the call came; followers redirect to it.

use super::http_api::{ApiError, Reply};
use super::proposals::REQUEST_TIMEOUT;
use super::quorum_gate::Unavailable;
use super::{Controller, RequestToken, Response};
use crate::process::consensus::Role;
use std::collections::BTreeMap;
use std::time::Instant;

/// The reads that wait for the leader to be confirmed, by the number that the log knows them by.
#[derive(Default)]
pub(super) struct PendingReads {
    last_number: u64,
    pending: BTreeMap<u64, PendingRead>,
}

struct PendingRead {
    token: RequestToken,
    deadline: Instant,
    resource: Resource,
}

/// What can be read this way.
#[derive(Debug, Clone, Copy)]
enum Resource {
    Config,
    History,
}

impl Resource {
    fn path(self) -> &'static str {
        match self {
            Resource::Config => "/api/config",
            Resource::History => "/api/history",
        }
    }
}

impl PendingReads {
    /// Files a read and gives its number.
    fn insert(&mut self, read: PendingRead) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, read);
        self.last_number
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.pending.values().map(|read| read.deadline).min()
    }

    fn expired(&self, now: Instant) -> Vec<u64> {
        let expired = self.pending.iter().filter(|(_, read)| now >= read.deadline);
        expired.map(|(number, _)| *number).collect()
    }
}

impl Controller {
    pub(super) fn get_config(&mut self, now: Instant, token: RequestToken) -> Result<Reply, ApiError> {
        self.begin_read(now, token, Resource::Config)
    }

    pub(super) fn get_history(&mut self, now: Instant, token: RequestToken) -> Result<Reply, ApiError> {
        self.begin_read(now, token, Resource::History)
    }

    fn begin_read(&mut self, now: Instant, token: RequestToken, resource: Resource) -> Result<Reply, ApiError> {
        if self.raft.role() != Role::Leader {
            return self.redirect_to_leader(now, resource);
        }
        let number = self.reads.insert(PendingRead { token, deadline: now + REQUEST_TIMEOUT, resource });
        self.raft.read(now, number);
        Ok(Reply::Later)
    }

    fn redirect_to_leader(&self, now: Instant, resource: Resource) -> Result<Reply, ApiError> {
        let leader = self.raft.leader().filter(|_| self.has_quorum_contact(now));
        let address = leader.and_then(|leader| self.control_address(leader.ip)).ok_or(Unavailable::NoLeaderForRead)?;
        Ok(Reply::Now(Response::redirect(format!("http://{address}{}", resource.path()))))
    }

    /// A majority has confirmed the leader since this read came: the state here is answered.
    pub(super) fn answer_read(&mut self, number: u64) {
        let Some(read) = self.reads.pending.remove(&number) else { return };
        let response = match read.resource {
            Resource::Config => self.current_config(),
            Resource::History => self.history(),
        };
        self.reply(read.token, response);
    }

    /// This read's leader was deposed, or was not confirmed in time.
    pub(super) fn refuse_read(&mut self, number: u64) {
        if let Some(read) = self.reads.pending.remove(&number) {
            self.reply(read.token, Unavailable::ReadNotConfirmed);
        }
    }

    /// Refuses reads that have waited too long: a leader with too few voters may stay the leader and yet commit
    /// nothing.
    pub(super) fn expire_reads(&mut self, now: Instant) {
        for number in self.reads.expired(now) {
            self.refuse_read(number);
        }
    }

    fn current_config(&self) -> Response {
        match &self.control_state.config {
            Some(version) => Response { status: 200, body: version.raw.clone(), location: None },
            None => ApiError::NoConfig.into(),
        }
    }

    fn history(&self) -> Response {
        Response::json(200, &serde_json::json!({ "changes": self.control_state.change_history }))
    }
}
