//! Local observations that wait to be sent, most urgent first.

use peatgrade_ports::Instance;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};
use crate::wire::{framed_size, to_message, MAX_AGE};

/// Maximum number of pending observations: two sources for each of 256 engines.
pub const MAX_PENDING: usize = 512;

/// Observations not yet sent, one per engine and source.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<(Instance, String), (Urgency, Observation)>,
    dropped: u64,
}

impl Outbox {
    /// Adds an observation, replacing an earlier one of the same engine and source. A
    /// recovery that replaces an unsent failure inherits its urgency.
    pub fn put(&mut self, urgency: Urgency, observation: Observation) {
        let key = (observation.engine.clone(), observation.source.clone());
        let earlier = self.pending.get(&key).map(|(urgency, _)| *urgency);
        if earlier.is_none() && self.pending.len() >= MAX_PENDING {
            self.dropped += 1;
            if !self.evict_less_urgent(urgency) {
                return;
            }
        }
        let urgency = earlier.map_or(urgency, |earlier| earlier.min(urgency));
        self.pending.insert(key, (urgency, observation));
    }

    /// Evicts the oldest of the least urgent observations if it is less urgent than
    /// `urgency`, and returns whether it did.
    fn evict_less_urgent(&mut self, urgency: Urgency) -> bool {
        let pending = self.pending.iter();
        let least_urgent = pending
            .max_by_key(|(_, (urgency, observation))| (*urgency, Reverse(observation.observed_at)));
        let less_urgent = least_urgent.filter(|(_, (other, _))| *other > urgency);
        let Some(key) = less_urgent.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.pending.remove(&key);
        true
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Total number of observations dropped because the outbox was full or they expired.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Removes and returns the most urgent observations, as many as fit into `max_bytes`.
    pub fn take(&mut self, now: Time, max_bytes: usize) -> Vec<EngineObservation> {
        let before = self.pending.len();
        self.pending
            .retain(|_, (_, observation)| now.since(observation.observed_at) < MAX_AGE);
        self.dropped += (before - self.pending.len()) as u64;
        let mut order: Vec<_> = self.pending.iter().collect();
        order.sort_by_key(|(_, (urgency, observation))| (*urgency, observation.observed_at));
        let (mut messages, mut keys, mut bytes) = (Vec::new(), Vec::new(), 0);
        for (key, (_, observation)) in order {
            let message = to_message(now, observation);
            bytes += framed_size(&message);
            if bytes > max_bytes {
                break;
            }
            messages.push(message);
            keys.push(key.clone());
        }
        for key in keys {
            self.pending.remove(&key);
        }
        messages
    }
}
