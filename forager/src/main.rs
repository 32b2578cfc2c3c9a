//! `forager`: lichenfield's data plane. Serves clients' sessions and carries their statements to the
//! databases' instances over pooled connections.

mod drive;

use clap::Parser;
use comb::boot;
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
    let path = boot::settings_path(args.settings);
    let (text, settings) = match boot::read_settings(&path) {
        Ok(read) => read,
        Err(why) => {
            eprintln!("forager: {why}");
            return ExitCode::from(boot::EXIT_SETTINGS);
        }
    };
    let (Some(session), Some(readiness)) = (settings.listen.session, settings.listen.readiness) else {
        eprintln!("forager: settings {path}: listen.session and listen.readiness are needed");
        return ExitCode::from(boot::EXIT_SETTINGS);
    };
    if matches!(args.verb, Some(Verb::Check)) {
        println!("{path}: good");
        return ExitCode::SUCCESS;
    }
    comb::ring::start();
    let reader = boot::Reader::new(path, text);
    match comb::run(move |hive| drive::serve(hive, settings, session, readiness, reader)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            comb::ring::dump();
            eprintln!("forager: {e}");
            ExitCode::from(boot::EXIT_FAILED)
        }
    }
}
