//! Admission control: whether a request is sent to an engine or rejected immediately, and
//! when a rejected caller may retry.
//!
//! A request is rejected if no engine of its service is reachable, or if all reachable
//! engines are so loaded that the response would miss the caller's deadline. Failing fast
//! leaves the caller time to try another gateway, which may have a different view.
//!
//! A rejected request yields no new observations, so rejections rely only on state that
//! expires. Otherwise a single stale observation could reject requests indefinitely.

use peatgrade_fleet::{EngineSnapshot, EngineState};
use peatgrade_types::{Duration, Time};

/// Minimum retry delay, on the order of the time in which an engine frees a slot.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Minimum jitter as a fraction of the retry delay, so that callers that were rejected
/// together do not retry together.
const MIN_JITTER_FRACTION: f64 = 0.5;
/// A caller is told to retry within the first third of its remaining time, which leaves two
/// thirds for the response.
const DEADLINE_DIVISOR: u64 = 3;
/// Mean life of the exponential decay of the rejection count.
const REJECTION_MEAN_LIFE: Duration = Duration::from_millis(1_000);

/// An engine that may receive a request, as seen by admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the engine is believed to accept connections.
    pub is_listening: bool,
    /// Time until another attempt is allowed, if it is not listening.
    pub retry_in: Duration,
    /// Expected time until the response; `None` without a recent load report.
    pub expected_latency: Option<Duration>,
}

impl Candidate {
    /// The candidate for an engine's current state.
    pub fn from_state(state: &EngineState, snapshot: &EngineSnapshot, now: Time) -> Self {
        let stats = &state.stats;
        let is_unreachable = !snapshot.is_reachable || stats.connect_timeouts > 0;
        // Load reports received directly from the engine expire within a second.
        let is_own_observation = !snapshot.has_peer_load && !snapshot.is_suspect;
        let fresh = stats.fresh_load(now).filter(|_| is_own_observation);
        Self {
            // Observations from other machines live longer and may be wrong: they neither
            // extend a local backoff nor cause a rejection.
            is_listening: !(is_unreachable && stats.is_backing_off(now)),
            retry_in: stats.backoff_until.since(now),
            expected_latency: fresh.map(|_| snapshot.expected_latency()),
        }
    }

    /// Time until the engine could serve a request with `left` time remaining; zero if it
    /// can do so now.
    fn servable_in(&self, left: Duration) -> Duration {
        if !self.is_listening {
            return self.retry_in.max(MIN_RETRY_AFTER);
        }
        let excess = self
            .expected_latency
            .map(|answer| answer.0.saturating_sub(left.0));
        Duration(excess.unwrap_or(0))
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectionReason {
    /// The service has no registered engine, or the request has tried all of them.
    NoEngine,
    /// None of the engines accepts connections.
    NoneListens,
    /// All reachable engines would respond after the caller's deadline.
    TooLate,
}

/// Details of a rejected request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rejection {
    /// Why no engine can serve the request.
    pub reason: RejectionReason,
    /// Estimated time until an engine can serve it.
    pub available_in: Duration,
}

/// The admission decision for a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// Send the request to the selected engine.
    Admit,
    /// Do not send the request to any engine.
    Reject(Rejection),
}

/// Decides whether a request with `left` time remaining can be served by any candidate.
pub fn decide(left: Duration, candidates: &[Candidate]) -> Admission {
    let available_in = candidates
        .iter()
        .map(|candidate| candidate.servable_in(left));
    let Some(available_in) = available_in.min() else {
        let (reason, available_in) = (RejectionReason::NoEngine, MIN_RETRY_AFTER);
        return Admission::Reject(Rejection {
            reason,
            available_in,
        });
    };
    if available_in == Duration(0) {
        return Admission::Admit;
    }
    let listens = candidates.iter().any(|candidate| candidate.is_listening);
    let reason = match listens {
        true => RejectionReason::TooLate,
        false => RejectionReason::NoneListens,
    };
    Admission::Reject(Rejection {
        reason,
        available_in,
    })
}

/// Exponentially decayed count of this machine's rejections.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionRate {
    recent: f64,
    updated: Time,
}

impl RejectionRate {
    /// Counts one rejection and returns the decayed count including it.
    pub fn record(&mut self, now: Time) -> f64 {
        let age = now.since(self.updated).0 as f64 / REJECTION_MEAN_LIFE.0 as f64;
        self.recent = self.recent * (-age).exp() + 1.0;
        self.updated = now;
        self.recent
    }
}

/// Inputs for the retry delay of a rejected caller.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Estimated time until an engine can serve it.
    pub available_in: Duration,
    /// Decayed count of recent rejections, including this one.
    pub recent_rejections: f64,
    /// Mean latency divided by the number of slots of the service.
    pub time_per_slot: Duration,
    /// Time until the caller's deadline.
    pub time_remaining: Duration,
}

impl RetryAfter {
    /// Returns the delay for a random `draw` in `0..=1`. Recently rejected callers are spread
    /// over the time that the engines need to serve all of them.
    pub fn delay(&self, draw: f64) -> Duration {
        let first = self.available_in.max(MIN_RETRY_AFTER).0 as f64;
        let drain_time = self.recent_rejections * self.time_per_slot.0 as f64;
        let spread = drain_time.max(first * MIN_JITTER_FRACTION);
        let delay = Duration((first + draw * spread) as u64);
        delay.min(Duration(self.time_remaining.0 / DEADLINE_DIVISOR))
    }
}
