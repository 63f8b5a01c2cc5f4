//! What the memory of a storage process is used for.

use peatgrade_types::{Duration, Time};

use crate::metrics::resident_bytes;

use super::process::StorageProcess;

/// Growth of the resident memory after which its owners are logged again.
const LOG_GROWTH_BYTES: u64 = 8 * 1024 * 1024;
/// Least time between two returns of free memory: each walks the whole heap.
const TRIM_INTERVAL: Duration = Duration::from_secs(5);

/// What is remembered between two looks at the memory.
#[derive(Debug, Default)]
pub(super) struct MemoryMonitor {
    /// Resident bytes when the owners were logged last.
    last_logged_bytes: u64,
    last_trim: Time,
}

impl StorageProcess {
    /// Bytes in memory; free ones that the allocator keeps are returned first, if what
    /// it keeps would make this machine refuse jobs.
    pub(super) fn memory_in_use(&mut self, now: Time) -> u64 {
        let resident = resident_bytes();
        let is_due = now.since(self.memory.last_trim) >= TRIM_INTERVAL;
        if !is_due || !self.limits.exceeds_memory(resident) {
            return resident;
        }
        self.memory.last_trim = now;
        trim_heap();
        let left = resident_bytes();
        log::info!("step=return-memory before_bytes={resident} after_bytes={left}");
        left
    }

    /// Sets a metric for each owner, and logs them when the memory has grown.
    pub(super) fn record_memory_usage(&mut self) {
        let jobs = self.jobs.memory();
        let resident = resident_bytes();
        let owners = [
            ("memory_resident_bytes", resident),
            ("memory_limit_bytes", self.limits.memory_bytes()),
            ("memory_items_bytes", jobs.items as u64),
            ("memory_results_bytes", jobs.results as u64),
            ("memory_recent_texts_bytes", jobs.recent_texts as u64),
            ("memory_progress_bytes", jobs.progress as u64),
            (
                "memory_open_texts_bytes",
                self.dispatcher.text_bytes() as u64,
            ),
            ("memory_log_bytes", self.replica.log().resident_bytes()),
            ("memory_link_bytes", self.link.queued_bytes() as u64),
        ];
        for (name, value) in owners {
            self.metrics.set(name, value);
        }
        if resident.abs_diff(self.memory.last_logged_bytes) >= LOG_GROWTH_BYTES {
            self.memory.last_logged_bytes = resident;
            let names = owners.map(|(name, value)| format!("{name}={value}"));
            log::info!("belief=memory {}", names.join(" "));
        }
    }
}

/// Gives pages that hold nothing back to the system. The allocator keeps them after a
/// peak, such as many runs at once, and they would count as used for good.
fn trim_heap() {
    // SAFETY: malloc_trim takes the allocator's own locks and touches free pages only.
    unsafe {
        libc::malloc_trim(0);
    }
}
