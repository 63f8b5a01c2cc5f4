//! Circuit state per engine, from the outcomes of requests.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// Failures in a row that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;
/// First time an open circuit waits before one request may try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such time.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Whether requests may go to an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CircuitState {
    /// Requests flow.
    Closed,
    /// No request until the wait is over.
    Open,
    /// One request may try.
    HalfOpen,
}

#[derive(Clone, Debug, Default)]
struct CircuitBreaker {
    failures: u32,
    open_until: Option<Time>,
    backoff: Duration,
    probe_sent_at: Option<Time>,
}

/// Circuits of all engines.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreakers {
    breakers: BTreeMap<EngineId, CircuitBreaker>,
}

impl CircuitBreakers {
    /// State of one circuit.
    pub fn state(&self, now: Time, engine: EngineId) -> CircuitState {
        let Some(breaker) = self.breakers.get(&engine) else {
            return CircuitState::Closed;
        };
        let Some(until) = breaker.open_until else {
            return CircuitState::Closed;
        };
        // A trial whose end was never seen does not block the circuit for good.
        let probe_in_flight = breaker
            .probe_sent_at
            .is_some_and(|since| now.since(since) < MAX_BACKOFF);
        if now < until || probe_in_flight {
            CircuitState::Open
        } else {
            CircuitState::HalfOpen
        }
    }

    /// Notes that a request goes out; in a half-open circuit it is the trial.
    pub fn record_sent(&mut self, now: Time, engine: EngineId) {
        if self.state(now, engine) == CircuitState::HalfOpen {
            if let Some(breaker) = self.breakers.get_mut(&engine) {
                breaker.probe_sent_at = Some(now);
            }
        }
    }

    /// Notes a success, which closes the circuit.
    pub fn record_success(&mut self, engine: EngineId) {
        self.breakers.remove(&engine);
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Time, engine: EngineId) {
        let breaker = self.breakers.entry(engine).or_default();
        breaker.failures += 1;
        breaker.probe_sent_at = None;
        if breaker.failures >= FAILURE_THRESHOLD {
            let doubled = Duration(breaker.backoff.0 * 2);
            breaker.backoff = doubled.clamp(INITIAL_BACKOFF, MAX_BACKOFF);
            breaker.open_until = Some(now + breaker.backoff);
        }
    }
}
