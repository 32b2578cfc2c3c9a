//! Who may grant a lease, and which leases may still be in use.
//!
//! A pooler sends a service's primary work only under a lease. **Only a confirmed leader grants one**: the controller
//! asks [`Leadership::handle_lease_request`](super::Leadership::handle_lease_request) only while
//! [`Raft::is_confirmed_leader`](crate::process::consensus::Raft::is_confirmed_leader), and then only for an epoch that
//! [`grantable_epoch`] names. Before a primary is replaced, all leases for its epoch must be over:
//! [`LeaseTable::may_be_in_use`] says whether one may still be held by anybody, whoever granted it.

use crate::process::consensus::LEADER_CONFIRMATION;
use crate::version::control_state::ControlState;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How long a pooler may use a lease, counted from its request. The grant is made later, so that a lease counted from
/// the grant, as here, ends no earlier than at the pooler.
pub const LEASE_DURATION: Duration = Duration::from_millis(1800);

/// The epoch that a lease may be granted for: the service's, if it is open in the log and this leader is not about to
/// close it. A proposal under way may be committed already; a lease granted meanwhile would have to be waited out.
pub fn grantable_epoch(control_state: &ControlState, service: &str, proposal_under_way: bool) -> Option<u64> {
    let epoch = control_state.epochs.get(service)?;
    (!epoch.closed && !proposal_under_way).then_some(epoch.epoch)
}

#[derive(Debug)]
struct Lease {
    epoch: u64,
    expires_at: Instant,
}

impl Lease {
    fn is_for(&self, epoch: u64, now: Instant) -> bool {
        self.epoch == epoch && now < self.expires_at
    }
}

/// The leases that this leader granted in its term, by pooler and service.
#[derive(Debug, Default)]
pub struct LeaseTable(BTreeMap<Ipv4Addr, BTreeMap<String, Lease>>);

impl LeaseTable {
    /// Records a lease as granted.
    pub fn grant(&mut self, now: Instant, pooler: Ipv4Addr, service: &str, epoch: u64) {
        let lease = Lease { epoch, expires_at: now + LEASE_DURATION };
        self.0.entry(pooler).or_default().insert(service.to_owned(), lease);
    }

    /// The pooler gave the lease back: it sends nothing under it any more.
    pub fn give_back(&mut self, pooler: Ipv4Addr, service: &str, epoch: u64) {
        if let Some(leases) = self.0.get_mut(&pooler)
            && leases.get(service).is_some_and(|lease| lease.epoch == epoch)
        {
            leases.remove(service);
        }
    }

    /// The poolers that hold a lease of this term for the epoch.
    pub fn holders(&self, now: Instant, service: &str, epoch: u64) -> impl Iterator<Item = Ipv4Addr> {
        let holds =
            move |leases: &BTreeMap<String, Lease>| leases.get(service).is_some_and(|lease| lease.is_for(epoch, now));
        self.0.iter().filter(move |(_, leases)| holds(leases)).map(|(pooler, _)| *pooler)
    }

    /// Whether work under this epoch may still be sent by anybody.
    ///
    /// Leases that an earlier leader granted are not known here, so that they are waited out: it may have granted its
    /// last one up to [`LEADER_CONFIRMATION`] after this leader began.
    pub fn may_be_in_use(&self, now: Instant, lead_since: Instant, service: &str, epoch: u64) -> bool {
        now < lead_since + LEASE_DURATION + LEADER_CONFIRMATION || self.holders(now, service, epoch).next().is_some()
    }

    /// The leases in force at a pooler: the epoch by service.
    pub fn in_force(&self, now: Instant, pooler: Ipv4Addr) -> BTreeMap<&String, u64> {
        let leases = self.0.get(&pooler).into_iter().flatten();
        leases.filter(|(_, lease)| now < lease.expires_at).map(|(service, lease)| (service, lease.epoch)).collect()
    }

    /// The term is over: its leases are waited out by the next leader.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
