//! Working sets: the subset of a service's engines that runs the batch jobs of a model, if the
//! service has many more engines than the model needs.
//!
//! Each engine in use costs a connection, a load of each version and a prompt cache miss, and
//! each engine scanned costs the leader time. A working set is therefore only as large as the
//! steps of the model require; the coordinator and the placement ignore engines outside it.
//!
//! A set is filled from the whole list only when it has lost engines or must grow, and then
//! with some spares. It is derived from the list alone, which contains the versions that
//! engines hold, so that a new leader selects the engines of its predecessor. At most one set
//! is filled per poll, because a scan of the list delays heartbeats.

use peatgrade_ports::Instance;
use peatgrade_types::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{EngineDirectory, EngineState};

/// Minimum size of a set. Smaller sets would not make engine selection cheaper.
const MIN_ENGINES: usize = 96;
/// Number of steps for which a set has slots: one that is running, one that begins, and one
/// for engines that load the newest version.
const CONCURRENT_STEPS: usize = 3;
/// Ratio of a service's engines to the size of a set from which the service uses one.
const MIN_SURPLUS_FACTOR: usize = 2;
/// Number of engines needed per spare engine. Spares avoid a scan of the whole list for each
/// lost engine.
const SPARE_DIVISOR: usize = 4;

/// Service and model.
type SetKey = (String, String);

/// Number of engines that a working set requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkingSetSize {
    /// Minimum number of usable engines.
    pub min_usable: usize,
    /// Size to which the set is filled.
    pub target: usize,
}

impl WorkingSetSize {
    /// Size for steps of `items` items on engines with `slots` slots.
    pub fn for_steps(items: usize, slots: u32) -> Self {
        let engines_per_step = items.div_ceil(slots.max(1) as usize);
        let min_usable = (CONCURRENT_STEPS * engines_per_step).max(MIN_ENGINES);
        Self {
            min_usable,
            target: min_usable + min_usable / SPARE_DIVISOR,
        }
    }

    /// Whether a service has enough engines for a set to be worthwhile.
    fn has_surplus(self, engines: usize) -> bool {
        engines >= MIN_SURPLUS_FACTOR * self.target
    }
}

/// The working sets of all services and models.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingSets {
    sets: BTreeMap<SetKey, BTreeSet<Instance>>,
    /// Sets that are required but not filled yet.
    pending: BTreeSet<SetKey>,
    /// Number of sets that an engine belongs to.
    memberships: BTreeMap<Instance, usize>,
    /// Engines scanned to fill sets.
    scanned: u64,
}

impl WorkingSets {
    fn set(&self, service: &str, model: &str) -> Option<&BTreeSet<Instance>> {
        let mut sets = self.sets.iter();
        let found =
            sets.find(|((of_service, of_model), _)| of_service == service && of_model == model);
        found.map(|(_, set)| set)
    }

    fn add(&mut self, key: &SetKey, engine: Instance) {
        let set = self.sets.entry(key.clone()).or_default();
        if set.insert(engine.clone()) {
            *self.memberships.entry(engine).or_insert(0) += 1;
        }
    }

    fn remove(&mut self, key: &SetKey, engine: &Instance) {
        let Some(set) = self.sets.get_mut(key) else {
            return;
        };
        if !set.remove(engine) {
            return;
        }
        if let Some(count) = self.memberships.get_mut(engine) {
            *count -= 1;
            if *count == 0 {
                self.memberships.remove(engine);
            }
        }
    }

    fn clear(&mut self, key: &SetKey) {
        for engine in self.sets.get(key).cloned().unwrap_or_default() {
            self.remove(key, &engine);
        }
        self.sets.remove(key);
        self.pending.remove(key);
    }

    fn is_pending(&self, service: &str, model: &str) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|(of_service, of_model)| of_service == service && of_model == model)
    }
}

/// Whether an engine can run batch items.
fn is_usable(now: Time, state: &EngineState) -> bool {
    let is_reachable = !state.stats.is_unreachable && !state.is_absent(now);
    !state.record.draining && is_reachable
}

impl EngineDirectory {
    /// Updates the sets of a model for steps of `items` items. Among equal engines, those of
    /// `zone` are preferred to avoid traffic between zones. Fills at most one set, and only if
    /// `may_fill`; returns whether it did.
    pub fn update_working_sets(
        &mut self,
        now: Time,
        model: &str,
        items: usize,
        zone: &str,
        may_fill: bool,
    ) -> bool {
        let services = self
            .service_index
            .names()
            .filter(|service| self.is_configured(service));
        let services: Vec<String> = services.map(str::to_string).collect();
        let mut is_filled = false;
        for service in services {
            let key = (service, model.to_string());
            let lacking = self.update_working_set(now, &key, items);
            if lacking > 0 && may_fill && !is_filled {
                self.fill(now, &key, lacking, zone);
                is_filled = true;
            }
        }
        is_filled
    }

    /// Removes unusable engines from a set and returns how many it lacks.
    fn update_working_set(&mut self, now: Time, key: &SetKey, items: usize) -> usize {
        let (service, model) = key;
        let engines = self.service_index.holding(service, model);
        let slots = self
            .service_index
            .by_slots(service)
            .map(|(slots, ..)| slots)
            .max();
        let size = WorkingSetSize::for_steps(items, slots.unwrap_or(1));
        if !size.has_surplus(engines) {
            self.working_sets.clear(key);
            return 0;
        }
        let usable = self.drop_unusable(now, key);
        if usable >= size.min_usable {
            return 0;
        }
        if !self.working_sets.sets.contains_key(key) {
            self.working_sets.pending.insert(key.clone());
        }
        size.target - usable
    }

    /// Removes engines from a set that are unlisted, draining or unreachable, and returns how
    /// many remain.
    fn drop_unusable(&mut self, now: Time, key: &SetKey) -> usize {
        let Some(set) = self.working_sets.sets.get(key) else {
            return 0;
        };
        let is_unusable = |engine: &&Instance| {
            let state = self.engines.get(*engine);
            !state.is_some_and(|state| is_usable(now, state))
        };
        let unusable: Vec<Instance> = set.iter().filter(is_unusable).cloned().collect();
        let usable = set.len() - unusable.len();
        for engine in unusable {
            self.working_sets.remove(key, &engine);
        }
        usable
    }

    /// Adds engines to a set, preferring in this order the newest versions, few other sets and
    /// the local zone.
    fn fill(&mut self, now: Time, key: &SetKey, lacking: usize, zone: &str) {
        let (service, model) = key;
        let memberships = &self.working_sets.memberships;
        let known = self.working_sets.set(service, model);
        let is_eligible = |state: &&EngineState| {
            let engine = &state.record.instance;
            state.record.service == *service
                && is_usable(now, state)
                && state.record.models.contains_key(model)
                && !known.is_some_and(|known| known.contains(engine))
        };
        let rank = |state: &EngineState| {
            let others = memberships.get(&state.record.instance);
            let is_other_zone = state.record.zone != zone;
            let age = Reverse(state.version(model));
            (age, others.copied().unwrap_or(0), is_other_zone)
        };
        let eligible = self.engines.values().filter(is_eligible);
        let mut chosen: Vec<_> = eligible.map(|state| (rank(state), state)).collect();
        let scanned = self.engines.len();
        if chosen.len() > lacking {
            chosen.select_nth_unstable_by(lacking, |(one, state), (other, other_state)| {
                let names = (&state.record.instance, &other_state.record.instance);
                one.cmp(other).then(names.0.cmp(names.1))
            });
        }
        chosen.truncate(lacking);
        let chosen = chosen.iter().map(|(_, state)| &state.record.instance);
        let chosen: Vec<Instance> = chosen.cloned().collect();
        log::info!(
            "decision=fill-working-set service={service} model={model} added={} had={} visited={scanned}",
            chosen.len(),
            known.map_or(0, BTreeSet::len),
        );
        self.working_sets.scanned += scanned as u64;
        self.working_sets.pending.remove(key);
        for engine in chosen {
            self.working_sets.add(key, engine);
        }
    }

    /// Engines of a service that run the batch jobs of a model and accept new requests: those
    /// of the working set, all if there is no set, and none while a required set is not filled.
    pub fn batch_engines<'a>(
        &'a self,
        service: &'a str,
        model: &str,
    ) -> Box<dyn Iterator<Item = &'a EngineState> + 'a> {
        if self.working_sets.is_pending(service, model) {
            return Box::new(std::iter::empty());
        }
        let Some(set) = self.working_sets.set(service, model) else {
            return Box::new(self.serving(service));
        };
        let states = set.iter().filter_map(|engine| self.engines.get(engine));
        Box::new(states.filter(|state| !state.record.draining))
    }

    /// The same for all configured services, without engines that hold no version of the model
    /// or were not found at their address.
    pub(crate) fn batch_engines_of_model(&self, now: Time, model: &str) -> Vec<&EngineState> {
        let services = self
            .service_index
            .names()
            .filter(|service| self.is_configured(service));
        let engines = services.flat_map(|service| self.batch_engines(service, model));
        let present = engines.filter(|state| !state.is_absent(now));
        present
            .filter(|state| state.record.models.contains_key(model))
            .collect()
    }

    /// Whether a required set is not filled yet.
    pub(crate) fn lacks_working_sets(&self) -> bool {
        !self.working_sets.pending.is_empty()
    }

    /// Whether the batch jobs of a model are limited to a working set.
    pub fn has_working_set(&self, model: &str) -> bool {
        self.working_sets
            .sets
            .keys()
            .any(|(_, of_model)| of_model == model)
    }

    /// Number of engines in all sets, and total number of engines scanned to fill them.
    pub fn working_set_stats(&self) -> (usize, u64) {
        let sets = &self.working_sets;
        (sets.memberships.len(), sets.scanned)
    }
}
