//! Memory and descriptors that a process may use, from its settings and the operating system.

use peatgrade_runtime::{LinkSocket, CONNECTION_BYTES};

use crate::settings::ServerSettings;

const BYTES_PER_MB: u64 = 1024 * 1024;
/// The memory limit of a gateway divided by this bounds the memory for callers. The rest is for
/// the process itself, copies of batch jobs and the allocator's unused memory.
const CALLER_MEMORY_DIVISOR: u64 = 3;
/// The memory limit of a process divided by this bounds the memory of received messages.
const RECEIVED_MEMORY_DIVISOR: u64 = 4;
/// The descriptors of a gateway divided by this bound the connections of callers. Each request
/// may need another one to an engine.
const CONNECTION_DIVISOR: u64 = 2;
/// The memory for callers divided by this bounds the memory of their connections. The rest is for
/// requests.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
const MIN_CALLER_CONNECTIONS: usize = 16;

impl ServerSettings {
    /// Memory limit in bytes; `None` if memory is not limited.
    pub fn memory_limit_bytes(&self) -> Option<u64> {
        let limit = Some(self.memory_limit_mb).filter(|limit| *limit > 0);
        limit.map(|limit| limit * BYTES_PER_MB)
    }

    /// Maximum memory that a gateway holds for its callers; `None` if memory is not limited.
    pub fn caller_memory_bytes(&self) -> Option<usize> {
        let limit = self.memory_limit_bytes()?;
        Some((limit / CALLER_MEMORY_DIVISOR) as usize)
    }

    /// Limits the memory of messages from other processes that are not processed yet.
    pub fn limit_received(&self, link: &LinkSocket) {
        if let Some(limit) = self.memory_limit_bytes() {
            link.limit_received((limit / RECEIVED_MEMORY_DIVISOR) as usize);
        }
    }

    /// Maximum number of callers' connections; `None` if neither descriptors nor memory are
    /// limited.
    pub fn max_caller_connections(&self) -> Option<usize> {
        let files = Some(self.max_open_files).filter(|limit| *limit > 0);
        let files = files.or_else(max_open_files);
        let by_files = files.map(|limit| (limit / CONNECTION_DIVISOR) as usize);
        let memory = self.caller_memory_bytes();
        let by_memory = memory.map(|bytes| bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES);
        let limit = by_files.into_iter().chain(by_memory).min();
        limit.map(|connections| connections.max(MIN_CALLER_CONNECTIONS))
    }
}

/// Descriptors that this process may open; none if they are not limited.
fn max_open_files() -> Option<u64> {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: `limit` is a live, writable structure of the expected type.
    let result = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    let is_limited = result == 0 && limit.rlim_cur != libc::RLIM_INFINITY;
    is_limited.then_some(limit.rlim_cur)
}
