//! Time: what is due next, and what happens then.

use super::Pooler;
use super::sessions::is_transaction_idle;
use super::timers::Timer;
use std::time::Instant;

impl Pooler {
    /// When [`Pooler::tick`] is to be called next.
    pub fn next_due(&self) -> Instant {
        let others = [
            self.carriers.moves_due(),
            self.services.next_lease_end(),
            self.admission.request_due(),
            self.timers.next_due(),
        ];
        others.into_iter().flatten().fold(self.leader.lease_request_due(), Instant::min)
    }

    /// Does what is due. `window`: the number of the usage window that the time of day falls into.
    pub fn tick(&mut self, now: Instant, window: u64) {
        self.usage.set_current(window);
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(now, timer);
        }
        if is_due(now, self.services.next_lease_end()) {
            self.expire_leases(now);
            self.services.update_lease_deadlines();
        }
        if is_due(now, self.carriers.moves_due()) {
            self.move_sessions(now);
        }
        if is_due(now, self.admission.request_due()) {
            self.request_rights(now);
        }
        if is_due(now, Some(self.leader.lease_request_due())) {
            self.request_leases(now);
            self.release_held_sessions(now);
        }
        self.usage.discard_excess();
        self.finish_input(now);
    }

    /// To be called after each input, before the effects are taken.
    pub fn finish_input(&mut self, now: Instant) {
        self.serve_queues(now);
        if self.services.recall_in_progress() {
            self.finish_recalls(now);
            self.services.update_lease_deadlines();
        }
        let Pooler { timers, sessions, connections, .. } = self;
        timers.discard_expired(|timer| match timer {
            Timer::Deadline(statement)
            | Timer::QueueTimeout(statement)
            | Timer::Hedge(statement)
            | Timer::OpenConnection(statement)
            | Timer::Retry(statement) => sessions.find(*statement).is_none(),
            Timer::TransactionIdle { session_id, statement_count } => {
                let session = sessions.get(*session_id);
                session.is_none_or(|session| !is_transaction_idle(session, *statement_count))
            }
            Timer::Connection { connection_id, since } => {
                let connection = connections.get(*connection_id);
                connection.is_none_or(|connection| connection.since != *since || connection.outstanding.is_empty())
            }
        });
    }

    fn handle_timer(&mut self, now: Instant, timer: Timer) {
        match timer {
            Timer::Deadline(statement) => self.deadline_timer_due(now, statement),
            Timer::QueueTimeout(statement) => self.queue_timer_due(now, statement),
            Timer::Hedge(statement) => self.hedge_timer_due(now, statement),
            Timer::TransactionIdle { session_id, statement_count } => {
                self.transaction_idle_timer_due(now, session_id, statement_count);
            }
            Timer::Connection { connection_id, since } => self.connection_timer_due(now, connection_id, since),
            Timer::OpenConnection(statement) => self.open_connection_timer_due(now, statement),
            Timer::Retry(statement) => self.retry_timer_due(now, statement),
        }
    }
}

fn is_due(now: Instant, due: Option<Instant>) -> bool {
    due.is_some_and(|due| now >= due)
}
