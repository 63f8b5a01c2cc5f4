//! Whether this machine can keep another batch job.
//!
//! A job that was accepted must be kept for minutes, so one that would not fit
//! is refused, with the time to come back, rather than lost with the process.

use std::fmt;

/// Bytes beyond what must be kept after which the log file is rewritten, where
/// the disk is large enough.
const REWRITE_BYTES: u64 = 64 * 1024 * 1024;
/// Share of the disk that may wait for a rewrite.
const REWRITE_SHARE: u64 = 4;
/// Share of the memory that may be used when a job is accepted.
const MEMORY_PERCENT: u64 = 85;
const MEGABYTE: u64 = 1024 * 1024;

/// What a machine has; 0 stands for no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Room {
    pub disk_mb: u64,
    pub memory_mb: u64,
}

/// What there is too little of.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Pressure {
    Disk,
    Memory,
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Pressure::Disk => "disk",
            Pressure::Memory => "memory",
        })
    }
}

impl Room {
    /// Bytes beyond `kept` at which the log file is rewritten.
    pub fn rewrite_bytes(&self) -> u64 {
        match self.disk_mb {
            0 => REWRITE_BYTES,
            disk => REWRITE_BYTES.min(disk * MEGABYTE / REWRITE_SHARE),
        }
    }

    /// What is missing for another job, with `kept` bytes of log that must stay
    /// and `resident` bytes of memory. During a rewrite the disk holds what is
    /// kept twice.
    pub fn pressure(&self, kept: u64, resident: u64) -> Option<Pressure> {
        let at_rewrite = 2 * kept + self.rewrite_bytes();
        if self.disk_mb > 0 && at_rewrite > self.disk_mb * MEGABYTE {
            return Some(Pressure::Disk);
        }
        self.lacks_memory(resident).then_some(Pressure::Memory)
    }

    /// Whether `resident` bytes of memory are too many for another job.
    pub fn lacks_memory(&self, resident: u64) -> bool {
        let allowed = self.memory_bytes() * MEMORY_PERCENT / 100;
        self.memory_mb > 0 && resident > allowed
    }

    /// Memory that this process may use; 0 for no limit.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb * MEGABYTE
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pressure.rs"]
mod tests;
