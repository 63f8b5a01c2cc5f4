//! Index of engines and slot counts per service, updated with the list. It avoids scans of
//! the whole list, which may have thousands of engines.

use peatgrade_ports::{EngineRecord, Instance};
use std::collections::BTreeMap;

/// Properties of one engine that the index counts.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexEntry {
    slots: u32,
    accepts_requests: bool,
    models: Vec<String>,
}

impl IndexEntry {
    fn of(record: &EngineRecord) -> Self {
        Self {
            slots: record.slots,
            accepts_requests: !record.draining,
            models: record.models.keys().cloned().collect(),
        }
    }
}

/// Engines and counters of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEntry {
    entries: BTreeMap<Instance, IndexEntry>,
    /// Number of engines that accept new requests, by their slots and whether they hold a
    /// model.
    by_slots: BTreeMap<(u32, bool), usize>,
    /// Number of engines that accept new requests, by model.
    by_model: BTreeMap<String, usize>,
}

impl ServiceEntry {
    fn add(&mut self, engine: &Instance, entry: IndexEntry) {
        self.remove(engine);
        if entry.accepts_requests {
            let key = (entry.slots, !entry.models.is_empty());
            *self.by_slots.entry(key).or_insert(0) += 1;
            for model in &entry.models {
                *self.by_model.entry(model.clone()).or_insert(0) += 1;
            }
        }
        self.entries.insert(engine.clone(), entry);
    }

    fn remove(&mut self, engine: &Instance) {
        let Some(entry) = self.entries.remove(engine) else {
            return;
        };
        if !entry.accepts_requests {
            return;
        }
        decrement(&mut self.by_slots, &(entry.slots, !entry.models.is_empty()));
        for model in &entry.models {
            decrement(&mut self.by_model, model);
        }
    }
}

/// Decrements a counter and removes it at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Index of the engines of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    services: BTreeMap<String, ServiceEntry>,
}

impl ServiceIndex {
    /// Adds or updates an engine; `previous_service` is the service that it had.
    pub fn put(&mut self, record: &EngineRecord, previous_service: Option<&str>) {
        if let Some(service) = previous_service.filter(|service| *service != record.service) {
            self.remove(service, &record.instance);
        }
        let entry = IndexEntry::of(record);
        let known = self.services.get(&record.service);
        if known.and_then(|known| known.entries.get(&record.instance)) == Some(&entry) {
            return;
        }
        let engines = self.services.entry(record.service.clone()).or_default();
        engines.add(&record.instance, entry);
    }

    /// Removes an engine from a service.
    pub fn remove(&mut self, service: &str, engine: &Instance) {
        let Some(engines) = self.services.get_mut(service) else {
            return;
        };
        engines.remove(engine);
        if engines.entries.is_empty() {
            self.services.remove(service);
        }
    }

    /// Names of services that have engines.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// All engines of a service, including draining ones.
    pub fn engines(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let engines = self.services.get(service).into_iter();
        engines.flat_map(|engines| engines.entries.keys())
    }

    /// Engines of a service that accept new requests, as tuples of slots, whether they hold a
    /// model, and their number.
    pub fn by_slots(&self, service: &str) -> impl Iterator<Item = (u32, bool, usize)> + '_ {
        let engines = self.services.get(service).into_iter();
        let counts = engines.flat_map(|engines| &engines.by_slots);
        counts.map(|((slots, has_models), count)| (*slots, *has_models, *count))
    }

    /// Number of engines of a service that accept new requests and hold a model.
    pub fn holding(&self, service: &str, model: &str) -> usize {
        let engines = self.services.get(service);
        let count = engines.and_then(|engines| engines.by_model.get(model));
        count.copied().unwrap_or(0)
    }
}
