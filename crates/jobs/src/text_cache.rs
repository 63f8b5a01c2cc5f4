//! Cache of texts of ended jobs without a listed result, for later jobs that resubmit the
//! items.

use peatgrade_types::{Duration, Time};
use std::collections::{HashMap, VecDeque};

use crate::text::PartialText;

const TEXT_TTL: Duration = Duration::from_secs(60);
/// Limit on the bytes of cached texts and bodies.
pub const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;

/// Identifies an item across jobs; texts are not shared between tenants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TextCacheKey {
    /// Tenant of its job; empty on routes without authentication.
    pub tenant: String,
    pub id: String,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    text: PartialText,
    body: Vec<u8>,
    inserted_at: Time,
}

impl CacheEntry {
    fn bytes(&self) -> usize {
        self.text.bytes() + self.body.len()
    }
}

/// Texts by item; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub struct TextCache {
    texts: HashMap<TextCacheKey, CacheEntry>,
    /// Insertion times of items, oldest first. May contain stale entries of items that were
    /// taken or inserted again.
    insertions: VecDeque<(Time, TextCacheKey)>,
    bytes: usize,
}

impl TextCache {
    pub fn insert(&mut self, now: Time, item: TextCacheKey, body: Vec<u8>, text: PartialText) {
        self.remove(&item);
        let entry = CacheEntry {
            text,
            body,
            inserted_at: now,
        };
        self.bytes += entry.bytes();
        self.texts.insert(item.clone(), entry);
        self.insertions.push_back((now, item));
        while self.bytes > MAX_CACHED_BYTES && self.evict_oldest() {}
    }

    /// Removes an item's text and returns it if the body is the same.
    pub fn take(&mut self, item: &TextCacheKey, body: &[u8]) -> Option<PartialText> {
        let entry = self.remove(item)?;
        (entry.body == body).then_some(entry.text)
    }

    pub fn evict_expired(&mut self, now: Time) {
        while let Some((inserted_at, _)) = self.insertions.front() {
            if now.since(*inserted_at) < TEXT_TTL {
                return;
            }
            self.evict_oldest();
        }
    }

    /// Bytes of cached texts and bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((inserted_at, item)) = self.insertions.pop_front() else {
            return false;
        };
        if self
            .texts
            .get(&item)
            .is_some_and(|entry| entry.inserted_at == inserted_at)
        {
            self.remove(&item);
        }
        true
    }

    fn remove(&mut self, item: &TextCacheKey) -> Option<CacheEntry> {
        let entry = self.texts.remove(item)?;
        self.bytes -= entry.bytes();
        Some(entry)
    }
}

#[cfg(test)]
#[path = "../tests/unit/kept_texts.rs"]
mod tests;
