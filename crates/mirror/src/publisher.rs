//! Answers subscribers' long-poll requests from the watched contents of the store.

use peatgrade_ports::{ObjectKind, StoreObject, StoreUpdate};
use peatgrade_schema::replication::{MirrorRequest, MirroredKind};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::encoding::kind_name;
use crate::service_filter::ServiceFilter;
use crate::watch_cache::{KnownRevision, WatchCache};

/// Kinds that every subscriber needs. Model versions are mirrored only on request, for a
/// leader that the store does not answer.
const REQUIRED_KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Engines];
/// Requests beyond this limit are answered without being held.
const MAX_PENDING_REQUESTS: usize = 2_048;
/// Limits the time that one turn of the event loop spends on encoding large replies. The
/// remaining requests are answered in the next turns.
const MAX_CHANGED_REPLIES_PER_TURN: usize = 4;
/// How long a request is held before it is answered with an engine failure that the
/// subscriber does not know. Bounds the rate of such replies to each subscriber.
const FAILURE_REPLY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the hold time that a request may ask for.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// A request held until something changes or its deadline passes.
#[derive(Debug)]
struct PendingRequest {
    address: String,
    request: MirrorRequest,
    filter: ServiceFilter,
    received_at: Time,
    deadline: Time,
    /// Whether the request has not been compared with the caches yet.
    is_unchecked: bool,
}

/// A reply to a subscriber.
#[derive(Debug, PartialEq)]
pub struct PublisherReply {
    /// The subscriber's address.
    pub address: String,
    /// The call id of the request.
    pub call: u64,
    /// How long the request was held.
    pub held: Duration,
    /// Changes, for each kind of which this machine is not behind the subscriber.
    pub kinds: Vec<MirroredKind>,
    /// Digest of the crash records that the subscriber has.
    pub crash_digest: u64,
    /// Marks of the newest engine failure and the newest engine load that the subscriber has.
    pub observation_marks: (u64, u64),
    /// Engines that the subscriber asked for.
    pub filter: ServiceFilter,
}

/// The watched contents of the store and the subscribers' pending requests.
#[derive(Debug, Default)]
pub struct Publisher {
    caches: BTreeMap<ObjectKind, WatchCache>,
    pending: VecDeque<PendingRequest>,
    has_backlog: bool,
    /// Whether updates were applied since pending requests were last compared with the caches.
    has_unchecked_updates: bool,
    /// Mark of the newest engine failure.
    failure_mark: u64,
}

impl Publisher {
    /// Applies an update from the store's watch.
    pub fn apply(&mut self, update: &StoreUpdate) {
        match update {
            StoreUpdate::Listed {
                kind,
                at,
                revision,
                objects,
                complete,
            } if kind_name(*kind).is_some() => {
                let is_stale = self
                    .caches
                    .get(kind)
                    .is_some_and(|cache| *revision < cache.revision);
                if is_stale {
                    return;
                }
                let mirrored = objects.iter().filter(|(_, object)| is_mirrored(object));
                let mirrored = mirrored.map(|(name, object)| (name.as_str(), object));
                match self.caches.get_mut(kind) {
                    Some(cache) if *complete => cache.replace(*at, *revision, mirrored),
                    Some(cache) => cache.merge(*at, *revision, mirrored),
                    None => {
                        let cache = WatchCache::new(*at, *revision, *complete, mirrored);
                        self.caches.insert(*kind, cache);
                    }
                }
                self.has_unchecked_updates = true;
            }
            StoreUpdate::Changed {
                kind,
                at,
                revision,
                events,
            } => {
                let Some(cache) = self.caches.get_mut(kind) else {
                    return;
                };
                self.has_unchecked_updates |= !events.is_empty();
                let objects = events.iter().filter_map(|event| {
                    let mirrored = match &event.object {
                        // An entry that became unreadable names no usable engine.
                        Some(StoreObject::Unreadable { .. }) if *kind == ObjectKind::Engines => {
                            None
                        }
                        Some(object) if is_mirrored(object) => Some(object),
                        Some(_) => return None,
                        None => None,
                    };
                    Some((event.name.as_str(), mirrored))
                });
                cache.apply_changes(*at, *revision, objects);
            }
            StoreUpdate::Listed { .. } => {}
        }
    }

    /// Encoded size of all cached objects.
    pub fn cached_bytes(&self) -> usize {
        self.caches.values().map(WatchCache::encoded_bytes).sum()
    }

    /// Numbers of cached objects and of tombstones, over all kinds.
    pub fn object_and_tombstone_counts(&self) -> (usize, usize) {
        let counts = self
            .caches
            .values()
            .map(WatchCache::object_and_tombstone_counts);
        counts.fold((0, 0), |(objects, tombstones), (more, more_tombstones)| {
            (objects + more, tombstones + more_tombstones)
        })
    }

    /// Stops mirroring a kind.
    pub fn remove_kind(&mut self, kind: ObjectKind) {
        self.caches.remove(&kind);
    }

    /// Stops mirroring all kinds, as when the store is not watched here.
    pub fn clear(&mut self) {
        self.caches.clear();
    }

    /// Accepts a request; [`Publisher::due_replies`] returns the reply.
    pub fn on_request(&mut self, now: Time, address: &str, request: MirrorRequest) {
        // A subscriber has one request in flight, so it has abandoned any earlier one.
        self.pending.retain(|pending| pending.address != address);
        let hold = Duration::from_millis(request.wait_ms).min(MAX_HOLD);
        let is_full = self.pending.len() >= MAX_PENDING_REQUESTS;
        let deadline = if is_full { now } else { now + hold };
        self.pending.push_back(PendingRequest {
            address: address.to_string(),
            filter: ServiceFilter::from_request(&request),
            request,
            received_at: now,
            deadline,
            is_unchecked: true,
        });
    }

    /// Sets the mark of the newest engine failure that subscribers should receive.
    pub fn set_failure_mark(&mut self, failure_mark: u64) {
        self.failure_mark = failure_mark;
    }

    /// Whether replies were deferred to the next turn.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Replies that are due: something changed, the request reached its deadline, or this
    /// machine does not mirror the required kinds. Without updates from the store, only the
    /// deadlines of requests that were checked before are compared.
    pub fn due_replies(&mut self, now: Time) -> Vec<PublisherReply> {
        let mut replies = Vec::new();
        let mut changed_replies = 0;
        let may_have_changes = std::mem::take(&mut self.has_unchecked_updates) || self.has_backlog;
        let has_required_kinds = self.has_required_kinds();
        self.has_backlog = false;
        let mut remaining = VecDeque::with_capacity(self.pending.len());
        while let Some(mut pending) = self.pending.pop_front() {
            let needs_check = std::mem::take(&mut pending.is_unchecked) || may_have_changes;
            let has_changes = needs_check && self.has_changes(&pending);
            let lacks_failure = pending.request.failure_mark < self.failure_mark
                && now.since(pending.received_at) >= FAILURE_REPLY_DELAY;
            let is_due =
                has_changes || lacks_failure || now >= pending.deadline || !has_required_kinds;
            let is_deferred = has_changes && changed_replies >= MAX_CHANGED_REPLIES_PER_TURN;
            self.has_backlog |= is_deferred;
            if !is_due || is_deferred {
                remaining.push_back(pending);
                continue;
            }
            changed_replies += usize::from(has_changes);
            replies.push(self.reply(now, pending));
        }
        self.pending = remaining;
        replies
    }

    fn has_changes(&self, pending: &PendingRequest) -> bool {
        let mut caches = self.caches_for(&pending.request);
        caches.any(|(kind, cache)| {
            cache.has_changes_since(known_revision(&pending.request, kind), &pending.filter)
        })
    }

    /// Whether all kinds that every subscriber needs are mirrored here.
    fn has_required_kinds(&self) -> bool {
        REQUIRED_KINDS
            .iter()
            .all(|kind| self.caches.contains_key(kind))
    }

    /// The caches of the kinds that a request asks for.
    fn caches_for<'a>(
        &'a self,
        request: &'a MirrorRequest,
    ) -> impl Iterator<Item = (ObjectKind, &'a WatchCache)> {
        let caches = self.caches.iter();
        let is_wanted = |kind: ObjectKind| request.wants_versions || kind != ObjectKind::Versions;
        caches
            .filter(move |(kind, _)| is_wanted(**kind))
            .map(|(kind, cache)| (*kind, cache))
    }

    fn reply(&self, now: Time, pending: PendingRequest) -> PublisherReply {
        let caches = self.caches_for(&pending.request);
        let kinds = caches.filter_map(|(kind, cache)| {
            let known = known_revision(&pending.request, kind);
            cache.changes_since(now, kind_name(kind)?, known, &pending.filter)
        });
        let kinds = kinds.collect();
        PublisherReply {
            call: pending.request.call,
            held: now.since(pending.received_at),
            kinds,
            crash_digest: pending.request.crash_digest,
            observation_marks: (pending.request.failure_mark, pending.request.load_mark),
            filter: pending.filter,
            address: pending.address,
        }
    }
}

/// Whether an object is of a mirrored kind and could be parsed.
fn is_mirrored(object: &StoreObject) -> bool {
    matches!(
        object,
        StoreObject::Configuration(_) | StoreObject::Engine(_) | StoreObject::Version { .. }
    )
}

/// What the requesting subscriber has of a kind.
fn known_revision(request: &MirrorRequest, kind: ObjectKind) -> KnownRevision {
    let revision = match kind {
        ObjectKind::Configuration => request.configuration_revision,
        ObjectKind::Versions => request.versions_revision,
        _ => request.engines_revision,
    };
    let name = kind_name(kind);
    KnownRevision {
        revision,
        incomplete: name.is_some_and(|name| request.incomplete_kinds.contains(&name)),
    }
}
