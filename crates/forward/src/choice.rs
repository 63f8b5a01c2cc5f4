//! Choice of an engine for a request.

use peatgrade_fleet::{choose_of_two, EngineDirectory, EngineState, WeighedEngine};
use peatgrade_ports::Instance;
use peatgrade_types::Time;

use crate::forwarder::Forward;

/// How much slower an engine counts whose weights are one version behind the
/// newest of its service: an answer from old weights is worth less.
const BEHIND_FACTOR: f64 = 1.25;
/// The same for each further version. Few engines may have the newest for a
/// while, and nobody is served by all requests waiting there.
const FURTHER_BEHIND_FACTOR: f64 = 2.0;

/// Time that counts for an answer from another zone.
const AWAY: f64 = 2_000.0;

/// An engine that the request has not met: the better of two that are drawn by expected
/// time, old weights counting as slow. One that is avoided only if there is no other.
pub(crate) fn choose(
    now: Time,
    directory: &EngineDirectory,
    forward: &Forward,
    zone: &str,
    draws: [f64; 2],
) -> Option<Instance> {
    let fresh = directory
        .serving(&forward.service)
        .filter(|state| !forward.tried.contains(&state.record.instance));
    let fresh: Vec<&EngineState> = fresh.collect();
    let model = forward.request.model.as_str();
    let versions = directory
        .serving(&forward.service)
        .map(|state| state.version(model));
    let newest = versions.max().unwrap_or(0);
    let weigh = |state: &&EngineState| {
        let outlook = state.outlook(now);
        let behind = newest - state.version(model);
        let away = if state.record.zone == zone { 0.0 } else { AWAY };
        let expected = outlook.expected_answer().0 as f64 + away;
        WeighedEngine::new(&outlook, expected * staleness_factor(behind))
    };
    let weighed: Vec<WeighedEngine> = fresh.iter().map(weigh).collect();
    let chosen = choose_of_two(&weighed, draws)?;
    Some(fresh[chosen].record.instance.clone())
}

/// How much slower an engine counts for weights so many versions behind.
fn staleness_factor(behind: u64) -> f64 {
    match behind {
        0 => 1.0,
        _ => BEHIND_FACTOR * FURTHER_BEHIND_FACTOR.powi((behind - 1).min(8) as i32),
    }
}
