//! Observations that this node reports to peers, and those that it receives.

use peatgrade_observations::{
    suspects_local_link, unreliable_sources, FailureReport, Observation, PeerHealth, ReportFilter,
    Urgency, FAILURE_TTL,
};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::directory::{EngineDirectory, EngineState};

/// Factor over the median of its service from which an engine's latency or event interval is
/// reported.
const SLOW_FACTOR: f64 = 1.5;

/// A change of an engine's health due to a report of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthChange {
    pub engine: Instance,
    /// The reporting node.
    pub source: String,
    /// Age of the observation.
    pub age: Duration,
    /// The new health.
    pub health: PeerHealth,
}

/// Result of applying received observations.
#[derive(Debug, Default, PartialEq)]
pub struct AcceptedObservations {
    /// Accepted observations, and the urgency with which they are relayed. Those of unlisted
    /// engines, of other incarnations, or older than the last one of the same source are
    /// ignored.
    pub accepted: Vec<(Urgency, Observation)>,
    /// Engines whose health has changed.
    pub health_changes: Vec<HealthChange>,
}

impl EngineState {
    /// This node's observation of the engine; `None` if there is nothing to report.
    ///
    /// The latency is reported only for engines without models. With models, a response may be
    /// a single token or a whole text.
    pub fn observation(&self, now: Time, source: &str) -> Option<Observation> {
        let stats = &self.stats;
        let is_failing = stats.consecutive_failures > 0 || stats.is_unreachable;
        let is_unresponsive = stats.is_unresponsive();
        let load = stats.fresh_load(now);
        let loaded_at = stats.load.filter(|_| load.is_some()).map(|(at, _)| at);
        let failure_time = (is_failing || is_unresponsive).then_some(stats.failed_at);
        let observed_at =
            failure_time.unwrap_or(stats.last_response.max(loaded_at.unwrap_or(Time(0))));
        if observed_at == Time(0) {
            return None;
        }
        let mean_latency = Some(Duration(stats.mean_latency_us as u64));
        let is_latency_comparable = self.record.models.is_empty();
        Some(Observation {
            engine: self.record.instance.clone(),
            started: self.record.started,
            source: source.to_string(),
            observed_at,
            is_unreachable: stats.is_unreachable,
            failures: stats.consecutive_failures
                + if is_unresponsive { stats.unanswered } else { 0 },
            mean_latency: mean_latency.filter(|latency| is_latency_comparable && latency.0 > 0),
            event_interval_us: stats.event_interval_us(),
            load,
        })
    }
}

impl EngineState {
    fn has_changed_since(&self, since: Time) -> bool {
        let stats = &self.stats;
        let loaded_at = stats.load.map_or(Time(0), |(at, _)| at);
        stats.last_response.max(stats.failed_at).max(loaded_at) >= since
    }
}

/// Median latencies and event intervals per service, as measured by this node.
struct ServiceMedians {
    latencies: BTreeMap<String, f64>,
    intervals: BTreeMap<String, f64>,
}

impl ServiceMedians {
    fn of(directory: &EngineDirectory) -> Self {
        let latency = |state: &EngineState| state.stats.mean_latency_us;
        let interval = |state: &EngineState| state.stats.event_interval_us().unwrap_or(0.0);
        Self {
            latencies: medians(directory, latency),
            intervals: medians(directory, interval),
        }
    }

    /// Clears latencies and intervals that are close to the median. Reporting them would
    /// attract all gateways to the engine that is faster by a negligible margin, away from
    /// engines to which they have open connections.
    fn clear_unremarkable(&self, service: &str, observation: &mut Observation) {
        let is_slow = |time: f64, medians: &BTreeMap<String, f64>| {
            let median = medians.get(service);
            median.is_some_and(|median| time >= median * SLOW_FACTOR)
        };
        let latency = observation.mean_latency;
        observation.mean_latency =
            latency.filter(|latency| is_slow(latency.0 as f64, &self.latencies));
        observation.event_interval_us = observation
            .event_interval_us
            .filter(|interval| is_slow(*interval, &self.intervals));
    }
}

fn medians(
    directory: &EngineDirectory,
    time: impl Fn(&EngineState) -> f64,
) -> BTreeMap<String, f64> {
    let mut services: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for state in directory.tracked() {
        let time = time(state);
        if time > 0.0 {
            services
                .entry(&state.record.service)
                .or_default()
                .push(time);
        }
    }
    let medians = services.into_iter().map(|(service, mut times)| {
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        (service.to_string(), *median)
    });
    medians.collect()
}

impl EngineDirectory {
    /// Observations to report now. Failures are omitted while nearly all engines tried are
    /// failing, because the local link is then the likely cause.
    pub fn observations_to_report(
        &self,
        now: Time,
        source: &str,
        filter: &mut ReportFilter,
    ) -> Vec<(Urgency, Observation)> {
        filter.retain(|engine| self.get(engine).is_some());
        let link_is_suspect = self.suspects_local_link(now);
        let since = filter.begin_scan(now);
        let medians = ServiceMedians::of(self);
        let mut reports = Vec::new();
        // Most engines have not changed since the last scan. One that a peer has reported as
        // failing meanwhile may have answered this node before.
        let is_due = |state: &&EngineState| {
            state.has_changed_since(since) || !state.peer_observations.is_empty()
        };
        for state in self.tracked().filter(is_due) {
            let Some(mut observation) = state.observation(now, source) else {
                continue;
            };
            medians.clear_unremarkable(&state.record.service, &mut observation);
            if observation.indicates_failure() && link_is_suspect {
                continue;
            }
            let reported_failure = state
                .peer_observations
                .last_reported_failure(now, state.record.started);
            let slots = state.record.slots;
            if let Some(urgency) = filter.classify(now, &observation, slots, reported_failure) {
                reports.push((urgency, observation));
            }
        }
        reports
    }

    /// Whether nearly all engines tried recently have failed.
    pub fn suspects_local_link(&self, now: Time) -> bool {
        let is_recent = |at: Time| at > Time(0) && now.since(at) < FAILURE_TTL;
        let (mut failing, mut tried) = (0, 0);
        for state in self.tracked() {
            let stats = &state.stats;
            let is_failing = stats.consecutive_failures > 0 && is_recent(stats.failed_at);
            failing += usize::from(is_failing);
            tried += usize::from(is_failing || is_recent(stats.last_response));
        }
        suspects_local_link(failing, tried)
    }

    /// Applies observations received from peers.
    pub fn apply_observations(
        &mut self,
        now: Time,
        own_name: &str,
        observations: impl IntoIterator<Item = Observation>,
    ) -> AcceptedObservations {
        let mut outcome = AcceptedObservations::default();
        let mut changes = Vec::new();
        for observation in observations {
            let Some(state) = self.get_mut(&observation.engine) else {
                continue;
            };
            let is_other_incarnation = observation.started != state.record.started
                && observation.started.is_some()
                && state.record.started.is_some();
            if observation.source == own_name || is_other_incarnation {
                continue;
            }
            let before = state.peer_summary(now).health;
            let was_reported_failing = state
                .peer_observations
                .last_reported_failure(now, state.record.started)
                .is_some();
            let change = HealthChange {
                engine: observation.engine.clone(),
                source: observation.source.clone(),
                age: now.since(observation.observed_at),
                health: before,
            };
            if !state.peer_observations.insert(observation.clone()) {
                continue;
            }
            // A recovery is as urgent as the failure was.
            let urgency = match observation.indicates_failure() || was_reported_failing {
                true => Urgency::Failure,
                false => Urgency::Load,
            };
            outcome.accepted.push((urgency, observation));
            changes.push(change);
        }
        self.update_unreliable_sources(now);
        for change in changes {
            let health = self.get(&change.engine).map(|s| s.peer_summary(now).health);
            let health = health.filter(|health| *health != change.health);
            let is_first = !outcome
                .health_changes
                .iter()
                .any(|c| c.engine == change.engine);
            if let Some(health) = health.filter(|_| is_first) {
                outcome
                    .health_changes
                    .push(HealthChange { health, ..change });
            }
        }
        outcome
    }

    /// Updates the sources whose failure reports are ignored because others contradict them.
    fn update_unreliable_sources(&mut self, now: Time) {
        let reports = self.tracked().flat_map(|state| {
            let observations = &state.peer_observations;
            observations.failure_reports(now, state.record.started, state.local_evidence())
        });
        let unreliable =
            unreliable_sources(reports.map(|(source, is_contradicted)| FailureReport {
                source,
                is_contradicted,
            }));
        self.for_each_tracked(|state| state.peer_observations.set_unreliable_sources(&unreliable));
    }

    /// Number of engines with a valid failure reported by peers, and the maximum over them of
    /// the age of the newest failure.
    pub fn peer_failure_stats(&self, now: Time) -> (u64, Duration) {
        let summaries = self.tracked().map(|state| state.peer_summary(now));
        let ages = summaries
            .filter(|summary| summary.health != PeerHealth::Sound)
            .filter_map(|summary| summary.failure_age);
        ages.fold((0, Duration(0)), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        })
    }
}
