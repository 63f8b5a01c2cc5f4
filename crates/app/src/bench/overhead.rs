//! `peatgrade bench overhead`.

use clap::Args;
use peatgrade_bench::overhead::{capacity, paired, Probe};
use peatgrade_bench::Embedded;
use peatgrade_models::Deployment;
use peatgrade_runtime::{block_on, logging, open_io_uring_instances};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;
use std::path::PathBuf;

use crate::dev::{fetch_statuses, wait_until_ready};
use crate::length::parse_length;

/// What to measure.
#[derive(Debug, Args)]
pub struct OverheadArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// Tenant with an app engine
    #[arg(long, default_value = "directory")]
    tenant: String,
    /// Path below the tenant
    #[arg(long, default_value = "/profiles/1")]
    path: String,
    /// Pairs of requests for latency
    #[arg(long, default_value_t = 1_000)]
    pairs: u64,
    /// Requests kept open for throughput
    #[arg(long, default_value_t = 64)]
    concurrency: u64,
    /// Length of the throughput run
    #[arg(long = "for", default_value = "8s", value_parser = parse_length)]
    length: Duration,
}

/// Measures and prints JSON.
pub fn run(args: &OverheadArgs) -> Result<(), String> {
    logging::init("error", "bench");
    let mut deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    // Engines that answer at once, so that the node is what is measured.
    for pool in &mut deployment.pools {
        if let Some(app) = &mut pool.app {
            app.service_ms = 0.2;
            app.slots = 256;
        }
    }
    let running = Embedded::start(&deployment, Vec::new(), 1).map_err(|e| format!("start: {e}"))?;
    wait_until_ready(&running.nodes)?;
    let status = fetch_statuses(&running.nodes[..1]);
    let first = status.first().ok_or("no status")?;
    let probe = Probe {
        engine: running
            .machine_address("app", &first.zone)
            .ok_or("no app engine")?,
        engine_request: HttpRequest::new("GET", args.path.clone(), "")
            .with_header("x-request-id", "probe"),
        node: running.nodes[0].clone(),
        node_request: HttpRequest::new("GET", format!("/{}{}", args.tenant, args.path), "")
            .with_header("x-request-id", "probe"),
    };
    let length = std::time::Duration::from_micros(args.length.0);
    let name = first.name.clone();
    let measured = block_on(async {
        let pairs = paired(&probe, args.pairs).await;
        let carried = capacity(&probe, args.concurrency, length, &name).await;
        (pairs, carried)
    });
    let (pairs, carried) = measured.map_err(|error| error.to_string())?;
    let rings = open_io_uring_instances();
    running.stop();
    let document =
        serde_json::json!({ "latency": pairs, "capacity": carried, "open_rings": rings });
    println!(
        "{}",
        serde_json::to_string_pretty(&document).unwrap_or_default()
    );
    Ok(())
}
