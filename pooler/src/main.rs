//! `lichenfield-pooler`: lichenfield's data plane. Serves clients' sessions and carries their statements to the
//! databases' instances over pooled connections.

#![deny(clippy::await_holding_refcell_ref)]

mod driver;

use clap::Parser;
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::Executor;
use lichenfield_runtime::socket::ListenError;
use lichenfield_runtime::startup::{self, Daemon, DaemonConfig, RunMode};
use std::net::SocketAddrV4;
use std::process::ExitCode;

/// Carries clients' sessions to the databases' instances.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file; else the variable LICHENFIELD_NODE_FILE, else /etc/lichenfield/local.toml.
    #[arg(long)]
    settings: Option<String>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Checks the settings file and ends: 0 if it is good, 2 if not.
    Check,
}

/// Where the pooler takes connections from outside.
struct ListenAddresses {
    /// Clients' sessions.
    session: SocketAddrV4,
    /// The readiness probe, over HTTP.
    readiness: SocketAddrV4,
}

struct PoolerDaemon;

impl Daemon for PoolerDaemon {
    const PROGRAM: &'static str = "lichenfield-pooler";
    const REQUIRED_SETTINGS: &'static str = "listen.session and listen.readiness";
    type Required = ListenAddresses;
    type Error = ListenError;

    fn required(settings: &Settings) -> Option<ListenAddresses> {
        Some(ListenAddresses { session: settings.listen.session?, readiness: settings.listen.readiness? })
    }

    async fn serve(executor: Executor, config: DaemonConfig<ListenAddresses>) -> Result<(), ListenError> {
        driver::serve(executor, config).await
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mode = match args.command {
        Some(Command::Check) => RunMode::CheckSettings,
        None => RunMode::Serve,
    };
    startup::run_daemon::<PoolerDaemon>(args.settings, mode)
}
