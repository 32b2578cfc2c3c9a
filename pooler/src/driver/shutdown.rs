//! Draining after SIGTERM.

use super::PoolerDriver;
use super::carrier_link::CarrierLink;
use lichenfield_engine::connection::draining::{DrainPhase, SESSIONS_CLOSED_PER_STEP};
use lichenfield_engine::connection::shutdown::{Shutdown, ShutdownStep};
use lichenfield_engine::process::pooler::SessionId;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a draining daemon looks for sessions that it may close.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last messages to leave before the process ends.
const FINAL_SEND_WAIT: Duration = Duration::from_millis(60);

impl PoolerDriver {
    /// Drains after SIGTERM: idle sessions are closed first; open transactions get half the grace, running statements
    /// a little more; then whoever still waits gets the true state of its request. [`DrainPhase`] has the shares,
    /// [`Shutdown`] the order.
    pub(super) async fn drain(self: &Rc<Self>) {
        let started_at = Instant::now();
        self.shutdown.set(Some(Shutdown::new(started_at, self.grace.get())));
        self.pooler.borrow_mut().begin_draining(started_at);
        self.perform_effects(started_at);
        loop {
            let now = Instant::now();
            match self.next_shutdown_step(now) {
                ShutdownStep::Drain(phase) => {
                    self.drain_step(now, phase);
                    smol::Timer::after(DRAIN_INTERVAL).await;
                }
                ShutdownStep::StopAccepting => self.stop_accepting().await,
                ShutdownStep::End => break,
            }
        }
        if !self.client_streams.borrow().is_empty() {
            self.close_all_sessions(Instant::now());
        }
        self.send_last_messages(started_at).await;
        self.report_cut_sessions(started_at);
    }

    fn next_shutdown_step(&self, now: Instant) -> ShutdownStep {
        let Some(mut shutdown) = self.shutdown.get() else { return ShutdownStep::Drain(DrainPhase::Serving) };
        let step = shutdown.next_step(now, self.client_streams.borrow().len());
        self.shutdown.set(Some(shutdown));
        step
    }

    async fn send_last_messages(self: &Rc<Self>, started_at: Instant) {
        let now = Instant::now();
        let clients = self.client_streams.borrow().len();
        tracing::info!(elapsed = ?now.duration_since(started_at), clients, "drained");
        self.tree.borrow_mut().leave();
        self.pooler.borrow_mut().send_final_report(now);
        self.perform_effects(now);
        smol::Timer::after(FINAL_SEND_WAIT).await;
    }

    /// Sessions that are still open at the end are cut off: writes the log out if any request of theirs is under way.
    fn report_cut_sessions(&self, started_at: Instant) {
        let clients = self.client_streams.borrow().len();
        let requests = self.pooler.borrow().open_statements();
        let unanswered_links = |link: &&CarrierLink| !link.session.is_carrier_lost() && link.session.is_busy();
        let forwarded = self.carrier_links.borrow().values().filter(unanswered_links).count();
        if requests + forwarded > 0 {
            let elapsed = started_at.elapsed();
            tracing::error!(?elapsed, clients, requests, forwarded, "the process ends with requests under way");
        }
    }

    /// How far the drain is; [`DrainPhase::Serving`] before SIGTERM.
    pub(super) fn drain_phase(&self, now: Instant) -> DrainPhase {
        self.shutdown.get().map_or(DrainPhase::Serving, |shutdown| shutdown.phase(now))
    }

    /// Closes what may be closed now.
    fn drain_step(self: &Rc<Self>, now: Instant, phase: DrainPhase) {
        if phase == DrainPhase::Closing {
            self.close_all_sessions(now);
        } else {
            self.pooler.borrow_mut().close_idle_sessions(now, phase);
        }
        if phase == DrainPhase::RollingBack {
            self.sever_carriers(|link| link.session.is_in_transaction());
        }
        for session_id in self.closable_forwarded_sessions(now, phase) {
            self.close_forwarded_if_idle(now, session_id, false);
        }
        self.perform_effects(now);
    }

    /// The forwarded sessions to close in this step: a few at a time, so that their clients do not all reconnect at
    /// once, but all of them in the last phase.
    fn closable_forwarded_sessions(&self, now: Instant, phase: DrainPhase) -> Vec<SessionId> {
        let limit = if phase == DrainPhase::Closing { usize::MAX } else { SESSIONS_CLOSED_PER_STEP };
        let links = self.carrier_links.borrow();
        let closable = links.iter().filter(|(_, link)| link.session.may_close(now, phase, false));
        closable.map(|(session_id, _)| *session_id).take(limit).collect()
    }

    /// Gives up the carriers of the forwarded sessions that `selected` picks.
    fn sever_carriers(&self, selected: impl Fn(&CarrierLink) -> bool) {
        for link in self.carrier_links.borrow_mut().values_mut().filter(|link| selected(link)) {
            link.sever();
        }
    }

    /// Begins nothing new, and sends every client that waits the state of its request.
    fn close_all_sessions(&self, now: Instant) {
        self.sever_carriers(|_| true);
        self.pooler.borrow_mut().close_all_sessions(now);
        for session_id in self.undecided_sessions() {
            self.close_unless_unread(now, session_id);
        }
    }

    /// Connections whose first line has not come yet: neither served here nor forwarded.
    fn undecided_sessions(&self) -> Vec<SessionId> {
        let (pooler, links) = (self.pooler.borrow(), self.carrier_links.borrow());
        let is_undecided = |id: &&SessionId| !pooler.has_session(**id) && !links.contains_key(id);
        self.client_streams.borrow().keys().filter(is_undecided).copied().collect()
    }
}
