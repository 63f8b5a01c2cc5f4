//! Addresses for a deployment on one machine.

use peatgrade_emulator::Machine;
use peatgrade_models::platform::{machines_of, STORE};
use peatgrade_models::Deployment;
use peatgrade_schema::settings::NodeSettings;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;

/// Addresses of everything in a deployment.
pub struct AddressPlan {
    /// Address of each machine of the platform, by name.
    pub machines: BTreeMap<String, String>,
    /// Settings of each node.
    pub nodes: Vec<NodeSettings>,
}

fn names(deployment: &Deployment) -> Vec<String> {
    let machines = machines_of(deployment)
        .into_iter()
        .map(|machine| machine.name);
    std::iter::once(STORE.to_string()).chain(machines).collect()
}

fn node_settings(
    deployment: &Deployment,
    data: &Path,
    platform: &str,
    mut next: impl FnMut() -> std::io::Result<String>,
) -> std::io::Result<Vec<NodeSettings>> {
    let mut nodes = Vec::new();
    for (name, zone, bulk) in deployment.nodes() {
        let folder = data.join(&name).display().to_string();
        nodes.push(NodeSettings {
            region: deployment.region.clone(),
            zone,
            http_address: next()?,
            peer_address: next()?,
            platform_address: platform.to_string(),
            data_folder: bulk.then_some(folder),
            data_limit_bytes: 1 << 30,
            drain_limit_ms: 30_000,
            seeds: Vec::new(),
            log_level: "info".into(),
            name,
        });
    }
    let seeds = deployment.seed_nodes();
    let listed = nodes.iter().filter(|node| seeds.contains(&node.name));
    let seeds: Vec<String> = listed
        .map(|node| format!("{}={}", node.name, node.peer_address))
        .collect();
    for node in &mut nodes {
        node.seeds.clone_from(&seeds);
    }
    Ok(nodes)
}

impl AddressPlan {
    /// Consecutive ports from `first` on.
    pub fn fixed(deployment: &Deployment, first: u16, data: &Path) -> std::io::Result<Self> {
        let mut port = first;
        let mut next = || {
            let address = format!("127.0.0.1:{port}");
            port += 1;
            address
        };
        let machines: BTreeMap<String, String> = names(deployment)
            .into_iter()
            .map(|name| (name, next()))
            .collect();
        let platform = machines[STORE].clone();
        let nodes = node_settings(deployment, data, &platform, || Ok(next()))?;
        Ok(Self { machines, nodes })
    }

    /// Ports that the system picks, with the platform's listeners open.
    pub fn ephemeral(
        deployment: &Deployment,
        data: &Path,
    ) -> std::io::Result<(Self, Vec<Machine>)> {
        let mut machines = BTreeMap::new();
        let mut listeners = Vec::new();
        for name in names(deployment) {
            let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            listener.set_nonblocking(true)?;
            machines.insert(name.clone(), listener.local_addr()?.to_string());
            listeners.push(Machine { name, listener });
        }
        let platform = machines[STORE].clone();
        // Held until all are picked, so that no two are the same.
        let mut held = Vec::new();
        let nodes = node_settings(deployment, data, &platform, || {
            let (address, sockets) = free_port()?;
            held.push(sockets);
            Ok(address)
        })?;
        Ok((Self { machines, nodes }, listeners))
    }

    /// Opens the platform's listeners of a fixed plan.
    pub fn listen(&self) -> std::io::Result<Vec<Machine>> {
        let mut listeners = Vec::new();
        for (name, address) in &self.machines {
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            let name = name.clone();
            listeners.push(Machine { name, listener });
        }
        Ok(listeners)
    }
}

/// A port that is free for TCP and UDP.
fn free_port() -> std::io::Result<(String, (TcpListener, UdpSocket))> {
    const TRIES: usize = 50;
    for _ in 0..TRIES {
        let tcp = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = tcp.local_addr()?;
        if let Ok(udp) = UdpSocket::bind(address) {
            return Ok((address.to_string(), (tcp, udp)));
        }
    }
    Err(std::io::Error::other("no port is free for TCP and UDP"))
}
