//! `peatgrade bench run` and `peatgrade bench compare`.

use clap::Args;
use peatgrade_bench::clients::{self, ClientPlan};
use peatgrade_bench::compare::compare;
use peatgrade_bench::page::run_page;
use peatgrade_bench::{report, ClientReport, Embedded};
use peatgrade_models::Deployment;
use peatgrade_runtime::{block_on, logging};
use peatgrade_types::Duration;
use std::path::{Path, PathBuf};

use crate::dev::wait_until_ready;
use crate::emulate::read_faults;
use crate::length::parse_length;

/// What to load and where the reports go.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// HTTP addresses of running nodes; without them a deployment is embedded
    #[arg(long, value_delimiter = ',')]
    nodes: Vec<String>,
    /// Address of the running platform, with --nodes
    #[arg(long, default_value = "127.0.0.1:17000")]
    platform: String,
    /// Length of the load
    #[arg(long = "for", default_value = "60s", value_parser = parse_length)]
    length: Duration,
    /// Factor on the rates of the deployment's traffic
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Seed of arrivals
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// TOML file with faults; embedded only, else give it to emulate
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// Write the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as a page with plots
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Two reports of `bench run --json`.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// The report before
    before: PathBuf,
    /// The report after
    after: PathBuf,
}

fn write(path: Option<&Path>, text: String) -> Result<(), String> {
    match path {
        Some(path) => {
            std::fs::write(path, text).map_err(|e| format!("write {}: {e}", path.display()))
        }
        None => Ok(()),
    }
}

/// Runs the load and writes the reports.
pub fn run(args: &RunArgs) -> Result<(), String> {
    logging::init("error", "bench");
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let embedded = match args.nodes.is_empty() {
        true => {
            let faults = read_faults(args.faults.as_deref())?;
            let started = Embedded::start(&deployment, faults, args.seed);
            Some(started.map_err(|error| format!("start: {error}"))?)
        }
        false => None,
    };
    let nodes = embedded
        .as_ref()
        .map_or(args.nodes.clone(), |running| running.nodes.clone());
    let platform = embedded
        .as_ref()
        .map_or(args.platform.clone(), |running| running.platform.clone());
    wait_until_ready(&nodes)?;
    let plan = ClientPlan {
        deployment,
        nodes,
        platform,
        length: args.length,
        seed: args.seed,
        rate: args.rate,
    };
    let report = block_on(clients::run(plan, |_| {})).map_err(|error| error.to_string())?;
    if let Some(running) = embedded {
        running.stop();
    }
    print!("{}", report::as_text(&report));
    write(args.json.as_deref(), serde_json::json!(report).to_string())?;
    write(args.html.as_deref(), run_page(&report))?;
    match report.violations.len() {
        0 => Ok(()),
        count => Err(format!("{count} promises were broken")),
    }
}

fn read_report(path: &Path) -> Result<ClientReport, String> {
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("read {}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("parse {}: {e}", path.display()))
}

/// Prints two reports side by side.
pub fn run_compare(args: &CompareArgs) -> Result<(), String> {
    print!(
        "{}",
        compare(&read_report(&args.before)?, &read_report(&args.after)?)
    );
    Ok(())
}
