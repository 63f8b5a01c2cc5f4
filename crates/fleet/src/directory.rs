//! Engines by instance, as the discovery list and own experience show them.

use peatgrade_ports::{EngineRecord, Instance, StoreEvent, StoreObject};
use peatgrade_types::Time;
use std::collections::BTreeMap;

use crate::experience::Experience;

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// What the list says.
    pub record: EngineRecord,
    /// What was seen.
    pub experience: Experience,
    /// Models whose version is being changed; items for them would be refused.
    pub loading: Vec<String>,
}

impl EngineState {
    /// Version of a model, as far as known. Versions never fall within a life.
    pub fn version(&self, model: &str) -> u64 {
        self.record.models.get(model).copied().unwrap_or(0)
    }
}

/// All engines known.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: BTreeMap<Instance, EngineState>,
    /// When the list was last confirmed.
    pub confirmed: Time,
}

impl EngineDirectory {
    /// Replaces the list; experience of engines that stay is kept.
    pub fn replace(&mut self, now: Time, records: Vec<EngineRecord>) {
        let mut old = std::mem::take(&mut self.engines);
        for record in records {
            let state = old.remove(&record.instance);
            self.engines
                .insert(record.instance.clone(), state.unwrap_or_default());
            self.upsert(record);
        }
        self.confirmed = now;
    }

    /// Takes a change of the list; the instance, if it is gone.
    pub fn apply(&mut self, event: StoreEvent) -> Option<Instance> {
        match event.object {
            Some(StoreObject::Engine(record)) => {
                self.upsert(record);
                None
            }
            Some(_) => None,
            None => {
                let instance = Instance(event.name);
                self.engines.remove(&instance).map(|_| instance)
            }
        }
    }

    fn upsert(&mut self, mut record: EngineRecord) {
        let state = self.engines.entry(record.instance.clone()).or_default();
        // The list lags behind what answers and reports have shown.
        for (model, seen) in &state.record.models {
            let listed = record.models.entry(model.clone()).or_insert(0);
            *listed = (*listed).max(*seen);
        }
        record.draining |= state.record.draining;
        state.record = record;
    }

    /// Takes note of a version that an engine has shown.
    pub fn saw_version(&mut self, instance: &Instance, model: &str, version: u64) {
        if let Some(state) = self.engines.get_mut(instance) {
            let known = state.record.models.entry(model.to_string()).or_insert(0);
            *known = (*known).max(version);
        }
    }

    /// An engine.
    pub fn get(&self, instance: &Instance) -> Option<&EngineState> {
        self.engines.get(instance)
    }

    /// An engine, to take note of something.
    pub fn get_mut(&mut self, instance: &Instance) -> Option<&mut EngineState> {
        self.engines.get_mut(instance)
    }

    /// Engines of a service that take new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EngineState> {
        let all = self.engines.values();
        all.filter(move |state| state.record.service == service && !state.record.draining)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}
