//! `lichenfield-controller`: lichenfield's control plane, and the operator's client to it.

mod client;
mod driver;
mod store;

use clap::{Parser, Subcommand};
use lichenfield_runtime::startup;
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
        Some(Verb::Check) => serve(args.settings, true),
        None => serve(args.settings, false),
    }
}

fn serve(given: Option<String>, only_check: bool) -> ExitCode {
    let path = startup::settings_path(given);
    let (text, settings) = match startup::read_settings(&path) {
        Ok(read) => read,
        Err(why) => {
            eprintln!("lichenfield-controller: {why}");
            return ExitCode::from(startup::EXIT_SETTINGS);
        }
    };
    let (Some(control), Some(data)) = (settings.listen.control, settings.data_path.clone()) else {
        eprintln!("lichenfield-controller: settings {path}: listen.control and data-path are needed");
        return ExitCode::from(startup::EXIT_SETTINGS);
    };
    if only_check {
        println!("{path}: good");
        return ExitCode::SUCCESS;
    }
    lichenfield_runtime::log_ring::start();
    let reader = startup::SettingsWatcher::new(path, text);
    match lichenfield_runtime::run(move |executor| driver::serve(executor, settings, control, data, reader)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            lichenfield_runtime::log_ring::dump();
            eprintln!("lichenfield-controller: {why}");
            ExitCode::from(startup::EXIT_FAILED)
        }
    }
}
