//! Whether a request is offered to an engine or rejected at once, and when a rejected
//! caller may come back.
//!
//! The loads that this answers: engines of a service that are all gone or dark, and
//! engines so full that the answer would come after the caller has left. Either is known
//! here before anything is sent, and a caller who hears it at once has time for another
//! machine, which may know better.
//!
//! Only news that cannot have outlived their cause count. A rejection brings no news, so
//! what it rests on must run out by itself: otherwise one bad belief would reject for
//! ever.

use peatgrade_fleet::{EngineSnapshot, EngineState};
use peatgrade_types::{Duration, Time};

/// Shortest time to come back: a place comes free in the time of an answer, and these
/// take some tens of milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// The share of its own length by which that time is spread at least: callers who were
/// rejected together would come back together.
const LEAST_SPREAD: f64 = 0.5;
/// Part of the time that a caller has left within which it comes back, as callers do: two
/// thirds are left for the answer.
const RETURN_SHARE: u64 = 3;
/// Time in which rejections count as lately, as a mean life.
const LATELY: Duration = Duration::from_millis(1_000);

/// An engine that a request may go to, as admission sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether a connection there comes up, as far as known.
    pub is_listening: bool,
    /// Time until it is worth another try, if it is not.
    pub retry_in: Duration,
    /// Time until the request would have its answer; none if nothing fresh is known.
    pub expected_latency: Option<Duration>,
}

impl Candidate {
    /// An engine as it stands now.
    pub fn from_state(state: &EngineState, outlook: &EngineSnapshot, now: Time) -> Self {
        let experience = &state.stats;
        let is_silent = !outlook.is_reachable || experience.connect_timeouts > 0;
        // What the engine said of its load lapses within a second, as it must.
        let is_own = !outlook.has_peer_load && !outlook.is_suspect;
        let fresh = experience.fresh_load(now).filter(|_| is_own);
        Self {
            // What others told lasts for 5 s and may be false: it does not make an own wait
            // longer, and rejects no request that an engine would serve (reasoned).
            is_listening: !(is_silent && experience.is_backing_off(now)),
            retry_in: experience.backoff_until.since(now),
            expected_latency: fresh.map(|_| outlook.expected_latency()),
        }
    }

    /// Time from now until it could serve a request that has so much time left; zero if
    /// it can now.
    fn servable_in(&self, left: Duration) -> Duration {
        if !self.is_listening {
            return self.retry_in.max(LEAST_WAIT);
        }
        let late = self
            .expected_latency
            .map(|answer| answer.0.saturating_sub(left.0));
        Duration(late.unwrap_or(0))
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectionReason {
    /// No engine of the service is listed, or the request has met them all.
    NoEngine,
    /// A connection comes up at none of them.
    NoneListens,
    /// All that listen would answer after the caller's deadline.
    TooLate,
}

/// A request is not offered to any engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// Time until an engine may serve it.
    pub available_in: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// It is offered to the best engine.
    Admit,
    /// It is not offered to any.
    Reject(Rejection),
}

/// Decides on a request that has so much time left, from the engines that it may go to.
pub fn decide(left: Duration, prospects: &[Candidate]) -> Admission {
    let soonest = prospects.iter().map(|prospect| prospect.servable_in(left));
    let Some(available_in) = soonest.min() else {
        let (reason, available_in) = (RejectionReason::NoEngine, LEAST_WAIT);
        return Admission::Reject(Rejection {
            reason,
            available_in,
        });
    };
    if available_in == Duration(0) {
        return Admission::Admit;
    }
    let listens = prospects.iter().any(|prospect| prospect.is_listening);
    let reason = match listens {
        true => RejectionReason::TooLate,
        false => RejectionReason::NoneListens,
    };
    Admission::Reject(Rejection {
        reason,
        available_in,
    })
}

/// Rejections of this machine, those of late counting most.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionRate {
    recent: f64,
    updated: Time,
}

impl RejectionRate {
    /// Takes note of one; how many there were lately, with it.
    pub fn record(&mut self, now: Time) -> f64 {
        let age = now.since(self.updated).0 as f64 / LATELY.0 as f64;
        self.recent = self.recent * (-age).exp() + 1.0;
        self.updated = now;
        self.recent
    }
}

/// When a rejected caller may come back.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Time until an engine may serve it.
    pub available_in: Duration,
    /// Rejections of late, with this one.
    pub recent_rejections: f64,
    /// Time that an answer takes, divided by the places that give answers.
    pub time_per_slot: Duration,
    /// Time that the caller has left.
    pub time_remaining: Duration,
}

impl RetryAfter {
    /// The time, by a draw from 0 to 1. Those who were rejected lately are spread over the
    /// time in which the engines can serve as many.
    pub fn delay(&self, draw: f64) -> Duration {
        let first = self.available_in.max(LEAST_WAIT).0 as f64;
        let serving = self.recent_rejections * self.time_per_slot.0 as f64;
        let spread = serving.max(first * LEAST_SPREAD);
        let wished = Duration((first + draw * spread) as u64);
        wished.min(Duration(self.time_remaining.0 / RETURN_SHARE))
    }
}
