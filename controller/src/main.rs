//! `lichenfield-controller`: lichenfield's control plane, and the operator's client to it.

mod client;
mod driver;
mod store;

use clap::{Parser, Subcommand};
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::Executor;
use lichenfield_runtime::startup::{self, Daemon, DaemonConfig, RunMode};
use std::net::SocketAddrV4;
use std::process::ExitCode;

/// Keeps the configuration and the list of instances, decides on primaries, and spreads the news.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file; else the variable LICHENFIELD_NODE_FILE, else /etc/lichenfield/local.toml.
    #[arg(long)]
    settings: Option<String>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Checks the settings file and ends: 0 if it is good, 2 if not.
    Check,
    /// Works with the operator's configuration.
    Config {
        #[command(subcommand)]
        verb: ConfigVerb,
    },
    /// Shows who leads, the log, the instances and the primaries.
    Status {
        /// A daemon serving `control`, as ip:port.
        #[arg(long)]
        at: std::net::SocketAddrV4,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum ConfigVerb {
    /// Prints the newest configuration.
    Get {
        #[arg(long)]
        at: std::net::SocketAddrV4,
    },
    /// Sends a configuration that builds on the version given.
    Put {
        #[arg(long)]
        at: std::net::SocketAddrV4,
        /// The version it builds on; 0 for the first.
        #[arg(long)]
        if_match: u64,
        file: String,
    },
    /// Shows the last changes: what, when, and which daemon took them.
    History {
        #[arg(long)]
        at: std::net::SocketAddrV4,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks a configuration file as the service would.
    Check { file: String },
}

fn main() -> ExitCode {
    let args = Args::parse();
    match args.verb {
        Some(Verb::Config { verb: ConfigVerb::Check { file } }) => client::check(&file),
        Some(Verb::Config { verb: ConfigVerb::Get { at } }) => client::get(at),
        Some(Verb::Config { verb: ConfigVerb::History { at, json } }) => client::history(at, json),
        Some(Verb::Config { verb: ConfigVerb::Put { at, if_match, file } }) => client::put(at, if_match, &file),
        Some(Verb::Status { at, json }) => client::status(at, json),
        Some(Verb::Check) => startup::run_daemon::<ControllerDaemon>(args.settings, RunMode::CheckSettings),
        None => startup::run_daemon::<ControllerDaemon>(args.settings, RunMode::Serve),
    }
}

/// Where the controller listens and keeps its store.
struct RequiredSettings {
    control: SocketAddrV4,
    data_path: String,
}

struct ControllerDaemon;

impl Daemon for ControllerDaemon {
    const PROGRAM: &'static str = "lichenfield-controller";
    const REQUIRED_SETTINGS: &'static str = "listen.control and data-path";
    type Required = RequiredSettings;
    type Error = String;

    fn required(settings: &Settings) -> Option<RequiredSettings> {
        Some(RequiredSettings { control: settings.listen.control?, data_path: settings.data_path.clone()? })
    }

    async fn serve(executor: Executor, config: DaemonConfig<RequiredSettings>) -> Result<(), String> {
        let DaemonConfig { settings, required: RequiredSettings { control, data_path }, settings_watcher } = config;
        driver::serve(executor, settings, control, data_path, settings_watcher).await
    }
}
