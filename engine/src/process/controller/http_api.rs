//! The HTTP interface: requests, routes, responses and errors.

use super::quorum_gate::Unavailable;
use super::{Controller, Effect, RequestToken};
use std::time::Instant;

/// A call of an operator or an instance.
#[derive(Debug, Clone)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, with the query if there is one.
    pub path: String,
    /// The header `If-Match`.
    pub if_match: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body, JSON if there is one.
    pub body: Vec<u8>,
    /// The header `Location`, of redirects.
    pub location: Option<String>,
}

/// How a request that is not refused goes on.
pub(super) enum Reply {
    /// It is answered at once.
    Now(Response),
    /// It is answered by an [`Effect::Reply`] once the log has decided or a majority has confirmed the leader.
    Later,
}

/// Why a request is refused. Its text is the body's `error`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum ApiError {
    #[error("If-Match must give the number of the version this builds on")]
    InvalidIfMatch,
    #[error("revision {revision} is not above {if_match}, which it builds on")]
    RevisionNotAboveBase { revision: u64, if_match: u64 },
    /// The configuration is not valid: the reason.
    #[error("{0}")]
    InvalidConfig(String),
    #[error("can't be read: {0}")]
    UnreadableHeartbeat(String),
    #[error("no such path")]
    UnknownPath,
    #[error("no configuration yet")]
    NoConfig,
    #[error("PUT or DELETE")]
    MethodNotAllowed,
    #[error("another version is in place")]
    VersionConflict { current: u64 },
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

impl ApiError {
    /// The HTTP status. That of [`Unavailable`] is explained there.
    fn status(&self) -> u16 {
        match self {
            ApiError::InvalidIfMatch
            | ApiError::RevisionNotAboveBase { .. }
            | ApiError::InvalidConfig(_)
            | ApiError::UnreadableHeartbeat(_) => 400,
            ApiError::UnknownPath | ApiError::NoConfig => 404,
            ApiError::MethodNotAllowed => 405,
            ApiError::VersionConflict { .. } => 412,
            ApiError::Unavailable(_) => 503,
        }
    }
}

impl From<ApiError> for Response {
    fn from(error: ApiError) -> Self {
        let text = error.to_string();
        let body = match error {
            ApiError::VersionConflict { current } => serde_json::json!({"error": text, "revision": current}),
            _ => serde_json::json!({"error": text}),
        };
        Response::json(error.status(), &body)
    }
}

impl From<Unavailable> for Response {
    fn from(reason: Unavailable) -> Self {
        ApiError::from(reason).into()
    }
}

impl Response {
    pub(super) fn json(status: u16, value: &serde_json::Value) -> Self {
        Response { status, body: value.to_string().into_bytes(), location: None }
    }

    pub(super) fn ok() -> Self {
        Response::json(200, &serde_json::json!({}))
    }

    pub(super) fn redirect(location: String) -> Self {
        Response { status: 307, body: Vec::new(), location: Some(location) }
    }
}

const INSTANCES_PATH: &str = "/api/instances/";

impl Controller {
    /// A call of the HTTP interface, answered by an [`Effect::Reply`] with the same token, now or later.
    pub fn request(&mut self, now: Instant, token: RequestToken, request: Request) {
        match self.route(now, token, request) {
            Ok(Reply::Now(response)) => self.reply(token, response),
            Ok(Reply::Later) => {}
            Err(error) => self.reply(token, error),
        }
        self.process_effects(now);
    }

    /// Queues the answer to a request.
    pub(super) fn reply(&mut self, token: RequestToken, response: impl Into<Response>) {
        self.pending_effects.push_back(Effect::Reply(token, response.into()));
    }

    fn route(&mut self, now: Instant, token: RequestToken, request: Request) -> Result<Reply, ApiError> {
        if self.raft.is_shutting_down() && request.method != "GET" {
            return Err(Unavailable::ShuttingDown.into());
        }
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("PUT", "/api/config") => self.put_config(now, token, request),
            ("GET", "/api/config") => self.get_config(now, token),
            ("GET", "/api/history") => self.get_history(now, token),
            ("GET", "/api/status") => Ok(Reply::Now(Response::json(200, &self.status(now)))),
            (method, path) => {
                let id = instance_id(path).ok_or(ApiError::UnknownPath)?;
                match method {
                    "PUT" => self.put_instance(now, token, id, &request.body),
                    "DELETE" => self.delete_instance(now, token, id),
                    _ => Err(ApiError::MethodNotAllowed),
                }
            }
        }
    }
}

/// The instance that a path names.
fn instance_id(path: &str) -> Option<&str> {
    path.strip_prefix(INSTANCES_PATH).filter(|id| !id.is_empty() && !id.contains('/'))
}
