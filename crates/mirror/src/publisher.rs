//! What a machine that watches the store tells others of it.

use peatgrade_ports::{ObjectKind, StoreObject, StoreUpdate};
use peatgrade_schema::encoded_size;
use peatgrade_schema::replication::{MirrorRequest, MirroredKind, MirroredObject};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::encoding::{gone, kind_name, message_of};

/// Kinds that every subscriber needs. Versions are followed only while one asks for them:
/// a leader whom the store turns away.
const KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Engines];
/// Changes of a kind kept for subscribers that lack only the newest; others are told
/// all objects.
const MAX_CHANGES: usize = 512;
/// Bytes of them: a configuration of 1,400 routes has some 140 KB, and what is older than
/// the last few is told as a whole in less.
const MAX_CHANGE_BYTES: usize = 1024 * 1024;
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

/// Changes that one update brought.
#[derive(Debug)]
struct Changes {
    /// Revision to which they lead.
    revision: u64,
    objects: Vec<MirroredObject>,
    bytes: usize,
}

/// A kind as it was read last.
#[derive(Debug)]
struct Followed {
    objects: BTreeMap<String, MirroredObject>,
    revision: u64,
    /// When the store proved that nothing newer was there.
    proven: Time,
    /// The newest changes, oldest first; all after `changes_from` are there.
    changes: VecDeque<Changes>,
    changes_from: u64,
    change_count: usize,
    change_bytes: usize,
}

impl Followed {
    fn new(at: Time, revision: u64, objects: BTreeMap<String, MirroredObject>) -> Self {
        Self {
            objects,
            revision,
            proven: at,
            changes: VecDeque::new(),
            changes_from: revision,
            change_count: 0,
            change_bytes: 0,
        }
    }

    fn change(&mut self, at: Time, revision: u64, objects: Vec<MirroredObject>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.proven = self.proven.max(at);
        if objects.is_empty() {
            return;
        }
        for object in &objects {
            if *object == gone(&object.name) {
                self.objects.remove(&object.name);
            } else {
                self.objects.insert(object.name.clone(), object.clone());
            }
        }
        let bytes = objects.iter().map(encoded_size).sum();
        self.change_count += objects.len();
        self.change_bytes += bytes;
        self.changes.push_back(Changes {
            revision,
            objects,
            bytes,
        });
        while self.change_count > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.change_count -= oldest.objects.len();
            self.change_bytes -= oldest.bytes;
            self.changes_from = oldest.revision;
        }
    }

    /// Whether something changed after a revision.
    fn has_newer(&self, than: u64) -> bool {
        let newest = self
            .changes
            .back()
            .map_or(self.changes_from, |c| c.revision);
        newest > than
    }

    /// What a subscriber that has a revision lacks. None is ahead of this machine.
    fn news(&self, now: Time, kind: ObjectKind, since: u64) -> Option<MirroredKind> {
        if since > self.revision {
            return None;
        }
        let whole = since < self.changes_from;
        let objects = if whole {
            self.objects.values().cloned().collect()
        } else {
            let newer = self.changes.iter().filter(|c| c.revision > since);
            newer.flat_map(|c| c.objects.iter().cloned()).collect()
        };
        Some(MirroredKind {
            kind: kind_name(kind)?,
            whole,
            revision: self.revision,
            age: now.since(self.proven).0,
            objects,
        })
    }
}

/// A request that waits.
#[derive(Debug)]
struct Held {
    address: String,
    request: MirrorRequest,
    since: Time,
    until: Time,
}

/// An answer to a subscriber.
#[derive(Debug, PartialEq)]
pub struct Published {
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
}

/// What this machine has read of the store, and who waits for news of it.
#[derive(Debug, Default)]
pub struct Publisher {
    followed: BTreeMap<ObjectKind, Followed>,
    held: VecDeque<Held>,
    has_backlog: bool,
    /// Number of the newest failure of an engine that there is to tell.
    newest_failure: u64,
}

impl Publisher {
    /// Takes what the store told.
    pub fn take(&mut self, update: &StoreUpdate) {
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
                let objects = objects.iter();
                let messages = objects.filter_map(|(name, object)| message_of(name, object));
                let messages = messages.map(|message| (message.name.clone(), message));
                let followed = Followed::new(*at, *revision, messages.collect());
                self.followed.insert(*kind, followed);
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
                let objects = events.iter().filter_map(|event| match &event.object {
                    // An entry that can't be read any more names no engine to use.
                    Some(StoreObject::Unreadable { .. }) if *kind == ObjectKind::Engines => {
                        Some(gone(&event.name))
                    }
                    Some(object) => message_of(&event.name, object),
                    None => Some(gone(&event.name)),
                });
                followed.change(*at, *revision, objects.collect());
            }
            StoreUpdate::Listed { .. } => {}
        }
    }

    /// Bytes of changes that are kept for subscribers.
    pub fn change_bytes(&self) -> usize {
        self.followed.values().map(|kind| kind.change_bytes).sum()
    }

    /// Stops telling a kind.
    pub fn forget(&mut self, kind: ObjectKind) {
        self.followed.remove(&kind);
    }

    /// Stops telling: the store is not watched here any more.
    pub fn clear(&mut self) {
        self.followed.clear();
    }

    /// Takes a request; it is answered by [`Publisher::due`].
    pub fn ask(&mut self, now: Time, address: &str, request: MirrorRequest) {
        // A subscriber has one request under way: an earlier one was given up.
        self.held.retain(|held| held.address != address);
        let hold = Duration::from_millis(request.wait_ms).min(MAX_HOLD);
        let is_full = self.held.len() >= MAX_HELD;
        let until = if is_full { now } else { now + hold };
        self.held.push_back(Held {
            address: address.to_string(),
            request,
            since: now,
            until,
        });
    }

    /// Takes note of the newest failure of an engine that there is to tell.
    pub fn set_newest_failure(&mut self, number: u64) {
        self.newest_failure = number;
    }

    /// Whether answers with news wait only for the next turn.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Answers that are due: there is news, or the request was held for long enough,
    /// or this machine has nothing to tell.
    pub fn due(&mut self, now: Time) -> Vec<Published> {
        let mut published = Vec::new();
        let mut with_news = 0;
        self.has_backlog = false;
        let mut kept = VecDeque::with_capacity(self.held.len());
        while let Some(held) = self.held.pop_front() {
            let has_news = self.has_news(&held.request);
            let lacks_failure = held.request.failure_mark < self.newest_failure
                && now.since(held.since) >= FAILURE_AFTER;
            let is_due = has_news || lacks_failure || now >= held.until || !self.follows_all();
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

    fn has_news(&self, request: &MirrorRequest) -> bool {
        let mut followed = self.followed_for(request);
        followed.any(|(kind, followed)| followed.has_newer(revision_of(request, kind)))
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

    fn answer(&self, now: Time, held: Held) -> Published {
        let followed = self.followed_for(&held.request);
        let kinds = followed.filter_map(|(kind, followed)| {
            followed.news(now, kind, revision_of(&held.request, kind))
        });
        let kinds = kinds.collect();
        Published {
            call: held.request.call,
            held: now.since(held.since),
            kinds,
            crash_digest: held.request.crash_digest,
            observation_marks: (held.request.failure_mark, held.request.load_mark),
            address: held.address,
        }
    }
}

/// The revision of a kind that a subscriber has.
fn revision_of(request: &MirrorRequest, kind: ObjectKind) -> u64 {
    match kind {
        ObjectKind::Configuration => request.configuration_revision,
        ObjectKind::Versions => request.versions_revision,
        _ => request.engines_revision,
    }
}
