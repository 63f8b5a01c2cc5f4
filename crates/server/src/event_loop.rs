//! Measures the duration of event loop iterations.
//!
//! Heartbeats are sent only between iterations, so a leader whose iteration takes longer than
//! the election timeout loses its leadership.

use peatgrade_types::{Duration, Time};

use crate::metrics::Metrics;

/// Duration from which an iteration is logged: two heartbeat intervals of the replicated log.
const SLOW_ITERATION: Duration = Duration::from_millis(90);

/// Work done in one iteration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IterationWork {
    /// Number of messages, response parts and updates handled.
    pub inputs: usize,
    /// Number of runs and reward calls started.
    pub started: usize,
    /// Number of runs cancelled.
    pub cancelled: usize,
    /// Number of log entries applied.
    pub applied: usize,
    /// Time for which the loop waited for the disk to sync the log.
    pub synced: Duration,
}

/// Measures the iterations of an event loop.
#[derive(Debug)]
pub(crate) struct IterationMonitor {
    started_at: Time,
    /// Work done since the start of the iteration.
    pub work: IterationWork,
}

impl IterationMonitor {
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            work: IterationWork::default(),
        }
    }

    /// Starts an iteration.
    pub fn begin(&mut self, now: Time) {
        self.started_at = now;
        self.work = IterationWork::default();
    }

    /// Ends the iteration. Returns its duration if it was slow.
    pub fn end(&self, now: Time, metrics: &Metrics) -> Option<Duration> {
        let elapsed = now.since(self.started_at);
        metrics.iteration_seconds.observe(elapsed.as_secs_f64());
        (elapsed >= SLOW_ITERATION).then_some(elapsed)
    }
}

#[cfg(test)]
#[path = "../tests/unit/turns.rs"]
mod tests;
