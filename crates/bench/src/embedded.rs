//! A whole deployment in one process: a thread for the platform and one for
//! each node, all on loopback sockets.

use futures_channel::mpsc::{unbounded, UnboundedSender};
use peatgrade_emulator::Machine;
use peatgrade_models::{Deployment, Fault, Platform};
use peatgrade_runtime::block_on;
use peatgrade_schema::settings::NodeSettings;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;

use crate::ports::AddressPlan;

/// A part of the deployment that runs in its own thread.
struct Part {
    stop: UnboundedSender<()>,
    thread: JoinHandle<Result<(), String>>,
}

/// A running deployment.
pub struct Embedded {
    /// Address of the platform's store.
    pub platform: String,
    /// HTTP addresses of the nodes.
    pub nodes: Vec<String>,
    /// Addresses of the platform's machines, by name.
    machines: std::collections::BTreeMap<String, String>,
    node_parts: NodeThreads,
    platform_part: Part,
    data: PathBuf,
}

/// The platform's models at the addresses of a plan.
pub fn platform_of(deployment: &Deployment, plan: &AddressPlan, seed: u64) -> Platform {
    let mut platform = Platform::new(deployment, seed, |name| plan.machines[name].clone());
    for node in &plan.nodes {
        platform.list_node(&node.name, &node.zone, &node.peer_address);
    }
    platform
}

fn start_platform(
    deployment: &Deployment,
    plan: &AddressPlan,
    machines: Vec<Machine>,
    faults: Vec<Fault>,
    seed: u64,
) -> std::io::Result<Part> {
    let platform = platform_of(deployment, plan, seed);
    let (stop, stopped) = unbounded();
    let run = move || match block_on(peatgrade_emulator::run(platform, machines, faults, stopped)) {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) | Err(error) => Err(error.to_string()),
    };
    let thread = std::thread::Builder::new()
        .name("platform".into())
        .spawn(run)?;
    Ok(Part { stop, thread })
}

fn start_node(settings: NodeSettings) -> std::io::Result<Part> {
    let (stop, stopped) = unbounded();
    let name = settings.name.clone();
    let run = move || match block_on(peatgrade_node::run(settings, stopped)) {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let thread = std::thread::Builder::new().name(name).spawn(run)?;
    Ok(Part { stop, thread })
}

/// Nodes of this process, a thread each.
pub struct NodeThreads {
    parts: Vec<Part>,
}

impl NodeThreads {
    /// Starts a thread for each node.
    pub fn start(settings: Vec<NodeSettings>) -> std::io::Result<Self> {
        let parts: std::io::Result<Vec<Part>> = settings.into_iter().map(start_node).collect();
        Ok(Self { parts: parts? })
    }

    /// Drains and stops all at once; returns what went wrong.
    pub fn stop(self) -> Vec<String> {
        for part in &self.parts {
            let _ = part.stop.unbounded_send(());
        }
        let ended = self.parts.into_iter().map(|part| join(part.thread));
        ended.filter_map(Result::err).collect()
    }
}

impl Embedded {
    /// Starts everything. Bulk data goes to a temporary folder.
    pub fn start(deployment: &Deployment, faults: Vec<Fault>, seed: u64) -> std::io::Result<Self> {
        let data = std::env::temp_dir().join(format!("peatgrade-dev-{}", std::process::id()));
        let (plan, machines) = AddressPlan::ephemeral(deployment, &data)?;
        let platform_part = start_platform(deployment, &plan, machines, faults, seed)?;
        let platform = plan.machines[peatgrade_models::platform::STORE].clone();
        let nodes = plan
            .nodes
            .iter()
            .map(|node| node.http_address.clone())
            .collect();
        Ok(Self {
            platform,
            nodes,
            machines: plan.machines,
            node_parts: NodeThreads::start(plan.nodes)?,
            platform_part,
            data,
        })
    }

    /// Address of a machine whose name holds a word, in a zone.
    pub fn machine_address(&self, word: &str, zone: &str) -> Option<String> {
        let mut machines = self.machines.iter();
        let found = machines.find(|(name, _)| name.contains(word) && name.contains(zone));
        found.map(|(_, address)| address.clone())
    }

    /// Folder of the bulk data.
    pub fn data(&self) -> &Path {
        &self.data
    }

    /// Drains and stops every node at once, then the platform. Returns what
    /// went wrong.
    pub fn stop(self) -> Vec<String> {
        let mut errors = self.node_parts.stop();
        let _ = self.platform_part.stop.unbounded_send(());
        errors.extend(join(self.platform_part.thread).err());
        let _ = std::fs::remove_dir_all(&self.data);
        errors
    }
}

fn join(thread: JoinHandle<Result<(), String>>) -> Result<(), String> {
    thread.join().map_err(|_| "a thread panicked".to_string())?
}
