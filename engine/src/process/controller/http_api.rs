//! Calls from outside: the operator's, and the instances' beats and ends.

use super::proposals::{ANSWER_BY, ANSWER_CONFIG_BY, Purpose};
use super::{Controller, Effect, Token};
use crate::process::consensus::Role;
use crate::process::instance_registry::InstanceHeartbeat;
use crate::version::config;
use crate::version::control_state::Command;
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub location: Option<String>,
}

/// What a read waits for, and until when.
pub(super) struct Read {
    token: Token,
    pub(super) by: Instant,
    what: What,
}

enum What {
    Config,
    History,
}

impl What {
    fn path(&self) -> &'static str {
        match self {
            What::Config => "/api/config",
            What::History => "/api/history",
        }
    }
}

const OUT_OF_CONTACT: &str = "out of contact with a majority; ask another daemon";

impl Response {
    pub(super) fn json(status: u16, value: &serde_json::Value) -> Self {
        Response { status, body: value.to_string().into_bytes(), location: None }
    }

    pub(super) fn error(status: u16, why: &str) -> Self {
        Response::json(status, &serde_json::json!({"error": why}))
    }

    pub(super) fn ok() -> Self {
        Response::json(200, &serde_json::json!({}))
    }
}

/// The number in an `If-Match`: digits, in quotes or without.
fn version(text: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.strip_prefix('"').map_or(Some(text), |rest| rest.strip_suffix('"'))?;
    digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
}

impl Controller {
    pub fn request(&mut self, now: Instant, token: Token, request: Request) {
        if let Some(response) = self.answer(now, token, request) {
            self.pending.push_back(Effect::Reply(token, response));
        }
        self.turn(now);
    }

    fn answer(&mut self, now: Instant, token: Token, request: Request) -> Option<Response> {
        if self.raft.is_shutting_down() && request.method != "GET" {
            return Some(Response::error(503, "this daemon is about to end; ask another"));
        }
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("PUT", "/api/config") => self.put_config(now, token, request),
            ("GET", "/api/config") => self.read(now, Read { token, by: now + ANSWER_BY, what: What::Config }),
            ("GET", "/api/history") => self.read(now, Read { token, by: now + ANSWER_BY, what: What::History }),
            ("GET", "/api/status") => Some(Response::json(200, &self.status(now))),
            (method, path) => match path.strip_prefix("/api/instances/") {
                Some(id) if !id.is_empty() && !id.contains('/') => match method {
                    "PUT" => self.record_heartbeat(now, token, id, &request.body),
                    "DELETE" => self.instance_ends(now, token, id),
                    _ => Some(Response::error(405, "PUT or DELETE")),
                },
                _ => Some(Response::error(404, "no such path")),
            },
        }
    }

    fn put_config(&mut self, now: Instant, token: Token, request: Request) -> Option<Response> {
        let Some(if_match) = request.if_match.as_deref().and_then(version) else {
            return Some(Response::error(400, "If-Match must give the number of the version this builds on"));
        };
        match config::parse(&request.body) {
            Ok(document) if document.revision <= if_match => {
                let why = format!("revision {} is not above {if_match}, which it builds on", document.revision);
                return Some(Response::error(400, &why));
            }
            Ok(_) => {}
            Err(error) => return Some(Response::error(400, &error.to_string())),
        }
        if self.raft.leader().is_none() {
            return Some(Response::error(503, "no leader; ask again"));
        }
        let by = now + ANSWER_CONFIG_BY;
        self.propose(
            now,
            Command::Configure { if_match, raw: request.body, by: self.descriptor.name.clone(), at: self.wall },
            Purpose::Answer(token, by),
        );
        None
    }

    /// Reads are linearizable: a leader answers once a majority has confirmed it after the call came.
    fn read(&mut self, now: Instant, read: Read) -> Option<Response> {
        if self.raft.role() == Role::Leader {
            self.next_read += 1;
            self.reads.insert(self.next_read, read);
            self.raft.read(now, self.next_read);
            return None;
        }
        let control = self.raft.leader().filter(|_| self.has_quorum_contact(now)).and_then(|l| self.control_of(l.ip));
        Some(match control {
            Some(address) => Response {
                status: 307,
                body: Vec::new(),
                location: Some(format!("http://{address}{}", read.what.path())),
            },
            None => Response::error(503, "no leader known; ask again"),
        })
    }

    pub(super) fn readable(&mut self, read: u64) {
        let Some(Read { token, what, .. }) = self.reads.remove(&read) else { return };
        let response = match what {
            What::Config => self.newest(),
            What::History => Response::json(200, &serde_json::json!({ "changes": self.control_state.change_history })),
        };
        self.pending.push_back(Effect::Reply(token, response));
    }

    pub(super) fn unreadable(&mut self, read: u64) {
        if let Some(Read { token, .. }) = self.reads.remove(&read) {
            self.pending.push_back(Effect::Reply(token, Response::error(503, "the leader changed; ask again")));
        }
    }

    /// A leader may stay one and yet commit nothing, with too few voters to hold it: nobody waits for that.
    pub(super) fn expire_reads(&mut self, now: Instant) {
        let late: Vec<u64> = self.reads.iter().filter(|(_, r)| now >= r.by).map(|(read, _)| *read).collect();
        late.into_iter().for_each(|read| self.unreadable(read));
    }

    fn newest(&self) -> Response {
        match &self.control_state.config {
            Some(version) => Response { status: 200, body: version.raw.clone(), location: None },
            None => Response::error(404, "no configuration yet"),
        }
    }

    /// Out of contact what an instance says is noted and passed on, but not acknowledged: it goes on to another daemon, by
    /// which the leader hears of it.
    fn record_heartbeat(&mut self, now: Instant, token: Token, id: &str, body: &[u8]) -> Option<Response> {
        let beat: InstanceHeartbeat = match serde_json::from_slice(body) {
            Ok(beat) => beat,
            Err(e) => return Some(Response::error(400, &format!("can't be read: {e}"))),
        };
        let draining = beat.status == "draining";
        if let Some(update) = self.registry.record_heartbeat(now, id, &beat) {
            self.spread(update);
            self.duty_due = now;
        }
        match draining {
            true => self.note_leaving(now, token, id),
            false if self.has_quorum_contact(now) => Some(Response::ok()),
            false => Some(Response::error(503, OUT_OF_CONTACT)),
        }
    }

    /// That an instance leaves is in the log before anybody hears so: whatever restarts, it stays known.
    fn note_leaving(&mut self, now: Instant, token: Token, id: &str) -> Option<Response> {
        if self.control_state.draining_instances.iter().any(|d| d == id) {
            return Some(Response::ok());
        }
        if self.raft.leader().is_none() && !self.has_quorum_contact(now) {
            return Some(Response::error(503, OUT_OF_CONTACT));
        }
        let by = now + ANSWER_BY;
        self.propose(now, Command::DrainInstance { id: id.to_owned() }, Purpose::Answer(token, by));
        None
    }

    fn instance_ends(&mut self, now: Instant, token: Token, id: &str) -> Option<Response> {
        if let Some(update) = self.registry.mark_gone(now, id) {
            self.spread(update);
            self.duty_due = now;
        }
        self.note_leaving(now, token, id)
    }
}
