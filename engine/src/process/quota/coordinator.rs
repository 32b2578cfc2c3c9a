//! The leader's side of the quotas: it creates rights as time passes and grants them to poolers.

use super::EXHAUSTED_BACKOFF;
use super::bounded_counter::{BoundedCounter, HolderId};
use super::messages::{RightsNeed, RightsTransfer};
use crate::version::config::Quota;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The part of the allowed excess that is used. The rest is left for rights that were created and have not
/// reached a pooler yet, so that these reject nobody below the limit.
const EXCESS_USED: f64 = 0.5;
/// One pooler holds at most the burst divided by this.
const BURST_DIVISOR: u64 = 4;

/// By how much a tenant's limit may be exceeded, in all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExcess {
    /// As a fraction of the limit.
    pub fraction: f64,
    /// As a number of operations.
    pub operations: f64,
}

/// What a leader's coordinator is created with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaCoordinatorOptions {
    /// The leader's term: its id as a holder.
    pub term: HolderId,
    /// How long a pooler may consume rights after it asked for them.
    pub rights_validity: Duration,
    /// How long the leader may take to confirm its own lead before it answers.
    pub confirmation: Duration,
    /// By how much limits may be exceeded.
    pub excess: QuotaExcess,
}

/// A pooler's report and request.
#[derive(Debug, PartialEq)]
pub struct RightsReport<'a> {
    /// The pooler's name.
    pub node: &'a str,
    /// The incarnation of its process.
    pub incarnation: HolderId,
    /// Whether the report covers every tenant of which the pooler holds rights.
    pub complete: bool,
    /// By tenant, what the pooler holds and wants.
    pub needs: Vec<RightsNeed>,
}

/// A tenant's counter at the leader.
#[derive(Debug, Default)]
struct TenantCounter {
    counter: BoundedCounter,
    /// Rights accrued and not yet created: less than one, once the last grant has created the whole ones.
    accrued: f64,
    /// Until when rights have accrued.
    accrued_until: Option<Instant>,
    /// Rights held by all poolers: the sum of their local rights, updated as these change.
    held_by_poolers: i64,
}

impl TenantCounter {
    /// Merges a pooler's report and returns the rights that it holds.
    fn merge_need(&mut self, incarnation: HolderId, need: &RightsNeed) -> i64 {
        let before = self.counter.local_rights(incarnation).max(0);
        self.counter.merge(&need.to_counter(incarnation));
        let held = self.counter.local_rights(incarnation).max(0);
        self.held_by_poolers += held - before;
        held
    }

    /// Adds rights that have accrued, up to `room` in all, and creates the whole ones. Returns how many.
    fn accrue(&mut self, term: HolderId, accrued: f64, room: f64) -> u64 {
        self.accrued = (self.accrued + accrued).min(room);
        let created = self.accrued as u64;
        self.accrued -= created as f64;
        self.counter.increment(term, created);
        created
    }

    /// Transfers rights from the leader to a pooler and returns the totals for its answer.
    fn grant(&mut self, term: HolderId, incarnation: HolderId, rights: u64, tenant: String) -> RightsTransfer {
        if self.counter.transfer(term, incarnation, rights) {
            self.held_by_poolers += rights as i64;
        }
        RightsTransfer {
            tenant,
            transferred: self.counter.transferred(term, incarnation),
            consumed: self.counter.consumed(incarnation),
        }
    }

    /// Counts all that a holder holds as consumed.
    fn write_off(&mut self, incarnation: HolderId) {
        self.held_by_poolers -= self.counter.local_rights(incarnation).max(0);
        self.counter.forfeit(incarnation);
    }
}

/// A pooler's process that may hold rights.
#[derive(Debug)]
struct HolderRecord {
    node: String,
    last_answered_at: Instant,
}

/// The leader's copies of all counters. It alone creates rights, and grants them to poolers.
#[derive(Debug)]
pub struct QuotaCoordinator {
    term: HolderId,
    started_at: Instant,
    /// Until then poolers may hold rights that an earlier leader granted.
    unknown_until: Instant,
    /// How long after the last answer a holder's rights are counted as consumed.
    holder_expiry: Duration,
    /// The revision of the configuration that the quotas are from.
    revision: u64,
    quotas: HashMap<String, Quota>,
    excess: QuotaExcess,
    tenants: HashMap<String, TenantCounter>,
    holders: BTreeMap<HolderId, HolderRecord>,
    /// Nodes that have made a complete report.
    reported_nodes: BTreeSet<String>,
    last_expiry_check: Instant,
}

impl QuotaCoordinator {
    /// The coordinator of a leader that begins now; it has no quotas yet.
    pub fn new(now: Instant, options: QuotaCoordinatorOptions) -> Self {
        let holder_expiry = options.rights_validity + options.confirmation;
        QuotaCoordinator {
            term: options.term,
            started_at: now,
            unknown_until: now + holder_expiry,
            holder_expiry,
            revision: 0,
            quotas: HashMap::new(),
            excess: options.excess,
            tenants: HashMap::new(),
            holders: BTreeMap::new(),
            reported_nodes: BTreeSet::new(),
            last_expiry_check: now,
        }
    }

    /// The revision of the configuration that the quotas in force are from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Puts the quotas of a revision of the configuration in force, by tenant.
    pub fn set_quotas(&mut self, revision: u64, quotas: HashMap<String, Quota>) {
        self.revision = revision;
        self.quotas = quotas;
    }

    /// Takes a pooler's report and grants it what rights there are. `counted_poolers` names the poolers that
    /// count for the shares.
    pub fn handle_report<'a>(
        &mut self,
        now: Instant,
        report: RightsReport,
        counted_poolers: impl Iterator<Item = &'a String>,
    ) -> Vec<RightsTransfer> {
        let (node, incarnation) = (report.node, report.incarnation);
        // An earlier incarnation of the same node has ended: it consumes nothing any more.
        self.write_off_holders(|id, holder| holder.node == node && id != incarnation);
        self.holders.insert(incarnation, HolderRecord { node: node.to_owned(), last_answered_at: now });
        self.expire_holders(now);
        if report.complete {
            self.reported_nodes.insert(node.to_owned());
        }
        let unknown_poolers = match now < self.unknown_until {
            true => counted_poolers.filter(|name| !self.reported_nodes.contains(*name)).count() as u64,
            false => 0,
        };
        let needs = report.needs.into_iter();
        needs.filter_map(|need| self.grant_tenant(now, incarnation, unknown_poolers, need)).collect()
    }

    /// Grants a tenant's rights: creates those that have accrued, never so that more than the burst is
    /// unconsumed in all (held by the leader, by poolers as its copies know, and by poolers that have not
    /// reported yet).
    fn grant_tenant(
        &mut self,
        now: Instant,
        incarnation: HolderId,
        unknown_poolers: u64,
        need: RightsNeed,
    ) -> Option<RightsTransfer> {
        let quota = self.quotas.get(&need.tenant)?;
        let excess_fraction = self.excess.fraction * EXCESS_USED;
        let excess_operations = self.excess.operations * EXCESS_USED;
        let burst = (quota.burst * (1.0 + excess_fraction) + excess_operations).max(1.0);
        let most_per_pooler = ((burst as u64) / BURST_DIVISOR).max(1);

        let tenant = self.tenants.entry(need.tenant.clone()).or_default();
        let held = tenant.merge_need(incarnation, &need);
        let accrued_until = tenant.accrued_until.replace(now).unwrap_or(self.started_at);
        let elapsed = now.duration_since(accrued_until).as_secs_f64();
        let unknown = (unknown_poolers * most_per_pooler).min(burst as u64) as f64;
        let stock = tenant.counter.local_rights(self.term).max(0);
        let room = (burst - unknown - tenant.held_by_poolers.max(0) as f64 - stock as f64).max(0.0);
        let accrued = elapsed * quota.rate * (1.0 + excess_fraction);
        let created = tenant.accrue(self.term, accrued, room);

        let wanted = need.target.min(most_per_pooler).saturating_sub(held as u64);
        let granted = wanted.min(stock as u64 + created);
        Some(tenant.grant(self.term, incarnation, granted, need.tenant))
    }

    /// Writes off holders that have not been answered for so long that their rights are no longer valid.
    fn expire_holders(&mut self, now: Instant) {
        if now.duration_since(self.last_expiry_check) < EXHAUSTED_BACKOFF {
            return;
        }
        self.last_expiry_check = now;
        let expiry = self.holder_expiry;
        self.write_off_holders(|_, holder| now.duration_since(holder.last_answered_at) > expiry);
    }

    /// Counts all that these holders hold as consumed, and forgets them.
    fn write_off_holders(&mut self, is_gone: impl Fn(HolderId, &HolderRecord) -> bool) {
        let gone: Vec<HolderId> =
            self.holders.iter().filter(|(id, holder)| is_gone(**id, holder)).map(|(id, _)| *id).collect();
        for id in gone {
            self.holders.remove(&id);
            self.tenants.values_mut().for_each(|tenant| tenant.write_off(id));
        }
    }

    #[cfg(test)]
    pub(super) fn term(&self) -> HolderId {
        self.term
    }

    #[cfg(test)]
    pub(super) fn quotas(&self) -> &HashMap<String, Quota> {
        &self.quotas
    }
}
