//! The configuration in force.

use super::timeouts::DEFAULT_TRANSACTION_IDLE_TIMEOUT;
use crate::request::error::RequestError;
use crate::version::config::{Configuration, Route};
use std::time::Duration;

/// The configuration in force, and the newest revision seen at work.
#[derive(Debug, Default)]
pub(super) struct ActiveConfiguration {
    current: Option<Configuration>,
    /// The newest revision by which another pooler served a session of this one. Nothing is handled here by an older
    /// one from then on.
    required_revision: u64,
}

impl ActiveConfiguration {
    pub(super) fn current(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// The revision in force; 0 before the first.
    pub(super) fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |config| config.revision)
    }

    /// The newest revision that is in force here or was seen at work.
    pub(super) fn newest_revision(&self) -> u64 {
        self.required_revision.max(self.revision())
    }

    pub(super) fn require(&mut self, revision: u64) {
        self.required_revision = self.required_revision.max(revision);
    }

    /// Whether the configuration in force is older than required in general, or by a session.
    pub(super) fn is_behind(&self, session_requirement: u64) -> bool {
        session_requirement.max(self.required_revision) > self.revision()
    }

    /// Puts a configuration into force. Whether services or their connection limits differ from before.
    pub(super) fn replace(&mut self, config: Configuration) -> bool {
        let backends_changed = self.current.as_ref().is_none_or(|current| current.backends != config.backends);
        self.current = Some(config);
        backends_changed
    }

    /// The route of a database.
    pub(super) fn route(&self, database: &str) -> Option<&Route> {
        self.current.as_ref()?.routes.get(database)
    }

    /// The tenant that the key belongs to, if it may use the database.
    pub(super) fn authorize(&self, database: &str, key: &str) -> Result<String, RequestError> {
        let Some(config) = &self.current else { return Err(RequestError::busy("no configuration yet")) };
        config.admit(database, key).map_err(|error| RequestError::rejected(error.code(), error.to_string()))
    }

    /// How long a transaction may be idle.
    pub(super) fn transaction_idle_timeout(&self) -> Duration {
        self.current.as_ref().map_or(DEFAULT_TRANSACTION_IDLE_TIMEOUT, |config| config.idle_transaction_timeout)
    }
}

#[cfg(test)]
mod tests;
