//! The platform's list of machines.

use peatgrade_routing::EngineInfo;
use peatgrade_types::EngineId;
use serde::{Deserialize, Serialize};

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A node of this system.
    Node,
    /// A model engine.
    Model,
    /// An application engine.
    App,
    /// A scorer of samples.
    Scorer,
    /// The weight store.
    Weights,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Unique name.
    pub name: String,
    /// What runs on it.
    pub kind: MachineKind,
    /// Engine pool or scorer name; empty for nodes.
    #[serde(default)]
    pub pool: String,
    /// Zone.
    pub zone: String,
    /// IP and port: peer socket of a node, HTTP socket of the others.
    pub address: String,
    /// Requests an engine serves at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

impl Machine {
    /// The machine as an engine, if it is one.
    pub fn engine(&self) -> Option<EngineInfo> {
        let is_engine = matches!(self.kind, MachineKind::Model | MachineKind::App);
        is_engine.then(|| EngineInfo {
            id: EngineId::from_name(&self.name),
            name: self.name.clone(),
            pool: self.pool.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            slots: self.slots,
            draining: self.leaving,
        })
    }
}
