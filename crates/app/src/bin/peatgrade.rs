//! The server program and its tools.

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Rollout service for teams that train models on live traffic.
#[derive(Debug, Parser)]
#[command(name = "peatgrade", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one node
    Node(peatgrade::node::NodeArgs),
    /// Run a whole deployment in one process, with stand-ins for the platform
    Dev(peatgrade::dev::DevArgs),
    /// Run the stand-in platform as a process of its own
    Emulate(peatgrade::emulate::EmulateArgs),
    /// Load, experiments and simulations
    Bench(peatgrade::bench::BenchArgs),
    /// Write settings files for a deployment on one machine
    Plan(peatgrade::plan::PlanArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match &cli.command {
        Command::Node(args) => peatgrade::node::run(args),
        Command::Dev(args) => peatgrade::dev::run(args),
        Command::Emulate(args) => peatgrade::emulate::run(args),
        Command::Bench(args) => peatgrade::bench::run(args),
        Command::Plan(args) => peatgrade::plan::run(args),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peatgrade: {error}");
            ExitCode::FAILURE
        }
    }
}
