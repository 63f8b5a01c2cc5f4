//! Engines with room for waiting items, looked up now and then.
//!
//! The load: steps of six trainers come together, a thousand items that are started eight in
//! a look, 250 looks a second. Engines are not found anew for six kinds of need in each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

use super::queue::NeedClass;
use crate::placement::{service_pace, Candidates, ItemRequirements, ServicePaces};

/// How long engines that were found for a kind of need are weighed without another look:
/// whether one of them has a place, and is not avoided, is asked each time.
const FOUND_FOR: Duration = Duration::from_millis(20);

/// Engines that were found for each kind of need.
#[derive(Debug, Default)]
pub(super) struct CandidateCache {
    found: HashMap<NeedClass, (Time, Candidates)>,
    /// Changes of the engine list then.
    list_seen: u64,
}

impl CandidateCache {
    /// Forgets what the engine list or time has overtaken.
    fn forget_old(&mut self, now: Time, directory: &EngineDirectory) {
        if directory.changes() != self.list_seen {
            self.list_seen = directory.changes();
            self.found.clear();
        }
        // Before any pace was known each look may be the first that knows one.
        self.found.retain(|_, (found_at, found)| {
            found.paces().is_some() && now.since(*found_at) < FOUND_FOR
        });
    }
}

/// Engines that could run items of each class, in one look.
pub(super) struct PassCapacity {
    /// Classes for which it is known whether there is a place.
    capacity: Vec<Option<bool>>,
    full: usize,
    /// Open items would fill all places.
    pub are_crowded: bool,
    engines: CandidateCache,
    /// Paces of each service at the last look at them.
    paces: HashMap<String, ServicePaces>,
}

impl PassCapacity {
    /// For so many classes, with what was found in earlier looks.
    pub fn new(
        now: Time,
        classes: usize,
        mut engines: CandidateCache,
        paces: HashMap<String, ServicePaces>,
        directory: &EngineDirectory,
    ) -> Self {
        engines.forget_old(now, directory);
        Self {
            capacity: vec![None; classes],
            full: 0,
            are_crowded: false,
            engines,
            paces,
        }
    }

    /// What the next look may go on with.
    pub fn into_cache(self) -> CandidateCache {
        self.engines
    }

    /// Whether no item of any class finds a place.
    pub fn are_full(&self) -> bool {
        self.full == self.capacity.len()
    }

    /// Whether it is known that no item of this class finds a place.
    pub fn is_full(&self, class: usize) -> bool {
        matches!(self.capacity.get(class), Some(Some(false)))
    }

    /// The engines weighed for a class; none if no place is free.
    pub fn look(
        &mut self,
        now: Time,
        class: (usize, &NeedClass),
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
    ) -> Option<&Candidates> {
        let (index, class) = class;
        if index >= self.capacity.len() {
            self.capacity.resize(index + 1, None);
        }
        if !self.engines.found.contains_key(class) {
            let paces = self.paces.get(need.service).copied();
            let paces = paces.or_else(|| service_pace(now, directory, need.service));
            let found = Candidates::find(now, directory, need, paces);
            self.engines.found.insert(class.clone(), (now, found));
        }
        let (_, found) = self.engines.found.get(class)?;
        if self.capacity[index].is_none() {
            let has_room = found.has_capacity(now, directory, need);
            self.full += usize::from(!has_room);
            self.capacity[index] = Some(has_room);
        }
        (self.capacity[index] == Some(true)).then_some(found)
    }

    /// Takes note that an item found no place: maybe none is left for its class.
    pub fn note_full(
        &mut self,
        now: Time,
        class: (usize, &NeedClass),
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
    ) {
        let (index, class) = class;
        let found = self.engines.found.get(class);
        let has_room = found.is_some_and(|(_, found)| found.has_capacity(now, directory, need));
        if self.capacity[index] == Some(true) && !has_room {
            self.capacity[index] = Some(false);
            self.full += 1;
        }
    }
}
