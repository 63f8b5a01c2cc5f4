//! `peatgrade bench mutants`.

use clap::Args;
use peatgrade_bench::fuzz::FuzzSettings;
use peatgrade_bench::mutants::mutants;
use peatgrade_models::Deployment;
use std::path::PathBuf;

use super::fuzz::parse_seeds;

/// Which seeds to run.
#[derive(Debug, Args)]
pub struct MutantArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// Seeds tried for each break, as FIRST..END
    #[arg(long, default_value = "1..31", value_parser = parse_seeds)]
    seeds: (u64, u64),
    /// Seconds of traffic in each run
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Faults in each run
    #[arg(long, default_value_t = 10)]
    faults: usize,
}

/// Runs every break and prints a table.
pub fn run(args: &MutantArgs) -> Result<(), String> {
    if !cfg!(feature = "mutation") {
        return Err("build with --features mutation to switch breaks on".into());
    }
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let settings = FuzzSettings {
        first: args.seeds.0,
        end: args.seeds.1,
        seconds: args.seconds,
        faults: args.faults,
        threads: 1,
        mutation: None,
        stop_at_first: true,
    };
    let reports = mutants(&deployment, &settings);
    println!("| break | noticed | seeds | promises | first seen |");
    println!("|---|---|---|---|---|");
    for report in &reports {
        let noticed = if report.caught { "yes" } else { "no" };
        println!(
            "| {} | {noticed} | {} | {} | {} |",
            report.mutation,
            report.seeds,
            report.promises.join(", "),
            report.first
        );
    }
    let missed = reports.iter().filter(|report| !report.caught).count();
    if missed == 0 {
        Ok(())
    } else {
        Err(format!("{missed} breaks were not noticed"))
    }
}
