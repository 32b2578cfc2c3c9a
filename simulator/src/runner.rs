//! Runs scenarios.

use crate::judge::Finding;
use crate::scenario::{Expectation, Measure, Scenario, ScenarioError};
use crate::trace::Trace;
use crate::world::World;
use crate::world::actions::Action;
use std::time::Duration;

/// When the operator sets the first configuration, since the world's beginning.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(2);

/// Why a scenario failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The text is no scenario.
    #[error(transparent)]
    Invalid(#[from] ScenarioError),
    /// An invariant was violated.
    #[error("seed {seed}: {first} (and {further} more)")]
    Violated {
        /// Seed of the run.
        seed: u64,
        /// The first violation.
        first: Finding,
        /// How many were found after it.
        further: usize,
    },
    /// A measure is not as expected.
    #[error("seed {seed}: expected {expectation}, found {found}")]
    Unexpected {
        /// Seed of the run.
        seed: u64,
        /// What was expected.
        expectation: Expectation,
        /// What was measured.
        found: f64,
    },
}

/// Parses a scenario and runs it with each of its seeds, up to the first failure. Returns the trace over all seeds,
/// if the environment asks for one.
pub fn run(text: &str) -> Result<Option<Trace>, RunError> {
    let scenario = Scenario::parse(text)?;
    let mut trace = Trace::from_environment();
    for seed in scenario.seeds.clone() {
        let world = run_seed(&scenario, seed);
        check(&scenario, seed, &world)?;
        if let (Some(whole), Some(part)) = (&mut trace, world.trace()) {
            whole.append(part);
        }
    }
    Ok(trace)
}

fn run_seed(scenario: &Scenario, seed: u64) -> World {
    let mut world = World::new(seed, scenario.world);
    world.plan(FIRST_CONFIGURATION, Action::ChangeConfig);
    for planned in &scenario.actions {
        world.plan(planned.at, planned.action);
    }
    world.run_until(scenario.until);
    world.finish();
    world
}

fn check(scenario: &Scenario, seed: u64, world: &World) -> Result<(), RunError> {
    let findings = &world.judge.findings;
    if let Some(first) = findings.first() {
        return Err(RunError::Violated { seed, first: first.clone(), further: findings.len() - 1 });
    }
    for expectation in &scenario.expectations {
        let found = measure(world, expectation.measure);
        if !expectation.holds(found) {
            return Err(RunError::Unexpected { seed, expectation: *expectation, found });
        }
    }
    Ok(())
}

fn measure(world: &World, measure: Measure) -> f64 {
    match measure {
        Measure::SuccessRatio => world.judge.succeeded as f64 / world.judge.operations.max(1) as f64,
        Measure::Operations => world.judge.operations as f64,
        Measure::Promotions => world.judge.promotions as f64,
        Measure::AcknowledgedRevision => world.acknowledged_revision() as f64,
        Measure::RefusedChanges => world.refused_changes() as f64,
        Measure::UsageReports => world.judge.windows_reported() as f64,
        Measure::Voters => world.voters().len() as f64,
        Measure::Epoch => world.epoch() as f64,
        Measure::ForwardedSessions => world.forwarded_session_count() as f64,
        Measure::MeanPoolerTraffic => world.traffic().mean_pooler,
        Measure::HighestTraffic => world.traffic().highest,
        Measure::Leader => f64::from(u8::from(world.leader().is_some())),
    }
}
