//! What a machine that watches the store tells others of it.

use peatgrade_ports::{ObjectKind, StoreObject, StoreUpdate};
use peatgrade_schema::replication::{MirrorRequest, MirroredKind};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::encoding::kind_name;
use crate::followed::Followed;
use crate::service_filter::ServiceFilter;

/// Kinds that every subscriber needs. Versions are followed only while one asks for them:
/// a leader whom the store turns away.
const KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Engines];
/// Requests held at once; more are answered at once.
const MAX_HELD: usize = 2_048;
/// Replies with news made in one turn: one with a configuration of 1,400 routes has
/// some 140 KB. The rest follows in the next turn.
const NEWS_A_TURN: usize = 4;
/// Time after which a held request is answered for a failure of an engine that the
/// subscriber was not told: five replies a second at most, and what a lookup loses at a
/// silent engine before another is tried.
const FAILURE_AFTER: Duration = Duration::from_millis(200);
/// Longest time that a request is held, whatever it says.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// A request that waits.
#[derive(Debug)]
struct Held {
    address: String,
    request: MirrorRequest,
    filter: ServiceFilter,
    since: Time,
    until: Time,
    /// It was not looked at yet.
    is_new: bool,
}

/// An answer to a subscriber.
#[derive(Debug, PartialEq)]
pub struct PublisherReply {
    /// The subscriber's address.
    pub address: String,
    /// Number of its request.
    pub call: u64,
    /// How long it was held.
    pub held: Duration,
    /// Kinds that this machine follows and in which it is not behind.
    pub kinds: Vec<MirroredKind>,
    /// Names the crashes that the subscriber knows.
    pub crash_digest: u64,
    /// How far the subscriber was told failures of engines, and their loads.
    pub observation_marks: (u64, u64),
    /// Engines that the subscriber needs.
    pub filter: ServiceFilter,
}

/// What this machine has read of the store, and who waits for news of it.
#[derive(Debug, Default)]
pub struct Publisher {
    followed: BTreeMap<ObjectKind, Followed>,
    held: VecDeque<Held>,
    has_backlog: bool,
    /// Something was read since the last look at requests that wait.
    has_changed: bool,
    /// Number of the newest failure of an engine that there is to tell.
    newest_failure: u64,
}

impl Publisher {
    /// Takes what the store told.
    pub fn apply(&mut self, update: &StoreUpdate) {
        match update {
            StoreUpdate::Listed {
                kind,
                at,
                revision,
                objects,
            } if kind_name(*kind).is_some() => {
                let behind = self
                    .followed
                    .get(kind)
                    .is_some_and(|f| *revision < f.revision);
                if behind {
                    return;
                }
                let told = objects.iter().filter(|(_, object)| is_told(object));
                let told = told.map(|(name, object)| (name.as_str(), object));
                match self.followed.get_mut(kind) {
                    Some(known) => known.relist(*at, *revision, told),
                    None => {
                        let followed = Followed::new(*at, *revision, told);
                        self.followed.insert(*kind, followed);
                    }
                }
                self.has_changed = true;
            }
            StoreUpdate::Changed {
                kind,
                at,
                revision,
                events,
            } => {
                let Some(followed) = self.followed.get_mut(kind) else {
                    return;
                };
                self.has_changed |= !events.is_empty();
                let objects = events.iter().filter_map(|event| {
                    let told = match &event.object {
                        // An entry that can't be read any more names no engine to use.
                        Some(StoreObject::Unreadable { .. }) if *kind == ObjectKind::Engines => {
                            None
                        }
                        Some(object) if is_told(object) => Some(object),
                        Some(_) => return None,
                        None => None,
                    };
                    Some((event.name.as_str(), told))
                });
                followed.change(*at, *revision, objects);
            }
            StoreUpdate::Listed { .. } => {}
        }
    }

    /// Bytes of all objects that are kept for subscribers.
    pub fn cached_bytes(&self) -> usize {
        self.followed.values().map(Followed::bytes).sum()
    }

    /// Objects that are kept, and ends of others that are remembered.
    pub fn object_and_tombstone_counts(&self) -> (usize, usize) {
        let counts = self.followed.values().map(Followed::counts);
        counts.fold((0, 0), |(objects, ends), (more, more_ends)| {
            (objects + more, ends + more_ends)
        })
    }

    /// Stops telling a kind.
    pub fn remove_kind(&mut self, kind: ObjectKind) {
        self.followed.remove(&kind);
    }

    /// Stops telling: the store is not watched here any more.
    pub fn clear(&mut self) {
        self.followed.clear();
    }

    /// Takes a request; it is answered by [`Publisher::due_replies`].
    pub fn on_request(&mut self, now: Time, address: &str, request: MirrorRequest) {
        // A subscriber has one request under way: an earlier one was given up.
        self.held.retain(|held| held.address != address);
        let hold = Duration::from_millis(request.wait_ms).min(MAX_HOLD);
        let is_full = self.held.len() >= MAX_HELD;
        let until = if is_full { now } else { now + hold };
        self.held.push_back(Held {
            address: address.to_string(),
            filter: ServiceFilter::from_request(&request),
            request,
            since: now,
            until,
            is_new: true,
        });
    }

    /// Takes note of the newest failure of an engine that there is to tell.
    pub fn set_failure_mark(&mut self, number: u64) {
        self.newest_failure = number;
    }

    /// Whether answers with news wait only for the next turn.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Answers that are due: there is news, or the request was held for long enough,
    /// or this machine has nothing to tell. While nothing was read, requests that were
    /// looked at before cost no more than a look at the clock.
    pub fn due_replies(&mut self, now: Time) -> Vec<PublisherReply> {
        let mut published = Vec::new();
        let mut with_news = 0;
        let may_have_news = std::mem::take(&mut self.has_changed) || self.has_backlog;
        let follows_all = self.follows_all();
        self.has_backlog = false;
        let mut kept = VecDeque::with_capacity(self.held.len());
        while let Some(mut held) = self.held.pop_front() {
            let is_looked_at = std::mem::take(&mut held.is_new) || may_have_news;
            let has_news = is_looked_at && self.has_news(&held);
            let lacks_failure = held.request.failure_mark < self.newest_failure
                && now.since(held.since) >= FAILURE_AFTER;
            let is_due = has_news || lacks_failure || now >= held.until || !follows_all;
            let waits_for_turn = has_news && with_news >= NEWS_A_TURN;
            self.has_backlog |= waits_for_turn;
            if !is_due || waits_for_turn {
                kept.push_back(held);
                continue;
            }
            with_news += usize::from(has_news);
            published.push(self.answer(now, held));
        }
        self.held = kept;
        published
    }

    fn has_news(&self, held: &Held) -> bool {
        let mut followed = self.followed_for(&held.request);
        followed.any(|(kind, followed)| {
            followed.has_newer(revision_of(&held.request, kind), &held.filter)
        })
    }

    /// Whether this machine follows what every subscriber needs.
    fn follows_all(&self) -> bool {
        KINDS.iter().all(|kind| self.followed.contains_key(kind))
    }

    /// What there is to tell in answer to a request.
    fn followed_for<'a>(
        &'a self,
        request: &'a MirrorRequest,
    ) -> impl Iterator<Item = (ObjectKind, &'a Followed)> {
        let followed = self.followed.iter();
        let is_wanted = |kind: ObjectKind| request.wants_versions || kind != ObjectKind::Versions;
        followed
            .filter(move |(kind, _)| is_wanted(**kind))
            .map(|(kind, followed)| (*kind, followed))
    }

    fn answer(&self, now: Time, held: Held) -> PublisherReply {
        let followed = self.followed_for(&held.request);
        let kinds = followed.filter_map(|(kind, followed)| {
            let since = revision_of(&held.request, kind);
            followed.news(now, kind_name(kind)?, since, &held.filter)
        });
        let kinds = kinds.collect();
        PublisherReply {
            call: held.request.call,
            held: now.since(held.since),
            kinds,
            crash_digest: held.request.crash_digest,
            observation_marks: (held.request.failure_mark, held.request.load_mark),
            filter: held.filter,
            address: held.address,
        }
    }
}

/// Whether an object is of a kind that others are told, and could be read.
fn is_told(object: &StoreObject) -> bool {
    matches!(
        object,
        StoreObject::Configuration(_) | StoreObject::Engine(_) | StoreObject::Version { .. }
    )
}

/// The revision of a kind that a subscriber has.
fn revision_of(request: &MirrorRequest, kind: ObjectKind) -> u64 {
    match kind {
        ObjectKind::Configuration => request.configuration_revision,
        ObjectKind::Versions => request.versions_revision,
        _ => request.engines_revision,
    }
}
