//! When a client's session may be closed without harm: the one rule for sessions that are served here
//! and for those that are passed on.

use std::time::{Duration, Instant};

/// A session whose operation has ended is taken to be at rest after this long in silence.
const QUIET: Duration = Duration::from_millis(200);
/// One that has been readied (values, prepared names) for an operation that is still to come, or that was
/// only just opened, after this long: its client may be far away or its link full.
const READIED: Duration = Duration::from_millis(1500);
/// Sessions closed in one turn: their clients come back elsewhere, and what others ask must not wait
/// meanwhile.
pub const CLOSED_AT_ONCE: usize = 16;

/// Shares of the grace in which open transactions may end, in which the last word is said, and in which
/// what was said last may still be read.
const GRACE_OPEN: f64 = 0.5;
const GRACE_END: f64 = 0.85;
const GRACE_LINGER: f64 = 0.95;

/// How far a daemon is with leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    Serving,
    /// Sessions are closed once they rest.
    Draining,
    /// Transactions that rest are rolled back; their clients are told when they go on.
    RollingBack,
    /// Whoever still waits gets the true state of the request, and nothing new is begun.
    Closing,
    /// The process ends, whoever has not read its answer yet.
    Finished,
}

impl DrainPhase {
    /// By the time since the daemon was told to leave.
    pub fn after(spent: Duration, grace: Duration) -> DrainPhase {
        let share = spent.as_secs_f64() / grace.as_secs_f64().max(0.001);
        match () {
            () if share > GRACE_LINGER => DrainPhase::Finished,
            () if share > GRACE_END => DrainPhase::Closing,
            () if share > GRACE_OPEN => DrainPhase::RollingBack,
            () => DrainPhase::Draining,
        }
    }
}

/// What a session has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    /// A question without its answer, or a part of one.
    Busy,
    /// A transaction, and nothing asked in it.
    InTransaction,
    Idle,
}

/// What the client of a session was last seen to do: whether a close would meet it in an operation.
#[derive(Debug, Clone, Default)]
pub struct ClientActivity {
    /// Questions so far.
    pub statement_count: u64,
    heard: Option<Instant>,
    /// The last answer readied the session; the operation is still to come.
    readied: bool,
}

impl ClientActivity {
    /// A question has come, or something is there that was not read yet.
    pub fn stirs(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    pub fn asked(&mut self, now: Instant) {
        self.statement_count += 1;
        self.heard = Some(now);
    }

    /// `readied`: by a statement that only prepares an operation.
    pub fn answered(&mut self, readied: bool) {
        self.readied = readied;
    }

    fn between_operations(&self) -> bool {
        self.statement_count > 0 && !self.readied
    }

    /// Whether the session may be closed now, if nothing unread has come. `answered`: its client has just
    /// been given an answer, so that it can't have begun anything yet.
    pub fn may_close(&self, now: Instant, session_state: SessionState, phase: DrainPhase, answered: bool) -> bool {
        let patience = if self.between_operations() { QUIET } else { READIED };
        let silent = || self.heard.is_none_or(|at| now.duration_since(at) > patience);
        match session_state {
            SessionState::Busy => false,
            _ if phase >= DrainPhase::Closing => true,
            SessionState::InTransaction => false,
            SessionState::Idle => (answered && self.between_operations()) || silent(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_operation_that_is_being_readied_is_not_closed() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut activity = ClientActivity::default();
        activity.asked(at(0));
        activity.answered(true);
        assert!(
            !activity.may_close(at(1), SessionState::Idle, DrainPhase::Draining, true),
            "a value was set: its operation comes"
        );
        assert!(
            !activity.may_close(at(1000), SessionState::Idle, DrainPhase::RollingBack, false),
            "the link may be full"
        );
        assert!(activity.may_close(at(1600), SessionState::Idle, DrainPhase::Draining, false), "nothing came");
        activity.asked(at(2000));
        assert!(
            !activity.may_close(at(9000), SessionState::Busy, DrainPhase::Closing, false),
            "the answer comes first"
        );
        activity.answered(false);
        assert!(
            activity.may_close(at(2001), SessionState::Idle, DrainPhase::Draining, true),
            "the operation has ended"
        );
        assert!(
            !activity.may_close(at(2150), SessionState::Idle, DrainPhase::Draining, false),
            "the next may be on its way"
        );
        assert!(activity.may_close(at(2250), SessionState::Idle, DrainPhase::Draining, false));
        assert!(
            !activity.may_close(at(2250), SessionState::InTransaction, DrainPhase::RollingBack, false),
            "its client is to be told first"
        );
        assert!(activity.may_close(at(2250), SessionState::InTransaction, DrainPhase::Closing, false));
    }

    #[test]
    fn the_grace_is_spent_in_order() {
        let grace = Duration::from_secs(6);
        let phases = [1000, 3100, 5200, 5800].map(|ms| DrainPhase::after(Duration::from_millis(ms), grace));
        assert_eq!(phases, [DrainPhase::Draining, DrainPhase::RollingBack, DrainPhase::Closing, DrainPhase::Finished]);
        assert!(phases.is_sorted() && DrainPhase::Serving < DrainPhase::Draining);
    }
}
