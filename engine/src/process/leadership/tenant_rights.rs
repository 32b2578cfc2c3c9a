//! The tenants' rights to run operations, which the leader hands out.
//!
//! The counter itself is in [`quota`](crate::process::quota); here it is begun anew with each term and kept to the
//! limits of the configuration in force.

use super::Lead;
use super::leases::LEASE_DURATION;
use crate::process::consensus::LEADER_CONFIRMATION;
use crate::process::quota::{QuotaCoordinator, QuotaCoordinatorOptions, QuotaExcess, RightsReport, RightsTransfer};
use crate::process::settings::TimingBounds;
use crate::version::config;
use crate::version::control_state::ControlState;
use std::time::Instant;

/// The coordinator of this term, from the first request on.
#[derive(Debug, Default)]
pub struct TenantRights(Option<QuotaCoordinator>);

impl TenantRights {
    /// Hands out what there is for a pooler's needs.
    pub fn grant(
        &mut self,
        now: Instant,
        lead: Lead,
        bounds: &TimingBounds,
        control_state: &ControlState,
        report: RightsReport,
    ) -> Vec<RightsTransfer> {
        let options = QuotaCoordinatorOptions {
            term: lead.term,
            rights_validity: LEASE_DURATION,
            confirmation: LEADER_CONFIRMATION,
            excess: QuotaExcess { fraction: bounds.quota_excess, operations: bounds.quota_slack },
        };
        let coordinator = self.0.get_or_insert_with(|| QuotaCoordinator::new(lead.since, options));
        if coordinator.revision() != control_state.revision() {
            let document = control_state.config.as_ref().and_then(|config| config::parse(&config.raw).ok());
            let quotas = document.map(|document| config::quotas(&document)).unwrap_or_default();
            coordinator.set_quotas(control_state.revision(), quotas);
        }
        coordinator.handle_report(now, report, control_state.pooler_shares.keys())
    }

    /// The term is over: the next one begins a coordinator of its own.
    pub fn clear(&mut self) {
        self.0 = None;
    }
}
