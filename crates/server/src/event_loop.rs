//! Measures how long the main task works before it can hear or send anything again.
//!
//! Heartbeats leave only between two turns, so a turn of a leader that outlasts the
//! election time costs it the lead.

use peatgrade_types::{Duration, Time};

use crate::metrics::Metrics;

/// A turn that is worth a line: two heartbeats of the replicated log (45 ms each)
/// are late by then, and half of its lease is gone.
const SLOW_ITERATION: Duration = Duration::from_millis(90);

/// What was done in a turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IterationWork {
    /// Messages, parts of answers and news that were handled.
    pub inputs: usize,
    /// Runs and reward calls that were started.
    pub started: usize,
    /// Runs that were broken off.
    pub cancelled: usize,
    /// Log entries that were applied.
    pub applied: usize,
}

/// Watches the turns of a main task.
#[derive(Debug)]
pub(crate) struct IterationMonitor {
    started_at: Time,
    /// What has been done since the turn began.
    pub work: IterationWork,
}

impl IterationMonitor {
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            work: IterationWork::default(),
        }
    }

    /// A turn begins: something arrived or is due.
    pub fn begin(&mut self, now: Time) {
        self.started_at = now;
        self.work = IterationWork::default();
    }

    /// The turn is over; how long it took, if that is worth a line.
    pub fn end(&self, now: Time, metrics: &Metrics) -> Option<Duration> {
        let elapsed = now.since(self.started_at);
        metrics.iteration_seconds.observe(elapsed.as_secs_f64());
        (elapsed >= SLOW_ITERATION).then_some(elapsed)
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_loop.rs"]
mod tests;
