//! Runs soaks of the real programs, one seed after the other. Exit code 0: every rule held; 1: one was broken; 2: a run
//! was not possible.

use clap::{Parser, ValueEnum};
use lichenfield_simulator::soak::{self, Size, SoakOptions, SoakReport, TroubleKinds};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 2;

/// Soaks the daemons in troubles that are drawn from seeds.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For so many seconds troubles come.
    #[arg(long, default_value_t = 25)]
    seconds: u64,
    /// The folder of the daemons' programs.
    #[arg(long, default_value = "target/release")]
    programs: PathBuf,
    /// How many processes and clients.
    #[arg(long, value_enum, default_value_t = SizeArgument::Small)]
    size: SizeArgument,
    /// Which troubles; `mixed`: only planned ones with every second seed.
    #[arg(long, value_enum, default_value_t = TroublesArgument::Mixed)]
    troubles: TroublesArgument,
    /// Print the troubles of each seed.
    #[arg(long)]
    plan: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum SizeArgument {
    Small,
    Full,
}

#[derive(Clone, Copy, ValueEnum)]
enum TroublesArgument {
    Planned,
    All,
    Mixed,
}

impl Arguments {
    fn options(&self, seed: u64) -> SoakOptions {
        let kinds = match self.troubles {
            TroublesArgument::Planned => TroubleKinds::Planned,
            TroublesArgument::All => TroubleKinds::All,
            TroublesArgument::Mixed if seed.is_multiple_of(2) => TroubleKinds::Planned,
            TroublesArgument::Mixed => TroubleKinds::All,
        };
        let size = match self.size {
            SizeArgument::Small => Size::Small,
            SizeArgument::Full => Size::Full,
        };
        SoakOptions { programs: self.programs.clone(), size, kinds, length: Duration::from_secs(self.seconds) }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut broken = 0;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let options = arguments.options(seed);
        if arguments.plan {
            soak::describe_plan(seed, &options).iter().for_each(|line| println!("{line}"));
        }
        match soak::run(seed, &options) {
            Ok(report) => {
                print_report(seed, &options, &report);
                broken += u64::from(!report.violations.is_empty());
            }
            Err(error) => {
                eprintln!("seed {seed} could not run: {error}");
                return ExitCode::from(EXIT_NOT_RUN);
            }
        }
    }
    println!("{} seeds held, {broken} broke a rule", arguments.seeds - broken);
    if broken > 0 { ExitCode::from(EXIT_BROKEN) } else { ExitCode::SUCCESS }
}

fn print_report(seed: u64, options: &SoakOptions, report: &SoakReport) {
    println!(
        "seed {seed}: {:?}, {} troubles, {} of {} operations succeeded, {} violations",
        options.kinds,
        report.troubles,
        report.succeeded,
        report.operations,
        report.violations.len()
    );
    if report.violations.is_empty() {
        return;
    }
    report.violations.iter().for_each(|violation| println!("    {violation}"));
    println!("    settings and logs: {}", report.folder.display());
}
