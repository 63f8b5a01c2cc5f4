//! Blob store backed by a transactional database file (redb).

use crate::{BlobStore, DiskReply, DiskRequest, StorageError, MAX_LIST_KEYS};
use bytes::Bytes;
use peatgrade_types::hash_bytes;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

const BLOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("blobs");
pub const DATABASE_FILE_NAME: &str = "blobs.redb";
/// Length of the checksum that precedes each stored value.
const CHECKSUM_BYTES: usize = 8;

/// Durable [`BlobStore`] with a checksum per value.
#[derive(Debug)]
pub struct DiskStore {
    database: Database,
    used_bytes: u64,
    limit_bytes: u64,
}

fn operation_failed(step: &'static str, key: &str, error: impl std::fmt::Display) -> StorageError {
    StorageError::Failed {
        step,
        key: key.to_string(),
        reason: error.to_string(),
    }
}

impl DiskStore {
    /// Opens the store in `folder` and creates the folder if it does not exist.
    /// After a crash, redb recovers the last committed transaction.
    pub fn open(folder: &Path, limit_bytes: u64) -> Result<Self, StorageError> {
        let folder_name = folder.display().to_string();
        std::fs::create_dir_all(folder)
            .map_err(|e| operation_failed("create folder", &folder_name, e))?;
        let path = folder.join(DATABASE_FILE_NAME);
        let database =
            Database::create(path).map_err(|e| operation_failed("open", &folder_name, e))?;
        let used_bytes = Self::total_value_bytes(&database)
            .map_err(|e| operation_failed("measure", &folder_name, e))?;
        Ok(Self {
            database,
            used_bytes,
            limit_bytes,
        })
    }

    /// Total size of the stored values, without checksums.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    fn total_value_bytes(database: &Database) -> Result<u64, redb::Error> {
        let transaction = database.begin_write()?;
        transaction.open_table(BLOBS)?;
        transaction.commit()?;
        let transaction = database.begin_read()?;
        let table = transaction.open_table(BLOBS)?;
        let mut used_bytes = 0;
        for entry in table.iter()? {
            used_bytes += value_length(entry?.1.value());
        }
        Ok(used_bytes)
    }

    fn put(&mut self, key: &str, value: &Bytes) -> Result<(), StorageError> {
        let added_bytes = value.len() as u64;
        if self.used_bytes + added_bytes > self.limit_bytes {
            return Err(StorageError::Full {
                key: key.to_string(),
                used: self.used_bytes,
                limit: self.limit_bytes,
            });
        }
        let mut record = Vec::with_capacity(CHECKSUM_BYTES + value.len());
        record.extend_from_slice(&hash_bytes(value).to_le_bytes());
        record.extend_from_slice(value);
        let replaced_bytes = self
            .insert_record(key, &record)
            .map_err(|e| operation_failed("put", key, e))?;
        self.used_bytes = self.used_bytes + added_bytes - replaced_bytes;
        Ok(())
    }

    fn insert_record(&self, key: &str, record: &[u8]) -> Result<u64, redb::Error> {
        let transaction = self.database.begin_write()?;
        let replaced_bytes = {
            let mut table = transaction.open_table(BLOBS)?;
            let previous = table.insert(key, record)?;
            previous.map_or(0, |record| value_length(record.value()))
        };
        transaction.commit()?;
        Ok(replaced_bytes)
    }

    fn get(&self, key: &str) -> Result<Option<Bytes>, redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(BLOBS)?;
        let found = table.get(key)?;
        Ok(found.and_then(|record| verified_value(record.value())))
    }

    fn list(&self, prefix: &str, after: &str) -> Result<(Vec<String>, bool), redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(BLOBS)?;
        let start = if after.is_empty() { prefix } else { after };
        let mut keys = Vec::new();
        for entry in table.range(start..)? {
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
        let transaction = self.database.begin_write()?;
        let mut freed_bytes = 0;
        {
            let mut table = transaction.open_table(BLOBS)?;
            for key in keys {
                let previous = table.remove(key.as_str())?;
                freed_bytes += previous.map_or(0, |record| value_length(record.value()));
            }
        }
        transaction.commit()?;
        self.used_bytes -= freed_bytes;
        Ok(())
    }

    fn try_serve(&mut self, request: DiskRequest) -> Result<DiskReply, StorageError> {
        match request {
            DiskRequest::Put { key, value } => {
                self.put(&key, &value)?;
                Ok(DiskReply::Stored)
            }
            DiskRequest::Get { key } => {
                let value = self
                    .get(&key)
                    .map_err(|e| operation_failed("get", &key, e))?;
                Ok(DiskReply::Value(value))
            }
            DiskRequest::List { prefix, after } => {
                let page = self.list(&prefix, &after);
                let (keys, last) = page.map_err(|e| operation_failed("list", &prefix, e))?;
                Ok(DiskReply::Keys { keys, last })
            }
            DiskRequest::Delete { keys } => {
                let first_key = keys.first().cloned().unwrap_or_default();
                self.delete(&keys)
                    .map_err(|e| operation_failed("delete", &first_key, e))?;
                Ok(DiskReply::Deleted)
            }
        }
    }
}

impl BlobStore for DiskStore {
    fn serve(&mut self, request: DiskRequest) -> DiskReply {
        self.try_serve(request).unwrap_or_else(DiskReply::Refused)
    }
}

fn value_length(record: &[u8]) -> u64 {
    record.len().saturating_sub(CHECKSUM_BYTES) as u64
}

/// Returns the value of a record, or `None` if its checksum does not match.
fn verified_value(record: &[u8]) -> Option<Bytes> {
    let (checksum, value) = record.split_at_checked(CHECKSUM_BYTES)?;
    let expected = u64::from_le_bytes(checksum.try_into().ok()?);
    (hash_bytes(value) == expected).then(|| Bytes::copy_from_slice(value))
}
