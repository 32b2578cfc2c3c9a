//! Settings and signals.

use async_signal::{Signal, Signals};
use lichenfield_engine::process::settings::Settings;
use std::time::Duration;

/// The variable that holds the settings file's path, and the usual path.
pub const VARIABLE: &str = "LICHENFIELD_NODE_FILE";
pub const USUAL: &str = "/etc/lichenfield/local.toml";

/// Exit codes: a wrong call or settings, and a failure at work.
pub const EXIT_SETTINGS: u8 = 2;
pub const EXIT_FAILED: u8 = 1;

pub fn settings_path(given: Option<String>) -> String {
    given.or_else(|| std::env::var(VARIABLE).ok()).unwrap_or_else(|| USUAL.to_owned())
}

/// Reads the settings file; the message names the file and what is wrong in it.
pub fn read_settings(path: &str) -> Result<(String, Settings), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("settings {path}: {e}"))?;
    let settings = Settings::read(&text).map_err(|why| format!("settings {path}: {why}"))?;
    Ok((text, settings))
}

/// How often the file is looked at for changes that no signal told of.
const LOOK: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    Terminate,
    ReloadSettings,
    DumpLog,
}

/// Follows signals; looks after the settings file now and then.
pub async fn watch(mut act: impl FnMut(ProcessSignal)) {
    use smol::stream::StreamExt;
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1]) else { return };
    loop {
        let signal = smol::future::or(async { signals.next().await.and_then(Result::ok) }, async {
            smol::Timer::after(LOOK).await;
            Some(Signal::Hup)
        })
        .await;
        match signal {
            Some(Signal::Hup) => act(ProcessSignal::ReloadSettings),
            Some(Signal::Usr1) => act(ProcessSignal::DumpLog),
            Some(_) => act(ProcessSignal::Terminate),
            None => {}
        }
    }
}

/// Follows the settings file: a bad new one is logged and the old settings stay.
pub struct SettingsWatcher {
    path: String,
    text: String,
}

impl SettingsWatcher {
    pub fn new(path: String, text: String) -> Self {
        SettingsWatcher { path, text }
    }

    /// The new settings, if the file changed and is good.
    pub fn changed(&mut self) -> Option<Settings> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        if text == self.text {
            return None;
        }
        self.text = text;
        match Settings::read(&self.text) {
            Ok(settings) => Some(settings),
            Err(why) => {
                tracing::error!("settings {} changed and are refused, the old ones stay: {why}", self.path);
                None
            }
        }
    }
}
