//! Graceful shutdown of poolers.

use super::actions::{Action, Target};
use super::events::FollowUp;
use super::host::{Daemon, Drain};
use super::hosts::StopCause;
use super::{HostIndex, SessionId, World};
use lichenfield_engine::connection::draining::{DrainPhase, SESSIONS_CLOSED_PER_STEP};
use lichenfield_engine::connection::shutdown::{Shutdown, ShutdownStep};
use std::time::Duration;

/// How long a pooler's graceful shutdown may take, by the settings.
const DRAIN_GRACE: Duration = Duration::from_secs(6);
/// How often a draining pooler closes sessions.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// From the last step of a shutdown to the end of the process.
const FINAL_SEND_WAIT: Duration = Duration::from_millis(60);
/// From a pooler's end to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(240);

impl World {
    /// Begins the graceful shutdown of poolers (SIGTERM).
    pub(super) fn drain_poolers(&mut self, target: Target, restarts: bool) {
        let now = self.instant();
        for host in self.resolve(target) {
            let Daemon::Pooler(node) = &mut self.hosts[host].daemon else { continue };
            let Some(pooler) = &mut node.pooler else { continue };
            if node.drain.is_none() {
                node.drain = Some(Drain { shutdown: Shutdown::new(now, DRAIN_GRACE), restarts });
                pooler.begin_draining(now);
                self.process_effects(host);
                self.drain_step(host);
            }
        }
    }

    /// Shuts poolers down gracefully one after the other, and starts each again.
    pub(super) fn rolling_restart(&mut self, target: Target, interval: Duration) {
        for (position, host) in self.resolve(target).into_iter().enumerate() {
            let pooler = Target::Pooler(host - self.controllers);
            self.plan(self.now + interval * position as u32, Action::DrainRestart(pooler));
        }
    }

    /// How far the shutdown of a pooler is.
    pub(super) fn drain_phase(&self, host: HostIndex) -> DrainPhase {
        match &self.hosts[host].daemon {
            Daemon::Pooler(node) => {
                node.drain.map_or(DrainPhase::Serving, |drain| drain.shutdown.phase(self.instant()))
            }
            Daemon::Controller(_) => DrainPhase::Serving,
        }
    }

    /// A draining pooler closes the sessions that it may, and ends once there are none.
    pub(super) fn drain_step(&mut self, host: HostIndex) {
        let now = self.instant();
        let forwarded = self.forwarded_by(host);
        let served = self.sessions.values().filter(|session| session.pooler == host).count();
        let Daemon::Pooler(node) = &mut self.hosts[host].daemon else { return };
        let (Some(_), Some(drain)) = (&node.pooler, &mut node.drain) else { return };
        match drain.shutdown.next_step(now, served + forwarded.len()) {
            ShutdownStep::Drain(phase) => self.close_sessions_in_phase(host, forwarded, phase),
            ShutdownStep::StopAccepting => self.drain_step(host),
            ShutdownStep::End => self.follow_up(FINAL_SEND_WAIT, FollowUp::FinishDrain { pooler: host }),
        }
    }

    fn close_sessions_in_phase(&mut self, host: HostIndex, forwarded: Vec<SessionId>, phase: DrainPhase) {
        let now = self.instant();
        if let Some(pooler) = self.hosts[host].running_pooler_mut() {
            match phase {
                DrainPhase::Closing => pooler.close_all_sessions(now),
                _ => pooler.close_idle_sessions(now, phase),
            }
        }
        self.close_forwarded_sessions(forwarded, phase);
        self.process_effects(host);
        self.follow_up(DRAIN_STEP, FollowUp::DrainStep { pooler: host });
    }

    /// Sessions that came to a pooler and are served by another.
    fn forwarded_by(&self, host: HostIndex) -> Vec<SessionId> {
        let sessions = self.forwarded_sessions.iter().filter(|(_, forwarding)| forwarding.entry_pooler == host);
        sessions.map(|(session_id, _)| *session_id).collect()
    }

    /// The process of a pooler that has drained ends.
    pub(super) fn finish_drain(&mut self, host: HostIndex) {
        let Daemon::Pooler(node) = &self.hosts[host].daemon else { return };
        let (Some(_), Some(drain)) = (&node.pooler, node.drain) else { return };
        self.stop(host, StopCause::ProcessExit);
        if drain.restarts {
            let pooler = Target::Pooler(host - self.controllers);
            self.plan(self.now + RESTART_DELAY, Action::Add(pooler));
        }
    }

    /// Closes the forwarded sessions that may be closed, not too many in one step.
    fn close_forwarded_sessions(&mut self, sessions: Vec<SessionId>, phase: DrainPhase) {
        let now = self.instant();
        let mut closed = 0;
        for session_id in sessions {
            let Some(forwarding) = self.forwarded_sessions.get_mut(&session_id) else { continue };
            let session = &mut forwarding.session;
            let rolls_back = phase == DrainPhase::RollingBack && session.is_in_transaction();
            let severs = (phase == DrainPhase::Closing || rolls_back) && !session.is_carrier_lost();
            let last_answer = if severs { session.handle_carrier_loss() } else { String::new() };
            let within_limit = closed < SESSIONS_CLOSED_PER_STEP || phase == DrainPhase::Closing;
            let closes = session.may_close(now, phase, false) && within_limit;
            self.send_to_client(session_id, last_answer);
            if closes {
                closed += 1;
                self.close_session_if_read(session_id);
            }
        }
    }
}
