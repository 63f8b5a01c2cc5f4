//! When a text would end at an engine, and whether it pays to take it elsewhere.
//!
//! ```text
//!  remaining events x pace there, beside one run more  [+ prefill the prompt]
//! ```
//!
//! A pace is the time between two events of one run, in microseconds, over the last seconds.
//! What the engine runs now makes each run a little slower, and one more makes it slower
//! for all; so runs spread over engines that are alike.

use peatgrade_types::Duration;

/// How much slower each run of a full engine is than the only run of an idle one: 41 ms an
/// event beside 12 others, 36 ms alone.
const FULL_BATCH_SLOWDOWN: f64 = 0.12;
/// How far a believed pace is off, as a share: runs of 8 events and more of one engine
/// that others do not slow differ by 3 to 6 % (standard deviation over 3,000 runs).
const PACE_RELATIVE_ERROR: f64 = 0.06;
/// Time from the break of a run to the first byte of the next one: a look at what waits, a
/// new connection, the request and the head of its answer.
const RECONNECT_TIME: Duration = Duration::from_millis(40);
/// Time in which an engine reads a prompt of usual length and what was made so far, between
/// the events of its other runs.
const PREFILL_TIME: Duration = Duration::from_millis(6);
/// What may go wrong with a new run, on average: one in a hundred is cut off or meets an
/// engine that falls silent, which is noticed after 0.9 s and costs another start.
const EXPECTED_FAILURE_COST: Duration = Duration::from_millis(10);
/// A move must gain this many times its price: what is left of a text is known by its
/// average only, and a move that gains next to nothing is a connection and a prompt more.
const MIN_GAIN_RATIO: f64 = 1.2;

/// An engine's pace, and what it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Microseconds between two events of one run, over the last seconds.
    pub us_per_event: f64,
    /// Runs there.
    pub running: u32,
    /// Runs that it takes at once.
    pub slots: u32,
}

impl Pace {
    /// The pace of each run there now.
    pub fn current(&self) -> f64 {
        self.with_runs(self.running)
    }

    /// The pace of each run there once one more has joined.
    pub fn with_additional_run(&self) -> f64 {
        self.with_runs(self.running + 1)
    }

    fn with_runs(&self, runs: u32) -> f64 {
        let load = f64::from(runs) / f64::from(self.slots.max(1));
        self.us_per_event * (1.0 + FULL_BATCH_SLOWDOWN * load)
    }

    /// Microseconds until a run that joins has made `events`.
    pub fn time_to_produce(&self, events: f64, has_prompt_cached: bool) -> f64 {
        let prefill = if has_prompt_cached {
            0.0
        } else {
            PREFILL_TIME.0 as f64
        };
        events * self.with_additional_run() + prefill
    }
}

/// What a move would gain and cost, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveEstimate {
    /// Time by which the text would end earlier, at paces that are both wrong by their
    /// error to the move's disadvantage.
    pub gain_us: f64,
    /// Time that the move takes.
    pub cost_us: f64,
}

impl MoveEstimate {
    /// Weighs taking a run with `remaining` events from one engine to another.
    pub fn new(remaining: f64, here: Pace, there: Pace) -> Self {
        let pace_there = there.with_additional_run();
        let least_here = here.current() * (1.0 - PACE_RELATIVE_ERROR);
        let most_there = pace_there * (1.0 + PACE_RELATIVE_ERROR);
        let first_event = pace_there;
        Self {
            gain_us: remaining * (least_here - most_there),
            cost_us: (RECONNECT_TIME.0 + PREFILL_TIME.0 + EXPECTED_FAILURE_COST.0) as f64
                + first_event,
        }
    }

    /// Whether the move pays.
    pub fn is_worthwhile(&self) -> bool {
        self.gain_us >= self.cost_us * MIN_GAIN_RATIO
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/expected_end.rs"]
mod tests;
