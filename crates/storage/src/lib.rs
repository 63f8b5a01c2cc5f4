//! Blobs under one data folder: samples, manifests, session transcripts.
//!
//! A put is answered only after the library has made it durable (one commit,
//! with fsync). Each blob carries a checksum of its own, so that a value
//! damaged on disk is reported as missing and fetched from the other copy.
//! A store that has reached its limit refuses puts and goes on serving.

mod disk;
mod memory;

pub use disk::DiskStore;
pub use memory::MemoryStore;

use bytes::Bytes;

/// Keys returned by one list request.
pub const MAX_LIST_KEYS: usize = 512;

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The limit of the data folder is reached.
    #[error("store {key}: {used} of {limit} bytes in use")]
    Full {
        /// Blob that was refused.
        key: String,
        /// Bytes in use.
        used: u64,
        /// Configured limit.
        limit: u64,
    },
    /// The library or the disk failed.
    #[error("{step} {key}: {reason}")]
    Failed {
        /// What was being done.
        step: &'static str,
        /// Blob it was about.
        key: String,
        /// What the library said.
        reason: String,
    },
}

/// A request to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskRequest {
    /// Store a blob; an existing one is replaced.
    Put {
        /// Name.
        key: String,
        /// Content.
        value: Bytes,
    },
    /// Read a blob.
    Get {
        /// Name.
        key: String,
    },
    /// Names that start with a prefix, after a name, in order.
    List {
        /// Start of the names.
        prefix: String,
        /// Last name of the page before.
        after: String,
    },
    /// Remove blobs; those that do not exist are passed over.
    Delete {
        /// Names.
        keys: Vec<String>,
    },
}

/// Answer of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskReply {
    /// The blob is durable.
    Stored,
    /// The blob, if it exists and is sound.
    Value(Option<Bytes>),
    /// One page of names.
    Keys {
        /// Names in order.
        keys: Vec<String>,
        /// Whether no more follow.
        last: bool,
    },
    /// The blobs are gone.
    Deleted,
    /// The request was refused.
    Refused(StorageError),
}

/// Something that serves [`DiskRequest`]s.
pub trait BlobStore {
    /// Serves one request; a put is durable when this returns.
    fn serve(&mut self, request: DiskRequest) -> DiskReply;
}
