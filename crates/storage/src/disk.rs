//! The store on disk.

use crate::{BlobStore, DiskReply, DiskRequest, StorageError, MAX_LIST_KEYS};
use bytes::Bytes;
use peatgrade_types::hash_bytes;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

const BLOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("blobs");
/// Name of the database file in the data folder.
pub const DATABASE_FILE_NAME: &str = "blobs.redb";
/// Bytes of checksum in front of each value.
const CHECKSUM_BYTES: usize = 8;

/// Blobs in a transactional database file.
#[derive(Debug)]
pub struct DiskStore {
    database: Database,
    used: u64,
    limit: u64,
}

fn failed(step: &'static str, key: &str, error: impl std::fmt::Display) -> StorageError {
    StorageError::Failed {
        step,
        key: key.to_string(),
        reason: error.to_string(),
    }
}

impl DiskStore {
    /// Opens the store in `folder`, made if it does not exist. After a crash
    /// the library goes back to the last whole commit.
    pub fn open(folder: &Path, limit: u64) -> Result<Self, StorageError> {
        let name = folder.display().to_string();
        std::fs::create_dir_all(folder).map_err(|e| failed("create folder", &name, e))?;
        let path = folder.join(DATABASE_FILE_NAME);
        let database = Database::create(path).map_err(|e| failed("open", &name, e))?;
        let used = Self::measure(&database).map_err(|e| failed("measure", &name, e))?;
        Ok(Self {
            database,
            used,
            limit,
        })
    }

    /// Bytes of values held.
    pub fn used_bytes(&self) -> u64 {
        self.used
    }

    fn measure(database: &Database) -> Result<u64, redb::Error> {
        let write = database.begin_write()?;
        write.open_table(BLOBS)?;
        write.commit()?;
        let read = database.begin_read()?;
        let table = read.open_table(BLOBS)?;
        let mut used = 0;
        for entry in table.iter()? {
            used += value_bytes(entry?.1.value());
        }
        Ok(used)
    }

    fn put(&mut self, key: &str, value: &Bytes) -> Result<(), StorageError> {
        let added = value.len() as u64;
        if self.used + added > self.limit {
            return Err(StorageError::Full {
                key: key.to_string(),
                used: self.used,
                limit: self.limit,
            });
        }
        let mut stored = Vec::with_capacity(CHECKSUM_BYTES + value.len());
        stored.extend_from_slice(&hash_bytes(value).to_le_bytes());
        stored.extend_from_slice(value);
        let replaced = self
            .write(key, &stored)
            .map_err(|e| failed("put", key, e))?;
        self.used = self.used + added - replaced;
        Ok(())
    }

    fn write(&self, key: &str, stored: &[u8]) -> Result<u64, redb::Error> {
        let write = self.database.begin_write()?;
        let replaced = {
            let mut table = write.open_table(BLOBS)?;
            let old = table.insert(key, stored)?;
            old.map_or(0, |old| value_bytes(old.value()))
        };
        write.commit()?;
        Ok(replaced)
    }

    fn get(&self, key: &str) -> Result<Option<Bytes>, redb::Error> {
        let read = self.database.begin_read()?;
        let table = read.open_table(BLOBS)?;
        let found = table.get(key)?;
        Ok(found.and_then(|stored| checked(stored.value())))
    }

    fn list(&self, prefix: &str, after: &str) -> Result<(Vec<String>, bool), redb::Error> {
        let read = self.database.begin_read()?;
        let table = read.open_table(BLOBS)?;
        let from = if after.is_empty() { prefix } else { after };
        let mut keys = Vec::new();
        for entry in table.range(from..)? {
            let (key, _) = entry?;
            let key = key.value();
            if !key.starts_with(prefix) {
                break;
            }
            if key == after {
                continue;
            }
            if keys.len() == MAX_LIST_KEYS {
                return Ok((keys, false));
            }
            keys.push(key.to_string());
        }
        Ok((keys, true))
    }

    fn delete(&mut self, keys: &[String]) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        let mut freed = 0;
        {
            let mut table = write.open_table(BLOBS)?;
            for key in keys {
                let old = table.remove(key.as_str())?;
                freed += old.map_or(0, |old| value_bytes(old.value()));
            }
        }
        write.commit()?;
        self.used -= freed;
        Ok(())
    }

    fn serve_checked(&mut self, request: DiskRequest) -> Result<DiskReply, StorageError> {
        match request {
            DiskRequest::Put { key, value } => {
                self.put(&key, &value)?;
                Ok(DiskReply::Stored)
            }
            DiskRequest::Get { key } => {
                let value = self.get(&key).map_err(|e| failed("get", &key, e))?;
                Ok(DiskReply::Value(value))
            }
            DiskRequest::List { prefix, after } => {
                let listed = self.list(&prefix, &after);
                let (keys, last) = listed.map_err(|e| failed("list", &prefix, e))?;
                Ok(DiskReply::Keys { keys, last })
            }
            DiskRequest::Delete { keys } => {
                let first = keys.first().cloned().unwrap_or_default();
                self.delete(&keys)
                    .map_err(|e| failed("delete", &first, e))?;
                Ok(DiskReply::Deleted)
            }
        }
    }
}

impl BlobStore for DiskStore {
    fn serve(&mut self, request: DiskRequest) -> DiskReply {
        self.serve_checked(request)
            .unwrap_or_else(DiskReply::Refused)
    }
}

fn value_bytes(stored: &[u8]) -> u64 {
    stored.len().saturating_sub(CHECKSUM_BYTES) as u64
}

/// The value behind its checksum, if they agree.
fn checked(stored: &[u8]) -> Option<Bytes> {
    let (checksum, value) = stored.split_at_checked(CHECKSUM_BYTES)?;
    let expected = u64::from_le_bytes(checksum.try_into().ok()?);
    (hash_bytes(value) == expected).then(|| Bytes::copy_from_slice(value))
}
