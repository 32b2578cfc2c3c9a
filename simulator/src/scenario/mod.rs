//! Scenarios as small text files: what the world holds, what happens when, and what must be true at the end.
//!
//! One statement a line; `#` begins a comment line. Settings:
//!
//! ```text
//! seeds FIRST..LAST        the seeds to run with, both included (1..1)
//! controllers N            controllers that found the system (3)
//! spare-controllers N      further controller machines, off until they are added (0)
//! poolers N                poolers (3)
//! clients N                clients, each with one session at a time (6)
//! tolerance N              machines that may be lost at once (1)
//! idle-services N          services that no client uses (0)
//! idle-routes N            routes that no client uses (0)
//! max-connections N        connections that a service allows over all poolers (60)
//! disk-sync SECONDS        duration of a disk's sync (0.002)
//! until SECONDS            end of the run (15)
//! ```
//!
//! `at SECONDS ACTION` plans an action; [`crate::world::actions`] lists them. `expect MEASURE [NUMBER]` demands at
//! least NUMBER (1 if left out), `expect MEASURE NUMBER at-most` at most, `expect MEASURE NUMBER exactly` just that;
//! [`Measure`] lists the measures.

mod error;
mod expectation;
mod parser;
#[cfg(test)]
mod tests;
mod words;

pub use error::ScenarioError;
pub use expectation::{Comparison, Expectation, Measure};
pub use words::{Word, Words};

use crate::world::WorldConfig;
use crate::world::actions::Action;
use std::ops::RangeInclusive;
use std::time::Duration;

/// An action and when it happens.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAction {
    /// Since the world's beginning.
    pub at: Duration,
    /// What happens.
    pub action: Action,
}

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Seeds to run with.
    pub seeds: RangeInclusive<u64>,
    /// What the world holds.
    pub world: WorldConfig,
    /// When the run ends, since the world's beginning.
    pub until: Duration,
    /// What happens, in the order of the text.
    pub actions: Vec<PlannedAction>,
    /// What must be true at the end.
    pub expectations: Vec<Expectation>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seeds: 1..=1,
            world: WorldConfig::default(),
            until: Duration::from_secs(15),
            actions: Vec::new(),
            expectations: Vec::new(),
        }
    }
}

impl Scenario {
    /// Parses a scenario's text.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        parser::parse(text)
    }
}
