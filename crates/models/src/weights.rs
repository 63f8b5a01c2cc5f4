//! The rate-limited weight store.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Versions by model, and the link over which they are read.
#[derive(Debug, Default)]
pub struct WeightStore {
    versions: BTreeMap<String, u64>,
    links: BTreeMap<String, Time>,
}

/// Copies that the store serves at once without slowing down.
const STORE_STREAMS: usize = 2;

impl WeightStore {
    /// Takes in a version.
    pub fn publish(&mut self, model: &str, version: u64) {
        let known = self.versions.entry(model.to_string()).or_default();
        *known = (*known).max(version);
    }

    /// Newest version of a model; 0 is always there.
    pub fn newest(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Whether any model has this version.
    pub fn has(&self, version: u64) -> bool {
        version == 0 || self.versions.values().any(|newest| *newest >= version)
    }

    /// Reserves the store's own links; returns when the copy ends. Copies
    /// beyond what it serves at once wait for their turn.
    pub fn reserve_store(&mut self, now: Time, length: Duration) -> Time {
        let names: Vec<String> = (0..STORE_STREAMS).map(|n| format!("store-{n}")).collect();
        let freest = names
            .iter()
            .min_by_key(|name| self.links.get(*name).copied().unwrap_or_default())
            .cloned()
            .unwrap_or_default();
        self.reserve(now, &freest, length)
    }

    /// Reserves one engine's outgoing link.
    pub fn reserve(&mut self, now: Time, link: &str, length: Duration) -> Time {
        let free = self.links.entry(link.to_string()).or_default();
        *free = (*free).max(now) + length;
        *free
    }
}
