//! What came of a run.

use peatgrade_models::workload::Ending;
use peatgrade_models::TrainerFigures;
use peatgrade_oracle::Violation;
use peatgrade_types::Duration;
use serde::Serialize;
use std::collections::BTreeMap;

/// Latencies of one stream of callers, and how its requests ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Latencies {
    /// Answered requests, in microseconds, unsorted.
    #[serde(skip)]
    pub samples: Vec<u64>,
    /// Requests by how they ended.
    pub endings: BTreeMap<String, u64>,
}

impl Latencies {
    /// Takes in the end of a request.
    pub fn add(&mut self, ending: &Ending, latency: Duration) {
        *self.endings.entry(ending.name()).or_default() += 1;
        if *ending == Ending::Answered {
            self.samples.push(latency.0);
        }
    }

    /// A quantile of answered requests, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
        sorted.get(index).map_or(0.0, |micros| *micros as f64 / 1e3)
    }

    /// Requests that ended in any other way than with an answer.
    pub fn not_answered(&self) -> u64 {
        let others = self
            .endings
            .iter()
            .filter(|(name, _)| name.as_str() != "answered");
        others.map(|(_, count)| count).sum()
    }
}

/// A whole run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// Seed.
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Hash over every event; equal for equal runs.
    pub trace: String,
    /// Events handled.
    pub events: u64,
    /// Observations checked by the oracle.
    pub observations: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Streams of callers.
    pub streams: BTreeMap<String, Latencies>,
    /// Trainers.
    pub trainers: BTreeMap<String, TrainerFigures>,
    /// Tokens of samples that were dropped or begun anew.
    pub wasted_tokens: u64,
    /// Samples dropped because they grew too old.
    pub dropped_stale: u64,
    /// Time from an operator's change until it was in force on every sound
    /// node, in milliseconds, in steps of 500; the longest and the median.
    pub config_spread_ms: (u64, u64),
    /// Time from a commit until the last reachable engine used the version, in
    /// milliseconds; the longest and the median.
    pub weights_spread_ms: (u64, u64),
    /// Requests that the platform's store served.
    pub store_requests: u64,
    /// Peer traffic of the busiest node, in bytes a second out and in.
    pub peer_bytes_per_second: (f64, f64),
}

/// Longest and median of some times, in milliseconds.
pub(crate) fn longest_and_median(times: &[Duration]) -> (u64, u64) {
    let mut sorted: Vec<u64> = times.iter().map(|time| time.as_millis()).collect();
    sorted.sort_unstable();
    let longest = sorted.last().copied().unwrap_or(0);
    (longest, sorted.get(sorted.len() / 2).copied().unwrap_or(0))
}
