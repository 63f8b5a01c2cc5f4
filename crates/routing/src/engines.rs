//! The back ends that exist, by pool.

use peatgrade_types::EngineId;
use std::collections::BTreeMap;

/// A back end as the machine list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Identity derived from its name.
    pub id: EngineId,
    /// Name in the machine list.
    pub name: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Zone it runs in.
    pub zone: String,
    /// IP and port.
    pub address: String,
    /// Requests it serves at once without slowing down much.
    pub slots: u32,
    /// Whether the machine list says that it leaves.
    pub draining: bool,
}

/// Every back end of the region.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: BTreeMap<EngineId, EngineInfo>,
}

impl EngineDirectory {
    /// Replaces the list.
    pub fn replace(&mut self, engines: impl IntoIterator<Item = EngineInfo>) {
        self.engines = engines.into_iter().map(|info| (info.id, info)).collect();
    }

    /// One engine.
    pub fn get(&self, id: EngineId) -> Option<&EngineInfo> {
        self.engines.get(&id)
    }

    /// Every engine, in the order of identities.
    pub fn all(&self) -> impl Iterator<Item = &EngineInfo> {
        self.engines.values()
    }

    /// The engines of a pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a EngineInfo> {
        self.engines.values().filter(move |info| info.pool == pool)
    }
}
