//! `peatgrade bench fuzz`.

use clap::Args;
use peatgrade_bench::fuzz::{fuzz, FuzzSettings};
use peatgrade_models::Deployment;
use std::path::PathBuf;

/// Which seeds to run, and how.
#[derive(Debug, Args)]
pub struct FuzzArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// Seeds, as FIRST..END
    #[arg(long, default_value = "1..21", value_parser = parse_seeds)]
    seeds: (u64, u64),
    /// Seconds of traffic in each run
    #[arg(long, default_value_t = 180)]
    seconds: u64,
    /// Faults in each run
    #[arg(long, default_value_t = 10)]
    faults: usize,
    /// Runs made at the same time
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

/// Reads `FIRST..END`.
pub fn parse_seeds(text: &str) -> Result<(u64, u64), String> {
    let parsed = text.split_once("..").and_then(|(first, end)| {
        let first: u64 = first.parse().ok()?;
        let end: u64 = end.parse().ok()?;
        (first < end).then_some((first, end))
    });
    parsed.ok_or_else(|| format!("{text:?} is not FIRST..END"))
}

/// Runs the seeds and prints what came of them.
pub fn run(args: &FuzzArgs) -> Result<(), String> {
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let settings = FuzzSettings {
        first: args.seeds.0,
        end: args.seeds.1,
        seconds: args.seconds,
        faults: args.faults,
        threads: args.threads,
        mutation: None,
        stop_at_first: false,
    };
    let report = fuzz(&deployment, &settings, |seed, kept| {
        if !kept {
            eprintln!("seed {seed} broke a promise");
        }
    });
    if args.json {
        println!("{}", serde_json::json!(report));
    } else {
        print_text(&report);
    }
    if report.failures.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} of {} runs broke a promise",
            report.failures.len(),
            report.runs
        ))
    }
}

fn print_text(report: &peatgrade_bench::fuzz::FuzzReport) {
    println!(
        "{} runs, {:.2} simulated hours, {} observations, {} training steps",
        report.runs, report.simulated_hours, report.observations, report.steps
    );
    println!("faults: {:?}", report.faults);
    println!("endings: {:?}", report.endings);
    for failure in &report.failures {
        println!("seed {}", failure.seed);
        for violation in &failure.violations {
            println!("  {violation}");
        }
        for step in &failure.shrunk.steps {
            println!("  at {} ms: {:?}", step.at_ms, step.kind);
        }
        println!("  replay: {}", failure.replay);
    }
}
