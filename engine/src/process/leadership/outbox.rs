//! What the leader wants done, and the calls whose answers it waits for.

use crate::process::dissemination::anti_entropy::Instance;
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::Command;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// What the leader wants done by the controller and its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append a command to the log.
    Propose(Command),
    /// Send one statement to an instance and report the [`HealthCheckResult`](super::HealthCheckResult).
    HealthCheck {
        /// Names the call when its result is reported.
        token: u64,
        /// The instance to connect to.
        instance: Instance,
        /// The statement.
        text: String,
    },
    /// Call the platform and report the [`PlatformCallOutcome`](super::platform_calls::PlatformCallOutcome).
    PlatformCall {
        /// Names the call when its outcome is reported.
        token: u64,
        /// Path of the request.
        path: &'static str,
        /// The leader's term: the platform refuses a lower one than it has seen, and the call must not go out once
        /// this daemon leads no more.
        fence: u64,
        /// JSON body.
        body: String,
    },
    /// Send a message to another daemon.
    Send(Ipv4Addr, PeerMessage),
    /// Write a line for operators.
    Log(String),
}

/// What a pending call was made for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PendingCall {
    /// The state of an instance of a service.
    Status {
        /// The service that is examined.
        service: String,
        /// The instance asked.
        instance: String,
    },
    /// A replaced primary is asked to step down.
    StepDown {
        /// The instance asked.
        instance: String,
    },
    /// The platform is asked to promote an instance.
    Failover {
        /// The service whose primary is replaced.
        service: String,
    },
    /// The platform is sent a usage report.
    Usage {
        /// The reported window.
        window: u64,
    },
}

/// Collects effects until the controller takes them, and hands out the tokens of calls.
#[derive(Debug)]
pub struct Outbox {
    effects: Vec<Effect>,
    pending_calls: BTreeMap<u64, PendingCall>,
    last_token: u64,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox { effects: Vec::new(), pending_calls: BTreeMap::new(), last_token: 1 }
    }
}

impl Outbox {
    /// Takes the effects collected so far, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The call that this token was handed out for; each is given once.
    pub fn take_pending_call(&mut self, token: u64) -> Option<PendingCall> {
        self.pending_calls.remove(&token)
    }

    /// The term is over: nobody waits for the answers to its calls.
    pub fn forget_pending_calls(&mut self) {
        self.pending_calls.clear();
    }

    /// Wants a command appended to the log.
    pub fn propose(&mut self, command: Command) {
        self.effects.push(Effect::Propose(command));
    }

    /// Wants a statement sent to an instance.
    pub fn health_check(&mut self, call: PendingCall, instance: &Instance, text: String) {
        let token = self.register(call);
        self.effects.push(Effect::HealthCheck { token, instance: instance.clone(), text });
    }

    /// Wants the platform called under this term.
    pub fn platform_call(&mut self, call: PendingCall, path: &'static str, term: u64, body: &serde_json::Value) {
        let token = self.register(call);
        self.effects.push(Effect::PlatformCall { token, path, fence: term, body: body.to_string() });
    }

    /// Wants a message sent to another daemon.
    pub fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.effects.push(Effect::Send(to, message));
    }

    /// Wants a line written for operators.
    pub fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    fn register(&mut self, call: PendingCall) -> u64 {
        self.last_token += 1;
        self.pending_calls.insert(self.last_token, call);
        self.last_token
    }
}
