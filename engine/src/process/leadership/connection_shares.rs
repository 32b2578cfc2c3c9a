//! Among which poolers the capped connections to instances are divided.

use super::LeaderContext;
use super::outbox::Outbox;
use super::poolers::PoolerTable;
use crate::process::forwarding::{PoolerShare, PoolerShares};
use crate::version::control_state::Command;
use std::time::{Duration, Instant};

/// A pooler that has not asked for leases for this long gets no share any more: long enough for one that is restarted
/// to find its share untouched, and for the connections of a lost one to be gone.
const POOLER_FORGOTTEN_AFTER: Duration = Duration::from_secs(20);
/// Pause between comparisons, which go over all poolers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a proposal, for it to be applied.
const PROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the shares in the log equal to the poolers that are there.
#[derive(Debug, Default)]
pub struct ConnectionShares {
    next_comparison_at: Option<Instant>,
}

impl ConnectionShares {
    /// Proposes new shares if the poolers that are there differ from those in the log.
    pub fn step(&mut self, context: &LeaderContext, lead_since: Instant, poolers: &PoolerTable, outbox: &mut Outbox) {
        let now = context.now;
        if self.next_comparison_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_comparison_at = Some(now + COMPARE_INTERVAL);
        let committed = &context.control_state.pooler_shares;
        let shares = current_shares(now, lead_since, poolers, committed);
        if !shares.is_empty() && shares != *committed {
            self.next_comparison_at = Some(now + PROPOSE_INTERVAL);
            outbox.propose(Command::SetPoolerShares { shares });
        }
    }
}

fn current_shares(now: Instant, lead_since: Instant, poolers: &PoolerTable, committed: &PoolerShares) -> PoolerShares {
    let active = poolers.active(now, POOLER_FORGOTTEN_AFTER);
    let mut shares: PoolerShares =
        active.map(|(ip, pooler)| (pooler.name.clone(), PoolerShare { ip, zone: pooler.zone.clone() })).collect();
    // A pooler that merely has not asked a new leader yet keeps its share for a while.
    if now.duration_since(lead_since) < POOLER_FORGOTTEN_AFTER {
        for (name, share) in committed {
            shares.entry(name.clone()).or_insert_with(|| share.clone());
        }
    }
    shares
}
