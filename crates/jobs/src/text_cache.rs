//! Beginnings of texts of ended jobs, kept for later jobs that bring their items back.

use peatgrade_types::{Duration, Time};
use std::collections::{HashMap, VecDeque};

use crate::text::PartialText;

/// How long they are kept.
const TEXT_TTL: Duration = Duration::from_secs(60);
/// Bytes of texts and bodies kept. A storage machine of 130 MB takes 53 MB at its peak
/// (measured with 128 engines); the log has most of these texts too.
pub const MAX_CACHED_BYTES: usize = 8 * 1024 * 1024;

/// Names an item: a tenant gets no text of another's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TextCacheKey {
    /// Its tenant; empty if no key was needed.
    pub tenant: String,
    /// Its id.
    pub id: String,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    text: PartialText,
    body: Vec<u8>,
    at: Time,
}

impl CacheEntry {
    fn bytes(&self) -> usize {
        self.text.bytes() + self.body.len()
    }
}

/// Texts by item, the oldest giving way.
#[derive(Clone, Debug, Default)]
pub struct TextCache {
    texts: HashMap<TextCacheKey, CacheEntry>,
    /// Items in the order in which they were kept, and when; one that was taken, or kept
    /// anew, stands here until it would be the oldest.
    order: VecDeque<(Time, TextCacheKey)>,
    bytes: usize,
}

impl TextCache {
    /// Keeps the beginning of an item's text.
    pub fn insert(&mut self, now: Time, item: TextCacheKey, body: Vec<u8>, text: PartialText) {
        self.remove(&item);
        let kept = CacheEntry {
            text,
            body,
            at: now,
        };
        self.bytes += kept.bytes();
        self.texts.insert(item.clone(), kept);
        self.order.push_back((now, item));
        while self.bytes > MAX_CACHED_BYTES && self.evict_oldest() {}
    }

    /// Takes the beginning of an item's text, if its body is the same.
    pub fn take(&mut self, item: &TextCacheKey, body: &[u8]) -> Option<PartialText> {
        let kept = self.remove(item)?;
        (kept.body == body).then_some(kept.text)
    }

    /// Drops what is too old.
    pub fn evict_expired(&mut self, now: Time) {
        while let Some((at, _)) = self.order.front() {
            if now.since(*at) < TEXT_TTL {
                return;
            }
            self.evict_oldest();
        }
    }

    /// Bytes of texts and bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((at, item)) = self.order.pop_front() else {
            return false;
        };
        if self.texts.get(&item).is_some_and(|kept| kept.at == at) {
            self.remove(&item);
        }
        true
    }

    fn remove(&mut self, item: &TextCacheKey) -> Option<CacheEntry> {
        let kept = self.texts.remove(item)?;
        self.bytes -= kept.bytes();
        Some(kept)
    }
}

#[cfg(test)]
#[path = "../tests/unit/text_cache.rs"]
mod tests;
