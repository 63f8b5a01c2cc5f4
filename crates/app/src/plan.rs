//! `peatgrade plan`: settings files for a deployment on one machine.

use clap::Args;
use peatgrade_bench::ports::AddressPlan;
use peatgrade_models::Deployment;
use std::path::PathBuf;

/// Where the deployment is and where its files go.
#[derive(Debug, Args)]
pub struct PlanArgs {
    /// Folder with deployment.toml, templates and tenants
    deployment: PathBuf,
    /// First of the ports, which are given out in a fixed order
    #[arg(long, default_value_t = 17_000)]
    port: u16,
    /// Folder for the settings files and for bulk data
    #[arg(long)]
    out: PathBuf,
}

/// Writes one settings file for each node and prints the platform's address.
pub fn run(args: &PlanArgs) -> Result<(), String> {
    let deployment = Deployment::load(&args.deployment).map_err(|error| error.to_string())?;
    let data = args.out.join("data");
    let plan = AddressPlan::fixed(&deployment, args.port, &data).map_err(|e| e.to_string())?;
    let write_error = |error: std::io::Error| format!("write {}: {error}", args.out.display());
    std::fs::create_dir_all(&args.out).map_err(write_error)?;
    for node in &plan.nodes {
        let text = toml::to_string(node).map_err(|error| error.to_string())?;
        let path = args.out.join(format!("{}.toml", node.name));
        std::fs::write(path, text).map_err(write_error)?;
        println!("node {} {}", node.name, node.http_address);
    }
    println!(
        "platform {}",
        plan.machines[peatgrade_models::platform::STORE]
    );
    Ok(())
}
