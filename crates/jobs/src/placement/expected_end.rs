//! When a text would end at an engine, and whether it pays to take it elsewhere.
//!
//! ```text
//!  remaining events x pace there, beside one run more  [+ reading the prompt]
//! ```
//!
//! A pace is the time between two events of one run, in microseconds, over the last seconds.
//! What the engine runs now makes each run a little slower, and one more makes it slower
//! for all; so runs spread over engines that are alike.

use peatgrade_types::Duration;

/// How much slower each run of a full engine is than the only run of an idle one: 41 ms an
/// event beside 12 others, 36 ms alone.
const FULL_BATCH_SHARE: f64 = 0.12;
/// How far a believed pace is off, as a share: runs of 8 events and more of one engine
/// that others do not slow differ by 3 to 6 % (standard deviation over 3,000 runs).
const PACE_ERROR: f64 = 0.06;
/// Time from the break of a run to the first byte of the next one: a look at what waits, a
/// new connection, the request and the head of its answer.
const RECONNECT: Duration = Duration::from_millis(40);
/// Time in which an engine reads a prompt of usual length and what was made so far, between
/// the events of its other runs.
const READING: Duration = Duration::from_millis(6);
/// What may go wrong with a new run, on average: one in a hundred is cut off or meets an
/// engine that falls silent, which is noticed after 0.9 s and costs another start.
const RISK: Duration = Duration::from_millis(10);
/// A move must gain this many times its price: what is left of a text is known by its
/// average only, and a move that gains next to nothing is a connection and a prompt more.
const MARGIN: f64 = 1.2;

/// An engine's pace, and what it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Microseconds between two events of one run, over the last seconds.
    pub per_event: f64,
    /// Runs there.
    pub running: u32,
    /// Runs that it takes at once.
    pub slots: u32,
}

impl Pace {
    /// The pace of each run there now.
    pub fn now(&self) -> f64 {
        self.beside(self.running)
    }

    /// The pace of each run there once one more has joined.
    pub fn with_one_more(&self) -> f64 {
        self.beside(self.running + 1)
    }

    fn beside(&self, runs: u32) -> f64 {
        let load = f64::from(runs) / f64::from(self.slots.max(1));
        self.per_event * (1.0 + FULL_BATCH_SHARE * load)
    }

    /// Microseconds until a run that joins has made `events`.
    pub fn until_made(&self, events: f64, keeps_prompt: bool) -> f64 {
        let reading = if keeps_prompt { 0.0 } else { READING.0 as f64 };
        events * self.with_one_more() + reading
    }
}

/// What a move would gain and cost, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveWeighed {
    /// Time by which the text would end earlier, at paces that are both wrong by their
    /// error to the move's disadvantage.
    pub gain: f64,
    /// Time that the move takes.
    pub price: f64,
}

impl MoveWeighed {
    /// Weighs taking a run with `remaining` events from one engine to another.
    pub fn of(remaining: f64, here: Pace, there: Pace) -> Self {
        let pace_there = there.with_one_more();
        let least_here = here.now() * (1.0 - PACE_ERROR);
        let most_there = pace_there * (1.0 + PACE_ERROR);
        let first_event = pace_there;
        Self {
            gain: remaining * (least_here - most_there),
            price: (RECONNECT.0 + READING.0 + RISK.0) as f64 + first_event,
        }
    }

    /// Whether the move pays.
    pub fn pays(&self) -> bool {
        self.gain >= self.price * MARGIN
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/expected_end.rs"]
mod tests;
