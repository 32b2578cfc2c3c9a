//! The start-up sequence that both daemons share: find and check the settings file, start the log, run, and turn the
//! outcome into an exit code.

pub use crate::settings_file::{SettingsWatcher, settings_path};
pub use crate::signals::{ProcessSignal, ProcessSignals, watch};

use crate::settings_file::{SettingsError, SettingsFile};
use crate::{Executor, log_ring};
use lichenfield_engine::process::settings::Settings;
use std::fmt::Display;
use std::process::ExitCode;

/// Exit code of a daemon that failed while running; the cause is on standard error, after the log.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong command line or an unusable settings file.
pub const EXIT_SETTINGS: u8 = 2;

/// What the command line asks of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunMode {
    /// `check`: check the settings file and exit.
    CheckSettings,
    /// Run until SIGTERM.
    Serve,
}

/// What a daemon starts with.
pub struct DaemonConfig<R> {
    /// The whole settings file.
    pub settings: Settings,
    /// The optional settings that this daemon needs, as [`Daemon::required`] found them.
    pub required: R,
    /// Follows the settings file.
    pub settings_watcher: SettingsWatcher,
    /// The process's signals, since its start.
    pub signals: ProcessSignals,
}

/// A daemon as the start-up sequence sees it.
pub trait Daemon {
    /// The program's name, in front of each message on standard error.
    const PROGRAM: &'static str;
    /// The names of the optional settings that this daemon needs, for the error message.
    const REQUIRED_SETTINGS: &'static str;
    /// The values of those settings.
    type Required;
    /// Why the daemon could not start or stopped running.
    type Error: Display;

    /// Picks the settings in [`Daemon::REQUIRED_SETTINGS`]; `None` if one of them is not set.
    fn required(settings: &Settings) -> Option<Self::Required>;

    /// Runs the daemon until it has drained after SIGTERM.
    fn serve(executor: Executor, config: DaemonConfig<Self::Required>)
    -> impl Future<Output = Result<(), Self::Error>>;
}

/// Runs a daemon's whole life, or only the check of its settings file; `settings_argument` is the path on the
/// command line.
///
/// Exit codes: 0 after a drain or a successful check, [`EXIT_SETTINGS`] or [`EXIT_FAILED`] otherwise.
pub fn run_daemon<D: Daemon>(settings_argument: Option<String>, mode: RunMode) -> ExitCode {
    let signals = ProcessSignals::register();
    let (path, config) = match load_config::<D>(settings_path(settings_argument), signals) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{}: {error}", D::PROGRAM);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if mode == RunMode::CheckSettings {
        println!("{path}: good");
        return ExitCode::SUCCESS;
    }
    log_ring::start();
    match crate::run(move |executor| D::serve(executor, config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_ring::dump();
            eprintln!("{}: {error}", D::PROGRAM);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reads the settings file and checks that it has what the daemon needs.
fn load_config<D: Daemon>(
    path: String,
    signals: ProcessSignals,
) -> Result<(String, DaemonConfig<D::Required>), SettingsError> {
    let SettingsFile { path, text, settings } = SettingsFile::read(path)?;
    let Some(required) = D::required(&settings) else {
        return Err(SettingsError::Missing { path, names: D::REQUIRED_SETTINGS });
    };
    let settings_watcher = SettingsWatcher::new(path.clone(), text);
    Ok((path, DaemonConfig { settings, required, settings_watcher, signals }))
}
