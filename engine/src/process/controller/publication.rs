//! Updates for the dissemination tree, from what the log has changed.

use super::Controller;
use crate::process::dissemination::anti_entropy::{Update, UpdateValue};
use crate::process::peer_message::PeerMessage;
use crate::version::control_state::UpdateKey;

impl Controller {
    /// Publishes what the log has changed since the last call.
    ///
    /// A controller that has just started knows only its last snapshot: poolers that start beside it must not take
    /// that for the newest. So nothing is published before the first contact with a majority.
    pub(super) fn publish_changes(&mut self) {
        let applied_index = self.control_state.applied_index;
        if !self.raft.has_had_quorum_contact() || self.published_index == applied_index {
            return;
        }
        let changed = self.control_state.changed_at.iter().filter(|(_, version)| **version > self.published_index);
        let updates: Vec<Update> = changed
            .filter_map(|(key, version)| {
                let value = self.update_value(key)?;
                Some(Update { key: key.clone(), version: *version, value })
            })
            .collect();
        self.published_index = applied_index;
        if !updates.is_empty() {
            self.tree.publish(updates);
        }
    }

    /// What stands under an update's key now.
    fn update_value(&self, key: &str) -> Option<UpdateValue> {
        let state = &self.control_state;
        match UpdateKey::parse(key)? {
            UpdateKey::Config => state.config.as_ref().map(|config| UpdateValue::Config(config.raw.clone())),
            UpdateKey::Epoch(service) => state.epochs.get(service).map(|epoch| UpdateValue::Epoch {
                service: service.to_owned(),
                epoch: epoch.epoch,
                primary: epoch.primary.clone(),
                term: epoch.term,
                closed: epoch.closed,
            }),
            UpdateKey::DrainingInstance(id) => Some(UpdateValue::DrainInstance { id: id.to_owned() }),
            UpdateKey::Voters => Some(UpdateValue::Voters(state.voters.iter().map(|voter| voter.ip).collect())),
            UpdateKey::PoolerShare(name) => {
                Some(UpdateValue::PoolerShare { name: name.to_owned(), share: state.pooler_shares.get(name).cloned() })
            }
        }
    }

    /// Sends an update about an instance to the other roots of the tree, and to the own children.
    pub(super) fn broadcast_update(&mut self, update: Update) {
        for to in self.other_controllers() {
            self.send(to, PeerMessage::Updates(vec![update.clone()]));
        }
        self.tree.publish(vec![update]);
    }
}
