//! What this machine is going to tell, the most important first.

use peatgrade_ports::Instance;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};
use crate::wire::{framed_size, to_message, MAX_AGE};

/// Observations that wait at most: two sources for each of 250 engines. Beyond it a
/// machine tells more than others can take in, at 20 in a message.
pub const MAX_PENDING: usize = 512;

/// Observations that were not sent yet, one for each engine and source.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<(Instance, String), (Urgency, Observation)>,
    dropped: u64,
}

impl Outbox {
    /// Takes an observation in place of an earlier one of the same engine and source. One
    /// that takes back an unsent failure is as urgent as that.
    pub fn put(&mut self, urgency: Urgency, observation: Observation) {
        let key = (observation.engine.clone(), observation.source.clone());
        let earlier = self.pending.get(&key).map(|(urgency, _)| *urgency);
        if earlier.is_none() && self.pending.len() >= MAX_PENDING {
            self.dropped += 1;
            if !self.drop_less_urgent(urgency) {
                return;
            }
        }
        let urgency = earlier.map_or(urgency, |earlier| earlier.min(urgency));
        self.pending.insert(key, (urgency, observation));
    }

    /// Makes room for an observation by dropping the oldest of the least urgent; whether
    /// there was one that is less urgent.
    fn drop_less_urgent(&mut self, urgency: Urgency) -> bool {
        let waiting = self.pending.iter();
        let last = waiting.max_by_key(|(_, (urgency, seen))| (*urgency, Reverse(seen.observed_at)));
        let last = last.filter(|(_, (other, _))| *other > urgency);
        let Some(key) = last.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.pending.remove(&key);
        true
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Observations left out so far: too many waited, or they grew too old.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// What is sent now, as many as fit into `max_bytes`.
    pub fn take(&mut self, now: Time, max_bytes: usize) -> Vec<EngineObservation> {
        let before = self.pending.len();
        self.pending
            .retain(|_, (_, observation)| now.since(observation.observed_at) < MAX_AGE);
        self.dropped += (before - self.pending.len()) as u64;
        let mut order: Vec<_> = self.pending.iter().collect();
        order.sort_by_key(|(_, (urgency, observation))| (*urgency, observation.observed_at));
        let (mut told, mut keys, mut bytes) = (Vec::new(), Vec::new(), 0);
        for (key, (_, observation)) in order {
            let message = to_message(now, observation);
            bytes += framed_size(&message);
            if bytes > max_bytes {
                break;
            }
            told.push(message);
            keys.push(key.clone());
        }
        for key in keys {
            self.pending.remove(&key);
        }
        told
    }
}
