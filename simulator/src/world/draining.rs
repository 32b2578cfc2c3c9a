//! Graceful shutdown of poolers.

use super::actions::{Action, Target};
use super::events::FollowUp;
use super::hosts::{Daemon, Drain, StopCause};
use super::{HostIndex, SessionId, World};
use lichenfield_engine::connection::draining::{DrainPhase, SESSIONS_CLOSED_PER_STEP};
use std::time::Duration;

/// How long a pooler's graceful shutdown may take, by the settings.
const DRAIN_GRACE: Duration = Duration::from_secs(6);
/// New clients come to a pooler for a while after it has announced that it ends.
const NEW_CLIENTS_PERIOD: Duration = Duration::from_millis(2600);
/// How often a draining pooler closes sessions.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// From a pooler's end to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);

impl World {
    /// Begins the graceful shutdown of poolers (SIGTERM).
    pub(super) fn drain_poolers(&mut self, target: Target, restarts: bool) {
        let now = self.instant();
        let since = self.now;
        for host in self.resolve(target) {
            let Daemon::Pooler(node) = &mut self.hosts[host].daemon else { continue };
            let Some(pooler) = &mut node.pooler else { continue };
            if node.drain.is_none() {
                node.drain = Some(Drain { since, restarts });
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
                node.drain.map_or(DrainPhase::Serving, |drain| DrainPhase::after(self.now - drain.since, DRAIN_GRACE))
            }
            Daemon::Controller(_) => DrainPhase::Serving,
        }
    }

    /// A draining pooler closes the sessions that it may, and ends once there are none.
    pub(super) fn drain_step(&mut self, host: HostIndex) {
        let Daemon::Pooler(node) = &self.hosts[host].daemon else { return };
        let (Some(_), Some(drain)) = (&node.pooler, node.drain) else { return };
        let (now, phase) = (self.instant(), self.drain_phase(host));
        let forwarded = self.forwarded_by(host);
        let is_idle = forwarded.is_empty() && self.sessions.values().all(|session| session.pooler != host);
        if phase == DrainPhase::Finished || (is_idle && self.now - drain.since > NEW_CLIENTS_PERIOD) {
            return self.finish_drain(host, drain);
        }
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

    fn finish_drain(&mut self, host: HostIndex, drain: Drain) {
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
