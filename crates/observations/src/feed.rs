//! The latest observation per engine and source, published to subscribers.
//!
//! Each subscriber sends a cursor with its request, so a lost reply is simply sent again
//! and the publisher keeps no per-subscriber state.

use peatgrade_ports::Instance;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};
use crate::wire::{framed_size, to_message, MAX_AGE};

/// Maximum number of observations entries_mut: four sources for each of 512 engines.
pub const MAX_ENTRIES: usize = 2_048;

/// Position of a subscriber in the feed, per urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// Sequence number of the last failure sent.
    pub failure: u64,
    /// Sequence number of the last load sent.
    pub load: u64,
}

/// An observation and the address of the subscriber that sent it; empty if no subscriber
/// did.
#[derive(Debug)]
struct Entry {
    observation: Observation,
    received_from: String,
}

/// The latest observation per engine and source, numbered in order of arrival.
#[derive(Debug)]
pub struct ObservationFeed {
    failures: BTreeMap<u64, Entry>,
    loads: BTreeMap<u64, Entry>,
    sequences: BTreeMap<(Instance, String), u64>,
    /// Valid cursors of this publisher lie in `first_seq..=last_seq`.
    first_seq: u64,
    last_seq: u64,
    dropped: u64,
}

impl ObservationFeed {
    /// An empty feed whose sequence sequences start after `first_seq`. Each restart must pass
    /// another value, so that cursors of an earlier run are recognized as foreign.
    pub fn new(first_seq: u64) -> Self {
        Self {
            failures: BTreeMap::new(),
            loads: BTreeMap::new(),
            sequences: BTreeMap::new(),
            first_seq,
            last_seq: first_seq,
            dropped: 0,
        }
    }

    /// Adds an observation, replacing an earlier one of the same engine and source.
    /// `received_from` is the address of the subscriber that sent it, or empty.
    pub fn put(&mut self, urgency: Urgency, observation: Observation, received_from: &str) {
        let key = (observation.engine.clone(), observation.source.clone());
        if let Some(sequence) = self.sequences.remove(&key) {
            self.failures.remove(&sequence);
            self.loads.remove(&sequence);
        }
        while self.sequences.len() >= MAX_ENTRIES {
            self.evict_one();
        }
        self.last_seq += 1;
        self.sequences.insert(key, self.last_seq);
        let received_from = received_from.to_string();
        let entry = Entry {
            observation,
            received_from,
        };
        let sequence = self.last_seq;
        self.entries_mut(urgency).insert(sequence, entry);
    }

    fn entries_mut(&mut self, urgency: Urgency) -> &mut BTreeMap<u64, Entry> {
        match urgency {
            Urgency::Failure => &mut self.failures,
            Urgency::Load => &mut self.loads,
        }
    }

    /// Evicts the oldest load, or the oldest failure if there is no load.
    fn evict_one(&mut self) {
        let oldest = self.loads.pop_first().or_else(|| self.failures.pop_first());
        if let Some((_, Entry { observation, .. })) = oldest {
            self.sequences
                .remove(&(observation.engine, observation.source));
            self.dropped += 1;
        }
    }

    /// Removes observations of [`MAX_AGE`] or more.
    pub fn remove_expired(&mut self, now: Time) {
        let is_fresh = |entry: &Entry| now.since(entry.observation.observed_at) < MAX_AGE;
        self.failures.retain(|_, entry| is_fresh(entry));
        self.loads.retain(|_, entry| is_fresh(entry));
        let (failures, loads) = (&self.failures, &self.loads);
        self.sequences
            .retain(|_, sequence| failures.contains_key(sequence) || loads.contains_key(sequence));
    }

    /// Sequence number of the newest failure or recovery; 0 if there is none.
    pub fn newest_failure_seq(&self) -> u64 {
        self.failures
            .last_key_value()
            .map_or(0, |(sequence, _)| *sequence)
    }

    pub fn len(&self) -> usize {
        self.sequences.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Total number of observations evicted because the feed was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Observations after `cursor`, failures first, as many as fit into `max_bytes`, and the
    /// cursor that follows them. Skips observations that came from `subscriber` itself and
    /// engines that it does not need.
    pub fn updates_since(
        &self,
        now: Time,
        cursor: FeedCursor,
        subscriber: &str,
        is_needed: &dyn Fn(&Instance) -> bool,
        max_bytes: usize,
    ) -> (Vec<EngineObservation>, FeedCursor) {
        let mut page = UpdatePage {
            now,
            subscriber,
            is_needed,
            remaining_bytes: max_bytes,
            updates: Vec::new(),
        };
        let failure = page.fill(
            &self.failures,
            self.valid_position(cursor.failure),
            self.last_seq,
        );
        let load = page.fill(&self.loads, self.valid_position(cursor.load), self.last_seq);
        (page.updates, FeedCursor { failure, load })
    }

    /// Restarts a cursor that another publisher or an earlier run has issued.
    fn valid_position(&self, position: u64) -> u64 {
        if (self.first_seq..=self.last_seq).contains(&position) {
            position
        } else {
            self.first_seq
        }
    }
}

/// A size-limited reply under construction.
struct UpdatePage<'a> {
    now: Time,
    subscriber: &'a str,
    is_needed: &'a dyn Fn(&Instance) -> bool,
    remaining_bytes: usize,
    updates: Vec<EngineObservation>,
}

impl UpdatePage<'_> {
    /// Adds the entries after `position`, oldest first, and returns the position reached.
    fn fill(&mut self, entries: &BTreeMap<u64, Entry>, position: u64, last_seq: u64) -> u64 {
        let mut reached = position;
        for (sequence, entry) in entries.range(position + 1..) {
            let observation = &entry.observation;
            let is_relevant = entry.received_from != self.subscriber
                && self.now.since(observation.observed_at) < MAX_AGE
                && (self.is_needed)(&observation.engine);
            if is_relevant {
                let message = to_message(self.now, observation);
                let bytes = framed_size(&message);
                if bytes > self.remaining_bytes {
                    self.remaining_bytes = 0;
                    return reached;
                }
                self.remaining_bytes -= bytes;
                self.updates.push(message);
            }
            reached = *sequence;
        }
        last_seq
    }
}
