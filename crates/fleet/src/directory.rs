//! Engines by instance, as the discovery list and own experience show them.

use peatgrade_observations::PeerObservations;
use peatgrade_ports::{EngineRecord, Instance};
use peatgrade_quarantine::{Fingerprint, Quarantine, RetryScope};
use peatgrade_types::Time;
use std::collections::{BTreeSet, HashMap};

mod identity;
mod list;
mod service_index;
mod working_sets;

use crate::engine_stats::EngineStats;
use crate::incarnation::{Absence, Incarnation, PreviousIncarnation};
use service_index::ServiceIndex;
pub use working_sets::WorkingSetSize;
use working_sets::WorkingSets;

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// What the list says.
    pub record: EngineRecord,
    /// What was seen.
    pub stats: EngineStats,
    /// What others told of its present life.
    pub peer_observations: PeerObservations,
    /// Models whose version is being changed; items for them would be refused.
    pub loading_models: Vec<String>,
    /// Its entry was missing when the store came back: it counts as listed until
    /// then, since an engine that lives writes itself again.
    pub lapsed_until: Option<Time>,
    /// The life that all this is of.
    pub incarnation: Incarnation,
    /// The life before, if one is known to be over.
    pub previous: Option<PreviousIncarnation>,
    /// It was not found at its address.
    pub absence: Option<Absence>,
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
    engines: HashMap<Instance, EngineState>,
    index: ServiceIndex,
    /// Engines of which more is known than the list says: whoever used one, or heard of it
    /// from others, is found here without a look over the whole list.
    active: BTreeSet<Instance>,
    working_sets: WorkingSets,
    /// Changes of the list and of lives so far.
    changes: u64,
    /// Lives counted so far, and those that are known to be over.
    lives: u64,
    lives_ended: u64,
    /// Services that the configuration names; none before there is one.
    services: Option<BTreeSet<String>>,
    /// When the first engine that lapsed counts as gone, if one has.
    next_drop: Option<Time>,
    /// When the list was last confirmed.
    pub confirmed_at: Time,
    /// Requests under which engines crashed.
    pub quarantine: Quarantine,
}

impl EngineDirectory {
    /// A count that rises with each change of the list, of a version that an engine holds and
    /// with each end of a life.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes note of a version that an engine has shown.
    pub fn record_version(&mut self, instance: &Instance, model: &str, version: u64) {
        let Some(state) = self.engines.get_mut(instance) else {
            return;
        };
        if let Some(known) = state.record.models.get_mut(model) {
            self.changes += u64::from(version > *known);
            *known = (*known).max(version);
            return;
        }
        self.changes += 1;
        state.record.models.insert(model.to_string(), version);
        self.index.put(&state.record, Some(&state.record.service));
    }

    /// An engine.
    pub fn get(&self, instance: &Instance) -> Option<&EngineState> {
        self.engines.get(instance)
    }

    /// An engine, to take note of something. What the list says of it comes through
    /// [`EngineDirectory::apply`] and lists.
    pub fn get_mut(&mut self, instance: &Instance) -> Option<&mut EngineState> {
        let state = self.engines.get_mut(instance)?;
        if !self.active.contains(instance) {
            self.active.insert(instance.clone());
        }
        Some(state)
    }

    /// Engines of a service that take new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EngineState> {
        let names = self.index.engines(service);
        let states = names.filter_map(|name| self.engines.get(name));
        states.filter(|state| !state.record.draining)
    }

    /// Engines of services that there are of which more is known than the list says.
    pub fn tracked(&self) -> impl Iterator<Item = &EngineState> {
        let states = self.active.iter().filter_map(|name| self.engines.get(name));
        states.filter(|state| self.is_named(&state.record.service))
    }

    /// Sum over the engines of a service that take new requests, of what each has by its
    /// number of slots.
    pub fn sum_of_slots(&self, service: &str, has: impl Fn(u32) -> u32) -> u32 {
        let engines = self.index.by_slots(service);
        let sums = engines.map(|(slots, _, count)| has(slots).saturating_mul(count as u32));
        sums.fold(0, u32::saturating_add)
    }

    /// Engines that take new requests and hold a model, and their slots in sum.
    pub fn model_engines(&self) -> (usize, usize) {
        let services = self.index.names().filter(|service| self.is_named(service));
        let engines = services.flat_map(|service| self.index.by_slots(service));
        let holding = engines.filter(|(_, has_models, _)| *has_models);
        holding.fold((0, 0), |(engines, places), (slots, _, count)| {
            (engines + count, places + slots as usize * count)
        })
    }

    /// Whether any engine that takes new requests has a place, by what runs there from here.
    pub fn has_free_slot(&self) -> bool {
        let services = self.index.names().filter(|service| self.is_named(service));
        let engines = services.flat_map(|service| self.index.by_slots(service));
        let serving: usize = engines.map(|(_, _, count)| count).sum();
        if serving > self.active.len() {
            return true;
        }
        let full = self.tracked().filter(|state| {
            let slots = state.record.slots.max(1);
            !state.record.draining && state.stats.in_flight >= slots
        });
        full.count() < serving
    }

    fn is_named(&self, service: &str) -> bool {
        let named = self.services.as_ref();
        named.is_none_or(|named| named.contains(service))
    }

    /// A run that began in a life of an engine broke off: unless the engine is leaving,
    /// it is to be asked whether it is still there. If it has started again since, it
    /// crashed, whoever answers now under its name.
    pub fn run_broke(
        &mut self,
        now: Time,
        engine: &Instance,
        life: Incarnation,
        request: Fingerprint,
        comes: RetryScope,
    ) {
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let ended = state.previous.filter(|_| state.incarnation != life);
        let has_left = ended.map_or(state.record.draining, |ended| ended.left);
        if has_left {
            return;
        }
        self.quarantine
            .record_interrupted_run(now, engine, request, comes);
        if let Some(ended) = ended {
            self.quarantine
                .record_engine_crash(now, engine, ended.started);
        }
    }

    /// Nobody listens at an engine's address, or another instance does.
    pub fn engine_unreachable(&mut self, now: Time, engine: &Instance) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stats.is_unreachable = true;
            state.stats.failed_at = now;
        }
        if self.is_staying(engine) {
            let state = self.engines.get(engine);
            let started = state.and_then(|state| state.record.started);
            self.quarantine.record_engine_crash(now, engine, started);
        } else {
            self.quarantine.record_engine_shutdown(engine);
        }
    }

    /// Whether it is listed and has not said that it will leave.
    fn is_staying(&self, engine: &Instance) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| !state.record.draining)
    }

    /// Engines of a service that would still serve if this one crashed.
    pub fn count_other_healthy(&self, now: Time, service: &str, engine: &Instance) -> usize {
        let others = self.serving(service);
        let others = others.filter(|state| state.record.instance != *engine);
        others.filter(|state| state.is_healthy(now)).count()
    }

    /// Takes the names of the services that there are.
    pub fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        self.services = Some(names.cloned().collect());
    }

    /// Those of one service that take new requests.
    pub fn tracked_serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a EngineState> {
        let active = self.tracked();
        active.filter(move |state| state.record.service == service && !state.record.draining)
    }

    /// Takes note of something of all that [`EngineDirectory::tracked`] names.
    pub(crate) fn for_each_tracked(&mut self, mut take: impl FnMut(&mut EngineState)) {
        for instance in &self.active {
            if let Some(state) = self.engines.get_mut(instance) {
                take(state);
            }
        }
    }

    /// All engines of services that there are, in any order: nothing is ordered of an engine that
    /// another writer has listed under a name of its own, and its places do not count.
    pub fn iter(&self) -> impl Iterator<Item = &EngineState> {
        let all = self.engines.values();
        all.filter(|state| self.is_named(&state.record.service))
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
