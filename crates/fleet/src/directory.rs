//! Engines by instance, from the discovery list and this node's observations.

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

/// State of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    /// The entry in the discovery list, updated by what the engine reported since.
    pub record: EngineRecord,
    /// Statistics of this node.
    pub stats: EngineStats,
    /// Observations that peers reported of the current incarnation.
    pub peer_observations: PeerObservations,
    /// Models whose version is being changed; the engine rejects batch items for them.
    pub loading_models: Vec<String>,
    /// Set if the entry was missing after a store outage. The engine counts as listed until
    /// then, because a running engine registers itself again.
    pub lapsed_until: Option<Time>,
    /// The incarnation that this state belongs to.
    pub incarnation: Incarnation,
    /// The incarnation before, if one is known to have ended.
    pub previous: Option<PreviousIncarnation>,
    /// Set while the engine is not found at its address.
    pub absence: Option<Absence>,
}

impl EngineState {
    /// Last known version of a model; 0 if unknown. Versions never decrease within an
    /// incarnation.
    pub fn version(&self, model: &str) -> u64 {
        self.record.models.get(model).copied().unwrap_or(0)
    }
}

/// All known engines.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: HashMap<Instance, EngineState>,
    service_index: ServiceIndex,
    /// Engines with state beyond their list entry, found here without a scan of the whole list.
    tracked: BTreeSet<Instance>,
    working_sets: WorkingSets,
    /// See [`EngineDirectory::changes`].
    changes: u64,
    /// The last incarnation number assigned.
    last_incarnation: u64,
    /// Number of incarnations that have ended.
    ended_count: u64,
    /// Services of the configuration; `None` before there is one.
    configured_services: Option<BTreeSet<String>>,
    /// When the next lapsed engine is removed, if there is one.
    next_expiry: Option<Time>,
    /// When the list was last known to be current.
    pub confirmed_at: Time,
    /// Requests suspected of crashing engines.
    pub quarantine: Quarantine,
}

impl EngineDirectory {
    /// A counter that increases with each change of the list or of an engine's versions, and
    /// with each ended incarnation.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records a version that an engine reported.
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
        self.service_index
            .put(&state.record, Some(&state.record.service));
    }

    pub fn get(&self, instance: &Instance) -> Option<&EngineState> {
        self.engines.get(instance)
    }

    /// An engine to be updated, which is tracked from then on. Its list entry is updated by
    /// [`EngineDirectory::apply`], [`EngineDirectory::replace`] and
    /// [`EngineDirectory::relist`].
    pub fn get_mut(&mut self, instance: &Instance) -> Option<&mut EngineState> {
        let state = self.engines.get_mut(instance)?;
        if !self.tracked.contains(instance) {
            self.tracked.insert(instance.clone());
        }
        Some(state)
    }

    /// Engines of a service that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EngineState> {
        let names = self.service_index.engines(service);
        let states = names.filter_map(|name| self.engines.get(name));
        states.filter(|state| !state.record.draining)
    }

    /// Engines of configured services with state beyond their list entry.
    pub fn tracked(&self) -> impl Iterator<Item = &EngineState> {
        let states = self
            .tracked
            .iter()
            .filter_map(|name| self.engines.get(name));
        states.filter(|state| self.is_configured(&state.record.service))
    }

    /// Sum of `value` over the slot counts of all engines of a service that accept new
    /// requests.
    pub fn sum_of_slots(&self, service: &str, value: impl Fn(u32) -> u32) -> u32 {
        let engines = self.service_index.by_slots(service);
        let sums = engines.map(|(slots, _, count)| value(slots).saturating_mul(count as u32));
        sums.fold(0, u32::saturating_add)
    }

    /// Number of engines that accept new requests and hold a model, and the sum of their
    /// slots.
    pub fn model_engines(&self) -> (usize, usize) {
        let services = self
            .service_index
            .names()
            .filter(|service| self.is_configured(service));
        let engines = services.flat_map(|service| self.service_index.by_slots(service));
        let holding = engines.filter(|(_, has_models, _)| *has_models);
        holding.fold((0, 0), |(engines, total_slots), (slots, _, count)| {
            (engines + count, total_slots + slots as usize * count)
        })
    }

    /// Whether any engine that accepts new requests has a free slot, counting only requests of
    /// this node.
    pub fn has_free_slot(&self) -> bool {
        let services = self
            .service_index
            .names()
            .filter(|service| self.is_configured(service));
        let engines = services.flat_map(|service| self.service_index.by_slots(service));
        let serving: usize = engines.map(|(_, _, count)| count).sum();
        if serving > self.tracked.len() {
            return true;
        }
        let full = self.tracked().filter(|state| {
            let slots = state.record.slots.max(1);
            !state.record.draining && state.stats.in_flight >= slots
        });
        full.count() < serving
    }

    fn is_configured(&self, service: &str) -> bool {
        let configured = self.configured_services.as_ref();
        configured.is_none_or(|configured| configured.contains(service))
    }

    /// Records that a run sent to `incarnation` was interrupted. Unless the engine was draining,
    /// the quarantine has it checked; if it has restarted since, it crashed.
    pub fn record_interrupted_run(
        &mut self,
        now: Time,
        engine: &Instance,
        incarnation: Incarnation,
        request: Fingerprint,
        retry_scope: RetryScope,
    ) {
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let previous = state.previous.filter(|_| state.incarnation != incarnation);
        let has_left_intentionally =
            previous.map_or(state.record.draining, |previous| previous.was_draining);
        if has_left_intentionally {
            return;
        }
        self.quarantine
            .record_interrupted_run(now, engine, request, retry_scope);
        if let Some(previous) = previous {
            self.quarantine
                .record_engine_crash(now, engine, previous.started);
        }
    }

    /// Records that nothing listens at an engine's address, or another instance does.
    pub fn engine_unreachable(&mut self, now: Time, engine: &Instance) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stats.is_unreachable = true;
            state.stats.failed_at = now;
        }
        if self.is_expected_to_stay(engine) {
            let state = self.engines.get(engine);
            let started = state.and_then(|state| state.record.started);
            self.quarantine.record_engine_crash(now, engine, started);
        } else {
            self.quarantine.record_engine_shutdown(engine);
        }
    }

    /// Whether the engine is listed and not draining.
    fn is_expected_to_stay(&self, engine: &Instance) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| !state.record.draining)
    }

    /// Number of healthy engines of a service other than `engine`.
    pub fn count_other_healthy(&self, now: Time, service: &str, engine: &Instance) -> usize {
        let others = self.serving(service);
        let others = others.filter(|state| state.record.instance != *engine);
        others.filter(|state| state.is_healthy(now)).count()
    }

    /// Sets the names of the configured services.
    pub fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        self.configured_services = Some(names.cloned().collect());
    }

    /// Tracked engines of a service that accept new requests.
    pub fn tracked_serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a EngineState> {
        let tracked = self.tracked();
        tracked.filter(move |state| state.record.service == service && !state.record.draining)
    }

    /// Updates all tracked engines.
    pub(crate) fn for_each_tracked(&mut self, mut update: impl FnMut(&mut EngineState)) {
        for instance in &self.tracked {
            if let Some(state) = self.engines.get_mut(instance) {
                update(state);
            }
        }
    }

    /// All engines of configured services, in any order. Engines that other writers register
    /// under unknown services receive no orders, and their slots don't count.
    pub fn iter(&self) -> impl Iterator<Item = &EngineState> {
        let all = self.engines.values();
        all.filter(|state| self.is_configured(&state.record.service))
    }

    pub fn len(&self) -> usize {
        self.engines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}
