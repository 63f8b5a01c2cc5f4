//! A node as one state machine: `handle(now, event) -> actions`.
//!
//! ```text
//!            Event                                      Action
//!  caller ----Call--->  +----------------------------+ ---Respond---> caller
//!  peer ------Peer--->  | gateway      trainer api   | ---Send------> peer
//!  back end --Http--->  | coordinator  rollouts      | ---Http------> engine, scorer,
//!  disk ------Disk--->  | owner  bulletin  reader    |                platform
//!  clock -----Tick--->  | keeper registers blobs     | ---Disk------> disk
//!                       +----------------------------+
//! ```
//!
//! No socket, clock, thread or unseeded random number is used here. The node
//! process, the simulation and the fuzzer run this same code; they differ in
//! what carries out the actions. Roles are taken up at run time: any node is a
//! gateway, and leases and rendezvous hashing say which nodes also read the
//! configuration, own engines, coordinate trainers or keep the roster.

mod acceptance;
mod blobs;
mod bulletin;
mod context;
mod coordinator;
mod core;
mod distribution;
mod event;
mod exchange;
mod gateway;
mod generation;
mod keeper;
mod leases;
mod metrics;
mod mutation;
mod owner;
mod problem;
mod reader;
mod readiness;
mod registers;
mod resync;
mod rollout;
mod status;
mod trainer_api;

pub use crate::core::NodeCore;
pub use context::CoreSettings;
pub use event::{Action, CallId, DiskId, Event, HttpId};
pub use mutation::Mutation;
pub use problem::{outcome_header, Outcome, OUTCOME_HEADER};
pub use status::NodeStatus;
