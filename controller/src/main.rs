//! `lichenfield-controller`: lichenfield's control plane, and the operator's client to it.
//!
//! - `daemon` — the daemon's start: settings, checks, exit codes;
//! - `driver` — joins the control plane's state machine to disk, sockets, signals and the clock;
//! - `store` — what a controller keeps on disk;
//! - `client` — the operator's commands.

mod client;
mod daemon;
mod driver;
mod store;

use clap::{Parser, Subcommand};
use daemon::ControllerDaemon;
use lichenfield_runtime::startup::{self, RunMode};
use std::net::SocketAddrV4;
use std::process::ExitCode;

/// Keeps the configuration and the list of instances, decides on primaries, and distributes updates.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file; else the variable LICHENFIELD_NODE_FILE, else /etc/lichenfield/local.toml.
    #[arg(long)]
    settings: Option<String>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks the settings file and ends: 0 if it is good, 2 if not.
    Check,
    /// Works with the operator's configuration.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Shows who leads, the log, the instances and the primaries.
    Status {
        /// A daemon serving `control`, as ip:port.
        #[arg(long)]
        at: SocketAddrV4,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints the newest configuration.
    Get {
        #[arg(long)]
        at: SocketAddrV4,
    },
    /// Sends a configuration that builds on the version given.
    Put {
        #[arg(long)]
        at: SocketAddrV4,
        /// The version it builds on; 0 for the first.
        #[arg(long)]
        if_match: u64,
        file: String,
    },
    /// Shows the last changes: what, when, and which daemon accepted them.
    History {
        #[arg(long)]
        at: SocketAddrV4,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks a configuration file as the service would.
    Check { file: String },
}

fn main() -> ExitCode {
    let args = Args::parse();
    match args.command {
        Some(Command::Check) => startup::run_daemon::<ControllerDaemon>(args.settings, RunMode::CheckSettings),
        None => startup::run_daemon::<ControllerDaemon>(args.settings, RunMode::Serve),
        Some(Command::Status { at, json }) => client::exit_code(client::status(at, json)),
        Some(Command::Config { command }) => client::exit_code(run_config_command(command)),
    }
}

fn run_config_command(command: ConfigCommand) -> Result<(), client::ClientError> {
    match command {
        ConfigCommand::Check { file } => client::check(&file),
        ConfigCommand::Get { at } => client::get(at),
        ConfigCommand::Put { at, if_match, file } => client::put(at, if_match, &file),
        ConfigCommand::History { at, json } => client::history(at, json),
    }
}
