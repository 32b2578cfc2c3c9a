//! `lichenfield-pooler`: lichenfield's data plane. Serves clients' sessions and carries their statements to the
//! databases' instances over pooled connections.

mod driver;

use clap::Parser;
use lichenfield_runtime::startup;
use std::process::ExitCode;

/// Carries clients' sessions to the databases' instances.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file; else the variable LICHENFIELD_NODE_FILE, else /etc/lichenfield/local.toml.
    #[arg(long)]
    settings: Option<String>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(clap::Subcommand)]
enum Verb {
    /// Checks the settings file and ends: 0 if it is good, 2 if not.
    Check,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let path = startup::settings_path(args.settings);
    let (text, settings) = match startup::read_settings(&path) {
        Ok(read) => read,
        Err(why) => {
            eprintln!("lichenfield-pooler: {why}");
            return ExitCode::from(startup::EXIT_SETTINGS);
        }
    };
    let (Some(session), Some(readiness)) = (settings.listen.session, settings.listen.readiness) else {
        eprintln!("lichenfield-pooler: settings {path}: listen.session and listen.readiness are needed");
        return ExitCode::from(startup::EXIT_SETTINGS);
    };
    if matches!(args.verb, Some(Verb::Check)) {
        println!("{path}: good");
        return ExitCode::SUCCESS;
    }
    lichenfield_runtime::log_ring::start();
    let reader = startup::SettingsWatcher::new(path, text);
    match lichenfield_runtime::run(move |executor| driver::serve(executor, settings, session, readiness, reader)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            lichenfield_runtime::log_ring::dump();
            eprintln!("lichenfield-pooler: {e}");
            ExitCode::from(startup::EXIT_FAILED)
        }
    }
}
