//! Estimates when a text would end on an engine, and whether moving its run is worthwhile.
//!
//! ```text
//!  remaining events x pace with one additional run  [+ reading the prompt]
//! ```
//!
//! A pace is the recent time between two events of one run, in microseconds. Each run in an
//! engine's batch slows the others, so runs spread over engines of similar pace.

use peatgrade_types::Duration;

/// Relative slowdown of each run on a full engine, compared with a single run. An event takes 41 ms
/// beside 12 other runs and 36 ms alone.
const FULL_BATCH_SLOWDOWN: f64 = 0.12;
/// Relative error of an estimated pace. Paces of runs of 8 events or more on the same engine differ
/// by 3 to 6 %.
const PACE_RELATIVE_ERROR: f64 = 0.06;
/// Time from cancelling a run to the first byte of the next one: scheduling, connecting,
/// sending the request and receiving the response head.
const RECONNECT_TIME: Duration = Duration::from_millis(40);
/// Time in which an engine reads a prompt and the text so far.
const PREFILL_TIME: Duration = Duration::from_millis(6);
/// Average delay caused by failures of a newly started run. One in a hundred is cut off or meets a
/// silent engine, which is noticed after 0.9 s.
const EXPECTED_FAILURE_COST: Duration = Duration::from_millis(10);
/// Minimum ratio of a move's gain to its cost. Above 1, since the remaining length is only
/// an estimate.
const MIN_GAIN_RATIO: f64 = 1.2;

/// An engine's pace and load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Recent time between two events of a single run.
    pub us_per_event: f64,
    /// Number of runs on the engine.
    pub running: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
}

impl Pace {
    /// Pace of each run at the current load, in microseconds.
    pub fn current(&self) -> f64 {
        self.with_runs(self.running)
    }

    /// Pace of each run after one more has started, in microseconds.
    pub fn with_additional_run(&self) -> f64 {
        self.with_runs(self.running + 1)
    }

    fn with_runs(&self, runs: u32) -> f64 {
        let load = f64::from(runs) / f64::from(self.slots.max(1));
        self.us_per_event * (1.0 + FULL_BATCH_SLOWDOWN * load)
    }

    /// Microseconds in which a new run produces `events`.
    pub fn time_to_produce(&self, events: f64, has_prompt_cached: bool) -> f64 {
        let prefill = if has_prompt_cached {
            0.0
        } else {
            PREFILL_TIME.0 as f64
        };
        events * self.with_additional_run() + prefill
    }
}

/// Estimated gain and cost of moving a run to another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveEstimate {
    /// Time by which the text would end earlier, assuming the error of both paces to the
    /// move's disadvantage.
    pub gain_us: f64,
    /// Time until the first event on the new engine.
    pub cost_us: f64,
}

impl MoveEstimate {
    /// Estimates moving a run with `remaining_events` from one engine to another.
    pub fn new(remaining_events: f64, here: Pace, there: Pace) -> Self {
        let pace_there = there.with_additional_run();
        let min_pace_here = here.current() * (1.0 - PACE_RELATIVE_ERROR);
        let max_pace_there = pace_there * (1.0 + PACE_RELATIVE_ERROR);
        let first_event = pace_there;
        Self {
            gain_us: remaining_events * (min_pace_here - max_pace_there),
            cost_us: (RECONNECT_TIME.0 + PREFILL_TIME.0 + EXPECTED_FAILURE_COST.0) as f64
                + first_event,
        }
    }

    pub fn is_worthwhile(&self) -> bool {
        self.gain_us >= self.cost_us * MIN_GAIN_RATIO
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/expected_end.rs"]
mod tests;
