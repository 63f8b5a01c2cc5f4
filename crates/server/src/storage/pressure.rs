//! Whether this machine can keep another batch job.
//!
//! A job that was accepted must be kept for minutes, so one that would not fit
//! is refused, with the time to come back, rather than lost with the process.

use std::fmt;

/// Bytes beyond what must be kept after which the log file is rewritten, where
/// the disk is large enough.
const MAX_REWRITE_THRESHOLD_BYTES: u64 = 64 * 1024 * 1024;
/// Share of the disk that may wait for a rewrite.
const REWRITE_DISK_DIVISOR: u64 = 4;
/// Share of the memory that may be used when a job is accepted.
const MAX_MEMORY_PERCENT: u64 = 85;
const BYTES_PER_MB: u64 = 1024 * 1024;

/// What a machine has; 0 stands for no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResourceLimits {
    pub disk_mb: u64,
    pub memory_mb: u64,
}

/// What there is too little of.
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
    /// Bytes beyond `kept` at which the log file is rewritten.
    pub fn rewrite_threshold_bytes(&self) -> u64 {
        match self.disk_mb {
            0 => MAX_REWRITE_THRESHOLD_BYTES,
            disk => MAX_REWRITE_THRESHOLD_BYTES.min(disk * BYTES_PER_MB / REWRITE_DISK_DIVISOR),
        }
    }

    /// What is missing for another job, with `kept` bytes of log that must stay
    /// and `resident` bytes of memory. During a rewrite the disk holds what is
    /// kept twice.
    pub fn pressure(&self, retained_log: u64, resident: u64) -> Option<ResourcePressure> {
        let at_rewrite = 2 * retained_log + self.rewrite_threshold_bytes();
        if self.disk_mb > 0 && at_rewrite > self.disk_mb * BYTES_PER_MB {
            return Some(ResourcePressure::Disk);
        }
        self.exceeds_memory(resident)
            .then_some(ResourcePressure::Memory)
    }

    /// Whether `resident` bytes of memory are too many for another job.
    pub fn exceeds_memory(&self, resident: u64) -> bool {
        let allowed = self.memory_bytes() * MAX_MEMORY_PERCENT / 100;
        self.memory_mb > 0 && resident > allowed
    }

    /// Memory that this process may use; 0 for no limit.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * BYTES_PER_MB
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pressure.rs"]
mod tests;
