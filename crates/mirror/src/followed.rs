//! One kind of objects as this machine read it last, and what others lack of it.
//!
//! Of each object its newest state is kept with the revision of its last change, so that
//! whoever has some revision is told what changed since, each object once, however many
//! changes there were. A list that follows a lost watch is compared with what was known, so
//! that whoever has what was known then is told the difference. Between the two lists
//! things may have come and gone: who was told of them by another machine is told all.
//! Objects become messages when they are told: a leader takes a list of thousands of engines
//! between two heartbeats.

use peatgrade_ports::StoreObject;
use peatgrade_schema::encoded_size;
use peatgrade_schema::replication::{MirroredKind, MirroredKindName, MirroredObject};
use peatgrade_types::Time;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use crate::encoding::{gone, message_of};
use crate::service_filter::ServiceFilter;

/// Objects that are gone of which that is remembered however few are left. Who lacks an
/// older end is told all objects.
const LEAST_ENDS: usize = 512;
/// Times without a watch that are remembered: the history of a store that drops it each few
/// seconds, for as long as a subscriber may be behind.
const MAX_GAPS: usize = 16;

/// The newest state of an object.
#[derive(Debug)]
struct Entry {
    /// None once it is gone.
    object: Option<StoreObject>,
    /// Services that it belongs to or belonged to, if it is an engine.
    services: BTreeSet<String>,
    revision: u64,
}

impl Entry {
    /// What a subscriber is told of it; none if it never was of interest.
    fn told_to(&self, name: &str, filter: &ServiceFilter) -> Option<MirroredObject> {
        if let Some(object) = &self.object {
            if filter.includes_object(object) {
                return message_of(name, object);
            }
        }
        filter.includes_any(&self.services).then(|| gone(name))
    }
}

/// The service of an engine; none of what is no engine.
pub(crate) fn service_of(object: &StoreObject) -> Option<&str> {
    match object {
        StoreObject::Engine(record) => Some(&record.service),
        _ => None,
    }
}

/// A kind as it was read last.
#[derive(Debug)]
pub(crate) struct Followed {
    entries: BTreeMap<String, Entry>,
    /// Names by the revision of the last change.
    order: BTreeSet<(u64, String)>,
    /// Ends that are remembered, the oldest first.
    ends: BTreeSet<(u64, String)>,
    /// Ends up to this revision may be forgotten.
    complete_from: u64,
    /// Revisions before and after times without a watch, the oldest first.
    gaps: VecDeque<(u64, u64)>,
    pub revision: u64,
    /// When the store proved that nothing newer was there.
    proven: Time,
    /// Revision of the newest change, in all and of what belongs to a service.
    newest: u64,
    newest_of: BTreeMap<String, u64>,
}

impl Followed {
    /// A kind as a first list shows it.
    pub fn new<'a>(
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) -> Self {
        let mut followed = Self {
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
            ends: BTreeSet::new(),
            complete_from: revision,
            gaps: VecDeque::new(),
            revision,
            proven: at,
            newest: revision,
            newest_of: BTreeMap::new(),
        };
        for (name, object) in objects {
            followed.put(name, Some(object.clone()), revision);
        }
        followed
    }

    /// Takes a list that replaces what was known.
    pub fn relist<'a>(
        &mut self,
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, &'a StoreObject)>,
    ) {
        let mut listed = HashSet::new();
        for (name, object) in objects {
            listed.insert(name);
            let known = self.entries.get(name);
            if known.and_then(|entry| entry.object.as_ref()) != Some(object) {
                self.put(name, Some(object.clone()), revision);
            }
        }
        let known = self.entries.iter();
        let present = known.filter(|(_, entry)| entry.object.is_some());
        let missing = present.filter(|(name, _)| !listed.contains(name.as_str()));
        let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
        for name in missing {
            self.put(&name, None, revision);
        }
        self.gaps.push_back((self.revision, revision));
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.pop_front();
            self.complete_from = oldest.map_or(self.complete_from, |(_, until)| until);
        }
        self.revision = revision;
        self.proven = self.proven.max(at);
        self.forget_ends();
    }

    /// Takes changes up to a revision.
    pub fn change<'a>(
        &mut self,
        at: Time,
        revision: u64,
        objects: impl Iterator<Item = (&'a str, Option<&'a StoreObject>)>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.proven = self.proven.max(at);
        for (name, object) in objects {
            self.put(name, object.cloned(), revision);
        }
        self.forget_ends();
    }

    fn put(&mut self, name: &str, object: Option<StoreObject>, revision: u64) {
        let mut services = BTreeSet::new();
        if let Some(before) = self.entries.remove(name) {
            let key = (before.revision, name.to_string());
            self.order.remove(&key);
            self.ends.remove(&key);
            services = before.services;
        }
        let service = object.as_ref().and_then(service_of);
        services.extend(service.map(str::to_string));
        for service in &services {
            self.newest_of.insert(service.clone(), revision);
        }
        self.newest = revision;
        let key = (revision, name.to_string());
        if object.is_none() {
            self.ends.insert(key.clone());
        }
        self.order.insert(key);
        let entry = Entry {
            object,
            services,
            revision,
        };
        self.entries.insert(name.to_string(), entry);
    }

    /// Keeps no more ends than there are objects: beyond that a list is shorter.
    fn forget_ends(&mut self) {
        while self.ends.len() > LEAST_ENDS.max(self.entries.len() - self.ends.len()) {
            let Some(oldest) = self.ends.pop_first() else {
                return;
            };
            self.complete_from = self.complete_from.max(oldest.0);
            self.order.remove(&oldest);
            self.entries.remove(&oldest.1);
        }
    }

    /// Whether something of interest changed after a revision.
    pub fn has_newer(&self, than: u64, filter: &ServiceFilter) -> bool {
        let newest = match (filter.services(), self.newest_of.is_empty()) {
            (Some(services), false) => {
                let of = services.iter().filter_map(|name| self.newest_of.get(name));
                of.copied().max().unwrap_or(0)
            }
            _ => self.newest,
        };
        newest > than || (than < self.revision && self.lacks_history(than))
    }

    /// Whether changes after a revision are not known one by one.
    fn lacks_history(&self, since: u64) -> bool {
        let mut gaps = self.gaps.iter();
        since < self.complete_from || gaps.any(|(from, until)| (from + 1..*until).contains(&since))
    }

    /// What a subscriber that has a revision lacks. None is ahead of this machine.
    pub fn news(
        &self,
        now: Time,
        kind: MirroredKindName,
        since: u64,
        filter: &ServiceFilter,
    ) -> Option<MirroredKind> {
        if since > self.revision {
            return None;
        }
        let whole = self.lacks_history(since);
        let objects = match whole {
            true => self.present(filter),
            false => self.changed_after(since, filter),
        };
        Some(MirroredKind {
            kind,
            whole,
            revision: self.revision,
            age: now.since(self.proven).0,
            objects,
        })
    }

    fn present(&self, filter: &ServiceFilter) -> Vec<MirroredObject> {
        self.messages(|object| filter.includes_object(object))
    }

    fn changed_after(&self, since: u64, filter: &ServiceFilter) -> Vec<MirroredObject> {
        let newer = self.order.range((since + 1, String::new())..);
        let told = newer.filter_map(|(_, name)| self.entries.get(name)?.told_to(name, filter));
        told.collect()
    }

    /// Bytes of the objects that are kept, as they are told.
    pub fn bytes(&self) -> usize {
        self.messages(|_| true).iter().map(encoded_size).sum()
    }

    fn messages(&self, is_told: impl Fn(&StoreObject) -> bool) -> Vec<MirroredObject> {
        let entries = self.entries.iter();
        let objects = entries.filter_map(|(name, entry)| Some((name, entry.object.as_ref()?)));
        let told = objects.filter(|(_, object)| is_told(object));
        let messages = told.filter_map(|(name, object)| message_of(name, object));
        messages.collect()
    }

    /// Objects that are kept, and ends of others that are remembered.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len() - self.ends.len(), self.ends.len())
    }
}
