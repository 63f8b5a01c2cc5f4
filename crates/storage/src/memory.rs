//! In-memory blob store for simulations. The simulation keeps it across the
//! restart of a simulated process, like a disk.

use crate::{BlobStore, DiskReply, DiskRequest, StorageError, MAX_LIST_KEYS};
use bytes::Bytes;
use std::collections::BTreeMap;

/// In-memory [`BlobStore`] with a size limit.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    blobs: BTreeMap<String, Bytes>,
    used_bytes: u64,
    limit_bytes: u64,
}

impl MemoryStore {
    /// Creates an empty store that holds at most `limit_bytes` of values.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            blobs: BTreeMap::new(),
            used_bytes: 0,
            limit_bytes,
        }
    }

    /// Changes the size limit; stored blobs are kept even if they exceed it.
    pub fn set_limit(&mut self, limit_bytes: u64) {
        self.limit_bytes = limit_bytes;
    }

    /// Total size of the stored values.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    fn put(&mut self, key: String, value: Bytes) -> DiskReply {
        let replaced_bytes = self.blobs.get(&key).map_or(0, |value| value.len() as u64);
        let used_bytes = self.used_bytes - replaced_bytes + value.len() as u64;
        if used_bytes > self.limit_bytes {
            return DiskReply::Refused(StorageError::Full {
                key,
                used: self.used_bytes,
                limit: self.limit_bytes,
            });
        }
        self.used_bytes = used_bytes;
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
                let start = if after.is_empty() {
                    prefix.clone()
                } else {
                    after.clone()
                };
                let range = self.blobs.range(start..).map(|(key, _)| key);
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
                    self.used_bytes -= removed.map_or(0, |value| value.len() as u64);
                }
                DiskReply::Deleted
            }
        }
    }
}
