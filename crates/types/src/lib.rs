//! Identifiers, time, HTTP messages and hashing shared by all crates.
//!
//! This crate neither reads a clock nor generates random numbers: callers pass
//! the time, and hashes depend on their input only, so that simulations are
//! deterministic.

mod hash;
pub mod http;
mod identity;
mod time;

pub use hash::{hash_bytes, hash_pair, rendezvous_order, rendezvous_owner};
pub use identity::{EngineId, Generation, Identity, NodeId};
pub use time::{Duration, Time};
