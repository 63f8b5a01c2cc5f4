//! `peatgrade bench baselines`.

use clap::Args;
use peatgrade_bench::baselines::{baselines, VariantReport};
use peatgrade_bench::fuzz::FuzzSettings;
use peatgrade_models::Deployment;
use std::path::PathBuf;

use super::fuzz::parse_seeds;

/// Which seeds to run.
#[derive(Debug, Args)]
pub struct BaselineArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// Seeds, as FIRST..END
    #[arg(long, default_value = "1..9", value_parser = parse_seeds)]
    seeds: (u64, u64),
    /// Seconds of traffic in each run
    #[arg(long, default_value_t = 180)]
    seconds: u64,
    /// Faults in each run
    #[arg(long, default_value_t = 6)]
    faults: usize,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

/// Runs every variant on the same seeds and prints a table.
pub fn run(args: &BaselineArgs) -> Result<(), String> {
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let settings = FuzzSettings {
        first: args.seeds.0,
        end: args.seeds.1,
        seconds: args.seconds,
        faults: args.faults,
        threads: 1,
        mutation: None,
        stop_at_first: false,
    };
    let reports = baselines(&deployment, &settings);
    if args.json {
        println!("{}", serde_json::json!(reports));
    } else {
        reports.iter().for_each(print_variant);
    }
    Ok(())
}

fn print_variant(report: &VariantReport) {
    println!("{}", report.name);
    for (trainer, idle) in &report.idle_share {
        println!(
            "  {trainer}: idle {:.1} %, staleness mean {:.2} p99 {:.2}, steps {}",
            idle * 100.0,
            report.staleness_mean[trainer],
            report.staleness_p99[trainer],
            report.steps[trainer]
        );
    }
    for (stream, p99) in &report.p99_ms {
        println!(
            "  {stream}: p99 {p99:.1} ms, not answered {}",
            report.not_answered[stream]
        );
    }
    println!(
        "  wasted tokens {}, dropped as too old {}",
        report.wasted_tokens, report.dropped_stale
    );
}
