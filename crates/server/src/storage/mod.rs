//! The storage process: a replica of the job log, and, while it leads, the
//! work for all open jobs.
//!
//! ```text
//!  replicas --messages--> Replica --committed--> JobStore
//!  gateways --job calls-> JobCalls --proposals--> Replica
//!  leader:  JobStore --> Dispatcher <--> engines
//!           whole texts --> Forwarder <--> scorers
//!           versions --> VersionCoordinator <--> engines
//!           registrations, WrongReplica --> Group --> changes of members
//! ```
//!
//! The main task handles what has arrived, then persists once for all of it.

mod applied_commands;
mod calls;
mod crash_file;
mod crashes;
mod ends;
mod ends_file;
mod engines;
mod housekeeping;
mod inputs;
mod lateness;
mod leader_work;
mod leadership;
mod member_news;
mod memory;
mod observations;
mod opening;
mod pressure;
mod process;
mod publishing;
pub(crate) mod registration;
mod replication;
mod retirement;
mod scores;
mod ticks;
mod traffic;
mod updates;
mod usage;
mod work_shares;

pub use process::run_storage;
