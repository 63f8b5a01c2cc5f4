//! Circuit breakers per engine, driven by the outcomes of requests.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// Consecutive failures that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;
/// Time until the first trial request after the circuit opens.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum time between trial requests.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Whether requests may go to an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CircuitState {
    /// Requests are allowed.
    Closed,
    /// No requests are allowed until the backoff has passed.
    Open,
    /// One trial request is allowed.
    HalfOpen,
}

#[derive(Clone, Debug, Default)]
struct CircuitBreaker {
    failures: u32,
    open_until: Option<Time>,
    backoff: Duration,
    trial_sent_at: Option<Time>,
}

/// Circuit breakers of all engines.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreakers {
    breakers: BTreeMap<EngineId, CircuitBreaker>,
}

impl CircuitBreakers {
    /// State of an engine's circuit.
    pub fn state(&self, now: Time, engine: EngineId) -> CircuitState {
        let Some(breaker) = self.breakers.get(&engine) else {
            return CircuitState::Closed;
        };
        let Some(until) = breaker.open_until else {
            return CircuitState::Closed;
        };
        // A trial request whose outcome was never reported expires.
        let trial_in_flight = breaker
            .trial_sent_at
            .is_some_and(|since| now.since(since) < MAX_BACKOFF);
        if now < until || trial_in_flight {
            CircuitState::Open
        } else {
            CircuitState::HalfOpen
        }
    }

    /// Records that a request was sent; if the circuit is half open, it is the trial request.
    pub fn record_sent(&mut self, now: Time, engine: EngineId) {
        if self.state(now, engine) == CircuitState::HalfOpen {
            if let Some(breaker) = self.breakers.get_mut(&engine) {
                breaker.trial_sent_at = Some(now);
            }
        }
    }

    /// Records a success, which closes the circuit.
    pub fn record_success(&mut self, engine: EngineId) {
        self.breakers.remove(&engine);
    }

    /// Records a failure, which may open the circuit.
    pub fn record_failure(&mut self, now: Time, engine: EngineId) {
        let breaker = self.breakers.entry(engine).or_default();
        breaker.failures += 1;
        breaker.trial_sent_at = None;
        if breaker.failures >= FAILURE_THRESHOLD {
            let doubled = Duration(breaker.backoff.0 * 2);
            breaker.backoff = doubled.clamp(INITIAL_BACKOFF, MAX_BACKOFF);
            breaker.open_until = Some(now + breaker.backoff);
        }
    }
}
