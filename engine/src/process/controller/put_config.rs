//! `PUT /api/config`: how a configuration becomes an acknowledged version.
//!
//! 1. [`Controller::put_config`], at the controller that was called, checks `If-Match` and the document.
//! 2. `proposals` sends it to the leader as [`Command::Configure`], again and again until the log has decided. A change
//!    that builds on a version which is not known here yet waits for that version.
//! 3. The leader appends it to the log and commits it.
//! 4. Every controller applies it ([`crate::version::control_state::ControlState::apply`]): it is accepted if it builds
//!    on the current version, or if it is a repeat of the change that was accepted on its version.
//! 5. The controller that was called sees its own proposal applied, and answers: 200, 412 on a conflict, or 503 if the
//!    log has not decided in time ([`Controller::finish_proposal`] and `send_due_proposals`).
//! 6. Each root publishes the new version to the tree (`publication`).

use super::http_api::{ApiError, Reply};
use super::proposals::{CONFIG_REQUEST_TIMEOUT, Purpose};
use super::quorum_gate::Unavailable;
use super::{Controller, Request, RequestToken};
use crate::version::config;
use crate::version::control_state::Command;
use std::time::Instant;

impl Controller {
    pub(super) fn put_config(
        &mut self,
        now: Instant,
        token: RequestToken,
        request: Request,
    ) -> Result<Reply, ApiError> {
        let if_match = request.if_match.as_deref().and_then(parse_if_match).ok_or(ApiError::InvalidIfMatch)?;
        check_document(&request.body, if_match)?;
        if self.raft.leader().is_none() {
            return Err(Unavailable::NoLeader.into());
        }
        let command =
            Command::Configure { if_match, raw: request.body, by: self.descriptor.name.clone(), at: self.wall_clock };
        self.propose(now, command, Purpose::Request { token, deadline: now + CONFIG_REQUEST_TIMEOUT });
        Ok(Reply::Later)
    }
}

/// The version number in an `If-Match`: digits, in quotes or without.
fn parse_if_match(header: &str) -> Option<u64> {
    let header = header.trim();
    let digits = match header.strip_prefix('"') {
        Some(rest) => rest.strip_suffix('"')?,
        None => header,
    };
    let only_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| only_digits)
}

/// Refuses a document that could not be accepted whatever the current version is.
fn check_document(raw: &[u8], if_match: u64) -> Result<(), ApiError> {
    let document = config::parse(raw).map_err(|error| ApiError::InvalidConfig(error.to_string()))?;
    let revision = document.revision;
    if revision <= if_match {
        return Err(ApiError::RevisionNotAboveBase { revision, if_match });
    }
    Ok(())
}
