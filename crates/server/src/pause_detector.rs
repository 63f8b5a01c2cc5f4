//! Detects that this process was paused, for instance because the machine was suspended.
//!
//! A paused process resumes with outdated state. The pause is logged, so that operators can
//! tell it from a network failure.

use peatgrade_types::{Duration, Time};

/// Shortest gap between two iterations of the event loop that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(700);

/// Duration of a pause, and the part of it for which the machine was suspended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ProcessPause {
    pub duration: Duration,
    pub suspended: Duration,
}

impl std::fmt::Display for ProcessPause {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (duration, suspended) = (self.duration.as_millis(), self.suspended.as_millis());
        write!(formatter, "paused_ms={duration} suspended_ms={suspended}")
    }
}

/// Detects pauses from the times of event loop iterations.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last_iteration: Time,
    /// Total suspended time at the last iteration.
    suspended: Duration,
}

impl PauseDetector {
    /// Creates a detector. `suspended` is the total time for which this machine has been
    /// suspended since boot.
    pub fn new(now: Time, suspended: Duration) -> Self {
        Self {
            last_iteration: now,
            suspended,
        }
    }

    /// Records an iteration of the event loop. Returns the pause that preceded it, if any.
    pub fn on_iteration(&mut self, now: Time, suspended: Duration) -> Option<ProcessPause> {
        let duration = now.since(self.last_iteration);
        let previous = std::mem::replace(&mut self.suspended, suspended);
        self.last_iteration = now;
        (duration >= MIN_PAUSE).then_some(ProcessPause {
            duration,
            suspended: Duration(suspended.0.saturating_sub(previous.0)),
        })
    }
}

#[cfg(test)]
#[path = "../tests/unit/pause.rs"]
mod tests;
