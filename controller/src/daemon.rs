//! The daemon's start: settings, what of them a controller needs, and exit codes.

use crate::driver::{self, DaemonConfig, DriverError};
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::startup::{self, SettingsWatcher};
use std::net::SocketAddrV4;
use std::process::ExitCode;

/// Why the daemon did not start, or ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings file can't be read or is not valid: the reason, with the file's name.
    #[error("{0}")]
    Settings(String),
    /// Settings that only a controller needs are missing.
    #[error("settings {path}: listen.control and data-path are needed")]
    MissingSettings {
        /// The settings file.
        path: String,
    },
    /// The daemon failed at work.
    #[error(transparent)]
    Driver(#[from] DriverError),
}

impl DaemonError {
    fn exit_code(&self) -> u8 {
        match self {
            DaemonError::Settings(_) | DaemonError::MissingSettings { .. } => startup::EXIT_SETTINGS,
            DaemonError::Driver(_) => startup::EXIT_FAILED,
        }
    }
}

/// Reports the result of [`check`] or [`run`]. The ring of recent log lines is written out if the daemon failed.
pub fn exit_code(result: Result<(), DaemonError>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    if matches!(error, DaemonError::Driver(_)) {
        lichenfield_runtime::log_ring::dump();
    }
    eprintln!("lichenfield-controller: {error}");
    ExitCode::from(error.exit_code())
}

/// Checks the settings file.
pub fn check(settings_path: Option<String>) -> Result<(), DaemonError> {
    let file = read_settings(settings_path)?;
    println!("{}: good", file.path);
    Ok(())
}

/// Runs the daemon until a signal ends it.
pub fn run(settings_path: Option<String>) -> Result<(), DaemonError> {
    let SettingsFile { path, text, settings, control, data_path } = read_settings(settings_path)?;
    lichenfield_runtime::log_ring::start();
    let settings_watcher = SettingsWatcher::new(path, text);
    let config = DaemonConfig { settings, control, data_path, settings_watcher };
    Ok(lichenfield_runtime::run(move |executor| driver::serve(executor, config))?)
}

/// A settings file that is good for a controller.
struct SettingsFile {
    path: String,
    text: String,
    settings: Settings,
    control: SocketAddrV4,
    data_path: String,
}

fn read_settings(path: Option<String>) -> Result<SettingsFile, DaemonError> {
    let path = startup::settings_path(path);
    let (text, settings) = startup::read_settings(&path).map_err(|error| DaemonError::Settings(error.to_string()))?;
    match (settings.listen.control, settings.data_path.clone()) {
        (Some(control), Some(data_path)) => Ok(SettingsFile { path, text, settings, control, data_path }),
        _ => Err(DaemonError::MissingSettings { path }),
    }
}
