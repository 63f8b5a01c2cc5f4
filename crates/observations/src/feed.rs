//! What a publisher tells its subscribers: the newest observation of each engine and
//! source.
//!
//! A subscriber names how far it was told, so that a lost message costs nothing and the
//! publisher keeps nothing of who asked.

use peatgrade_ports::Instance;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};
use crate::wire::{framed_size, to_message, MAX_AGE};

/// Observations kept at most: four sources for each of 512 engines, some 0.5 MB.
pub const MAX_ENTRIES: usize = 2_048;

/// How far a subscriber was told, for each urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// Number of the last failure told.
    pub failure: u64,
    /// Number of the last load told.
    pub load: u64,
}

/// An observation, and the address of the machine that told it here; empty if it is none
/// of the subscribers.
#[derive(Debug)]
struct Entry {
    observation: Observation,
    told_by: String,
}

/// The newest observation of each engine and source, numbered as they came.
#[derive(Debug)]
pub struct ObservationFeed {
    failures: BTreeMap<u64, Entry>,
    loads: BTreeMap<u64, Entry>,
    numbers: BTreeMap<(Instance, String), u64>,
    /// Marks of this life are between the two.
    first: u64,
    last: u64,
    dropped: u64,
}

impl ObservationFeed {
    /// An empty board. Its numbers begin after `first`, which must differ from life to
    /// life and leave room above it.
    pub fn new(first: u64) -> Self {
        Self {
            failures: BTreeMap::new(),
            loads: BTreeMap::new(),
            numbers: BTreeMap::new(),
            first,
            last: first,
            dropped: 0,
        }
    }

    /// Takes an observation in place of an earlier one of the same engine and source.
    /// `told_by` is the address of the subscriber that told it, or empty.
    pub fn put(&mut self, urgency: Urgency, observation: Observation, told_by: &str) {
        let key = (observation.engine.clone(), observation.source.clone());
        if let Some(number) = self.numbers.remove(&key) {
            self.failures.remove(&number);
            self.loads.remove(&number);
        }
        while self.numbers.len() >= MAX_ENTRIES {
            self.drop_one();
        }
        self.last += 1;
        self.numbers.insert(key, self.last);
        let told_by = told_by.to_string();
        let entry = Entry {
            observation,
            told_by,
        };
        let number = self.last;
        self.kept(urgency).insert(number, entry);
    }

    fn kept(&mut self, urgency: Urgency) -> &mut BTreeMap<u64, Entry> {
        match urgency {
            Urgency::Failure => &mut self.failures,
            Urgency::Load => &mut self.loads,
        }
    }

    /// The oldest load goes first, then the oldest failure.
    fn drop_one(&mut self) {
        let oldest = self.loads.pop_first().or_else(|| self.failures.pop_first());
        if let Some((_, Entry { observation, .. })) = oldest {
            self.numbers
                .remove(&(observation.engine, observation.source));
            self.dropped += 1;
        }
    }

    /// Forgets what is too old to say anything.
    pub fn remove_expired(&mut self, now: Time) {
        let is_young = |entry: &Entry| now.since(entry.observation.observed_at) < MAX_AGE;
        self.failures.retain(|_, entry| is_young(entry));
        self.loads.retain(|_, entry| is_young(entry));
        let (failures, loads) = (&self.failures, &self.loads);
        self.numbers
            .retain(|_, number| failures.contains_key(number) || loads.contains_key(number));
    }

    /// Number of the newest failure or recovery; 0 if there is none.
    pub fn newest_failure_seq(&self) -> u64 {
        self.failures
            .last_key_value()
            .map_or(0, |(number, _)| *number)
    }

    /// Observations kept.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Observations left out so far because too many were kept.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// What a subscriber that was told up to `marks` lacks, failures first, as many as fit
    /// into `max_bytes`, and how far it is told then. What came from its address is left
    /// out, and so are engines that it does not need.
    pub fn updates_since(
        &self,
        now: Time,
        marks: FeedCursor,
        subscriber: &str,
        needs: &dyn Fn(&Instance) -> bool,
        max_bytes: usize,
    ) -> (Vec<EngineObservation>, FeedCursor) {
        let mut page = Page {
            now,
            subscriber,
            needs,
            left: max_bytes,
            told: Vec::new(),
        };
        let failure = page.fill(&self.failures, self.mark(marks.failure), self.last);
        let load = page.fill(&self.loads, self.mark(marks.load), self.last);
        (page.told, FeedCursor { failure, load })
    }

    /// A mark of another life counts as none.
    fn mark(&self, mark: u64) -> u64 {
        if (self.first..=self.last).contains(&mark) {
            mark
        } else {
            self.first
        }
    }
}

/// A message that is being filled.
struct Page<'a> {
    now: Time,
    subscriber: &'a str,
    needs: &'a dyn Fn(&Instance) -> bool,
    left: usize,
    told: Vec<EngineObservation>,
}

impl Page<'_> {
    /// Adds what came after `mark`, oldest first; how far it got.
    fn fill(&mut self, kept: &BTreeMap<u64, Entry>, mark: u64, last: u64) -> u64 {
        let mut reached = mark;
        for (number, entry) in kept.range(mark + 1..) {
            let observation = &entry.observation;
            let is_of_use = entry.told_by != self.subscriber
                && self.now.since(observation.observed_at) < MAX_AGE
                && (self.needs)(&observation.engine);
            if is_of_use {
                let message = to_message(self.now, observation);
                let bytes = framed_size(&message);
                if bytes > self.left {
                    self.left = 0;
                    return reached;
                }
                self.left -= bytes;
                self.told.push(message);
            }
            reached = *number;
        }
        last
    }
}
