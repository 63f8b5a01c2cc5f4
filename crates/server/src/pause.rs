//! Notices that this process stood still.
//!
//! A machine that was frozen goes on with what it had in hand and believes what
//! it believed. From outside this looks like silence; its own log should say so.

use peatgrade_types::{Duration, Time};

/// A gap between two rounds of the main task that no load explains.
const PAUSE: Duration = Duration::from_millis(700);

/// Watches the rounds of a main task.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    last: Time,
}

impl PauseWatch {
    pub fn new(now: Time) -> Self {
        Self { last: now }
    }

    /// Takes note of a round; how long the process stood still before it, if it
    /// did.
    pub fn round(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        (gap >= PAUSE).then_some(gap)
    }
}

#[cfg(test)]
#[path = "../tests/unit/pause.rs"]
mod tests;
