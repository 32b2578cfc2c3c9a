//! Parses a scenario's lines.

use super::{Expectation, PlannedAction, Scenario, ScenarioError, Word, Words};
use crate::world::actions::Action;
use std::ops::RangeInclusive;

/// Parses a whole text.
pub(super) fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario::default();
    for (index, line) in text.lines().enumerate() {
        let mut words = Words::new(line, index + 1);
        match words.next_word() {
            Some(statement) if !statement.text.starts_with('#') => {
                parse_statement(&mut scenario, statement, &mut words)?;
                words.require_end()?;
            }
            _ => {}
        }
    }
    Ok(scenario)
}

fn parse_statement(scenario: &mut Scenario, statement: Word, words: &mut Words) -> Result<(), ScenarioError> {
    let world = &mut scenario.world;
    match statement.text {
        "seeds" => scenario.seeds = parse_seeds(words.require("seeds FIRST..LAST")?)?,
        "controllers" => world.controllers = words.require_number()?,
        "spare-controllers" => world.spare_controllers = words.require_number()?,
        "poolers" => world.poolers = words.require_number()?,
        "clients" => world.clients = words.require_number()?,
        "tolerance" => world.tolerance = words.require_number()?,
        "idle-services" => world.idle_services = words.require_number()?,
        "idle-routes" => world.idle_routes = words.require_number()?,
        "max-connections" => world.max_connections = words.require_number()?,
        "disk-sync" => world.disk_sync = words.require_seconds()?,
        "until" => scenario.until = words.require_seconds()?,
        "at" => {
            let at = words.require_seconds()?;
            scenario.actions.push(PlannedAction { at, action: Action::parse(words)? });
        }
        "expect" => scenario.expectations.push(Expectation::parse(words)?),
        other => return Err(statement.error(format!("unknown statement \"{other}\""))),
    }
    Ok(())
}

/// `FIRST..LAST`, both included.
fn parse_seeds(word: Word) -> Result<RangeInclusive<u64>, ScenarioError> {
    let malformed = || word.error("seeds FIRST..LAST expected");
    let (first, last) = word.text.split_once("..").ok_or_else(malformed)?;
    let first = first.parse().map_err(|_| malformed())?;
    let last = last.parse().map_err(|_| malformed())?;
    Ok(first..=last)
}
