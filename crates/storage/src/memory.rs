//! A store in memory, for simulations. Its content outlives a simulated
//! process as that of a disk does.

use crate::{BlobStore, DiskReply, DiskRequest, StorageError, MAX_LIST_KEYS};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Blobs in a map, with the limits of a disk.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    blobs: BTreeMap<String, Bytes>,
    used: u64,
    limit: u64,
}

impl MemoryStore {
    /// An empty store that holds at most `limit` bytes of values.
    pub fn new(limit: u64) -> Self {
        Self {
            blobs: BTreeMap::new(),
            used: 0,
            limit,
        }
    }

    /// Changes the limit; what is stored stays.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Bytes of values held.
    pub fn used_bytes(&self) -> u64 {
        self.used
    }

    fn put(&mut self, key: String, value: Bytes) -> DiskReply {
        let replaced = self.blobs.get(&key).map_or(0, |old| old.len() as u64);
        let used = self.used - replaced + value.len() as u64;
        if used > self.limit {
            return DiskReply::Refused(StorageError::Full {
                key,
                used: self.used,
                limit: self.limit,
            });
        }
        self.used = used;
        self.blobs.insert(key, value);
        DiskReply::Stored
    }
}

impl BlobStore for MemoryStore {
    fn serve(&mut self, request: DiskRequest) -> DiskReply {
        match request {
            DiskRequest::Put { key, value } => self.put(key, value),
            DiskRequest::Get { key } => DiskReply::Value(self.blobs.get(&key).cloned()),
            DiskRequest::List { prefix, after } => {
                let from = if after.is_empty() {
                    prefix.clone()
                } else {
                    after.clone()
                };
                let range = self.blobs.range(from..).map(|(key, _)| key);
                let matching = range
                    .take_while(|key| key.starts_with(&prefix))
                    .filter(|key| **key != after);
                let mut keys: Vec<String> = matching.take(MAX_LIST_KEYS + 1).cloned().collect();
                let last = keys.len() <= MAX_LIST_KEYS;
                keys.truncate(MAX_LIST_KEYS);
                DiskReply::Keys { keys, last }
            }
            DiskRequest::Delete { keys } => {
                for key in keys {
                    let removed = self.blobs.remove(&key);
                    self.used -= removed.map_or(0, |value| value.len() as u64);
                }
                DiskReply::Deleted
            }
        }
    }
}
