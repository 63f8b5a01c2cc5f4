//! The state of an engine at one time, on which all engine selection is based, so that
//! lookups, reward calls and batch items agree on which engines are free or slow.
//!
//! Local observations come first. Those of peers are used where there is no local one or the
//! local one is older.

use peatgrade_observations::{LocalEvidence, PeerHealth, PeerSummary};
use peatgrade_ports::EngineLoad;
use peatgrade_types::{Duration, Time};

use crate::directory::EngineState;

/// Assumed latency of an engine without a response so far; low, so that it is tried.
const UNTRIED_LATENCY: Duration = Duration::from_millis(1);
/// Added to the expected latency of a suspect engine: the time that a request loses before it
/// is hedged if the engine does fail.
const SUSPECT_PENALTY: Duration = Duration::from_millis(60);

/// The state of an engine as known to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSnapshot {
    /// Whether the engine answers at its address.
    pub is_reachable: bool,
    /// Whether it is backing off after a failure or a rejection, or two nodes saw it fail.
    pub is_avoided: bool,
    /// Whether one peer saw it fail, reports contradict each other, or requests of this node
    /// wait for responses. A suspect engine is used only if the others are much slower.
    pub is_suspect: bool,
    /// Requests running or waiting there.
    pub active_requests: u32,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Factor by which work currently takes longer than latency_us; 1 if not reported.
    pub slowdown: f64,
    /// Mean response latency; `None` before the first response.
    pub mean_latency: Option<Duration>,
    /// Mean time between two events of a generation, in microseconds; `None` before enough
    /// events were received.
    pub event_interval_us: Option<f64>,
    /// Whether its load was reported by a peer, so that many nodes know the same value.
    pub has_peer_load: bool,
    /// Age of the newest valid failure that peers reported.
    pub peer_failure_age: Option<Duration>,
}

impl EngineSnapshot {
    /// Whether it is reachable and need not be avoided.
    pub fn is_healthy(&self) -> bool {
        self.is_reachable && !self.is_avoided
    }

    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.active_requests)
    }

    /// Expected latency of one more request, including queueing and the current slowdown.
    pub fn expected_latency(&self) -> Duration {
        let latency_us = self.mean_latency.unwrap_or(UNTRIED_LATENCY).0 as f64 * self.slowdown;
        let load_factor = f64::from(self.active_requests + 1) / f64::from(self.slots);
        let penalty = if self.is_suspect {
            SUSPECT_PENALTY.0
        } else {
            0
        };
        Duration((latency_us * load_factor.max(1.0)) as u64 + penalty)
    }
}

impl EngineState {
    /// The state of the engine at `now`.
    pub fn snapshot(&self, now: Time) -> EngineSnapshot {
        let stats = &self.stats;
        let summary = self.peer_summary(now);
        let (load, is_from_peer) = self.latest_load(now, &summary);
        let reported_requests = load.map_or(0, |load| load.running + load.waiting);
        let slowdown = load.and_then(|load| load.slowdown_percent);
        let measured_latency = Some(stats.mean_latency_us as u64).filter(|latency| *latency > 0);
        let is_unresponsive = stats.is_unresponsive();
        EngineSnapshot {
            is_reachable: !stats.is_unreachable && !self.is_absent(now),
            is_avoided: stats.is_backing_off(now) || summary.health == PeerHealth::Failing,
            is_suspect: summary.health == PeerHealth::Doubtful || is_unresponsive,
            active_requests: stats.in_flight.max(reported_requests),
            slots: self.record.slots.max(1),
            slowdown: slowdown.map_or(1.0, |percent| f64::from(percent) / 100.0),
            mean_latency: measured_latency.map(Duration).or(summary.mean_latency),
            event_interval_us: stats.event_interval_us().or(summary.event_interval_us),
            has_peer_load: is_from_peer,
            peer_failure_age: summary.failure_age,
        }
    }

    /// Reports of peers, combined with what this node observed.
    pub fn peer_summary(&self, now: Time) -> PeerSummary {
        self.peer_observations
            .summarize(now, self.record.started, self.local_evidence())
    }

    pub(crate) fn local_evidence(&self) -> LocalEvidence {
        let stats = &self.stats;
        LocalEvidence {
            last_response: stats.last_response,
            last_failure: (stats.consecutive_failures > 0).then_some(stats.failed_at),
        }
    }

    /// The latest load that the engine reported to this node or to a peer, and whether it was
    /// to a peer.
    fn latest_load(&self, now: Time, summary: &PeerSummary) -> (Option<EngineLoad>, bool) {
        let loaded_at = self.stats.load.map(|(at, _)| at);
        let local_load = self.stats.fresh_load(now);
        match summary.load {
            Some((at, load))
                if local_load.is_none() || loaded_at.is_some_and(|local_at| at > local_at) =>
            {
                (Some(load), true)
            }
            _ => (local_load, false),
        }
    }
}
