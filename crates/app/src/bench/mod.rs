//! `peatgrade bench`: experiments.

mod baselines;
mod fuzz;
mod hollow;
mod mutants;
mod overhead;
mod run;
mod scale;

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
    /// Measure control traffic, processor time and memory at several sizes
    Scale(scale::ScaleArgs),
    /// Write the deployment of a large region, for plan and emulate
    Region(hollow::RegionArgs),
    /// Run many nodes in this process, beside node processes
    Hollow(hollow::HollowArgs),
    /// Measure how fast a large region takes changes and failures
    Times(scale::TimesArgs),
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
        BenchCommand::Scale(args) => scale::run(args),
        BenchCommand::Region(args) => hollow::write_region(args),
        BenchCommand::Hollow(args) => hollow::run(args),
        BenchCommand::Times(args) => scale::run_times(args),
        BenchCommand::Fuzz(args) => fuzz::run(args),
        BenchCommand::Mutants(args) => mutants::run(args),
        BenchCommand::Baselines(args) => baselines::run(args),
    }
}
