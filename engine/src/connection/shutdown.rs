//! The order in which a pooler ends after SIGTERM: it drains, stops accepting connections, and ends once no client is
//! left. It accepts for half of its grace period, since the platform may go on sending clients to a daemon that is not
//! ready, but never while it ends: a connection that is accepted is served, and has the time for an operation.

use super::draining::DrainPhase;
use std::time::{Duration, Instant};

/// The platform goes on sending new clients for up to this long after the readiness probe failed. A daemon without
/// clients waits for them, for half its grace at most.
const LATE_CLIENT_WAIT: Duration = Duration::from_millis(2600);

/// What the driver does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Close the sessions that may be closed in this phase, and ask again after a pause.
    Drain(DrainPhase),
    /// Accept no more connections, then ask again at once.
    StopAccepting,
    /// End the process.
    End,
}

/// A shutdown under way.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    started_at: Instant,
    grace: Duration,
    accepting: bool,
}

impl Shutdown {
    /// Begins with SIGTERM; `grace`: from then until the process is killed.
    pub fn new(started_at: Instant, grace: Duration) -> Self {
        Shutdown { started_at, grace, accepting: true }
    }

    /// When it began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether connections are accepted still.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// How far it is.
    pub fn phase(&self, now: Instant) -> DrainPhase {
        DrainPhase::after(now.duration_since(self.started_at), self.grace)
    }

    /// The next step, while this many connections of clients are open, from the first accepted byte on.
    pub fn next_step(&mut self, now: Instant, client_connections: usize) -> ShutdownStep {
        let phase = self.phase(now);
        let late_client_wait = LATE_CLIENT_WAIT.min(self.grace / 2);
        let expects_clients = now.duration_since(self.started_at) <= late_client_wait;
        let idle = client_connections == 0 && !expects_clients;
        if self.accepting && (idle || phase >= DrainPhase::RollingBack) {
            self.accepting = false;
            return ShutdownStep::StopAccepting;
        }
        if phase == DrainPhase::Finished || idle {
            return ShutdownStep::End;
        }
        ShutdownStep::Drain(phase)
    }
}

#[cfg(test)]
mod tests;
