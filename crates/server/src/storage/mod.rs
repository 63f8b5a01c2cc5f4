//! The storage process: a replica of the job log, and, while it leads, the
//! work for all open jobs.
//!
//! ```text
//!  replicas --messages--> Replica --committed--> JobStore
//!  gateways --job calls-> JobCalls --proposals--> Replica
//!  leader:  JobStore --> Dispatcher <--> engines
//!           whole texts --> Forwarder <--> scorers
//!           versions --> VersionCoordinator <--> engines
//!           registrations, WrongReplica --> MembershipPlanner --> changes of members
//! ```
//!
//! The main task handles what has arrived, then persists once for all of it.

mod applied_commands;
mod crash_file;
mod crashes;
mod end_request_file;
mod end_requests;
mod engine_exchanges;
mod housekeeping;
mod job_calls;
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
mod store_updates;
mod tick_interval;
mod traffic;
mod usage;
mod work_times;

pub use process::run_storage;
