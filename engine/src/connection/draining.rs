//! When a client's session may be closed without interrupting an operation: one rule for sessions served by this
//! pooler and for those that it forwards.

use std::time::{Duration, Instant};

/// A client whose operation has ended is taken to be idle after this long without input.
const IDLE_AFTER: Duration = Duration::from_millis(200);
/// The same for a client that has only just connected, or that has set variables or prepared statements for an
/// operation still to come: it may be far away, or its link busy.
const PREPARED_IDLE_AFTER: Duration = Duration::from_millis(1500);
/// Sessions closed in one step. Their clients reconnect elsewhere at once, and requests of others must not wait
/// meanwhile.
pub const SESSIONS_CLOSED_PER_STEP: usize = 16;

/// Share of the grace period during which open transactions may still end.
const DRAINING_SHARE: f64 = 0.5;
/// Share of the grace period after which every waiting client gets its final answer.
const CLOSING_SHARE: f64 = 0.85;
/// Share of the grace period up to which clients may still read those answers.
const LINGER_SHARE: f64 = 0.95;

/// How far a pooler has come with shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Not shutting down.
    Serving,
    /// Sessions are closed once they are idle.
    Draining,
    /// Idle transactions are rolled back; their clients are notified with their next statement.
    RollingBack,
    /// Every waiting client gets the true state of its request, and nothing new is begun.
    Closing,
    /// The process ends, whether or not clients have read their answers.
    Finished,
}

impl DrainPhase {
    /// The phase when `spent` of the grace period has passed since the shutdown began.
    pub fn after(spent: Duration, grace: Duration) -> DrainPhase {
        let share = spent.as_secs_f64() / grace.as_secs_f64().max(0.001);
        match () {
            () if share > LINGER_SHARE => DrainPhase::Finished,
            () if share > CLOSING_SHARE => DrainPhase::Closing,
            () if share > DRAINING_SHARE => DrainPhase::RollingBack,
            () => DrainPhase::Draining,
        }
    }
}

/// What a session has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    /// A statement without its answer, or a part of one.
    Busy,
    /// A transaction without a statement.
    InTransaction,
    /// Nothing.
    Idle,
}

/// What the client of a session was last seen to do, from which it follows whether closing the session now would
/// interrupt an operation.
#[derive(Debug, Clone, Default)]
pub struct ClientActivity {
    /// Statements received so far.
    pub statement_count: u64,
    last_input_at: Option<Instant>,
    /// The last answer was to a statement that only prepares an operation, which is still to come.
    operation_expected: bool,
}

impl ClientActivity {
    /// Bytes have come from the client, whether read yet or not.
    pub fn note_input(&mut self, now: Instant) {
        self.last_input_at = Some(now);
    }

    /// A statement has come.
    pub fn note_statement(&mut self, now: Instant) {
        self.statement_count += 1;
        self.last_input_at = Some(now);
    }

    /// The client got an answer; `operation_expected`: to a statement that only prepares an operation.
    pub fn note_answer(&mut self, operation_expected: bool) {
        self.operation_expected = operation_expected;
    }

    fn between_operations(&self) -> bool {
        self.statement_count > 0 && !self.operation_expected
    }

    /// Whether the session may be closed now, provided that no unread bytes are waiting. `just_answered`: the client
    /// has been given an answer at this moment, so that it cannot have begun anything yet.
    pub fn may_close(&self, now: Instant, session_state: SessionState, phase: DrainPhase, just_answered: bool) -> bool {
        let idle_after = if self.between_operations() { IDLE_AFTER } else { PREPARED_IDLE_AFTER };
        let silent = || self.last_input_at.is_none_or(|at| now.duration_since(at) > idle_after);
        match session_state {
            SessionState::Busy => false,
            _ if phase >= DrainPhase::Closing => true,
            SessionState::InTransaction => false,
            SessionState::Idle => (just_answered && self.between_operations()) || silent(),
        }
    }
}

#[cfg(test)]
mod tests;
