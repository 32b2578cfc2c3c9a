//! The commands that a log entry may hold.

use crate::process::forwarding::PoolerShares;
use crate::version::electorate::Electorate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a log entry asks of the [`ControlState`](super::ControlState).
///
/// Stored and sent by `bincode`: variants and fields keep their order and types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A new leader's first entry: it commits the entries of earlier terms (Raft paper, section 8).
    Noop,
    /// Replaces the configuration, provided that the one in force is the one that the change was built on.
    Configure {
        /// Revision that the change was built on.
        if_match: u64,
        /// The document as it was sent.
        raw: Vec<u8>,
        /// The controller that took the request.
        by: String,
        /// Time of day at that controller, since 1970.
        at: Duration,
    },
    /// Ends the granting of leases for this epoch: its primary is about to be replaced.
    CloseEpoch {
        /// The service whose primary is to be replaced.
        service: String,
        /// The epoch to close; another one is a conflict.
        epoch: u64,
    },
    /// Records which instance the platform is about to be asked to promote. Committed before the call goes out, so
    /// that the next leader knows of a call whose outcome is unknown.
    SelectCandidate {
        /// The service whose primary is being replaced.
        service: String,
        /// The closed epoch.
        epoch: u64,
        /// Id of the instance to promote.
        candidate: String,
        /// The controller that will call the platform.
        caller: String,
    },
    /// Opens an epoch: `primary` is known to lead `term` at the database, and leases may be granted for `epoch`.
    InstallPrimary {
        /// The service that gets a primary.
        service: String,
        /// The new epoch: the one after the closed one.
        epoch: u64,
        /// Id of the instance that leads.
        primary: String,
        /// The database's own term, which never falls from one epoch to the next.
        term: u64,
    },
    /// Records that an instance announced its end.
    DrainInstance {
        /// Id of the instance.
        id: String,
    },
    /// Sets the poolers among which the capped connections are divided.
    SetPoolerShares {
        /// By name of the pooler.
        shares: PoolerShares,
    },
    /// Fixes what is reported for a usage window before it is sent, and who sends it.
    RecordUsage {
        /// Number of the usage window.
        window: u64,
        /// Requests by tenant.
        counts: BTreeMap<String, u64>,
        /// The controller that will call the platform.
        reporter: String,
    },
    /// Changes who votes from here on.
    ChangeElectorate {
        /// The new voters, with the outgoing ones while both decide.
        electorate: Electorate,
    },
}

/// Bytes that a number is counted with in [`Command::size`].
const NUMBER_SIZE: usize = 8;

impl Command {
    /// Approximate size in bytes: that of its texts, and a little for each number.
    pub fn size(&self) -> usize {
        match self {
            Command::Noop => 0,
            Command::Configure { raw, by, .. } => raw.len() + by.len() + 2 * NUMBER_SIZE,
            Command::CloseEpoch { service, .. } => service.len() + NUMBER_SIZE,
            Command::SelectCandidate { service, candidate, caller, .. } => {
                service.len() + candidate.len() + caller.len() + NUMBER_SIZE
            }
            Command::InstallPrimary { service, primary, .. } => service.len() + primary.len() + 2 * NUMBER_SIZE,
            Command::DrainInstance { id } => id.len(),
            Command::SetPoolerShares { shares } => shares.keys().map(|name| name.len() + 2 * NUMBER_SIZE).sum(),
            Command::RecordUsage { counts, reporter, .. } => {
                counts.keys().map(|tenant| tenant.len() + NUMBER_SIZE).sum::<usize>() + reporter.len() + NUMBER_SIZE
            }
            Command::ChangeElectorate { electorate } => {
                (electorate.voters.len() + electorate.outgoing.len()) * 2 * NUMBER_SIZE
            }
        }
    }
}
