//! Whole deployments on a virtual clock.
//!
//! ```text
//!  seed + deployment + fault plan
//!        |
//!   Queue (time, order) --> World: nodes (NodeCore), Platform, Workload,
//!        ^                         trainers, operators, network
//!        +---- deliveries, timers ----+        |
//!                                              v
//!                              Oracle, counters, trace hash
//! ```
//!
//! One seed always gives the same run, to the byte of its trace. Nodes run the
//! same code as in a real process; only sockets, clock and disk are replaced.

mod config_watch;
mod network;
mod operators;
mod plan;
mod process;
mod queue;
mod report;
mod world;

pub use network::NetworkSettings;
pub use plan::{FaultPlan, PlanSettings, Step, StepKind};
pub use report::{Latencies, RunReport};
pub use world::{RunSettings, World};

use peatgrade_models::Deployment;

/// Runs one deployment from a seed and returns what came of it.
pub fn run(deployment: &Deployment, settings: &RunSettings, plan: &FaultPlan) -> RunReport {
    let mut world = World::new(deployment, settings.clone(), plan.clone());
    world.run();
    world.report()
}
