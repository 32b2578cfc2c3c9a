//! What must be true of a world at the end of a run.

use super::{ScenarioError, Word, Words};

/// A figure of a finished run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// `served`: operations that succeeded, as a part of those begun.
    SuccessRatio,
    /// `operations`: operations that clients began.
    Operations,
    /// `promotions`: promotions that took effect.
    Promotions,
    /// `revision`: newest acknowledged revision of the configuration.
    AcknowledgedRevision,
    /// `refused`: configuration changes that were refused.
    RefusedChanges,
    /// `reports`: usage windows that were reported.
    UsageReports,
    /// `voters`: voters by the leader's log.
    Voters,
    /// `epochs`: the service's epoch by the leader's state.
    Epoch,
    /// `forwarded-sessions`: sessions that poolers forwarded to others.
    ForwardedSessions,
    /// `mean-pooler-traffic`: bytes a second that a pooler sent to daemons, on average.
    MeanPoolerTraffic,
    /// `highest-traffic`: bytes a second that the busiest daemon sent to daemons.
    HighestTraffic,
    /// `leader`: 1 if there is a leader, else 0.
    Leader,
}

/// A measure and its name in scenarios.
struct NamedMeasure {
    name: &'static str,
    measure: Measure,
}

/// All measures.
const MEASURES: [NamedMeasure; 12] = [
    NamedMeasure { name: "served", measure: Measure::SuccessRatio },
    NamedMeasure { name: "operations", measure: Measure::Operations },
    NamedMeasure { name: "promotions", measure: Measure::Promotions },
    NamedMeasure { name: "revision", measure: Measure::AcknowledgedRevision },
    NamedMeasure { name: "refused", measure: Measure::RefusedChanges },
    NamedMeasure { name: "reports", measure: Measure::UsageReports },
    NamedMeasure { name: "voters", measure: Measure::Voters },
    NamedMeasure { name: "epochs", measure: Measure::Epoch },
    NamedMeasure { name: "forwarded-sessions", measure: Measure::ForwardedSessions },
    NamedMeasure { name: "mean-pooler-traffic", measure: Measure::MeanPoolerTraffic },
    NamedMeasure { name: "highest-traffic", measure: Measure::HighestTraffic },
    NamedMeasure { name: "leader", measure: Measure::Leader },
];

impl Measure {
    fn parse(word: Word) -> Result<Self, ScenarioError> {
        let named = MEASURES.iter().find(|named| named.name == word.text);
        named.map(|named| named.measure).ok_or_else(|| word.error(format!("unknown measure \"{}\"", word.text)))
    }
}

impl std::fmt::Display for Measure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let named = MEASURES.iter().find(|named| named.measure == *self);
        formatter.write_str(named.map_or("", |named| named.name))
    }
}

/// How a measure is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// No lower than the bound.
    AtLeast,
    /// No higher than the bound.
    AtMost,
    /// Equal to the bound.
    Exactly,
}

impl std::fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Comparison::AtLeast => "at least",
            Comparison::AtMost => "at most",
            Comparison::Exactly => "exactly",
        })
    }
}

/// `MEASURE [NUMBER [at-most|exactly]]`
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// What is measured.
    pub measure: Measure,
    /// How it is compared.
    pub comparison: Comparison,
    /// The number that it is compared to.
    pub bound: f64,
}

impl Expectation {
    pub(super) fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let measure = Measure::parse(words.require("a measure")?)?;
        let bound = words.next_word().map_or(Ok(1.0), |word| word.parse("a number"))?;
        let comparison = match words.next_word() {
            None => Comparison::AtLeast,
            Some(word) if word.text == "at-most" => Comparison::AtMost,
            Some(word) if word.text == "exactly" => Comparison::Exactly,
            Some(word) => return Err(word.error("\"at-most\" or \"exactly\" expected")),
        };
        Ok(Expectation { measure, comparison, bound })
    }

    /// Whether a measured figure is as expected.
    pub fn holds(&self, measured: f64) -> bool {
        match self.comparison {
            Comparison::AtLeast => measured >= self.bound,
            Comparison::AtMost => measured <= self.bound,
            Comparison::Exactly => measured == self.bound,
        }
    }
}

impl std::fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {} {}", self.measure, self.comparison, self.bound)
    }
}
