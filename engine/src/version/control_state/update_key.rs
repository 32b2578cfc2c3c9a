//! Keys of the disseminated parts of the state, as the updates of `process::dissemination` carry them.
//!
//! A key is a letter for the kind, a slash, and a name where there are several of the kind.

use std::fmt;

/// A part of the control state that is disseminated by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKey<'a> {
    /// The configuration in force.
    Config,
    /// The voters.
    Voters,
    /// The epoch of the service with this name.
    Epoch(&'a str),
    /// The instance with this id, which announced its end.
    DrainingInstance(&'a str),
    /// The share of the capped connections of the pooler with this name.
    PoolerShare(&'a str),
}

impl<'a> UpdateKey<'a> {
    /// Reads a key; `None` if it is of no part of the control state.
    pub fn parse(key: &'a str) -> Option<Self> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "c" => Some(UpdateKey::Config),
            "q" => Some(UpdateKey::Voters),
            "e" => Some(UpdateKey::Epoch(name)),
            "d" => Some(UpdateKey::DrainingInstance(name)),
            "s" => Some(UpdateKey::PoolerShare(name)),
            _ => None,
        }
    }
}

impl fmt::Display for UpdateKey<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpdateKey::Config => write!(formatter, "c/"),
            UpdateKey::Voters => write!(formatter, "q/"),
            UpdateKey::Epoch(service) => write!(formatter, "e/{service}"),
            UpdateKey::DrainingInstance(id) => write!(formatter, "d/{id}"),
            UpdateKey::PoolerShare(pooler) => write!(formatter, "s/{pooler}"),
        }
    }
}

#[cfg(test)]
mod tests;
