//! Decides which local observations are worth reporting to peers.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};

/// Minimum interval between reports of an engine that keeps failing; a fraction of
/// [`FAILURE_TTL`](crate::FAILURE_TTL), so that peers keep the failure despite lost messages.
pub const FAILURE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum interval between load reports of an engine.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Change of a latency or event interval, as a factor, that is reported.
const SIGNIFICANT_CHANGE_FACTOR: f64 = 2.0;
/// Factor by which load must lengthen a response before it is reported.
const MIN_REPORTED_SLOWDOWN: f64 = 1.5;

#[derive(Clone, Debug)]
struct LastReport {
    observation: Observation,
    at: Time,
    /// See [`load_step`].
    step: u32,
}

/// Tracks the last report of each engine to suppress insignificant ones.
#[derive(Debug, Default)]
pub struct ReportFilter {
    last_reports: BTreeMap<Instance, LastReport>,
    last_scan: Time,
}

impl ReportFilter {
    /// Urgency with which a local observation should be reported now; `None` if it should
    /// not be. `reported_failure` is when a peer last saw the engine fail.
    pub fn classify(
        &mut self,
        now: Time,
        observation: &Observation,
        slots: u32,
        reported_failure: Option<Time>,
    ) -> Option<Urgency> {
        let step = load_step(observation, slots);
        let last = self.last_reports.get(&observation.engine);
        let last = last.filter(|last| last.observation.started == observation.started);
        let urgency = match last {
            None => classify_first(observation, step, reported_failure),
            Some(last) => classify_change(now, last, observation, step, reported_failure),
        }?;
        let last = LastReport {
            observation: observation.clone(),
            at: now,
            step,
        };
        self.last_reports.insert(observation.engine.clone(), last);
        Some(urgency)
    }

    /// Records a scan of all engines and returns the time of the previous one.
    pub fn begin_scan(&mut self, now: Time) -> Time {
        std::mem::replace(&mut self.last_scan, now)
    }

    /// Removes engines that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&Instance) -> bool) {
        self.last_reports.retain(|engine, _| is_listed(engine));
    }

    /// Number of engines that were reported.
    pub fn len(&self) -> usize {
        self.last_reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.last_reports.is_empty()
    }
}

/// A first report is needed only if the engine fails, deviates from its defaults or was
/// reported as failing by a peer.
fn classify_first(
    observation: &Observation,
    step: u32,
    reported_failure: Option<Time>,
) -> Option<Urgency> {
    if observation.indicates_failure() || contradicts(observation, reported_failure) {
        return Some(Urgency::Failure);
    }
    let has_details =
        step > 0 || observation.mean_latency.is_some() || observation.event_interval_us.is_some();
    has_details.then_some(Urgency::Load)
}

fn classify_change(
    now: Time,
    last: &LastReport,
    observation: &Observation,
    step: u32,
    reported_failure: Option<Time>,
) -> Option<Urgency> {
    let before = &last.observation;
    let is_newer = observation.observed_at > before.observed_at;
    if observation.indicates_failure() != before.indicates_failure() && is_newer {
        return Some(Urgency::Failure);
    }
    let age = now.since(last.at);
    let still_fails = observation.indicates_failure() && is_newer;
    let is_contradiction = contradicts(
        observation,
        reported_failure.filter(|at| *at > before.observed_at),
    );
    if (still_fails || is_contradiction) && age >= FAILURE_REPORT_INTERVAL {
        return Some(Urgency::Failure);
    }
    let differs = step != last.step
        || differs_significantly(
            observation.mean_latency.map(|latency| latency.0 as f64),
            before.mean_latency.map(|latency| latency.0 as f64),
        )
        || differs_significantly(observation.event_interval_us, before.event_interval_us);
    (differs && is_newer && age >= LOAD_REPORT_INTERVAL).then_some(Urgency::Load)
}

/// Whether the engine answered this node after a peer saw it fail. Reporting this exposes
/// peers whose own link is bad.
fn contradicts(observation: &Observation, reported_failure: Option<Time>) -> bool {
    !observation.indicates_failure()
        && reported_failure.is_some_and(|at| observation.observed_at > at)
}

fn differs_significantly(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.max(other) >= one.min(other) * SIGNIFICANT_CHANGE_FACTOR,
        (one, other) => one.is_some() != other.is_some(),
    }
}

/// How much queued work and the reported slowdown lengthen a response, as the number of
/// doublings plus one; 0 below [`MIN_REPORTED_SLOWDOWN`]. Steps avoid a report for each
/// small change.
fn load_step(observation: &Observation, slots: u32) -> u32 {
    let Some(load) = observation.load else {
        return 0;
    };
    let ahead = f64::from(load.running + load.waiting + 1) / f64::from(slots.max(1));
    let slowdown = f64::from(load.slowdown_percent.unwrap_or(100)) / 100.0;
    let factor = ahead.max(1.0) * slowdown;
    if factor < MIN_REPORTED_SLOWDOWN {
        return 0;
    }
    1 + (factor / MIN_REPORTED_SLOWDOWN).log2() as u32
}
