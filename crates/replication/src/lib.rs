//! A Raft replicated log, stored on the disks of a small group of machines.
//!
//! ```text
//!  messages --step--> +---------+ --Ready--> entries and state to persist
//!  commands -propose->| Replica |            messages to send
//!  clock ----tick---> +---------+            committed entries to apply
//!                          ^--on_persisted-- driver, after one sync
//! ```
//!
//! The algorithm is Raft with pre-vote, leader leases, learners, leadership transfer
//! and single-server membership changes. It differs from the Raft paper in two ways:
//!
//! - A replica is identified by the **incarnation of its disk** ([`ReplicaId`]), which
//!   is generated when the data folder is empty. A machine that lost its disk is a new
//!   replica: it neither votes nor counts towards a quorum under its previous id.
//! - There are no snapshots. The state machine holds jobs of bounded lifetime, so the
//!   log is trimmed at its front ([`Replica::trim`]), and a replica that lags behind
//!   the first retained entry receives the base of the log and all entries after it.
//!
//! The protocol is deterministic: it uses no socket, no clock and no unseeded random
//! numbers.

mod election;
mod entry_index;
mod leadership_transfer;
mod lease;
mod log_file;
mod log_rewrite;
mod log_store;
mod machine_report;
mod member_activity;
mod membership_planner;
mod message;
mod progress;
mod queries;
mod records;
mod release;
mod replica;
mod replicate;

pub use entry_index::EntryReader;
pub use log_file::{LogFile, LogFileError, Recovered};
pub use log_store::LogStore;
pub use machine_report::MachineReport;
pub use membership_planner::{voters_to_tolerate, MembershipPlanner};
pub use message::{Outgoing, ReplicaId};
pub use progress::{Progress, MAX_IN_FLIGHT_BYTES};
pub use release::ReleaseObstacle;
pub use replica::{Ready, Replica, ReplicaSettings, Role, Timing};
