//! Identities, time and hashing that every other crate uses.
//!
//! Nothing here reads a clock or draws a random number: time is passed in and
//! hashes depend on their input only, so that a run can be repeated exactly.

mod hash;
pub mod http;
mod identity;
mod time;

pub use hash::{hash_bytes, hash_pair, rendezvous_order, rendezvous_owner};
pub use identity::{EngineId, Generation, Identity, NodeId};
pub use time::{Duration, Time};
