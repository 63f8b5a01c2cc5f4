//! Queue of items whose text is complete but not scored.

use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap};

use crate::item::ItemKey;

/// Identifies a reward call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ScoreId(pub u64);

/// State of an unscored item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingScore {
    /// When this leader found the text complete.
    pub since: Time,
    /// Earliest time of the next call.
    pub not_before: Time,
    /// The call under way.
    pub call: Option<ScoreId>,
    /// Number of calls made.
    pub calls: u32,
}

/// A reward call under way.
#[derive(Clone, Debug)]
struct OpenCall {
    key: ItemKey,
    route: String,
}

/// All unscored items and the reward calls under way.
#[derive(Debug, Default)]
pub(crate) struct ScoreQueue {
    items: BTreeMap<ItemKey, PendingScore>,
    calls: HashMap<ScoreId, OpenCall>,
    last_id: u64,
}

impl ScoreQueue {
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Number of calls under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls under way on a route.
    pub fn calls_on_route(&self, route: &str) -> usize {
        let calls = self.calls.values();
        calls.filter(|call| call.route == route).count()
    }

    pub fn push(&mut self, now: Time, key: ItemKey) {
        let unscored = PendingScore {
            since: now,
            not_before: now,
            call: None,
            calls: 0,
        };
        self.items.insert(key, unscored);
    }

    /// Removes an item and returns its call under way, which the caller cancels.
    pub fn remove(&mut self, key: &ItemKey) -> Option<ScoreId> {
        let call = self.items.remove(key)?.call?;
        self.calls.remove(&call);
        Some(call)
    }

    /// Items whose next call may start now, longest waiting first.
    pub fn due(&self, now: Time) -> Vec<ItemKey> {
        let waiting = self.items.iter();
        let mut due: Vec<_> = waiting
            .filter(|(_, unscored)| unscored.call.is_none() && now >= unscored.not_before)
            .map(|(key, unscored)| (unscored.since, key))
            .collect();
        due.sort();
        due.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Registers a new call for an item.
    pub fn start_call(&mut self, key: &ItemKey, route: &str) -> Option<ScoreId> {
        let unscored = self.items.get_mut(key)?;
        self.last_id += 1;
        let id = ScoreId(self.last_id);
        unscored.call = Some(id);
        unscored.calls += 1;
        let call = OpenCall {
            key: key.clone(),
            route: route.to_string(),
        };
        self.calls.insert(id, call);
        Some(id)
    }

    /// The item of a call under way, and its state.
    pub fn item_of(&self, id: ScoreId) -> Option<(ItemKey, PendingScore)> {
        let key = &self.calls.get(&id)?.key;
        let unscored = self.items.get(key)?;
        Some((key.clone(), *unscored))
    }

    /// Ends a call without a score; the next one may start after `pause`.
    pub fn retry_call(&mut self, now: Time, id: ScoreId, pause: Duration) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(unscored) = self.items.get_mut(&call.key) {
            unscored.call = None;
            unscored.not_before = now + pause;
        }
    }

    /// Delays the next call for an item by `pause`. Returns whether this is its first
    /// delay.
    pub fn postpone(&mut self, now: Time, key: &ItemKey, pause: Duration) -> bool {
        let Some(unscored) = self.items.get_mut(key) else {
            return false;
        };
        let first = unscored.not_before == unscored.since;
        unscored.not_before = now + pause;
        first
    }
}
