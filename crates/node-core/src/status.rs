//! What a node says of itself, at `/status` and to the embedded run.

use serde::{Deserialize, Serialize};

/// One trainer as its coordinator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrainerStatus {
    /// Tenant that the trainer learns from.
    pub tenant: String,
    /// Lease epoch of the coordinator.
    pub epoch: u64,
    /// Last committed step.
    pub committed: u64,
    /// Next step to be sealed.
    pub next_to_seal: u64,
    /// Samples being generated.
    pub running: usize,
    /// Groups that wait for a step.
    pub complete_groups: usize,
    /// Samples dropped because they grew too old.
    pub dropped_stale: u64,
    /// Tokens of samples that were dropped or started over.
    pub wasted_tokens: u64,
    /// Weight version being rolled out or in use.
    pub weights: u64,
}

/// One engine as this node sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Name in the machine list.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Zone.
    pub zone: String,
    /// Requests waiting and running when last reported.
    pub load: u32,
    /// Places.
    pub slots: u32,
    /// Weight version in use.
    pub weights: u64,
    /// Age of the report in milliseconds; none if there is no report.
    pub age_ms: Option<u64>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Configured name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Number of the configuration in force.
    pub config: u64,
    /// Number of the roster.
    pub roster: u64,
    /// Reachable members of the region, itself included.
    pub members: usize,
    /// Leases held.
    pub leases: Vec<String>,
    /// Engines polled by this node.
    pub engines_owned: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Samples in work.
    pub rollouts: usize,
    /// Register values held.
    pub register_values: usize,
    /// Bytes of register state held.
    pub register_bytes: usize,
    /// Tenants in force.
    pub tenants: Vec<String>,
    /// Engines known.
    pub engines: Vec<EngineStatus>,
    /// Trainers coordinated here.
    pub trainers: Vec<TrainerStatus>,
}
