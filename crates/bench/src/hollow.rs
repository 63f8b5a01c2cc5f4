//! Many nodes in one process, each the real server on its own sockets, beside
//! real node processes.

use peatgrade_config::{load_settings, validate_settings};
use peatgrade_models::Deployment;
use peatgrade_schema::settings::NodeSettings;
use serde::Serialize;
use std::path::{Path, PathBuf};

use crate::embedded::NodeThreads;
use crate::processor_time::{of_threads, resident_bytes};

/// What the hollow nodes of a process spent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HollowReport {
    /// Nodes in this process.
    pub nodes: usize,
    /// Nodes that said they were ready at the end.
    pub ready: usize,
    /// Seconds measured, after the nodes had settled.
    pub seconds: f64,
    /// Mean share of a core of a node.
    pub core_share: f64,
    /// The largest share of a core of a node.
    pub worst_core_share: f64,
    /// Resident memory for each node, in bytes.
    pub memory_per_node: f64,
    /// Members that the nodes see, least and most.
    pub members: (usize, usize),
    /// Configuration numbers in force, least and most.
    pub config: (u64, u64),
}

/// Settings of the nodes in a folder that `peatgrade plan` wrote, short names
/// first, without the first `skip`.
pub fn read_settings(folder: &Path, skip: usize) -> Result<Vec<NodeSettings>, String> {
    let entries =
        std::fs::read_dir(folder).map_err(|e| format!("read {}: {e}", folder.display()))?;
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    // As `plan` gives them out: node-zone0-2 before node-zone0-10.
    files.sort_by_key(|path| (path.as_os_str().len(), path.clone()));
    let read = |path: &PathBuf| {
        let table = load_settings(path).map_err(|error| error.to_string())?;
        validate_settings(table).map_err(|error| format!("{}: {error}", path.display()))
    };
    files.iter().skip(skip).map(read).collect()
}

/// Writes a deployment so that `plan` and `emulate` can read it.
pub fn write_deployment(deployment: &Deployment, folder: &Path) -> Result<(), String> {
    let fail = |error: &dyn std::fmt::Display| format!("write {}: {error}", folder.display());
    let write = |path: PathBuf, text: String| std::fs::write(path, text).map_err(|e| fail(&e));
    for (subfolder, kind) in [("templates", "template/"), ("tenants", "tenant/")] {
        std::fs::create_dir_all(folder.join(subfolder)).map_err(|e| fail(&e))?;
        for (key, body) in &deployment.documents {
            let Some(name) = key.strip_prefix(kind) else {
                continue;
            };
            let text = toml::to_string(body).map_err(|e| fail(&e))?;
            write(folder.join(subfolder).join(format!("{name}.toml")), text)?;
        }
    }
    let text = toml::to_string(deployment).map_err(|e| fail(&e))?;
    write(folder.join("deployment.toml"), text)
}

/// Runs nodes for some time and says what they spent.
pub fn run(
    settings: Vec<NodeSettings>,
    settle: std::time::Duration,
    length: std::time::Duration,
    statuses: impl Fn(&[String]) -> Vec<peatgrade_node_core::NodeStatus>,
) -> Result<HollowReport, String> {
    let addresses: Vec<String> = settings
        .iter()
        .map(|node| node.http_address.clone())
        .collect();
    let names: Vec<String> = settings.iter().map(|node| node.name.clone()).collect();
    let running = NodeThreads::start(settings).map_err(|error| format!("start: {error}"))?;
    std::thread::sleep(settle);
    let before = node_times(&names);
    let started = std::time::Instant::now();
    std::thread::sleep(length);
    let seconds = started.elapsed().as_secs_f64();
    let after = node_times(&names);
    let shares: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(b, a)| (a - b) / seconds)
        .collect();
    let seen = statuses(&addresses);
    let members = || seen.iter().map(|status| status.members);
    let config = || seen.iter().map(|status| status.config);
    let report = HollowReport {
        nodes: names.len(),
        ready: seen.iter().filter(|status| status.ready).count(),
        seconds,
        core_share: shares.iter().sum::<f64>() / shares.len().max(1) as f64,
        worst_core_share: shares.iter().copied().fold(0.0, f64::max),
        memory_per_node: resident_bytes() as f64 / names.len().max(1) as f64,
        members: (members().min().unwrap_or(0), members().max().unwrap_or(0)),
        config: (config().min().unwrap_or(0), config().max().unwrap_or(0)),
    };
    running.stop();
    Ok(report)
}

/// Processor time of each node's thread; names are cut at 15 bytes.
fn node_times(names: &[String]) -> Vec<f64> {
    const NAME_BYTES: usize = 15;
    let times = of_threads();
    let of = |name: &String| {
        let cut = &name[..name.len().min(NAME_BYTES)];
        let found = times.iter().find(|(thread, _)| thread == cut);
        found.map_or(0.0, |(_, seconds)| *seconds)
    };
    names.iter().map(of).collect()
}
