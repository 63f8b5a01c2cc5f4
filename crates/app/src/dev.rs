//! `peatgrade dev`: a whole deployment in one process.

use clap::Args;
use peatgrade_bench::clients::{self, ClientPlan};
use peatgrade_bench::{report, ClientReport, Embedded};
use peatgrade_models::Deployment;
use peatgrade_node_core::NodeStatus;
use peatgrade_runtime::{block_on, logging, open_io_uring_instances};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};

use crate::emulate::read_faults;
use crate::fetch::fetch;
use crate::length::parse_length;
use crate::signals::stop_signals;
use crate::status_view::screen;

/// What to run and for how long.
#[derive(Debug, Args)]
pub struct DevArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// Length of the run; without it the run lasts until Ctrl-C
    #[arg(long = "for", value_name = "LENGTH", value_parser = parse_length)]
    length: Option<Duration>,
    /// Print the summary as JSON
    #[arg(long)]
    json: bool,
    /// TOML file with faults on a timeline
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// Factor on the rates of the deployment's traffic
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Seed of arrivals and models
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Log level; logs go to standard error
    #[arg(long, default_value = "warn")]
    log_level: String,
}

/// Time for nodes to find each other before the load starts.
const START_LIMIT: std::time::Duration = std::time::Duration::from_secs(30);
/// Length of a run without an end.
const ENDLESS: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Runs a deployment and prints a summary at the end.
pub fn run(args: &DevArgs) -> Result<(), String> {
    logging::init(&args.log_level, "dev");
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let faults = read_faults(args.faults.as_deref())?;
    let mut stop = stop_signals().map_err(|error| format!("install signal handler: {error}"))?;
    let embedded =
        Embedded::start(&deployment, faults, args.seed).map_err(|e| format!("start: {e}"))?;
    wait_until_ready(&embedded.nodes)?;
    let plan = ClientPlan {
        deployment,
        nodes: embedded.nodes.clone(),
        platform: embedded.platform.clone(),
        length: args.length.unwrap_or(ENDLESS),
        seed: args.seed,
        rate: args.rate,
    };
    let (updates, updated) = channel();
    let runner = std::thread::spawn(move || {
        block_on(clients::run(plan, |report| {
            let _ = updates.send(report.clone());
        }))
    });
    let interrupted = show_until_end(args, &embedded.nodes, &updated, &mut stop);
    let last = match interrupted {
        Some(report) => report,
        None => match runner.join() {
            Ok(Ok(report)) => report,
            Ok(Err(error)) => return Err(format!("clients: {error}")),
            Err(_) => return Err("the client thread panicked".into()),
        },
    };
    let rings = open_io_uring_instances();
    let statuses = fetch_statuses(&embedded.nodes);
    let errors = embedded.stop();
    summarize(args, &last, &statuses, rings);
    if let Some(error) = errors.first() {
        return Err(format!("stop: {error}"));
    }
    if last.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{} promises were broken", last.violations.len()))
    }
}

/// Shows progress until the clients end, or until Ctrl-C, in which case the
/// latest report is returned.
fn show_until_end(
    args: &DevArgs,
    nodes: &[String],
    updated: &Receiver<ClientReport>,
    stop: &mut futures_channel::mpsc::UnboundedReceiver<()>,
) -> Option<ClientReport> {
    let live = std::io::stdout().is_terminal() && !args.json;
    let mut latest = ClientReport::default();
    let mut shown = std::time::Instant::now();
    loop {
        if matches!(stop.try_recv(), Ok(())) {
            return Some(latest);
        }
        match updated.recv_timeout(std::time::Duration::from_millis(250)) {
            Ok(report) => latest = report,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        if live && shown.elapsed() >= std::time::Duration::from_secs(1) {
            shown = std::time::Instant::now();
            let text = screen(&fetch_statuses(nodes), &latest);
            print!("\x1b[2J\x1b[H{text}");
        }
    }
}

fn summarize(args: &DevArgs, last: &ClientReport, statuses: &[NodeStatus], rings: usize) {
    if args.json {
        let summary =
            serde_json::json!({ "clients": last, "nodes": statuses, "open_rings": rings });
        println!("{summary}");
        return;
    }
    print!("{}", report::as_text(last));
    let ready = statuses.iter().filter(|status| status.ready).count();
    println!(
        "  nodes: {ready} of {} ready; io_uring instances open: {rings}",
        statuses.len()
    );
}

/// Status of every node that answers.
pub fn fetch_statuses(nodes: &[String]) -> Vec<NodeStatus> {
    let nodes = nodes.to_vec();
    let fetched = block_on(async move {
        let mut statuses = Vec::new();
        for node in nodes {
            let ended = fetch(&node, HttpRequest::new("GET", "/status", "")).await;
            let body = ended.ok().filter(|(status, _)| *status == 200);
            statuses.extend(body.and_then(|(_, body)| serde_json::from_slice(&body).ok()));
        }
        statuses
    });
    fetched.unwrap_or_default()
}

/// Waits until every node says that it is ready.
pub fn wait_until_ready(nodes: &[String]) -> Result<(), String> {
    let started = std::time::Instant::now();
    loop {
        let ready = fetch_statuses(nodes)
            .iter()
            .filter(|status| status.ready)
            .count();
        if ready == nodes.len() {
            return Ok(());
        }
        if started.elapsed() > START_LIMIT {
            return Err(format!("only {ready} of {} nodes are ready", nodes.len()));
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
}
