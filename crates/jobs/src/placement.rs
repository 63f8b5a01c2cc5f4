//! Choice of an engine for an item.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::Instance;
use peatgrade_types::Time;

/// Worth of sharing a prompt with another item of the group, in units of a
/// run's usual time: reading a prompt takes about one event's time.
const AFFINITY: f64 = 0.05;
/// How much a full engine is slower than an empty one.
const LOAD_WEIGHT: f64 = 0.12;
/// A run moves to an engine that is this much faster, if it has room.
pub const FASTER_FACTOR: f64 = 1.2;
/// An engine this much slower than the median counts as slow.
pub const SLOW_FACTOR: f64 = 1.7;

/// What an item needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service of its route.
    pub service: &'a str,
    /// Its model; empty if the service has none.
    pub model: &'a str,
    /// Oldest version allowed.
    pub min_version: u64,
    /// Engines that run items of the same group.
    pub companions: &'a [Instance],
    /// Engine to leave out.
    pub avoid: Option<&'a Instance>,
}

/// Median pace of a service's engines, in microseconds an event.
pub fn median_pace(directory: &EngineDirectory, service: &str) -> Option<f64> {
    let mut paces: Vec<f64> = directory
        .serving(service)
        .map(|state| state.experience.pace)
        .filter(|pace| *pace > 0.0)
        .collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len().saturating_sub(1) / 2).copied()
}

/// Pace of an engine relative to the median; 1 if unknown.
pub fn relative_pace(state: &EngineState, median: Option<f64>) -> f64 {
    match median {
        Some(median) if state.experience.pace > 0.0 => state.experience.pace / median,
        _ => 1.0,
    }
}

/// Whether an engine may take an item now.
pub fn usable(now: Time, state: &EngineState, need: &Need<'_>) -> bool {
    let instance = &state.record.instance;
    let modelled = need.model.is_empty() || state.version(need.model) >= need.min_version.max(1);
    let loading = state.loading.iter().any(|model| model == need.model);
    modelled
        && !loading
        && !state.record.draining
        && !state.experience.blocked(now)
        && need.avoid != Some(instance)
        && state.experience.running < state.record.slots.max(1)
}

/// The engine for an item, if one can take it now.
pub fn choose(now: Time, directory: &EngineDirectory, need: &Need<'_>) -> Option<Instance> {
    let median = median_pace(directory, need.service);
    let candidates = directory
        .serving(need.service)
        .filter(|state| usable(now, state, need));
    let best = candidates.min_by(|a, b| {
        let cost = |state: &EngineState| cost(state, need, median);
        cost(a).total_cmp(&cost(b))
    });
    best.map(|state| state.record.instance.clone())
}

/// The engine with room that would run a request faster than `state` does, by
/// more than the move costs.
pub fn faster(
    now: Time,
    directory: &EngineDirectory,
    need: &Need<'_>,
    state: &EngineState,
) -> Option<Instance> {
    let chosen = choose(now, directory, need)?;
    let pace = directory.get(&chosen)?.experience.pace;
    let gains = pace > 0.0 && state.experience.pace >= pace * FASTER_FACTOR;
    gains.then_some(chosen)
}

fn cost(state: &EngineState, need: &Need<'_>, median: Option<f64>) -> f64 {
    let pace = relative_pace(state, median);
    let load = f64::from(state.experience.running) / f64::from(state.record.slots.max(1));
    let together = need.companions.contains(&state.record.instance);
    let affinity = if together && pace < SLOW_FACTOR {
        AFFINITY
    } else {
        0.0
    };
    pace * (1.0 + LOAD_WEIGHT * load) - affinity
}
