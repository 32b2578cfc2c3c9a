//! Process signals, and the periodic check of the settings file.

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use std::io;
use std::time::Duration;

/// How often the settings file is checked for changes that no SIGHUP announced.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// What a signal asks of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM or SIGINT: drain and exit.
    Terminate,
    /// SIGHUP, or `SETTINGS_CHECK_INTERVAL` without a signal: read the settings file if it changed.
    ReloadSettings,
    /// SIGUSR1: write the log ring out.
    DumpLog,
}

/// The signals that a daemon handles. From their registration on they wait for [`watch`] and have no default effect.
pub struct ProcessSignals(io::Result<Signals>);

impl ProcessSignals {
    /// Registers them. To be called first of all: before that, SIGHUP and SIGUSR1 end the process.
    pub fn register() -> Self {
        ProcessSignals(Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1]))
    }
}

/// Passes signals to `handler`; as a task it runs as long as the process. It ends at once, with a log line, if the
/// signals could not be registered: they then have their default effect, and SIGTERM ends the process without a drain.
pub async fn watch(signals: ProcessSignals, mut handler: impl FnMut(ProcessSignal)) {
    let mut signals = match signals.0 {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "cannot register signal handlers");
            return;
        }
    };
    loop {
        let next_signal = async { signals.next().await.and_then(Result::ok) };
        let settings_check = async {
            smol::Timer::after(SETTINGS_CHECK_INTERVAL).await;
            Some(Signal::Hup)
        };
        match smol::future::or(next_signal, settings_check).await {
            Some(Signal::Hup) => handler(ProcessSignal::ReloadSettings),
            Some(Signal::Usr1) => handler(ProcessSignal::DumpLog),
            Some(_) => handler(ProcessSignal::Terminate),
            None => {}
        }
    }
}
