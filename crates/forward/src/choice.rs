//! Choice of an engine for a request.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::Instance;
use peatgrade_types::Time;

use crate::forwarder::Forward;

/// How much slower an engine counts whose weights are one version behind the
/// newest of its service: an answer from old weights is worth less.
const BEHIND_FACTOR: f64 = 1.25;
/// The same for each further version. Few engines may have the newest for a
/// while, and nobody is served by all requests waiting there.
const FURTHER_BEHIND_FACTOR: f64 = 2.0;

/// The engine with the shortest expected time that the request has not met, old
/// weights counting as slow; one that is avoided only if there is no other.
pub(crate) fn choose(
    now: Time,
    directory: &EngineDirectory,
    forward: &Forward,
    zone: &str,
) -> Option<Instance> {
    let fresh = directory
        .serving(&forward.service)
        .filter(|state| !forward.tried.contains(&state.record.instance));
    let model = forward.request.model.as_str();
    let versions = directory
        .serving(&forward.service)
        .map(|state| state.version(model));
    let newest = versions.max().unwrap_or(0);
    let key = |state: &EngineState| {
        let behind = newest - state.version(model);
        let avoided = state.experience.blocked(now);
        let occupied = f64::from(state.experience.occupied(now) + 1);
        let slots = f64::from(state.record.slots.max(1));
        let usual = state.experience.latency.max(1_000.0);
        let waiting = (occupied / slots).max(1.0);
        let away = if state.record.zone == zone {
            0.0
        } else {
            2_000.0
        };
        let expected = usual * waiting + usual * 0.2 * occupied + away;
        (avoided, expected * staleness_factor(behind))
    };
    let best = fresh.min_by(|a, b| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    best.map(|state| state.record.instance.clone())
}

/// How much slower an engine counts for weights so many versions behind.
fn staleness_factor(behind: u64) -> f64 {
    match behind {
        0 => 1.0,
        _ => BEHIND_FACTOR * FURTHER_BEHIND_FACTOR.powi((behind - 1).min(8) as i32),
    }
}
