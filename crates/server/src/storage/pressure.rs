//! Whether this machine has the disk and memory for another batch job.
//!
//! An accepted job must be kept for minutes. One that would not fit is refused with a retry
//! time, because running out of resources would lose the process.

use std::fmt;

/// Reclaimable bytes in the log file at which it is rewritten, if the disk is large enough.
const MAX_REWRITE_THRESHOLD_BYTES: u64 = 64 * 1024 * 1024;
/// Reclaimable bytes may take up this fraction (1/n) of the disk.
const REWRITE_DISK_DIVISOR: u64 = 4;
/// Maximum percentage of memory in use at which a job is accepted.
const MAX_MEMORY_PERCENT: u64 = 85;
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Resource limits of a machine; 0 means no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResourceLimits {
    pub disk_mb: u64,
    pub memory_mb: u64,
}

/// The resource that is too low.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ResourcePressure {
    Disk,
    Memory,
}

impl fmt::Display for ResourcePressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResourcePressure::Disk => "disk",
            ResourcePressure::Memory => "memory",
        })
    }
}

impl ResourceLimits {
    /// Reclaimable bytes at which the log file is rewritten.
    pub fn rewrite_threshold_bytes(&self) -> u64 {
        match self.disk_mb {
            0 => MAX_REWRITE_THRESHOLD_BYTES,
            disk => MAX_REWRITE_THRESHOLD_BYTES.min(disk * BYTES_PER_MB / REWRITE_DISK_DIVISOR),
        }
    }

    /// Returns the resource that is too low for another job, given `retained_log` bytes of
    /// log and `resident` bytes of memory. During a rewrite the disk holds the retained log
    /// twice.
    pub fn pressure(&self, retained_log: u64, resident: u64) -> Option<ResourcePressure> {
        let at_rewrite = 2 * retained_log + self.rewrite_threshold_bytes();
        if self.disk_mb > 0 && at_rewrite > self.disk_mb * BYTES_PER_MB {
            return Some(ResourcePressure::Disk);
        }
        self.exceeds_memory(resident)
            .then_some(ResourcePressure::Memory)
    }

    /// Whether `resident` bytes of memory are too many to accept another job.
    pub fn exceeds_memory(&self, resident: u64) -> bool {
        let allowed = self.memory_bytes() * MAX_MEMORY_PERCENT / 100;
        self.memory_mb > 0 && resident > allowed
    }

    /// Returns the memory limit in bytes; 0 means no limit.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * BYTES_PER_MB
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pressure.rs"]
mod tests;
