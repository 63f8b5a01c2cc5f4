//! The storage process: a replica of the job log that, while it is the leader, also runs
//! all open jobs.
//!
//! ```text
//!  replicas --messages--> Replica --committed--> JobStore
//!  gateways --job calls-> PendingCalls --proposals--> Replica
//!  leader:  JobStore --> Dispatcher <--> engines
//!           completions --> Forwarder <--> reward models
//!           versions --> VersionCoordinator <--> engines
//!           registrations, WrongReplica --> MembershipPlanner --> membership changes
//! ```
//!
//! The main task handles inputs in batches and persists the log once per batch.

mod applied_commands;
pub(crate) mod bootstrap;
mod configuration_log;
mod crash_file;
mod crashes;
mod end_request_file;
mod end_requests;
mod engine_exchanges;
mod housekeeping;
mod identified_machines;
mod job_calls;
mod job_memory;
mod leader_session;
mod leadership;
mod loop_inputs;
mod loop_latency;
mod memory;
mod observations;
mod peer_mirror;
mod pressure;
mod process;
mod publishing;
pub(crate) mod registration;
mod replication;
mod retirement;
mod reward_calls;
mod startup;
mod stopping;
mod store_updates;
mod tick_interval;
mod traffic;
mod usage;
mod work_times;

pub use process::run_storage;
