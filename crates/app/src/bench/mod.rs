//! `peatgrade bench`: experiments.

mod baselines;
mod fuzz;
mod mutants;

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
    /// Switch deliberate breaks on and see that each is noticed
    Mutants(mutants::MutantArgs),
    /// Compare with simpler ways of doing the work, on the same seeds
    Baselines(baselines::BaselineArgs),
}

/// Runs an experiment.
pub fn run(args: &BenchArgs) -> Result<(), String> {
    match &args.command {
        BenchCommand::Fuzz(args) => fuzz::run(args),
        BenchCommand::Mutants(args) => mutants::run(args),
        BenchCommand::Baselines(args) => baselines::run(args),
    }
}
