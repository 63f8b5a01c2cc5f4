//! Candidate engines for waiting items, cached between polls.
//!
//! A backlog of many items is started over many polls. Without the cache, each poll would search
//! the engines again for every class of items.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

use super::queue::ItemClass;
use crate::placement::{service_pace, Candidates, ItemRequirements, ServicePaces};

/// Lifetime of cached candidates. Whether a candidate has a free slot is checked on every use.
const CACHE_TTL: Duration = Duration::from_millis(20);

/// Candidate engines by item class.
#[derive(Debug, Default)]
pub(super) struct CandidateCache {
    entries: HashMap<ItemClass, (Time, Candidates)>,
    /// Change counter of the engine directory at the time the entries were found.
    directory_changes: u64,
}

impl CandidateCache {
    /// Drops entries that expired, and all entries if the directory has changed.
    fn evict_stale(&mut self, now: Time, directory: &EngineDirectory) {
        if directory.changes() != self.directory_changes {
            self.directory_changes = directory.changes();
            self.entries.clear();
        }
        // Entries found without a known pace are not kept, because the pace may be known by now.
        self.entries.retain(|_, (found_at, found)| {
            found.paces().is_some() && now.since(*found_at) < CACHE_TTL
        });
    }
}

/// Free capacity by item class during one poll.
pub(super) struct PollCapacity {
    /// Whether an engine has a free slot for a class, or `None` if not checked yet.
    has_capacity: Vec<Option<bool>>,
    full_classes: usize,
    /// Whether open items exceed the slots of all engines.
    pub is_oversubscribed: bool,
    cache: CandidateCache,
    /// Most recent paces by service.
    paces: HashMap<String, ServicePaces>,
}

impl PollCapacity {
    /// Creates the state of a poll over `classes` item classes from the cache of earlier polls.
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

    /// Returns the cache for use by the next poll.
    pub fn into_cache(self) -> CandidateCache {
        self.cache
    }

    /// Whether no class has a free slot.
    pub fn is_exhausted(&self) -> bool {
        self.full_classes == self.has_capacity.len()
    }

    /// Whether a class is known to have no free slot.
    pub fn is_full(&self, class: usize) -> bool {
        matches!(self.has_capacity.get(class), Some(Some(false)))
    }

    /// Returns the candidates for a class, or `None` if no slot is free.
    pub fn candidates(
        &mut self,
        now: Time,
        class: (usize, &ItemClass),
        directory: &EngineDirectory,
        requirements: &ItemRequirements<'_>,
    ) -> Option<&Candidates> {
        let (index, class) = class;
        if index >= self.has_capacity.len() {
            self.has_capacity.resize(index + 1, None);
        }
        if !self.cache.entries.contains_key(class) {
            let paces = self.paces.get(requirements.service).copied();
            let paces = paces.or_else(|| service_pace(now, directory, requirements.service));
            let found = Candidates::find(now, directory, requirements, paces);
            self.cache.entries.insert(class.clone(), (now, found));
        }
        let (_, found) = self.cache.entries.get(class)?;
        if self.has_capacity[index].is_none() {
            let has_free_slot = found.has_capacity(now, directory, requirements);
            self.full_classes += usize::from(!has_free_slot);
            self.has_capacity[index] = Some(has_free_slot);
        }
        (self.has_capacity[index] == Some(true)).then_some(found)
    }

    /// Checks again whether a class has a free slot, after an item of it could not be placed.
    pub fn recheck(
        &mut self,
        now: Time,
        class: (usize, &ItemClass),
        directory: &EngineDirectory,
        requirements: &ItemRequirements<'_>,
    ) {
        let (index, class) = class;
        let found = self.cache.entries.get(class);
        let has_free_slot =
            found.is_some_and(|(_, found)| found.has_capacity(now, directory, requirements));
        if self.has_capacity[index] == Some(true) && !has_free_slot {
            self.has_capacity[index] = Some(false);
            self.full_classes += 1;
        }
    }
}
