//! How far one engine is with the orders that it was given.

use peatgrade_types::{Duration, Time};

use super::{ANSWER_TIMEOUT, LOAD_TIMEOUT};
use crate::incarnation::Incarnation;

/// Part of the time that loads were taken to last after one that was over when
/// it was looked at.
const SHORTER_NUMERATOR: u64 = 7;
const SHORTER_DENOMINATOR: u64 = 8;
/// Time that a load takes, before any was seen, and at least: more loads at
/// once than a source can feed are slower for all.
pub(super) const FIRST_LOAD_TIME: Duration = Duration::from_millis(900);
/// How much older than its arrival a report may be.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(120);
/// No report is older than that.
const LONGEST_REPORT_LAG: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// Nothing is known of its orders yet.
    Unseen,
    /// A report was asked for.
    Asked(Time),
    /// Its count of orders is known.
    Idle,
    /// An order is on its way.
    Ordered(Time),
    /// It loads, as far as known.
    Loading(Load),
    /// Nothing is tried before then.
    Pause(Time),
}

/// A load under way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Load {
    /// Next look at it.
    pub look: Time,
    pub since: Time,
    /// When a look last found it under way.
    pub seen_busy: Option<Time>,
}

impl Load {
    /// Whether it was under way for longer than loads usually take, however old
    /// the report was.
    fn outlasts(&self, load_time: Duration) -> bool {
        let expected = self.since + load_time + LONGEST_REPORT_LAG;
        self.seen_busy.is_some_and(|seen| seen >= expected)
    }
}

#[derive(Clone, Debug)]
pub(super) struct EngineProgress {
    /// The life of the engine that all this is of: its count of orders starts anew.
    pub life: Incarnation,
    pub phase: Phase,
    pub orders: u64,
    pub target: Option<(String, u64)>,
}

/// How long the next load is taken to last, after one that is over. An engine is
/// first looked at when its load should be over, so that one which took less
/// looks as if it took just as long: then the next look comes sooner. Otherwise
/// a single slow load would slow all later ones.
pub(super) fn next_load_time(now: Time, expected: Duration, load: &Load) -> Duration {
    if load.seen_busy.is_some() {
        let took = now.since(load.since).0.saturating_sub(REPORT_LAG.0);
        return Duration((expected.0 * 3 + took) / 4);
    }
    let shorter = expected.0 * SHORTER_NUMERATOR / SHORTER_DENOMINATOR;
    Duration(shorter.max(FIRST_LOAD_TIME.0))
}

impl EngineProgress {
    /// An engine of whose orders nothing is known.
    pub fn unseen(life: Incarnation) -> Self {
        Self {
            life,
            phase: Phase::Unseen,
            orders: 0,
            target: None,
        }
    }

    /// Whether it takes part of what may load at once. Its report comes late, so
    /// that a load counts only for as long as loads usually take, unless it was
    /// seen to take longer: more loads beside it would slow it further.
    pub fn holds_place(&self, now: Time, load_time: Duration) -> bool {
        match self.phase {
            Phase::Ordered(_) => true,
            Phase::Loading(load) => load.outlasts(load_time) || now.since(load.since) < load_time,
            _ => false,
        }
    }

    /// When it changes, frees its place or is to be looked at although nothing is heard.
    pub fn next_timer(&self, now: Time, load_time: Duration) -> Option<Time> {
        match self.phase {
            Phase::Unseen | Phase::Idle => None,
            Phase::Asked(since) | Phase::Ordered(since) => Some(since + ANSWER_TIMEOUT),
            Phase::Pause(until) => Some(until),
            Phase::Loading(load) => {
                let place_free = Some(load.since + load_time).filter(|at| *at > now);
                let failed = load.since + LOAD_TIMEOUT;
                Some(
                    place_free
                        .map_or(load.look, |at| at.min(load.look))
                        .min(failed),
                )
            }
        }
    }

    pub fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Ordered(_) | Phase::Loading(_))
    }
}
