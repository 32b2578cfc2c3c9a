//! All known instances and their pools.

use super::instance_pool::InstancePool;
use super::limits::DRAINING_INSTANCES_REMEMBERED;
use crate::process::dissemination::anti_entropy::Instance;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

/// An instance that the replicated state says is draining.
#[derive(Debug)]
struct DrainingInstance {
    id: String,
    known_since: Instant,
}

/// Pools by instance id, and which instances a service has.
#[derive(Debug)]
pub(super) struct InstanceTable {
    pools: BTreeMap<String, InstancePool>,
    /// Instance ids by service, in order.
    members: HashMap<String, Vec<String>>,
    /// Instances whose queue may be served: a connection or a slot came free. The newest first.
    serviceable: Vec<String>,
    /// The newest last. Kept apart from the pools, since it may be known before the instance is.
    draining: VecDeque<DrainingInstance>,
}

impl InstanceTable {
    pub(super) fn new() -> Self {
        InstanceTable {
            pools: BTreeMap::new(),
            members: HashMap::new(),
            serviceable: Vec::new(),
            draining: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&InstancePool> {
        self.pools.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut InstancePool> {
        self.pools.get_mut(id)
    }

    pub(super) fn ids(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    pub(super) fn pools_mut(&mut self) -> impl Iterator<Item = &mut InstancePool> {
        self.pools.values_mut()
    }

    /// The known instances of a service.
    pub(super) fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (&'a String, &'a InstancePool)> {
        let ids = self.members.get(service).into_iter().flatten();
        ids.filter_map(|id| self.pools.get(id).map(|pool| (id, pool)))
    }

    /// Takes an announcement. Whether the instance has another address than before.
    pub(super) fn announce(&mut self, instance: &Instance) -> bool {
        let address = instance.address.parse().ok();
        let members = self.members.entry(instance.service.clone()).or_default();
        if !members.contains(&instance.id) {
            members.push(instance.id.clone());
            members.sort_unstable();
        }
        let pool =
            self.pools.entry(instance.id.clone()).or_insert_with(|| InstancePool::new(instance.clone(), address));
        let moved = pool.address != address;
        pool.instance = instance.clone();
        pool.address = address;
        moved
    }

    /// Forgets an instance.
    pub(super) fn remove(&mut self, id: &str) {
        let Some(pool) = self.pools.remove(id) else { return };
        if let Some(members) = self.members.get_mut(&pool.instance.service) {
            members.retain(|member| member != id);
        }
    }

    // Draining.

    /// The replicated state says that the instance drains.
    pub(super) fn record_draining(&mut self, now: Instant, id: &str) {
        if self.draining.iter().any(|instance| instance.id == id) {
            return;
        }
        self.draining.push_back(DrainingInstance { id: id.to_owned(), known_since: now });
        if self.draining.len() > DRAINING_INSTANCES_REMEMBERED {
            self.draining.pop_front();
        }
    }

    /// Since when it is known that the replicated state says that the instance drains.
    pub(super) fn recorded_draining_since(&self, id: &str) -> Option<Instant> {
        self.draining.iter().find(|instance| instance.id == id).map(|instance| instance.known_since)
    }

    // Serving the queues.

    /// A connection to the instance came free.
    pub(super) fn mark_serviceable(&mut self, id: &str) {
        if !self.serviceable.iter().any(|marked| marked == id) {
            self.serviceable.push(id.to_owned());
        }
    }

    /// The same, if anyone waits.
    pub(super) fn mark_serviceable_if_queued(&mut self, id: &str) {
        if self.pools.get(id).is_some_and(|pool| !pool.queue.is_empty()) {
            self.mark_serviceable(id);
        }
    }

    pub(super) fn pop_serviceable(&mut self) -> Option<String> {
        self.serviceable.pop()
    }
}
