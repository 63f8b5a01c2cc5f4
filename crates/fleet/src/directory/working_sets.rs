//! Which engines make a model's batch work, where a service has many more than it needs.
//!
//! The load: six trainers with steps of some 200 items before 9,500 engines. Each engine
//! that is used costs a connection, a load of each version and a prompt read again, and
//! each that is looked over costs the leader time that it needs for what arrives. So the
//! work of a model stays on a set that is as large as its steps ask for; engines outside it
//! are neither ordered, asked nor weighed.
//!
//! A set is filled from the whole list only when it has lost engines or must grow, and
//! with some more than it needs. It is made anew from the list alone, which says which
//! versions engines hold: a new leader finds the engines that the one before it used. One set
//! is filled in a look, since heartbeats wait while the list is gone through.

use peatgrade_ports::Instance;
use peatgrade_types::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{EngineDirectory, EngineState};

/// Engines that a set has at least: choices weigh about as many at most, so that fewer
/// would not be cheaper.
const LEAST_ENGINES: usize = 96;
/// Steps for which a set has places: one is being made, the next begins, and the engines
/// of a third load the newest version.
const STEPS: usize = 3;
/// A service needs a set only if it has so many times the engines of one.
const ABUNDANCE: usize = 2;
/// One more engine is chosen for so many that are needed, so that not each loss of one is a
/// look over the whole list.
const SPARE_DIVISOR: usize = 4;

/// A service and a model that its engines hold.
type SetName = (String, String);

/// How many engines the work of a model asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkingSetSize {
    /// Engines that must be usable.
    pub min_usable: usize,
    /// Engines up to which the set is filled.
    pub target: usize,
}

impl WorkingSetSize {
    /// For steps of so many items on engines with so many slots.
    pub fn for_steps(items: usize, slots: u32) -> Self {
        let for_step = items.div_ceil(slots.max(1) as usize);
        let least = (STEPS * for_step).max(LEAST_ENGINES);
        Self {
            min_usable: least,
            target: least + least / SPARE_DIVISOR,
        }
    }

    /// Whether a service with so many engines has one to spare for each in the set.
    fn leaves_others(self, engines: usize) -> bool {
        engines >= ABUNDANCE * self.target
    }
}

/// The engines of each service that make the work of each model.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingSets {
    sets: BTreeMap<SetName, BTreeSet<Instance>>,
    /// Sets that are needed and were not filled yet.
    pending: BTreeSet<SetName>,
    /// Sets in which an engine is.
    memberships: BTreeMap<Instance, usize>,
    /// Engines looked over to fill sets.
    visited: u64,
}

impl WorkingSets {
    fn set(&self, service: &str, model: &str) -> Option<&BTreeSet<Instance>> {
        let mut sets = self.sets.iter();
        let found = sets.find(|((of, name), _)| of == service && name == model);
        found.map(|(_, set)| set)
    }

    fn add(&mut self, name: &SetName, engine: Instance) {
        let set = self.sets.entry(name.clone()).or_default();
        if set.insert(engine.clone()) {
            *self.memberships.entry(engine).or_insert(0) += 1;
        }
    }

    fn remove(&mut self, name: &SetName, engine: &Instance) {
        let Some(set) = self.sets.get_mut(name) else {
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

    fn clear(&mut self, name: &SetName) {
        for engine in self.sets.get(name).cloned().unwrap_or_default() {
            self.remove(name, &engine);
        }
        self.sets.remove(name);
        self.pending.remove(name);
    }

    fn is_pending(&self, service: &str, model: &str) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|(of, name)| of == service && name == model)
    }
}

/// Whether an engine can make batch work.
fn is_usable(now: Time, state: &EngineState) -> bool {
    let is_reachable = !state.stats.is_unreachable && !state.is_absent(now);
    !state.record.draining && is_reachable
}

impl EngineDirectory {
    /// Brings the sets of a model up to what its steps of so many items ask for. Engines of
    /// `zone` are preferred among equals: what they make crosses no zone. One set at most is
    /// filled, and only if `may_fill`; whether the list was gone through for it.
    pub fn update_working_sets(
        &mut self,
        now: Time,
        model: &str,
        items: usize,
        zone: &str,
        may_fill: bool,
    ) -> bool {
        let services = self.index.names().filter(|service| self.is_named(service));
        let services: Vec<String> = services.map(str::to_string).collect();
        let mut is_filled = false;
        for service in services {
            let name = (service, model.to_string());
            let lacking = self.renew_working_set(now, &name, items);
            if lacking > 0 && may_fill && !is_filled {
                self.fill(now, &name, lacking, zone);
                is_filled = true;
            }
        }
        is_filled
    }

    /// Takes out of a set what is of no use any more; how many engines it then lacks.
    fn renew_working_set(&mut self, now: Time, name: &SetName, items: usize) -> usize {
        let (service, model) = name;
        let engines = self.index.holding(service, model);
        let slots = self.index.by_slots(service).map(|(slots, ..)| slots).max();
        let size = WorkingSetSize::for_steps(items, slots.unwrap_or(1));
        if !size.leaves_others(engines) {
            self.working_sets.clear(name);
            return 0;
        }
        let usable = self.drop_unusable(now, name);
        if usable >= size.min_usable {
            return 0;
        }
        if !self.working_sets.sets.contains_key(name) {
            self.working_sets.pending.insert(name.clone());
        }
        size.target - usable
    }

    /// Takes engines out of a set that are gone, leave or can't be reached; how many stay.
    fn drop_unusable(&mut self, now: Time, name: &SetName) -> usize {
        let Some(set) = self.working_sets.sets.get(name) else {
            return 0;
        };
        let is_lost = |engine: &&Instance| {
            let state = self.engines.get(*engine);
            !state.is_some_and(|state| is_usable(now, state))
        };
        let lost: Vec<Instance> = set.iter().filter(is_lost).cloned().collect();
        let usable = set.len() - lost.len();
        for engine in lost {
            self.working_sets.remove(name, &engine);
        }
        usable
    }

    /// Adds engines to a set: those that hold the newest versions, those that make no other
    /// model's work, and those of the own zone first.
    fn fill(&mut self, now: Time, name: &SetName, lacking: usize, zone: &str) {
        let (service, model) = name;
        let memberships = &self.working_sets.memberships;
        let known = self.working_sets.set(service, model);
        let is_new = |state: &&EngineState| {
            let engine = &state.record.instance;
            state.record.service == *service
                && is_usable(now, state)
                && state.record.models.contains_key(model)
                && !known.is_some_and(|known| known.contains(engine))
        };
        let rank = |state: &EngineState| {
            let others = memberships.get(&state.record.instance);
            let is_elsewhere = state.record.zone != zone;
            let age = Reverse(state.version(model));
            (age, others.copied().unwrap_or(0), is_elsewhere)
        };
        let new = self.engines.values().filter(is_new);
        let mut chosen: Vec<_> = new.map(|state| (rank(state), state)).collect();
        let visited = self.engines.len();
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
            "decision=fill-working-set service={service} model={model} added={} had={} visited={visited}",
            chosen.len(),
            known.map_or(0, BTreeSet::len),
        );
        self.working_sets.visited += visited as u64;
        self.working_sets.pending.remove(name);
        for engine in chosen {
            self.working_sets.add(name, engine);
        }
    }

    /// Engines that make the work of a model and take new requests: those of its set, or all
    /// of the service where it needs none; none yet while its set waits to be filled.
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

    /// The same of all services that there are, without engines that were not found at their
    /// address.
    pub(crate) fn batch_engines_of_model(&self, now: Time, model: &str) -> Vec<&EngineState> {
        let services = self.index.names().filter(|service| self.is_named(service));
        let engines = services.flat_map(|service| self.batch_engines(service, model));
        let present = engines.filter(|state| !state.is_absent(now));
        present
            .filter(|state| state.record.models.contains_key(model))
            .collect()
    }

    /// Whether a set that is needed was not filled yet.
    pub(crate) fn lacks_working_sets(&self) -> bool {
        !self.working_sets.pending.is_empty()
    }

    /// Whether the work of a model keeps to a set of a service's engines.
    pub fn has_working_set(&self, model: &str) -> bool {
        self.working_sets.sets.keys().any(|(_, name)| name == model)
    }

    /// Engines in all sets, and engines looked over to fill them since the start.
    pub fn working_set_stats(&self) -> (usize, u64) {
        let sets = &self.working_sets;
        (sets.memberships.len(), sets.visited)
    }
}
