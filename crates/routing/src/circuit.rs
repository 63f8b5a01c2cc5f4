//! CircuitBreakers state per engine, from the outcomes of requests.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// Failures in a row that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;
/// First time an open circuit waits before one request may try.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Longest such time.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

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
struct Entry {
    failures: u32,
    open_until: Option<Time>,
    wait: Duration,
    trial_since: Option<Time>,
}

/// Circuits of all engines.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreakers {
    entries: BTreeMap<EngineId, Entry>,
}

impl CircuitBreakers {
    /// State of one circuit.
    pub fn state(&self, now: Time, engine: EngineId) -> CircuitState {
        let Some(entry) = self.entries.get(&engine) else {
            return CircuitState::Closed;
        };
        let Some(until) = entry.open_until else {
            return CircuitState::Closed;
        };
        // A trial whose end was never seen does not block the circuit for good.
        let trial_runs = entry
            .trial_since
            .is_some_and(|since| now.since(since) < LONGEST_WAIT);
        if now < until || trial_runs {
            CircuitState::Open
        } else {
            CircuitState::HalfOpen
        }
    }

    /// Notes that a request goes out; in a half-open circuit it is the trial.
    pub fn record_sent(&mut self, now: Time, engine: EngineId) {
        if self.state(now, engine) == CircuitState::HalfOpen {
            if let Some(entry) = self.entries.get_mut(&engine) {
                entry.trial_since = Some(now);
            }
        }
    }

    /// Notes a success, which closes the circuit.
    pub fn record_success(&mut self, engine: EngineId) {
        self.entries.remove(&engine);
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Time, engine: EngineId) {
        let entry = self.entries.entry(engine).or_default();
        entry.failures += 1;
        entry.trial_since = None;
        if entry.failures >= FAILURES_TO_OPEN {
            let doubled = Duration(entry.wait.0 * 2);
            entry.wait = doubled.clamp(FIRST_WAIT, LONGEST_WAIT);
            entry.open_until = Some(now + entry.wait);
        }
    }
}
