//! Identities of nodes and engines.

use crate::hash::hash_bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A node, named by the low 32 bits of the hash of its configured name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The identity of the node with this configured name.
    pub fn from_name(name: &str) -> Self {
        Self(hash_bytes(name.as_bytes()) as u32)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// A back end, named by the low 32 bits of the hash of its name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct EngineId(pub u32);

impl EngineId {
    /// The identity of the engine with this name in the machine list.
    pub fn from_name(name: &str) -> Self {
        Self(hash_bytes(name.as_bytes()) as u32)
    }
}

/// Boot time of a process in milliseconds. A node that restarts has a higher
/// generation, and what it promised under the lower one is lost.
pub type Generation = u64;

/// One life of a node: what it keeps in memory belongs to this pair.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Identity {
    /// Which node.
    pub node: NodeId,
    /// Which life of the node.
    pub generation: Generation,
}
