//! Engines with room for waiting items, looked up now and then.
//!
//! The load: steps of six trainers come together, a thousand items that are started eight in
//! a look, 250 looks a second. Engines are not found anew for six kinds of need in each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

use super::queue::ItemClass;
use crate::placement::{service_pace, Candidates, Need, ServicePaces};

/// How long engines that were found for a kind of need are weighed without another look:
/// whether one of them has a place, and is not avoided, is asked each time.
const CACHE_TTL: Duration = Duration::from_millis(20);

/// Engines that were found for each kind of need.
#[derive(Debug, Default)]
pub(super) struct CandidateCache {
    entries: HashMap<ItemClass, (Time, Candidates)>,
    /// Changes of the engine list then.
    directory_changes: u64,
}

impl CandidateCache {
    /// Forgets what the engine list or time has overtaken.
    fn evict_stale(&mut self, now: Time, directory: &EngineDirectory) {
        if directory.changes() != self.directory_changes {
            self.directory_changes = directory.changes();
            self.entries.clear();
        }
        // Before any pace was known each look may be the first that knows one.
        self.entries.retain(|_, (found_at, found)| {
            found.paces().is_some() && now.since(*found_at) < CACHE_TTL
        });
    }
}

/// Engines that could run items of each class, in one look.
pub(super) struct PassCapacity {
    /// Classes for which it is known whether there is a place.
    has_capacity: Vec<Option<bool>>,
    full_classes: usize,
    /// Open items would fill all places.
    pub is_oversubscribed: bool,
    cache: CandidateCache,
    /// Paces of each service at the last look at them.
    paces: HashMap<String, ServicePaces>,
}

impl PassCapacity {
    /// For so many classes, with what was found in earlier looks.
    pub fn new(
        now: Time,
        classes: usize,
        mut cache: CandidateCache,
        paces: HashMap<String, ServicePaces>,
        directory: &EngineDirectory,
    ) -> Self {
        cache.evict_stale(now, directory);
        Self {
            has_capacity: vec![None; classes],
            full_classes: 0,
            is_oversubscribed: false,
            cache,
            paces,
        }
    }

    /// What the next look may go on with.
    pub fn into_cache(self) -> CandidateCache {
        self.cache
    }

    /// Whether no item of any class finds a place.
    pub fn is_exhausted(&self) -> bool {
        self.full_classes == self.has_capacity.len()
    }

    /// Whether it is known that no item of this class finds a place.
    pub fn is_full(&self, class: usize) -> bool {
        matches!(self.has_capacity.get(class), Some(Some(false)))
    }

    /// The engines weighed for a class; none if no place is free.
    pub fn candidates(
        &mut self,
        now: Time,
        class: (usize, &ItemClass),
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) -> Option<&Candidates> {
        let (index, class) = class;
        if index >= self.has_capacity.len() {
            self.has_capacity.resize(index + 1, None);
        }
        if !self.cache.entries.contains_key(class) {
            let paces = self.paces.get(need.service).copied();
            let paces = paces.or_else(|| service_pace(now, directory, need.service));
            let found = Candidates::find(now, directory, need, paces);
            self.cache.entries.insert(class.clone(), (now, found));
        }
        let (_, found) = self.cache.entries.get(class)?;
        if self.has_capacity[index].is_none() {
            let has_room = found.has_room(now, directory, need);
            self.full_classes += usize::from(!has_room);
            self.has_capacity[index] = Some(has_room);
        }
        (self.has_capacity[index] == Some(true)).then_some(found)
    }

    /// Takes note that an item found no place: maybe none is left for its class.
    pub fn recheck(
        &mut self,
        now: Time,
        class: (usize, &ItemClass),
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) {
        let (index, class) = class;
        let found = self.cache.entries.get(class);
        let has_room = found.is_some_and(|(_, found)| found.has_room(now, directory, need));
        if self.has_capacity[index] == Some(true) && !has_room {
            self.has_capacity[index] = Some(false);
            self.full_classes += 1;
        }
    }
}
