//! Objects of one kind as last read from the store, with the history of their changes.
//!
//! Each object is kept in its newest state with the revision of its last change, so a
//! subscriber receives every object that changed since its own revision once, however often
//! the object changed. A full list that follows a lost watch is compared with the cached
//! objects, so a subscriber at the revision of the lost watch receives only the difference.
//! Objects may have come and gone between the lost watch and the list: a subscriber whose
//! revision lies in that gap receives the full list.
//!
//! Objects are encoded when a reply is made, not when the store is read: a leader must
//! apply a list of thousands of engines between two heartbeats.

use peatgrade_ports::StoreObject;
use peatgrade_schema::encoded_size;
use peatgrade_schema::replication::{MirroredKind, MirroredKindName, MirroredObject};
use peatgrade_types::Time;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use crate::encoding::{encode_deletion, encode_object};
use crate::service_filter::ServiceFilter;

/// Tombstones that are always retained, however few objects exist. A subscriber that lacks
/// an older deletion receives the full list.
const MIN_TOMBSTONES: usize = 512;
/// Retained intervals without a watch.
const MAX_WATCH_GAPS: usize = 16;

/// What a subscriber has of a kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRevision {
    /// Its newest revision; 0 for none.
    pub revision: u64,
    /// Whether it may lack objects of that revision.
    pub incomplete: bool,
}

/// The newest state of an object.
#[derive(Debug)]
struct Entry {
    /// None for a tombstone.
    object: Option<StoreObject>,
    /// Services to which the engine belongs or belonged; empty if it is not an engine.
    services: BTreeSet<String>,
    revision: u64,
}

impl Entry {
    /// The change sent to a subscriber; none if the object has never matched its filter.
    fn encode_change(&self, name: &str, filter: &ServiceFilter) -> Option<MirroredObject> {
        if let Some(object) = &self.object {
            if filter.includes_object(object) {
                return encode_object(name, object);
            }
        }
        filter
            .includes_any(&self.services)
            .then(|| encode_deletion(name))
    }
}

/// The service of an engine; none for objects of other kinds.
pub(crate) fn engine_service(object: &StoreObject) -> Option<&str> {
    match object {
        StoreObject::Engine(record) => Some(&record.service),
        _ => None,
    }
}

/// Cached objects of one kind.
#[derive(Debug)]
pub(crate) struct WatchCache {
    entries: BTreeMap<String, Entry>,
    /// Names by the revision of the last change.
    by_revision: BTreeSet<(u64, String)>,
    /// Retained deletions, oldest first.
    tombstones: BTreeSet<(u64, String)>,
    /// Tombstones up to this revision may have been dropped.
    history_start: u64,
    /// Revisions before and after intervals without a watch, oldest first.
    watch_gaps: VecDeque<(u64, u64)>,
    pub revision: u64,
    /// Whether the last list was incomplete, so that other objects may exist.
    incomplete: bool,
    /// When the store last confirmed that `revision` is the newest.
    confirmed_at: Time,
    /// Revision of the newest change of any object.
    last_changed: u64,
    /// Revision of the newest change of an engine, by service.
    last_changed_by_service: BTreeMap<String, u64>,
}

impl WatchCache {
    /// A cache filled from the first list.
    pub fn new<'a>(
        at: Time,
        revision: u64,
        complete: bool,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) -> Self {
        let mut cache = Self {
            entries: BTreeMap::new(),
            by_revision: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            history_start: revision,
            watch_gaps: VecDeque::new(),
            revision,
            incomplete: !complete,
            confirmed_at: at,
            last_changed: revision,
            last_changed_by_service: BTreeMap::new(),
        };
        for (name, object) in objects {
            cache.put(name, Some(object.clone()), revision);
        }
        cache
    }

    /// Replaces the contents with a newer full list.
    pub fn replace<'a>(
        &mut self,
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) {
        let listed = self.put_listed(revision, objects);
        let cached = self.entries.iter();
        let present = cached.filter(|(_, entry)| entry.object.is_some());
        let missing = present.filter(|(name, _)| !listed.contains(name.as_str()));
        let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
        for name in missing {
            self.put(&name, None, revision);
        }
        self.incomplete = false;
        self.end_gap(at, revision);
    }

    /// Adds the objects of a newer list that is incomplete. Other objects are kept.
    pub fn merge<'a>(
        &mut self,
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) {
        self.put_listed(revision, objects);
        self.incomplete = true;
        self.end_gap(at, revision);
    }

    /// Updates the objects of a list that have changed. Returns the names in the list.
    fn put_listed<'a>(
        &mut self,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) -> HashSet<&'a str> {
        let mut listed = HashSet::new();
        for (name, object) in objects {
            listed.insert(name);
            let cached = self.entries.get(name);
            if cached.and_then(|entry| entry.object.as_ref()) != Some(object) {
                self.put(name, Some(object.clone()), revision);
            }
        }
        listed
    }

    /// Records that changes between the known revision and that of a list were not watched.
    fn end_gap(&mut self, at: Time, revision: u64) {
        self.watch_gaps.push_back((self.revision, revision));
        if self.watch_gaps.len() > MAX_WATCH_GAPS {
            let oldest = self.watch_gaps.pop_front();
            self.history_start = oldest.map_or(self.history_start, |(_, until)| until);
        }
        self.revision = revision;
        self.confirmed_at = self.confirmed_at.max(at);
        self.drop_old_tombstones();
    }

    /// Applies changes up to a revision.
    pub fn apply_changes<'a>(
        &mut self,
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, Option<&'a StoreObject>)>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.confirmed_at = self.confirmed_at.max(at);
        for (name, object) in objects {
            if object.is_some() || self.may_be_known(name) {
                self.put(name, object.cloned(), revision);
            }
        }
        self.drop_old_tombstones();
    }

    fn put(&mut self, name: &str, object: Option<StoreObject>, revision: u64) {
        let mut services = BTreeSet::new();
        if let Some(previous) = self.entries.remove(name) {
            let key = (previous.revision, name.to_string());
            self.by_revision.remove(&key);
            self.tombstones.remove(&key);
            services = previous.services;
        }
        let service = object.as_ref().and_then(engine_service);
        services.extend(service.map(str::to_string));
        for service in &services {
            self.last_changed_by_service
                .insert(service.clone(), revision);
        }
        self.last_changed = revision;
        let key = (revision, name.to_string());
        if object.is_none() {
            self.tombstones.insert(key.clone());
        }
        self.by_revision.insert(key);
        let entry = Entry {
            object,
            services,
            revision,
        };
        self.entries.insert(name.to_string(), entry);
    }

    /// Keeps at most as many tombstones as there are objects: with more, a full list is
    /// shorter than the changes.
    fn drop_old_tombstones(&mut self) {
        while self.tombstones.len() > MIN_TOMBSTONES.max(self.entries.len() - self.tombstones.len())
        {
            let Some(oldest) = self.tombstones.pop_first() else {
                return;
            };
            self.history_start = self.history_start.max(oldest.0);
            self.by_revision.remove(&oldest);
            self.entries.remove(&oldest.1);
        }
    }

    /// Whether subscribers may hold an object of this name.
    fn may_be_known(&self, name: &str) -> bool {
        self.incomplete || self.entries.contains_key(name)
    }

    /// Whether an object that the filter includes changed after the subscriber's revision, or
    /// the subscriber lacks objects that are known here.
    pub fn has_changes_since(&self, known: KnownRevision, filter: &ServiceFilter) -> bool {
        let since = known.revision;
        if self.completes(known) {
            return true;
        }
        let last_changed = match (filter.services(), self.last_changed_by_service.is_empty()) {
            (Some(services), false) => {
                let revisions = services
                    .iter()
                    .filter_map(|name| self.last_changed_by_service.get(name));
                revisions.copied().max().unwrap_or(0)
            }
            _ => self.last_changed,
        };
        last_changed > since || (since < self.revision && self.is_history_incomplete(since))
    }

    /// Whether a subscriber with an incomplete list needs the one that is known here.
    fn completes(&self, known: KnownRevision) -> bool {
        known.incomplete && !self.incomplete && known.revision <= self.revision
    }

    /// Whether the individual changes after a revision are not all known.
    fn is_history_incomplete(&self, since: u64) -> bool {
        let mut gaps = self.watch_gaps.iter();
        since < self.history_start || gaps.any(|(from, until)| (from + 1..*until).contains(&since))
    }

    /// What changed after a subscriber's revision, or the full list where the history is
    /// incomplete; none if the subscriber is ahead of this cache.
    pub fn changes_since(
        &self,
        now: Time,
        kind: MirroredKindName,
        known: KnownRevision,
        filter: &ServiceFilter,
    ) -> Option<MirroredKind> {
        let since = known.revision;
        if since > self.revision {
            return None;
        }
        let whole = self.completes(known) || self.is_history_incomplete(since);
        let objects = match whole {
            true => self.matching_objects(filter),
            false => self.changed_objects(since, filter),
        };
        Some(MirroredKind {
            kind,
            whole,
            revision: self.revision,
            age: now.since(self.confirmed_at).0,
            objects,
            incomplete: self.incomplete,
        })
    }

    fn matching_objects(&self, filter: &ServiceFilter) -> Vec<MirroredObject> {
        self.encode_matching(|object| filter.includes_object(object))
    }

    fn changed_objects(&self, since: u64, filter: &ServiceFilter) -> Vec<MirroredObject> {
        let newer = self.by_revision.range((since + 1, String::new())..);
        let changes =
            newer.filter_map(|(_, name)| self.entries.get(name)?.encode_change(name, filter));
        changes.collect()
    }

    /// Encoded size of all cached objects.
    pub fn encoded_bytes(&self) -> usize {
        self.encode_matching(|_| true)
            .iter()
            .map(encoded_size)
            .sum()
    }

    fn encode_matching(&self, is_included: impl Fn(&StoreObject) -> bool) -> Vec<MirroredObject> {
        let entries = self.entries.iter();
        let objects = entries.filter_map(|(name, entry)| Some((name, entry.object.as_ref()?)));
        let included = objects.filter(|(_, object)| is_included(object));
        let messages = included.filter_map(|(name, object)| encode_object(name, object));
        messages.collect()
    }

    /// Numbers of cached objects and of tombstones.
    pub fn object_and_tombstone_counts(&self) -> (usize, usize) {
        (
            self.entries.len() - self.tombstones.len(),
            self.tombstones.len(),
        )
    }
}
