//! Items whose text is whole and has no score yet.

use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap};

use crate::item::ItemKey;

/// Names a reward call under way.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ScoreId(pub u64);

/// One item without a score.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingScore {
    /// When its text became whole, or was found whole by this leader.
    pub since: Time,
    /// No call before then.
    pub not_before: Time,
    /// Its call, if one is under way.
    pub call: Option<ScoreId>,
    /// Calls so far.
    pub calls: u32,
}

/// A reward call under way.
#[derive(Clone, Debug)]
struct OpenCall {
    key: ItemKey,
    /// Name of its route.
    route: String,
}

/// All items without a score, and their calls.
#[derive(Debug, Default)]
pub(crate) struct ScoreQueue {
    items: BTreeMap<ItemKey, PendingScore>,
    calls: HashMap<ScoreId, OpenCall>,
    last_id: u64,
}

impl ScoreQueue {
    /// Items without a score.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Calls under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Calls under way on a route.
    pub fn calls_on_route(&self, route: &str) -> usize {
        let calls = self.calls.values();
        calls.filter(|call| call.route == route).count()
    }

    /// Takes an item whose text is whole.
    pub fn push(&mut self, now: Time, key: ItemKey) {
        let unscored = PendingScore {
            since: now,
            not_before: now,
            call: None,
            calls: 0,
        };
        self.items.insert(key, unscored);
    }

    /// Forgets an item; its call, if one is under way.
    pub fn remove(&mut self, key: &ItemKey) -> Option<ScoreId> {
        let call = self.items.remove(key)?.call?;
        self.calls.remove(&call);
        Some(call)
    }

    /// Items to call for now, those that wait longest first.
    pub fn due(&self, now: Time) -> Vec<ItemKey> {
        let waiting = self.items.iter();
        let mut due: Vec<_> = waiting
            .filter(|(_, unscored)| unscored.call.is_none() && now >= unscored.not_before)
            .map(|(key, unscored)| (unscored.since, key))
            .collect();
        due.sort();
        due.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Takes note of a call for an item.
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

    /// The item of a call under way, and what is known of it.
    pub fn item_of(&self, id: ScoreId) -> Option<(ItemKey, PendingScore)> {
        let key = &self.calls.get(&id)?.key;
        let unscored = self.items.get(key)?;
        Some((key.clone(), *unscored))
    }

    /// A call ended without a score: another follows after `pause`.
    pub fn retry_call(&mut self, now: Time, id: ScoreId, pause: Duration) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(unscored) = self.items.get_mut(&call.key) {
            unscored.call = None;
            unscored.not_before = now + pause;
        }
    }

    /// No call for an item before `pause` is over. Whether it had not been put off
    /// before.
    pub fn postpone(&mut self, now: Time, key: &ItemKey, pause: Duration) -> bool {
        let Some(unscored) = self.items.get_mut(key) else {
            return false;
        };
        let first = unscored.not_before == unscored.since;
        unscored.not_before = now + pause;
        first
    }
}
