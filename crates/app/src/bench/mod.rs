//! `peatgrade bench`: experiments.

mod baselines;
mod fuzz;
mod mutants;
mod overhead;
mod run;

use clap::{Args, Subcommand};

/// The experiments.
#[derive(Debug, Args)]
pub struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Load a deployment over sockets, judged by the oracle
    Run(run::RunArgs),
    /// Print two JSON reports side by side
    Compare(run::CompareArgs),
    /// Measure what a node adds to a request and how many it carries
    Overhead(overhead::OverheadArgs),
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
        BenchCommand::Run(args) => run::run(args),
        BenchCommand::Compare(args) => run::run_compare(args),
        BenchCommand::Overhead(args) => overhead::run(args),
        BenchCommand::Fuzz(args) => fuzz::run(args),
        BenchCommand::Mutants(args) => mutants::run(args),
        BenchCommand::Baselines(args) => baselines::run(args),
    }
}
