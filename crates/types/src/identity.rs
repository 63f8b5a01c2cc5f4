//! Identifiers of nodes and engines.

use crate::hash::hash_bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifier of a node: the low 32 bits of the hash of its configured name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct NodeId(pub u32);

impl NodeId {
    /// Derives the identifier from the configured name.
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

/// Identifier of an engine: the low 32 bits of the hash of its name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct EngineId(pub u32);

impl EngineId {
    /// Derives the identifier from the name in the machine list.
    pub fn from_name(name: &str) -> Self {
        Self(hash_bytes(name.as_bytes()) as u32)
    }
}

/// Start time of a process in milliseconds. A restarted node has a higher
/// generation; promises that it made in an earlier generation are lost.
pub type Generation = u64;

/// One run of a node process; its in-memory state is bound to this identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Identity {
    /// Identifier of the node.
    pub node: NodeId,
    /// Start time of this run.
    pub generation: Generation,
}
