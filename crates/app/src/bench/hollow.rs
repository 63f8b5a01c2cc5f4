//! `peatgrade bench region` and `peatgrade bench hollow`.

use clap::Args;
use peatgrade_bench::hollow::{read_settings, run as run_nodes, write_deployment};
use peatgrade_bench::scale::region;
use peatgrade_runtime::logging;
use peatgrade_types::Duration;
use std::path::PathBuf;

use crate::dev::fetch_statuses;
use crate::length::parse_length;

/// Size of a region and where it goes.
#[derive(Debug, Args)]
pub struct RegionArgs {
    /// Nodes in each of four zones
    #[arg(long, default_value_t = 10)]
    nodes_per_zone: u32,
    /// Folder for the deployment
    #[arg(long)]
    out: PathBuf,
}

/// Which nodes to run.
#[derive(Debug, Args)]
pub struct HollowArgs {
    /// Folder that `peatgrade plan` wrote
    folder: PathBuf,
    /// Leave the first nodes, by name, to processes of their own
    #[arg(long, default_value_t = 0)]
    skip: usize,
    /// Time before the measurement
    #[arg(long, default_value = "30s", value_parser = parse_length)]
    settle: Duration,
    /// Length of the measurement
    #[arg(long = "for", default_value = "30s", value_parser = parse_length)]
    length: Duration,
}

/// Writes a region's deployment.
pub fn write_region(args: &RegionArgs) -> Result<(), String> {
    const TRAIN_MS: u64 = 60_000;
    write_deployment(&region(args.nodes_per_zone, 0.5, TRAIN_MS), &args.out)
}

/// Runs the nodes and prints JSON.
pub fn run(args: &HollowArgs) -> Result<(), String> {
    logging::start("error", "hollow");
    let settings = read_settings(&args.folder, args.skip)?;
    let wall = |length: Duration| std::time::Duration::from_micros(length.0);
    let report = run_nodes(
        settings,
        wall(args.settle),
        wall(args.length),
        fetch_statuses,
    )?;
    println!("{}", serde_json::json!(report));
    Ok(())
}
