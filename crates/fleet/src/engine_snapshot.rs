//! What this machine takes for true of an engine just now. Lookups, reward calls and
//! items all choose an engine by it, so that they agree on which one is free or slow.
//!
//! What was seen here comes first; what others told fills in where nothing was seen here,
//! or where it is older.

use peatgrade_observations::{LocalEvidence, PeerHealth, PeerSummary};
use peatgrade_ports::EngineLoad;
use peatgrade_types::{Duration, Time};

use crate::directory::EngineState;

/// Usual time of an answer of an engine that none was seen of: an untried engine counts
/// as fast, so that it is tried.
const UNTRIED_ANSWER: Duration = Duration::from_millis(1);
/// What a request loses at an engine that others doubt: if the doubt is right, which one
/// report leaves open, it waits 60 to 200 ms until a second engine is tried.
const DOUBT_COST: Duration = Duration::from_millis(60);

/// An engine as it stands just now, as far as this machine knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSnapshot {
    /// Whether anybody answers there under its name.
    pub is_reachable: bool,
    /// Whether it is left alone for a while after a failure or a refusal, or because two
    /// machines saw it fail.
    pub is_avoided: bool,
    /// Whether one other machine saw it fail, machines differ, or requests of this one
    /// wait for answers: it is used where the others are much slower.
    pub is_suspect: bool,
    /// Requests that run or wait there.
    pub active_requests: u32,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// How much longer work takes there just now than usual; 1 if it does not say.
    pub slowdown: f64,
    /// Usual time of an answer; none before one was seen.
    pub mean_latency: Option<Duration>,
    /// Usual time between two events of a generation, in microseconds; none before a few
    /// were seen.
    pub event_interval_us: Option<f64>,
    /// Whether its load is what others told: many machines know the same of it.
    pub has_peer_load: bool,
    /// Age of the newest failure that others told and that counts; none if there is none.
    pub peer_failure_age: Option<Duration>,
}

impl EngineSnapshot {
    /// Whether nothing speaks against it.
    pub fn is_healthy(&self) -> bool {
        self.is_reachable && !self.is_avoided
    }

    /// Places that are free now.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.active_requests)
    }

    /// Time until one more request would have its answer: what is ahead of it beyond the
    /// free places, and its own work at the pace just now.
    pub fn expected_latency(&self) -> Duration {
        let usual = self.mean_latency.unwrap_or(UNTRIED_ANSWER).0 as f64 * self.slowdown;
        let rounds = f64::from(self.active_requests + 1) / f64::from(self.slots);
        let doubt = if self.is_suspect { DOUBT_COST.0 } else { 0 };
        Duration((usual * rounds.max(1.0)) as u64 + doubt)
    }
}

impl EngineState {
    /// The engine as it stands now.
    pub fn snapshot(&self, now: Time) -> EngineSnapshot {
        let experience = &self.stats;
        let told = self.peer_summary(now);
        let (load, is_told) = self.newest_load(now, &told);
        let told_occupied = load.map_or(0, |load| load.running + load.waiting);
        let slowdown = load.and_then(|load| load.slowdown_percent);
        let seen_answer = Some(experience.mean_latency_us as u64).filter(|latency| *latency > 0);
        let is_silent = experience.is_unresponsive();
        EngineSnapshot {
            is_reachable: !experience.is_unreachable && !self.is_absent(now),
            is_avoided: experience.is_backing_off(now) || told.health == PeerHealth::Failing,
            is_suspect: told.health == PeerHealth::Doubtful || is_silent,
            active_requests: experience.in_flight.max(told_occupied),
            slots: self.record.slots.max(1),
            slowdown: slowdown.map_or(1.0, |percent| f64::from(percent) / 100.0),
            mean_latency: seen_answer.map(Duration).or(told.mean_latency),
            event_interval_us: experience.event_interval_us().or(told.event_interval_us),
            has_peer_load: is_told,
            peer_failure_age: told.failure_age,
        }
    }

    /// What others told of it, beside what was seen here.
    pub fn peer_summary(&self, now: Time) -> PeerSummary {
        self.peer_observations
            .summarize(now, self.record.started, self.local_evidence())
    }

    pub(crate) fn local_evidence(&self) -> LocalEvidence {
        let experience = &self.stats;
        LocalEvidence {
            last_response: experience.last_response,
            last_failure: (experience.consecutive_failures > 0).then_some(experience.failed_at),
        }
    }

    /// The newer of what the engine told here and what it told others, and whether it is
    /// the latter.
    fn newest_load(&self, now: Time, told: &PeerSummary) -> (Option<EngineLoad>, bool) {
        let own = self.stats.load.map(|(at, _)| at);
        let own_load = self.stats.fresh_load(now);
        match told.load {
            Some((at, load)) if own_load.is_none() || own.is_some_and(|own| at > own) => {
                (Some(load), true)
            }
            _ => (own_load, false),
        }
    }
}
