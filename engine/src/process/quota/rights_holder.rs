//! A pooler's side of the quotas: the rights that it holds for each tenant and consumes by admitting
//! operations.

use super::EXHAUSTED_BACKOFF;
use super::bounded_counter::{BoundedCounter, HolderId};
use super::messages::{RightsNeed, RightsTransfer};
use std::collections::BTreeMap;
use std::time::Instant;

/// Rights are held for the demand that is expected within this many seconds.
const STOCK_SECONDS: f64 = 0.9;
/// Time constant, in seconds, of the exponential smoothing of a tenant's rate.
const RATE_SMOOTHING_SECONDS: f64 = 3.0;
/// Added before the wanted stock is rounded down, so that a low rate still keeps a right in stock.
const STOCK_ROUNDING: f64 = 0.4;
/// Rights beyond the target are returned once the excess is larger than the target by more than this; it
/// keeps single rights from moving back and forth.
const RETURN_MARGIN: u64 = 2;

/// Whether an operation may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendOutcome {
    /// A right was consumed for it.
    Admitted,
    /// No right is held here: the operation waits while the leader is asked.
    RequestRights,
    /// The leader had no rights left a moment ago: the operation is rejected.
    Exhausted,
}

/// A tenant's rights at this pooler.
#[derive(Debug)]
struct TenantRights {
    counter: BoundedCounter,
    /// Smoothed operations per second, as of `rate_updated_at`.
    smoothed_rate: f64,
    rate_updated_at: Instant,
    /// Operations that wait for rights.
    waiting: u64,
    /// When the last grant left this tenant without rights.
    exhausted_at: Option<Instant>,
    /// Whether anything has changed since the last report to the leader.
    unreported: bool,
}

impl TenantRights {
    fn new(now: Instant) -> Self {
        TenantRights {
            counter: BoundedCounter::default(),
            smoothed_rate: 0.0,
            rate_updated_at: now,
            waiting: 0,
            exhausted_at: None,
            unreported: false,
        }
    }

    /// The smoothed rate, decayed until now.
    fn rate(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.rate_updated_at).as_secs_f64();
        self.smoothed_rate * (-age / RATE_SMOOTHING_SECONDS).exp()
    }

    fn count_operation(&mut self, now: Instant) {
        self.smoothed_rate = self.rate(now) + 1.0 / RATE_SMOOTHING_SECONDS;
        self.rate_updated_at = now;
    }

    /// How many rights are to be held.
    fn target(&self, now: Instant) -> u64 {
        (self.rate(now) * STOCK_SECONDS + STOCK_ROUNDING) as u64 + self.waiting
    }

    /// Transfers rights beyond the target back to the leader.
    fn return_excess(&mut self, id: HolderId, leader: HolderId, target: u64) {
        let held = self.counter.local_rights(id).max(0) as u64;
        let excess = held.saturating_sub(target);
        if excess > target + RETURN_MARGIN || target == 0 {
            self.unreported |= excess > 0 && self.counter.transfer(id, leader, excess);
        }
    }

    fn report(&self, id: HolderId, tenant: &str, target: u64) -> RightsNeed {
        RightsNeed {
            tenant: tenant.to_owned(),
            received: self.counter.received_by(id).map(Into::into).collect(),
            sent: self.counter.sent_by(id).map(Into::into).collect(),
            consumed: self.counter.consumed(id),
            target,
        }
    }
}

/// The rights that a pooler holds. They expire unless the leader keeps answering.
#[derive(Debug)]
pub struct RightsHolder {
    id: HolderId,
    tenants: BTreeMap<String, TenantRights>,
    /// Rights may be consumed until then.
    valid_until: Option<Instant>,
    /// The term of the leader that knows all that is held here, 0 for none.
    pub known_term: HolderId,
}

impl RightsHolder {
    /// A holder without rights; `id` is the incarnation of the process.
    pub fn new(id: HolderId) -> Self {
        RightsHolder { id, tenants: BTreeMap::new(), valid_until: None, known_term: 0 }
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Admits an operation of a tenant that has a limit, if a right is held. `has_waited`: the operation has
    /// already waited for rights, and counts towards the tenant's rate.
    pub fn spend(&mut self, now: Instant, tenant: &str, has_waited: bool) -> SpendOutcome {
        let (valid, id) = (self.is_valid(now), self.id);
        let rights = self.tenants.entry(tenant.to_owned()).or_insert_with(|| TenantRights::new(now));
        if !has_waited {
            rights.count_operation(now);
        }
        if valid && rights.counter.decrement(id, 1) {
            rights.unreported = true;
            return SpendOutcome::Admitted;
        }
        if rights.exhausted_at.is_some_and(|at| now.duration_since(at) < EXHAUSTED_BACKOFF) {
            return SpendOutcome::Exhausted;
        }
        rights.waiting += 1;
        rights.unreported = true;
        SpendOutcome::RequestRights
    }

    /// What is reported to the leader: `complete`, of every tenant, else of those where something has
    /// changed. Rights beyond need are returned to the leader.
    pub fn needs(&mut self, now: Instant, complete: bool) -> Vec<RightsNeed> {
        let (id, leader) = (self.id, self.known_term);
        let may_return = self.is_valid(now) && leader > 0;
        let mut needs = Vec::new();
        for (tenant, rights) in &mut self.tenants {
            let target = rights.target(now);
            if may_return {
                rights.return_excess(id, leader, target);
            }
            let unreported = std::mem::take(&mut rights.unreported);
            if unreported || complete {
                needs.push(rights.report(id, tenant, target));
            }
        }
        needs
    }

    /// Takes the grant of the leader of term `leader`, with which rights may be consumed until
    /// `valid_until`. Whether that leader is a new one, which needs a complete report.
    pub fn handle_rights_grant(
        &mut self,
        now: Instant,
        valid_until: Instant,
        leader: HolderId,
        transfers: Vec<RightsTransfer>,
    ) -> bool {
        if valid_until <= now {
            return false;
        }
        if !self.is_valid(now) {
            // The leader has written these rights off meanwhile.
            self.tenants.values_mut().for_each(|rights| rights.counter.forfeit(self.id));
        }
        self.valid_until = self.valid_until.max(Some(valid_until));
        for transfer in transfers {
            self.merge_transfer(now, leader, &transfer);
        }
        // Operations that waited request rights again if they get none now.
        self.tenants.values_mut().for_each(|rights| rights.waiting = 0);
        let is_new_leader = self.known_term != leader;
        self.known_term = leader;
        is_new_leader
    }

    fn merge_transfer(&mut self, now: Instant, leader: HolderId, transfer: &RightsTransfer) {
        let Some(rights) = self.tenants.get_mut(&transfer.tenant) else { return };
        rights.counter.merge(&transfer.to_counter(leader, self.id));
        let exhausted = rights.waiting > 0 && rights.counter.local_rights(self.id) <= 0;
        rights.exhausted_at = exhausted.then_some(now);
    }

    #[cfg(test)]
    pub(super) fn id(&self) -> HolderId {
        self.id
    }

    #[cfg(test)]
    pub(super) fn local_rights(&self, tenant: &str) -> i64 {
        self.tenants[tenant].counter.local_rights(self.id)
    }
}
