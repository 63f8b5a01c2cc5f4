//! What this machine tells of engines, and what others tell it.

use peatgrade_observations::{
    suspects_local_link, unreliable_sources, FailureReport, Observation, PeerHealth, ReportFilter,
    Urgency, FAILURE_TTL,
};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::directory::{EngineDirectory, EngineState};

/// An engine whose answers or events take this much longer than the median of its service
/// is slow enough to be told of: with two engines in three much alike, requests go elsewhere.
const SLOW_FACTOR: f64 = 1.5;

/// A change of what is believed of an engine, through what others told.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthChange {
    /// The engine.
    pub engine: Instance,
    /// The machine whose report changed it.
    pub source: String,
    /// Age of what it saw.
    pub age: Duration,
    /// Whether requests go there from now on.
    pub health: PeerHealth,
}

/// What came of observations that were taken in.
#[derive(Debug, Default, PartialEq)]
pub struct AcceptedObservations {
    /// Observations that are kept, and how urgently they are passed on. What names an
    /// engine that is not listed or another life of it, or is older than what the same
    /// machine told, is left out.
    pub accepted: Vec<(Urgency, Observation)>,
    /// Engines of which something else is believed now.
    pub health_changes: Vec<HealthChange>,
}

impl EngineState {
    /// What this machine has seen of it; none before anything was seen.
    ///
    /// The usual time of an answer is told of engines without weights only: elsewhere an
    /// answer may be a token or a whole text.
    pub fn observation(&self, now: Time, source: &str) -> Option<Observation> {
        let experience = &self.stats;
        let fails = experience.consecutive_failures > 0 || experience.is_unreachable;
        let is_silent = experience.is_unresponsive();
        let load = experience.fresh_load(now);
        let loaded_at = experience.load.filter(|_| load.is_some()).map(|(at, _)| at);
        let failed_at = (fails || is_silent).then_some(experience.failed_at);
        let seen = failed_at.unwrap_or(experience.last_response.max(loaded_at.unwrap_or(Time(0))));
        if seen == Time(0) {
            return None;
        }
        let usual = Some(Duration(experience.mean_latency_us as u64));
        let answers_alike = self.record.models.is_empty();
        Some(Observation {
            engine: self.record.instance.clone(),
            started: self.record.started,
            source: source.to_string(),
            observed_at: seen,
            is_unreachable: experience.is_unreachable,
            failures: experience.consecutive_failures
                + if is_silent { experience.unanswered } else { 0 },
            mean_latency: usual.filter(|usual| answers_alike && usual.0 > 0),
            event_interval_us: experience.event_interval_us(),
            load,
        })
    }
}

impl EngineState {
    /// Whether anything was seen of it since then.
    fn seen_after(&self, since: Time) -> bool {
        let experience = &self.stats;
        let loaded_at = experience.load.map_or(Time(0), |(at, _)| at);
        experience
            .last_response
            .max(experience.failed_at)
            .max(loaded_at)
            >= since
    }
}

/// Median times of the engines of each service, as seen here.
struct UsualTimes {
    answers: BTreeMap<String, f64>,
    paces: BTreeMap<String, f64>,
}

impl UsualTimes {
    fn of(directory: &EngineDirectory) -> Self {
        let answer = |state: &EngineState| state.stats.mean_latency_us;
        let pace = |state: &EngineState| state.stats.event_interval_us().unwrap_or(0.0);
        Self {
            answers: medians(directory, answer),
            paces: medians(directory, pace),
        }
    }

    /// Leaves out times that are as on most engines. Told of each engine, they drew all
    /// gateways to whichever was fastest by a millisecond, away from engines to which they
    /// had connections: 1,735 new ones on a day, 1,450 with nothing told.
    fn leave_out(&self, service: &str, observation: &mut Observation) {
        let is_slow = |time: f64, medians: &BTreeMap<String, f64>| {
            let median = medians.get(service);
            median.is_some_and(|median| time >= median * SLOW_FACTOR)
        };
        let answer = observation.mean_latency;
        observation.mean_latency = answer.filter(|answer| is_slow(answer.0 as f64, &self.answers));
        observation.event_interval_us = observation
            .event_interval_us
            .filter(|pace| is_slow(*pace, &self.paces));
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
    /// What this machine has to tell now. Failures are left out while it sees nearly all
    /// engines fail that it tried: then its own link is more likely at fault.
    pub fn observations_to_report(
        &self,
        now: Time,
        source: &str,
        teller: &mut ReportFilter,
    ) -> Vec<(Urgency, Observation)> {
        teller.retain(|engine| self.get(engine).is_some());
        let distrusts_link = self.suspects_local_link(now);
        let since = teller.begin_scan(now);
        let usual = UsualTimes::of(self);
        let mut told = Vec::new();
        // Most have shown nothing since the last look. One that another machine accused
        // meanwhile may have answered here before.
        let is_due =
            |state: &&EngineState| state.seen_after(since) || !state.peer_observations.is_empty();
        for state in self.tracked().filter(is_due) {
            let Some(mut observation) = state.observation(now, source) else {
                continue;
            };
            usual.leave_out(&state.record.service, &mut observation);
            if observation.indicates_failure() && distrusts_link {
                continue;
            }
            let accused = state
                .peer_observations
                .last_reported_failure(now, state.record.started);
            let slots = state.record.slots;
            if let Some(urgency) = teller.classify(now, &observation, slots, accused) {
                told.push((urgency, observation));
            }
        }
        told
    }

    /// Whether nearly all engines that were tried lately failed.
    pub fn suspects_local_link(&self, now: Time) -> bool {
        let is_recent = |at: Time| at > Time(0) && now.since(at) < FAILURE_TTL;
        let (mut failing, mut tried) = (0, 0);
        for state in self.tracked() {
            let experience = &state.stats;
            let fails = experience.consecutive_failures > 0 && is_recent(experience.failed_at);
            failing += usize::from(fails);
            tried += usize::from(fails || is_recent(experience.last_response));
        }
        suspects_local_link(failing, tried)
    }

    /// Takes in what others have seen.
    pub fn apply_observations(
        &mut self,
        now: Time,
        own_name: &str,
        observations: impl IntoIterator<Item = Observation>,
    ) -> AcceptedObservations {
        let mut outcome = AcceptedObservations::default();
        let mut touched = Vec::new();
        for observation in observations {
            let Some(state) = self.get_mut(&observation.engine) else {
                continue;
            };
            let is_other_life = observation.started != state.record.started
                && observation.started.is_some()
                && state.record.started.is_some();
            if observation.source == own_name || is_other_life {
                continue;
            }
            let before = state.peer_summary(now).health;
            let is_accused = state
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
            // What takes an accusation back is as urgent as it was.
            let urgency = match observation.indicates_failure() || is_accused {
                true => Urgency::Failure,
                false => Urgency::Load,
            };
            outcome.accepted.push((urgency, observation));
            touched.push(change);
        }
        self.judge_sources(now);
        for change in touched {
            let standing = self.get(&change.engine).map(|s| s.peer_summary(now).health);
            let standing = standing.filter(|standing| *standing != change.health);
            let is_first = !outcome
                .health_changes
                .iter()
                .any(|c| c.engine == change.engine);
            if let Some(standing) = standing.filter(|_| is_first) {
                outcome.health_changes.push(HealthChange {
                    health: standing,
                    ..change
                });
            }
        }
        outcome
    }

    /// Finds the machines whose reports of failures others refute.
    fn judge_sources(&mut self, now: Time) {
        let accusations = self.tracked().flat_map(|state| {
            let told = &state.peer_observations;
            told.failure_reports(now, state.record.started, state.local_evidence())
        });
        let bad = unreliable_sources(accusations.map(|(source, is_refuted)| FailureReport {
            source,
            is_contradicted: is_refuted,
        }));
        self.for_each_tracked(|state| state.peer_observations.set_unreliable_sources(&bad));
    }

    /// Age of the newest failure told by others that keeps requests from an engine, over
    /// all engines the oldest; and the number of such engines.
    pub fn peer_failure_stats(&self, now: Time) -> (u64, Duration) {
        let beliefs = self.tracked().map(|state| state.peer_summary(now));
        let ages = beliefs
            .filter(|belief| belief.health != PeerHealth::Sound)
            .filter_map(|belief| belief.failure_age);
        ages.fold((0, Duration(0)), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        })
    }
}
