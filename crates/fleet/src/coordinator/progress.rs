//! Progress of one engine with the orders that it received.

use peatgrade_types::{Duration, Time};

use super::{ANSWER_TIMEOUT, LOAD_TIMEOUT};
use crate::incarnation::Incarnation;

/// Factor applied to the expected load time after a load that was complete at its first check.
const DECREASE_NUMERATOR: u64 = 7;
const DECREASE_DENOMINATOR: u64 = 8;
/// Initial and minimum expected load time. More concurrent loads than the weight source can
/// feed would slow down all of them.
pub(super) const MIN_LOAD_TIME: Duration = Duration::from_millis(900);
/// Typical age of a report on arrival.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(120);
/// Maximum age of a report on arrival.
const MAX_REPORT_LAG: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// The engine's order count is not known.
    Unknown,
    /// A report was requested at this time.
    ReportRequested(Time),
    /// The engine's order count is known.
    Idle,
    /// An order was sent at this time.
    Ordered(Time),
    /// It is loading, as far as known.
    Loading(Load),
    /// Nothing is sent before this time.
    BackingOff(Time),
}

/// A load in progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Load {
    /// Time of the next report request.
    pub next_check: Time,
    pub since: Time,
    /// When a report last showed it in progress.
    pub last_seen_busy: Option<Time>,
}

impl Load {
    /// Whether it took longer than expected even if the report had the maximum age.
    fn exceeds(&self, load_time: Duration) -> bool {
        let expected = self.since + load_time + MAX_REPORT_LAG;
        self.last_seen_busy.is_some_and(|seen| seen >= expected)
    }
}

#[derive(Clone, Debug)]
pub(super) struct EngineProgress {
    /// The incarnation that this belongs to. The order count restarts with each incarnation.
    pub incarnation: Incarnation,
    pub phase: Phase,
    pub orders: u64,
    pub target: Option<(String, u64)>,
}

/// Expected duration of the next load after a completed one. A load is first checked when it
/// should be complete, so a faster one is not noticed: the estimate is then decreased, or a
/// single slow load would delay all later ones.
pub(super) fn next_load_time(now: Time, expected: Duration, load: &Load) -> Duration {
    if load.last_seen_busy.is_some() {
        let took = now.since(load.since).0.saturating_sub(REPORT_LAG.0);
        return Duration((expected.0 * 3 + took) / 4);
    }
    let decreased = expected.0 * DECREASE_NUMERATOR / DECREASE_DENOMINATOR;
    Duration(decreased.max(MIN_LOAD_TIME.0))
}

impl EngineProgress {
    /// An engine whose order count is not known.
    pub fn unknown(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            phase: Phase::Unknown,
            orders: 0,
            target: None,
        }
    }

    /// Whether it counts towards the limit of concurrent loads. Since reports arrive late, a
    /// load counts only for the expected duration, unless a report showed it to take longer.
    pub fn occupies_slot(&self, now: Time, load_time: Duration) -> bool {
        match self.phase {
            Phase::Ordered(_) => true,
            Phase::Loading(load) => load.exceeds(load_time) || now.since(load.since) < load_time,
            _ => false,
        }
    }

    /// Time of the next timeout, check or release of its load slot.
    pub fn next_timer(&self, now: Time, load_time: Duration) -> Option<Time> {
        match self.phase {
            Phase::Unknown | Phase::Idle => None,
            Phase::ReportRequested(since) | Phase::Ordered(since) => Some(since + ANSWER_TIMEOUT),
            Phase::BackingOff(until) => Some(until),
            Phase::Loading(load) => {
                let slot_free_at = Some(load.since + load_time).filter(|at| *at > now);
                let failed = load.since + LOAD_TIMEOUT;
                Some(
                    slot_free_at
                        .map_or(load.next_check, |at| at.min(load.next_check))
                        .min(failed),
                )
            }
        }
    }

    pub fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Ordered(_) | Phase::Loading(_))
    }
}
