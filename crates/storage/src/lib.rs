//! Storage of blobs in one data folder: samples, manifests and session transcripts.
//!
//! A put is acknowledged only after its transaction has been committed and
//! synced to disk. Each blob is stored with a checksum; a corrupted value is
//! reported as missing, so that the caller reads it from the other replica.
//! A store that has reached its size limit rejects puts but still serves
//! reads, lists and deletes.

mod disk;
mod memory;

pub use disk::DiskStore;
pub use memory::MemoryStore;

use bytes::Bytes;

/// Maximum number of keys in the reply to one list request.
pub const MAX_LIST_KEYS: usize = 512;

/// Reason why a store rejected a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The put would exceed the size limit of the store.
    #[error("storage full, cannot put blob {key}: {used} of {limit} bytes in use")]
    Full {
        /// Key of the rejected blob.
        key: String,
        /// Size of the stored values, in bytes.
        used: u64,
        /// Configured size limit, in bytes.
        limit: u64,
    },
    /// The database or the file system returned an error.
    #[error("storage operation `{step}` failed for {key}: {reason}")]
    Failed {
        /// Operation that failed.
        step: &'static str,
        /// Blob key, list prefix or folder that the operation was applied to.
        key: String,
        /// Error reported by the database or the file system.
        reason: String,
    },
}

/// Request to a [`BlobStore`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskRequest {
    /// Stores a blob and replaces an existing one with the same key.
    Put {
        /// Key of the blob.
        key: String,
        /// Content of the blob.
        value: Bytes,
    },
    /// Reads a blob.
    Get {
        /// Key of the blob.
        key: String,
    },
    /// Lists keys with a prefix in ascending order, one page per request.
    List {
        /// Prefix that every returned key starts with.
        prefix: String,
        /// Last key of the previous page; empty for the first page.
        after: String,
    },
    /// Deletes blobs; keys that do not exist are ignored.
    Delete {
        /// Keys of the blobs.
        keys: Vec<String>,
    },
}

/// Reply of a [`BlobStore`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskReply {
    /// The blob has been stored durably.
    Stored,
    /// The blob; `None` if it does not exist or is corrupted.
    Value(Option<Bytes>),
    /// One page of a list.
    Keys {
        /// Keys in ascending order.
        keys: Vec<String>,
        /// Whether this is the last page.
        last: bool,
    },
    /// The blobs have been deleted.
    Deleted,
    /// The request was rejected.
    Refused(StorageError),
}

/// Key-value store for blobs.
pub trait BlobStore {
    /// Handles one request. A successful put is durable when this returns.
    fn serve(&mut self, request: DiskRequest) -> DiskReply;
}
