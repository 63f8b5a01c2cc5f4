//! `peatgrade bench`: experiments.

mod fuzz;

use clap::{Args, Subcommand};

/// The experiments.
#[derive(Debug, Args)]
pub struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Simulate a deployment with drawn faults, many times
    Fuzz(fuzz::FuzzArgs),
}

/// Runs an experiment.
pub fn run(args: &BenchArgs) -> Result<(), String> {
    match &args.command {
        BenchCommand::Fuzz(args) => fuzz::run(args),
    }
}
