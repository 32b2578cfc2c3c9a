//! What a run is measured by, and what must hold at its end.

use super::{HostIndex, SERVICE, World};
use crate::judge::Violation;
use lichenfield_engine::process::consensus::Role;
use lichenfield_engine::process::controller::Controller;
use std::time::Duration;

/// Rate limits are checked over every span of this length.
const QUOTA_SPAN: Duration = Duration::from_secs(5);

/// What daemons sent to each other, in bytes a second since the measurement began.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Traffic {
    /// Mean over the poolers.
    pub mean_pooler: f64,
    /// Of the daemon that sent most.
    pub highest: f64,
}

impl World {
    /// Traffic since the measurement began; zero if it did not.
    pub fn traffic(&self) -> Traffic {
        let Some(meter) = &self.network.meter else { return Traffic::default() };
        let seconds = (self.now - meter.since).as_secs_f64();
        let sent_by_poolers: u64 = meter.bytes_sent.iter().skip(self.controllers).sum();
        let poolers = (self.hosts.len() - self.controllers).max(1);
        let highest = meter.bytes_sent.iter().max().copied().unwrap_or(0);
        Traffic { mean_pooler: sent_by_poolers as f64 / poolers as f64 / seconds, highest: highest as f64 / seconds }
    }

    /// The leader of the newest term, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let running = self.hosts.iter().enumerate().filter_map(|(index, host)| {
            let raft = host.running_controller()?.raft();
            (raft.role() == Role::Leader).then(|| (raft.term(), index))
        });
        running.max().map(|(_, index)| index)
    }

    fn leading_controller(&self) -> Option<&Controller> {
        self.hosts[self.leader()?].running_controller()
    }

    /// The service's epoch, by the leader's state; 0 without a leader.
    pub fn epoch(&self) -> u64 {
        let epochs = self.leading_controller().map(|controller| &controller.control_state().epochs);
        epochs.and_then(|epochs| epochs.get(SERVICE)).map_or(0, |epoch| epoch.epoch)
    }

    /// Hosts of the voters, by the leader's log; none without a leader.
    pub fn voters(&self) -> Vec<usize> {
        let Some(controller) = self.leading_controller() else { return Vec::new() };
        controller.raft().voters().iter().filter_map(|voter| self.host_with_ip(voter.ip)).collect()
    }

    /// Newest revision of the configuration that was acknowledged.
    pub fn acknowledged_revision(&self) -> u64 {
        self.operator.acknowledged_revision
    }

    /// Configuration changes that were refused.
    pub fn refused_changes(&self) -> usize {
        self.operator.refused
    }

    /// Sessions that poolers forwarded to others.
    pub fn forwarded_session_count(&self) -> usize {
        self.forwarded_session_count
    }

    /// Checks what must hold at the end: the writes, the rate limits, and one configuration everywhere, which is
    /// the newest acknowledged.
    pub fn finish(&mut self) {
        self.judge.check_writes(self.now);
        self.judge.check_quota(&self.operator.acknowledged_limits, QUOTA_SPAN, self.now);
        if self.operator.races_won > 1 {
            self.judge.report(self.now, Violation::BothRacingChangesAcknowledged);
        }
        let acknowledged = self.operator.acknowledged_revision;
        for node in 0..self.hosts.len() {
            let Some(revision) = self.revision_of(node) else { continue };
            if revision < acknowledged {
                self.judge.report(self.now, Violation::ConfigEndedBehind { node, revision, acknowledged });
            }
        }
    }

    /// Revision of the configuration that a running daemon uses.
    fn revision_of(&self, index: HostIndex) -> Option<u64> {
        let host = &self.hosts[index];
        let controller = host.running_controller().map(|controller| controller.control_state().revision());
        controller.or_else(|| host.running_pooler().map(|pooler| pooler.revision())).filter(|_| host.up)
    }
}
