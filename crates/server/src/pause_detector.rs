//! Notices that this process stood still.
//!
//! A machine that was frozen goes on with what it had in hand and believes what
//! it believed. From outside this looks like silence; its own log should say so.

use peatgrade_types::{Duration, Time};

/// A gap between two rounds of the main task that no load explains.
const MIN_PAUSE: Duration = Duration::from_millis(700);

/// How long a process stood still, and for how much of that its machine was suspended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ProcessPause {
    pub duration: Duration,
    pub suspended: Duration,
}

/// As logs show it.
impl std::fmt::Display for ProcessPause {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (duration, suspended) = (self.duration.as_millis(), self.suspended.as_millis());
        write!(formatter, "paused_ms={duration} suspended_ms={suspended}")
    }
}

/// Watches the rounds of a main task.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last_iteration: Time,
    /// Time for which the machine had been suspended by then.
    suspended: Duration,
}

impl PauseDetector {
    /// Watches from now on. `suspended` is the time for which this machine has been
    /// suspended since its start.
    pub fn new(now: Time, suspended: Duration) -> Self {
        Self {
            last_iteration: now,
            suspended,
        }
    }

    /// Takes note of a round; how long the process stood still before it, if it
    /// did.
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
#[path = "../tests/unit/pause_detector.rs"]
mod tests;
