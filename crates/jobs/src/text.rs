//! The text of an item while it is made.

use bytes::Bytes;

/// An event of a text, and the version that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextEvent {
    /// Version of the weights.
    pub version: u64,
    /// Text.
    pub data: Bytes,
}

/// Events from the first on, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialText {
    /// The events.
    pub events: Vec<TextEvent>,
    /// Number of the last one; none before any.
    pub last_event: Option<u64>,
    /// Whether nothing follows these events.
    pub complete: bool,
}

impl PartialText {
    /// The data of the first `count` events, parted by line feeds.
    pub fn joined(&self, count: usize) -> Vec<u8> {
        self.joined_with(count, &[])
    }

    /// The same with `rest` behind it, in no more memory than it takes.
    pub fn joined_with(&self, count: usize, rest: &[u8]) -> Vec<u8> {
        let events = self.events.iter().take(count);
        let length: usize = events.map(|event| event.data.len() + 1).sum();
        let mut text = Vec::with_capacity(length.saturating_sub(1) + rest.len());
        for (position, event) in self.events.iter().take(count).enumerate() {
            if position > 0 {
                text.push(b'\n');
            }
            text.extend_from_slice(&event.data);
        }
        text.extend_from_slice(rest);
        text
    }

    /// What follows the first `count` events in the whole text.
    pub fn joined_after(&self, count: usize) -> Vec<u8> {
        let mut text = Vec::new();
        for (position, event) in self.events.iter().enumerate().skip(count) {
            if position > 0 {
                text.push(b'\n');
            }
            text.extend_from_slice(&event.data);
        }
        text
    }

    /// Bytes that its events take in memory.
    pub fn bytes(&self) -> usize {
        let events = self.events.iter();
        events
            .map(|event| event.data.len() + std::mem::size_of_val(event))
            .sum()
    }

    /// Versions that made an event, in rising order.
    pub fn versions(&self) -> Vec<u64> {
        let mut versions: Vec<u64> = self.events.iter().map(|event| event.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether all of it may stand in a job that allows `min_version`.
    pub fn meets_min_version(&self, min_version: u64) -> bool {
        self.events.iter().all(|event| event.version >= min_version)
    }
}
