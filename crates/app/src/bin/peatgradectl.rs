//! The operators' program.

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = peatgrade::ctl::Cli::parse();
    match peatgrade::ctl::run(&cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("peatgradectl: {error}");
            ExitCode::from(peatgrade::ctl::EXIT_ERROR)
        }
    }
}
