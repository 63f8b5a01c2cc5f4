//! Directory of engines by pool.

use peatgrade_types::EngineId;
use std::collections::BTreeMap;

/// An engine as described by the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Identifier derived from the name.
    pub id: EngineId,
    /// Name in the machine list.
    pub name: String,
    /// Pool that the engine belongs to.
    pub pool: String,
    /// Zone that the engine runs in.
    pub zone: String,
    /// IP address and port.
    pub address: String,
    /// Requests that it can serve concurrently without significant slowdown.
    pub slots: u32,
    /// Whether the machine list marks it as draining.
    pub draining: bool,
}

/// All engines of the region.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: BTreeMap<EngineId, EngineInfo>,
}

impl EngineDirectory {
    /// Replaces all engines.
    pub fn replace(&mut self, engines: impl IntoIterator<Item = EngineInfo>) {
        self.engines = engines.into_iter().map(|info| (info.id, info)).collect();
    }

    /// The engine with an identifier.
    pub fn get(&self, id: EngineId) -> Option<&EngineInfo> {
        self.engines.get(&id)
    }

    /// All engines, ordered by identifier.
    pub fn all(&self) -> impl Iterator<Item = &EngineInfo> {
        self.engines.values()
    }

    /// The engines of a pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a EngineInfo> {
        self.engines.values().filter(move |info| info.pool == pool)
    }
}
