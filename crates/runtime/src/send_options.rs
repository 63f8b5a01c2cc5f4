//! How the HTTP client sends a request.

use std::time::Duration;

/// Default limit of a response body. Far above what engines send, and low enough for several
/// such bodies to fit in the memory of a process.
pub const DEFAULT_MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Longest wait for the response head and for each further part of the body.
    pub read_timeout: Duration,
    /// Opens a new connection, which does not enter the pool.
    pub new_connection: bool,
    /// Pauses between reads of the body, see [`crate::HttpClient::set_read_interval`].
    pub batch_reads: bool,
    /// The response fails once its body is larger. A faulty server may send bytes without end.
    pub max_body_bytes: u64,
}

impl SendOptions {
    /// Allows a pooled connection and reads without pauses.
    pub fn with_read_timeout(read_timeout: Duration) -> Self {
        Self {
            read_timeout,
            new_connection: false,
            batch_reads: false,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        }
    }

    /// Like [`Self::with_read_timeout`], for long streams that tolerate added latency.
    pub fn batching_reads(read_timeout: Duration) -> Self {
        Self {
            batch_reads: true,
            ..Self::with_read_timeout(read_timeout)
        }
    }
}
