//! `peatgrade emulate`: the stand-in platform as a process of its own.

use clap::Args;
use peatgrade_bench::embedded::platform_of;
use peatgrade_bench::ports::AddressPlan;
use peatgrade_models::{Deployment, Fault};
use peatgrade_runtime::{block_on, logging};
use serde::Deserialize;
use std::path::{Path, PathBuf};

use crate::signals::stop_signals;

/// What the platform serves.
#[derive(Debug, Args)]
pub struct EmulateArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// First of the ports, as given to `peatgrade plan`
    #[arg(long, default_value_t = 17_000)]
    port: u16,
    /// TOML file with faults on a timeline
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// Start without templates and tenants; apply them with peatgradectl
    #[arg(long)]
    empty: bool,
    /// Seed of the models' random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Deserialize)]
struct FaultFile {
    #[serde(default)]
    faults: Vec<Fault>,
}

/// Reads a fault file.
pub fn read_faults(path: Option<&Path>) -> Result<Vec<Fault>, String> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("read {}: {e}", path.display()))?;
    let file: FaultFile =
        toml::from_str(&text).map_err(|e| format!("parse {}: {e}", path.display()))?;
    Ok(file.faults)
}

/// Runs the platform until a signal stops it.
pub fn run(args: &EmulateArgs) -> Result<(), String> {
    logging::init("info", "platform");
    let mut deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    if args.empty {
        deployment.documents.clear();
    }
    let faults = read_faults(args.faults.as_deref())?;
    let plan =
        AddressPlan::fixed(&deployment, args.port, Path::new("")).map_err(|e| e.to_string())?;
    let machines = plan.listen().map_err(|error| format!("listen: {error}"))?;
    let platform = platform_of(&deployment, &plan, args.seed);
    let stop = stop_signals().map_err(|error| format!("install signal handler: {error}"))?;
    log::info!("step=start machines={}", machines.len());
    let ended = block_on(peatgrade_emulator::run(platform, machines, faults, stop));
    let ended = ended.map_err(|error| format!("start event loop: {error}"))?;
    ended.map_err(|error| format!("serve: {error}"))
}
