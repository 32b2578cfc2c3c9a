//! Performs a scenario's actions.

use super::actions::{Action, Target};
use super::hosts::StopCause;
use super::{HostIndex, World};
use crate::database::CandidateIsolation;

impl World {
    /// Performs an action. Anything but planned operation excuses lost requests for a while.
    pub(super) fn perform(&mut self, action: Action) {
        if !action.is_planned_operation() {
            self.last_disturbance_at = Some(self.now);
        }
        match action {
            Action::Kill(target) => self.for_each(target, |world, host| world.stop(host, StopCause::ProcessExit)),
            Action::PowerLoss(target) => self.for_each(target, |world, host| world.stop(host, StopCause::PowerLoss)),
            Action::CrashRestart(target) => self.for_each(target, World::crash_restart),
            Action::Remove(target) => self.for_each(target, World::remove_host),
            Action::Add(target) => self.for_each(target, World::add_host),
            Action::WipeDisk(target) => self.for_each(target, World::wipe_disk),
            Action::StartAll => self.start_all(),
            Action::Freeze(target) => self.for_each(target, |world, host| world.hosts[host].frozen = true),
            Action::UnfreezeAll => self.unfreeze_all(),
            Action::Drain(target) => self.drain_poolers(target, false),
            Action::DrainRestart(target) => self.drain_poolers(target, true),
            Action::RollingRestart { target, interval } => self.rolling_restart(target, interval),
            Action::Partition { target, scope } => self.partition(target, scope),
            Action::DropLink { from, to } => self.drop_link(from, to),
            Action::Heal => self.network.heal(),
            Action::SetClientLatency(latency) => self.network.client_latency = latency,
            Action::StopClients => self.clients_stopped = true,
            Action::ChangeConfig => self.change_config(),
            Action::ChangeConfigRepeatedly { count } => self.change_config_repeatedly(count),
            Action::SendInvalidConfigs => self.send_invalid_configs(),
            Action::RaceConfigChanges => self.race_config_changes(),
            Action::RotateKey => self.rotate_key(),
            Action::SetRateLimit { per_second } => self.set_rate_limit(per_second),
            Action::CrashInstance(target) => self.crash_target_instance(target),
            Action::IsolateInstance(target) => self.isolate_instance(target),
            Action::IsolateCandidates => self.candidate_isolation = CandidateIsolation::Next,
            Action::RecoverInstances => self.recover_instances(),
            Action::DrainInstance(target) => self.drain_instance(target),
            Action::DeregisterReplica => self.deregister_replica(),
            Action::StopReplication => self.stop_replication(),
            Action::ResumeReplication => self.resume_replication(),
            Action::DropAnswers => self.set_answers_dropped(true),
            Action::DeliverAnswers => self.set_answers_dropped(false),
            Action::RefuseSetup => self.set_setup_refused(true),
            Action::AcceptSetup => self.set_setup_refused(false),
            Action::SetPlatform(state) => self.platform_state = state,
            Action::MeasureTraffic => self.measure_traffic(),
        }
    }

    /// Does something to each of the targets as they are at the beginning.
    fn for_each(&mut self, target: Target, mut act: impl FnMut(&mut World, HostIndex)) {
        for host in self.resolve(target) {
            act(self, host);
        }
    }
}
