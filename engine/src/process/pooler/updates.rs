//! Updates from the controllers: configuration, primaries, instances, and the other poolers.

use super::service_table::PrimaryEpoch;
use super::{Effect, Pooler};
use crate::process::dissemination::anti_entropy::{Instance, Update, UpdateValue};
use crate::process::dissemination::tree::DisseminationTree;
use crate::version::config::{self, Configuration};
use std::time::Instant;

impl Pooler {
    /// Takes from the dissemination tree how recent its updates are, who leads, and which data it holds.
    pub fn observe_tree(&mut self, now: Instant, tree: &DisseminationTree) {
        self.leader.set_controllers(tree.roots());
        self.store_digest_sum = tree.update_store.digest_sum();
        if let Some(at) = tree.leader_contact_age(now).and_then(|age| now.checked_sub(age)) {
            self.last_update_at = Some(at);
        }
        self.leader.announce(now, tree.leader());
    }

    /// Applies updates, in order.
    pub fn apply_updates(&mut self, now: Instant, updates: &[Update]) {
        let mut shares_changed = false;
        for update in updates {
            match &update.value {
                UpdateValue::Config(raw) => self.apply_configuration(now, raw),
                UpdateValue::Epoch { service, epoch, primary, term, closed } => {
                    let epoch = PrimaryEpoch { number: *epoch, primary, term: *term, closed: *closed };
                    self.apply_epoch(now, service, &epoch);
                }
                UpdateValue::DrainInstance { id } => {
                    self.instances.record_draining(now, id);
                    self.drain_instance(now, now, id);
                }
                UpdateValue::PoolerShare { name, share } => {
                    self.carriers.set_share(name, share.as_ref());
                    shares_changed = true;
                }
                UpdateValue::Instance(instance) => self.apply_instance(now, instance),
                // Of no use to poolers; compressed updates are applied in their uncompressed form.
                UpdateValue::Voters(_) | UpdateValue::Compressed { .. } => {}
            }
        }
        if shares_changed {
            self.recompute_carriers();
            self.carriers.schedule_moves(now);
            self.close_surplus_connections(now);
        }
        self.release_held_sessions(now);
    }

    fn apply_configuration(&mut self, now: Instant, raw: &[u8]) {
        if self.adopt_configuration(raw) {
            self.carriers.schedule_moves(now);
        }
        self.process_waiting_input(now);
    }

    /// Puts a newer configuration into force. Whether that changed who carries which service.
    fn adopt_configuration(&mut self, raw: &[u8]) -> bool {
        let document = match config::parse(raw) {
            Ok(document) => document,
            Err(error) => {
                self.effects.push(Effect::Log(format!("committed configuration is invalid: {error}")));
                return false;
            }
        };
        if document.revision <= self.revision() {
            return false;
        }
        let config = Configuration::new(&document);
        for service in config.backends.keys() {
            self.services.get_or_insert(service);
        }
        let backends_changed = self.configuration.replace(config);
        if backends_changed {
            self.recompute_carriers();
        }
        backends_changed
    }

    fn recompute_carriers(&mut self) {
        if let Some(config) = self.configuration.current() {
            self.carriers.recompute(&self.identity.node, config);
        }
    }

    fn apply_epoch(&mut self, now: Instant, service: &str, epoch: &PrimaryEpoch) {
        if self.services.get_or_insert(service).apply_epoch(epoch) {
            self.leader.request_leases_now(now);
        }
        if let Some(pool) = self.instances.get_mut(epoch.primary) {
            pool.reset_health();
        }
    }

    fn apply_instance(&mut self, now: Instant, instance: &Instance) {
        let moved = self.instances.announce(instance);
        if moved && let Some(pool) = self.instances.get_mut(&instance.id) {
            pool.readmit();
            for connection_id in pool.connections.clone() {
                self.close_connection(now, connection_id);
            }
        }
        // The replicated state prevails over what a late heartbeat says.
        if let Some(since) = self.instances.recorded_draining_since(&instance.id) {
            self.drain_instance(now, since, &instance.id);
        } else if instance.draining || instance.gone {
            self.drain_instance(now, now, &instance.id);
        } else if let Some(pool) = self.instances.get_mut(&instance.id) {
            pool.draining_since = None;
        }
    }

    /// The instance drains: it gets no new work, except as primary until it is replaced. One that is gone loses its
    /// connections and is forgotten.
    fn drain_instance(&mut self, now: Instant, since: Instant, id: &str) {
        let Some(pool) = self.instances.get_mut(id) else { return };
        pool.draining_since.get_or_insert(since);
        let gone = pool.instance.gone;
        let queue = std::mem::take(&mut pool.queue);
        let connections = pool.connections.clone();
        let is_primary = self.is_primary(id);
        for connection_id in connections {
            let unused = self.connections.is_idle(connection_id) || self.connections.is_opening(connection_id);
            if gone || (unused && !is_primary) {
                self.close_connection(now, connection_id);
            }
        }
        for session_id in queue {
            self.dispatch(now, session_id);
        }
        if gone && !is_primary {
            self.instances.remove(id);
        }
    }
}
