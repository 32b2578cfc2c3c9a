//! The settings file: where it is, reading it, and noticing changes while the daemon runs.

use lichenfield_engine::process::settings::Settings;

/// The environment variable that holds the settings file's path.
pub const PATH_VARIABLE: &str = "LICHENFIELD_NODE_FILE";
/// The path where neither the command line nor the environment gives one.
pub const DEFAULT_PATH: &str = "/etc/lichenfield/local.toml";

/// The settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// The file was read, but its content is not valid.
    #[error("settings {path}: {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong, with the field or line.
        reason: String,
    },
    /// The file is valid, but lacks settings that this daemon needs.
    #[error("settings {path}: {names} are needed")]
    Missing {
        /// The file.
        path: String,
        /// The settings this daemon needs.
        names: &'static str,
    },
}

/// A settings file that was read and found valid.
pub struct SettingsFile {
    /// Where it was read from.
    pub path: String,
    /// Its text, by which [`SettingsWatcher`] notices a change.
    pub text: String,
    /// Its content.
    pub settings: Settings,
}

impl SettingsFile {
    /// Reads and checks the file at `path`.
    pub fn read(path: String) -> Result<Self, SettingsError> {
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(SettingsError::Unreadable { path, source }),
        };
        match Settings::read(&text) {
            Ok(settings) => Ok(SettingsFile { path, text, settings }),
            Err(reason) => Err(SettingsError::Invalid { path, reason: reason.to_string() }),
        }
    }
}

/// The path of the settings file: the command-line argument, else [`PATH_VARIABLE`], else [`DEFAULT_PATH`].
pub fn settings_path(argument: Option<String>) -> String {
    argument.or_else(|| std::env::var(PATH_VARIABLE).ok()).unwrap_or_else(|| DEFAULT_PATH.to_owned())
}

/// Notices changes of the settings file. An invalid new file is logged and the settings in force stay.
pub struct SettingsWatcher {
    path: String,
    /// The text last seen, valid or not: an invalid file is logged once.
    text: String,
}

impl SettingsWatcher {
    /// Watches the file at `path`, whose text now is `text`.
    pub fn new(path: String, text: String) -> Self {
        SettingsWatcher { path, text }
    }

    /// The new settings, if the file has changed since the last call and is valid. An unreadable file counts as
    /// unchanged: it may be in the middle of being replaced.
    pub fn changed(&mut self) -> Option<Settings> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        if text == self.text {
            return None;
        }
        self.text = text;
        match Settings::read(&self.text) {
            Ok(settings) => Some(settings),
            Err(error) => {
                tracing::error!(path = %self.path, %error, "invalid settings file, the settings in force stay");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
