//! The prefix cache of an engine, and the events it publishes about it.

use peatgrade_schema::engine::CacheEvent;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};

/// How late events are published.
const EVENT_LAG: Duration = Duration::from_millis(1_500);
/// One event in this many is never published.
const GAP_ONE_IN: u32 = 40;
/// Published events that are repeated in each load document.
const EVENTS_KEPT: usize = 8;

/// Least-recently-used cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    sequence: u64,
    pending: VecDeque<(Time, CacheEvent)>,
    published: VecDeque<CacheEvent>,
    random: SmallRng,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize, seed: u64) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            order: VecDeque::new(),
            stamp: 0,
            sequence: 0,
            pending: VecDeque::new(),
            published: VecDeque::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Leading blocks of a prompt that are held.
    pub fn matching(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    /// Share in use, in thousandths.
    pub fn used_permille(&self) -> u32 {
        (self.blocks.len() * 1_000 / self.capacity.max(1)) as u32
    }

    /// Takes the blocks of a prompt in and evicts the least recently used.
    pub fn insert(&mut self, now: Time, blocks: &[u64]) {
        let mut event = CacheEvent {
            sequence: 0,
            stored: Vec::new(),
            evicted: Vec::new(),
        };
        for &block in blocks {
            self.stamp += 1;
            if self.blocks.insert(block, self.stamp).is_none() {
                event.stored.push(block);
            }
            self.order.push_back((block, self.stamp));
        }
        while self.blocks.len() > self.capacity {
            let Some((block, stamp)) = self.order.pop_front() else {
                break;
            };
            if self.blocks.get(&block) == Some(&stamp) {
                self.blocks.remove(&block);
                event.evicted.push(block);
            }
        }
        while self.order.len() > 4 * self.capacity.max(64) {
            self.order.pop_front();
        }
        if event.stored.is_empty() && event.evicted.is_empty() {
            return;
        }
        self.sequence += 1;
        event.sequence = self.sequence;
        if !self.random.random_ratio(1, GAP_ONE_IN) {
            self.pending.push_back((now + EVENT_LAG, event));
        }
    }

    /// The latest events that are due to be seen.
    pub fn events(&mut self, now: Time) -> Vec<CacheEvent> {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let event = self.pending.pop_front().map(|(_, event)| event);
            self.published.extend(event);
        }
        while self.published.len() > EVENTS_KEPT {
            self.published.pop_front();
        }
        self.published.iter().cloned().collect()
    }
}
