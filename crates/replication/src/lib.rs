//! A replicated log on the disks of a small group of machines.
//!
//! ```text
//!  messages --step--> +---------+ --Ready--> entries and state to persist
//!  commands -propose->| Replica |            messages to send
//!  clock ----tick---> +---------+            committed entries to apply
//!                          ^---persisted--- driver, after one sync
//! ```
//!
//! The algorithm is Raft with pre-votes, leader leases, learners and changes of
//! one voter at a time. What differs from the usual description:
//!
//! - A replica is named by the **incarnation of its disk** ([`ReplicaId`]),
//!   drawn when the data folder is empty. A machine that lost its disk is a new
//!   replica and never votes or counts as its former self.
//! - There are no snapshots. The state is a set of jobs with a bounded life, so
//!   a log is trimmed at its front ([`Replica::trim`]) and a replica that is too
//!   far behind gets the base and all entries after it.
//!
//! No socket, clock or unseeded random number is used here.

mod election;
mod entry_index;
mod leadership_transfer;
mod lease;
mod log_file;
mod log_rewrite;
mod log_store;
mod membership_planner;
mod message;
mod progress;
mod queries;
mod records;
mod replica;
mod replicate;

pub use entry_index::EntryReader;
pub use log_file::{LogFile, LogFileError, Recovered};
pub use log_store::LogStore;
pub use membership_planner::{voters_to_tolerate, MachineReport, MembershipPlanner};
pub use message::{Outgoing, ReplicaId};
pub use progress::{Progress, MAX_IN_FLIGHT_BYTES};
pub use replica::{Ready, Replica, ReplicaSettings, Role, Timing};
