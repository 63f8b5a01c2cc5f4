//! Choice of an engine for a request.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::Instance;
use peatgrade_types::Time;

use super::Forward;

/// The engine with the shortest expected time that the request has not met;
/// one that is avoided only if there is no other.
pub(super) fn choose(
    now: Time,
    directory: &EngineDirectory,
    forward: &Forward,
    zone: &str,
) -> Option<Instance> {
    let fresh = directory
        .serving(&forward.service)
        .filter(|state| !forward.tried.contains(&state.record.instance));
    let key = |state: &EngineState| {
        let blocked = state.experience.blocked(now);
        let occupied = f64::from(state.experience.occupied(now) + 1);
        let slots = f64::from(state.record.slots.max(1));
        let usual = state.experience.latency.max(1_000.0);
        let waiting = (occupied / slots).max(1.0);
        let away = if state.record.zone == zone {
            0.0
        } else {
            2_000.0
        };
        (blocked, usual * waiting + usual * 0.2 * occupied + away)
    };
    let best = fresh.min_by(|a, b| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    best.map(|state| state.record.instance.clone())
}
