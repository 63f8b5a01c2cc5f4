//! What this machine has seen of one engine.

use peatgrade_types::{Duration, Time};

/// Weight of a new latency in its running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new gap between events in its running mean. Gaps come in whole
/// steps of an engine's batch, so that few of them tell little.
const PACE_WEIGHT: f64 = 0.06;
/// First time that an engine is avoided after a failure; doubles each time.
const FIRST_BLOCK: Duration = Duration::from_millis(400);
/// Longest such time.
const MAX_BLOCK: Duration = Duration::from_millis(4_000);
/// How long a load report counts.
const LOAD_FRESH: Duration = Duration::from_millis(1_000);

/// Own experience of an engine.
#[derive(Clone, Debug, Default)]
pub struct Experience {
    /// Requests of this machine under way there.
    pub running: u32,
    /// Mean time to an answer, in microseconds; 0 before any.
    pub latency: f64,
    /// Mean time between two events of a generation, in microseconds; 0
    /// before any.
    pub pace: f64,
    /// Failures in a row.
    pub failures: u32,
    /// Avoided until then, unless nothing else is there.
    pub blocked_until: Time,
    /// Requests running and waiting there, as it last said.
    pub load: Option<(Time, u32, u32)>,
    /// When the last answer or event came.
    pub heard: Time,
}

impl Experience {
    /// Takes note of a whole answer.
    pub fn answered(&mut self, now: Time, took: Duration) {
        self.failures = 0;
        self.blocked_until = Time(0);
        self.heard = now;
        self.latency = mean(self.latency, took.0 as f64, LATENCY_WEIGHT);
    }

    /// Takes note of `count` events that came in `span`.
    pub fn events(&mut self, now: Time, span: Duration, count: u32) {
        self.failures = 0;
        self.heard = now;
        let gap = span.0 as f64 / f64::from(count.max(1));
        let weight = 1.0 - (1.0 - PACE_WEIGHT).powi(count as i32);
        self.pace = mean(self.pace, gap, weight);
    }

    /// Takes note of a failure.
    pub fn failed(&mut self, now: Time) {
        let factor = 1_u64 << self.failures.min(4);
        self.failures += 1;
        let span = Duration((FIRST_BLOCK.0 * factor).min(MAX_BLOCK.0));
        self.blocked_until = now + span;
    }

    /// Takes note of a refusal: it is full, not broken.
    pub fn refused(&mut self, now: Time, span: Duration) {
        self.blocked_until = self.blocked_until.max(now + span);
    }

    /// Whether it is avoided now.
    pub fn blocked(&self, now: Time) -> bool {
        now < self.blocked_until
    }

    /// Requests there: this machine's own, or what the engine last said if
    /// that is more.
    pub fn occupied(&self, now: Time) -> u32 {
        let told = self.load.filter(|(at, ..)| now.since(*at) <= LOAD_FRESH);
        let told = told.map_or(0, |(_, running, waiting)| running + waiting);
        self.running.max(told)
    }
}

fn mean(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * weight
}
