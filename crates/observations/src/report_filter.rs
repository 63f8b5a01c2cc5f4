//! When something that this machine has seen of an engine is worth telling.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::observation::{Observation, Urgency};

/// Least time between two tellings of an engine that goes on failing: often enough that
/// others do not forget it, and a fifth of the time in which they do.
pub const FAILURE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least time between two tellings of an engine's load: an own account of it counts for
/// 1 s.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A change of an expected time that moves a choice: requests are sent to the other of two
/// engines from a smaller one on, but those 1.5 times apart are still both in use.
const WORTH_TELLING: f64 = 2.0;
/// How much longer than usual an answer takes where an engine counts as slow or full.
const UNUSUAL: f64 = 1.5;

/// What was told of an engine last.
#[derive(Clone, Debug)]
struct LastTold {
    observation: Observation,
    at: Time,
    /// Step of its load, see [`load_step`].
    step: u32,
}

/// Remembers what was told of each engine.
#[derive(Debug, Default)]
pub struct ReportFilter {
    told: BTreeMap<Instance, LastTold>,
    looked_at: Time,
}

impl ReportFilter {
    /// Whether an observation of this machine is to be told now, and how urgent it is.
    /// `slots` are the engine's places; `accused` is when another machine last saw it fail,
    /// if one said so.
    pub fn classify(
        &mut self,
        now: Time,
        observation: &Observation,
        slots: u32,
        accused: Option<Time>,
    ) -> Option<Urgency> {
        let step = load_step(observation, slots);
        let last = self.told.get(&observation.engine);
        let last = last.filter(|last| last.observation.started == observation.started);
        let urgency = match last {
            None => first_time(observation, step, accused),
            Some(last) => change(now, last, observation, step, accused),
        }?;
        let last = LastTold {
            observation: observation.clone(),
            at: now,
            step,
        };
        self.told.insert(observation.engine.clone(), last);
        Some(urgency)
    }

    /// Notes a look at all engines; when the last one was.
    pub fn begin_scan(&mut self, now: Time) -> Time {
        std::mem::replace(&mut self.looked_at, now)
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&Instance) -> bool) {
        self.told.retain(|engine, _| is_listed(engine));
    }

    /// Engines of which something was told.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Whether nothing was told yet.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }
}

/// Nothing is said of an engine that does as expected, unless another machine accuses it.
fn first_time(observation: &Observation, step: u32, accused: Option<Time>) -> Option<Urgency> {
    if observation.indicates_failure() || contradicts(observation, accused) {
        return Some(Urgency::Failure);
    }
    let says_more =
        step > 0 || observation.mean_latency.is_some() || observation.event_interval_us.is_some();
    says_more.then_some(Urgency::Load)
}

fn change(
    now: Time,
    last: &LastTold,
    observation: &Observation,
    step: u32,
    accused: Option<Time>,
) -> Option<Urgency> {
    let before = &last.observation;
    let is_newer = observation.observed_at > before.observed_at;
    if observation.indicates_failure() != before.indicates_failure() && is_newer {
        return Some(Urgency::Failure);
    }
    let age = now.since(last.at);
    let goes_on = observation.indicates_failure() && is_newer;
    let is_accused = contradicts(observation, accused.filter(|at| *at > before.observed_at));
    if (goes_on || is_accused) && age >= FAILURE_REPORT_INTERVAL {
        return Some(Urgency::Failure);
    }
    let differs = step != last.step
        || is_far(
            observation.mean_latency.map(|usual| usual.0 as f64),
            before.mean_latency.map(|usual| usual.0 as f64),
        )
        || is_far(observation.event_interval_us, before.event_interval_us);
    (differs && is_newer && age >= LOAD_REPORT_INTERVAL).then_some(Urgency::Load)
}

/// Whether the engine answered here after another machine saw it fail: without this, a
/// machine with a bad link would be the only one that speaks.
fn contradicts(observation: &Observation, accused: Option<Time>) -> bool {
    !observation.indicates_failure() && accused.is_some_and(|at| observation.observed_at > at)
}

fn is_far(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.max(other) >= one.min(other) * WORTH_TELLING,
        (one, other) => one.is_some() != other.is_some(),
    }
}

/// How much longer than usual an answer takes for what is ahead and for slowness told, in
/// doublings; 0 below [`UNUSUAL`]. Steps keep a load that changes with each request from
/// being told each time.
fn load_step(observation: &Observation, slots: u32) -> u32 {
    let Some(load) = observation.load else {
        return 0;
    };
    let ahead = f64::from(load.running + load.waiting + 1) / f64::from(slots.max(1));
    let slowdown = f64::from(load.slowdown_percent.unwrap_or(100)) / 100.0;
    let factor = ahead.max(1.0) * slowdown;
    if factor < UNUSUAL {
        return 0;
    }
    1 + (factor / UNUSUAL).log2() as u32
}
