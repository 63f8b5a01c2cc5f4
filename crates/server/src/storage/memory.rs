//! Memory use of a storage process.

use peatgrade_types::{Duration, Time};

use crate::heap::trim_heap;
use crate::metrics::resident_bytes;

use super::process::StorageProcess;

/// Change of resident memory after which its breakdown is logged again.
const LOG_GROWTH_BYTES: u64 = 8 * 1024 * 1024;
/// Minimum time between two trims of the heap: each walks all of it.
const TRIM_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
pub(super) struct MemoryMonitor {
    last_logged_bytes: u64,
    last_trim: Time,
}

impl StorageProcess {
    /// Returns the resident memory in bytes. Trims the heap first if this machine would
    /// otherwise refuse jobs.
    pub(super) fn memory_in_use(&mut self, now: Time) -> u64 {
        let resident = resident_bytes();
        if self.limits.exceeds_memory(resident) {
            self.return_memory(now);
            return resident_bytes();
        }
        resident
    }

    /// Returns free heap pages to the system, unless that was done a moment ago.
    pub(super) fn return_memory(&mut self, now: Time) {
        if now.since(self.memory.last_trim) < TRIM_INTERVAL {
            return;
        }
        self.memory.last_trim = now;
        let before = resident_bytes();
        trim_heap();
        let after = resident_bytes();
        log::info!("step=return-memory before_bytes={before} after_bytes={after}");
    }

    /// Sets the memory metrics, and logs them when the resident memory has changed much.
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
            ("memory_received_bytes", self.link.received_bytes() as u64),
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
