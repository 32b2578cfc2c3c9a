//! The platform that promotes instances and collects usage.

use super::actions::PlatformState;
use super::events::Event;
use super::host::ProcessId;
use super::{HostIndex, World};
use crate::database::IsolationChange;
use crate::judge::DutyCall;
use lichenfield_engine::process::leadership::PlatformCallOutcome;
use std::time::Duration;

/// Duration of a call that is answered, and of one that is not.
const CALL_TIME: Duration = Duration::from_millis(4);
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// From a promotion's acceptance to its effect.
const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// Lease of a duty's holder.
const DUTY_LEASE: Duration = Duration::from_secs(3);
/// HTTP status of accepted and of rejected calls.
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// A controller's call.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlatformRequest<'a> {
    pub(super) path: &'a str,
    /// Fencing token.
    pub(super) fence: u64,
    /// JSON.
    pub(super) body: &'a str,
}

impl World {
    /// A controller calls the platform, which acts at once and answers later.
    pub(super) fn call_platform(&mut self, process: ProcessId, token: u64, request: PlatformRequest) {
        let status = match self.platform_state {
            PlatformState::Up => Some(self.handle_platform_call(process.host, request)),
            PlatformState::Down => None,
            PlatformState::Mute => {
                self.handle_platform_call(process.host, request);
                None
            }
        };
        let delay = if status.is_some() { CALL_TIME } else { CALL_TIMEOUT };
        self.schedule(delay, Event::PlatformCallFinished { process, token, status });
    }

    pub(super) fn platform_call_finished(&mut self, process: ProcessId, token: u64, status: Option<u16>) {
        if !self.is_live(process) {
            return;
        }
        let now = self.instant();
        if let Some(controller) = self.hosts[process.host].running_controller_mut() {
            controller.platform_call_finished(now, token, PlatformCallOutcome::from_status(status));
        }
        self.process_effects(process.host);
    }

    fn handle_platform_call(&mut self, node: HostIndex, request: PlatformRequest) -> u16 {
        let body: serde_json::Value = serde_json::from_str(request.body).unwrap_or_default();
        let is_usage = request.path == "/usage";
        let duty = if is_usage { "usage" } else { "failover" };
        let call = DutyCall { duty, fence: request.fence, node, lease: DUTY_LEASE };
        self.judge.record_duty_call(self.now, call);
        if is_usage {
            let window = body["window-number"].as_u64().unwrap_or(0);
            self.judge.record_usage(self.now, window, &body["counts"].to_string());
            return STATUS_OK;
        }
        self.accept_promotion(body["id"].as_str())
    }

    /// Promotes an instance that is up, unless it is the primary already.
    fn accept_promotion(&mut self, id: Option<&str>) -> u16 {
        let found = self.instances.iter().position(|instance| Some(instance.id.as_str()) == id);
        let Some(index) = found.filter(|index| self.instances[*index].up) else { return STATUS_CONFLICT };
        if !self.instances[index].is_primary {
            self.schedule(PROMOTION_TIME, Event::Promote(index));
        }
        match self.candidate_isolation.promotion_accepted(index) {
            IsolationChange::Begins(index) => self.instances[index].isolated = true,
            IsolationChange::Ends(index) => self.instances[index].isolated = false,
            IsolationChange::None => {}
        }
        STATUS_OK
    }
}
