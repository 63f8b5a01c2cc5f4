//! Choice of an engine for an item.
//!
//! ```text
//!  length:        remaining events, from the length hint and the events so far
//!  expected_end:  end of a text on an engine; whether a move is worthwhile
//!  prompt_cache:  engines that have read a group's prompt
//!  choice:        rank of the free engines, from the above
//! ```

mod choice;
mod expected_end;
mod length;
mod prompt_cache;

pub use choice::{ItemPlacement, Rank, TextForecast};
pub use expected_end::{MoveEstimate, Pace};
pub use length::{LengthEstimator, RemainingEvents};
pub use prompt_cache::{PromptCacheIndex, PromptGroup};

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::Instance;
use peatgrade_types::Time;
use std::collections::HashMap;

/// Discount on an engine's cost if it has the prompt of the item's group cached.
const PROMPT_AFFINITY: f64 = 0.05;
/// Relative cost of a full engine over an empty one.
const LOAD_WEIGHT: f64 = 0.12;
/// A run may move to an engine that is this many times faster.
const FASTER_FACTOR: f64 = 1.2;
/// An engine is slow if its pace is this many times the median.
const SLOW_FACTOR: f64 = 1.7;

/// Assumed time per event of engines before any pace is known, in microseconds.
const DEFAULT_PACE_US: f64 = 50_000.0;

/// A service is heterogeneous if at least one in this many of its engines is fast.
const FAST_ENGINE_DIVISOR: usize = 5;

/// Requirements and preferences of an item for its engine.
#[derive(Clone, Copy, Debug)]
pub struct ItemRequirements<'a> {
    /// Service of its route.
    pub service: &'a str,
    /// Model of the item; empty if the service has no models.
    pub model: &'a str,
    /// Minimum weights version.
    pub min_version: u64,
    /// The only allowed weights version, if a single version must generate the text.
    pub exact_version: Option<u64>,
    /// Engines that have the prompt of its group cached.
    pub cached_on: &'a [Instance],
    /// Engine to exclude.
    pub avoid: Option<&'a Instance>,
    /// Engines that the item was moved away from, also excluded.
    pub moved_from: &'a [Instance],
    /// Forecast of its text; none if the engine is chosen by relative pace.
    pub expected: Option<TextForecast>,
}

/// Whether a slow engine may be chosen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SlowEngines {
    Allowed,
    /// If only slow engines are free, none is chosen.
    Excluded,
}

/// Maximum number of candidate engines, to bound the cost of each choice.
const MAX_CANDIDATES: usize = 96;

/// Snapshot of the engines of a service with weights that a job allows.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    engines: Vec<Instance>,
    /// Paces of the service's engines, if any is known.
    paces: Option<ServicePaces>,
}

impl Candidates {
    /// Collects the engines that serve the item's model. `paces` are those of its service.
    pub fn find(
        now: Time,
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
        paces: Option<ServicePaces>,
    ) -> Self {
        let median = paces.map(|paces| paces.median);
        let mut eligible: Vec<&EngineState> = eligible_engines(now, directory, need).collect();
        if eligible.len() > MAX_CANDIDATES {
            // An engine that cannot accept an item now must not displace one that can.
            let order = |a: &&EngineState, b: &&EngineState| {
                let free = can_accept(now, b, need).cmp(&can_accept(now, a, need));
                let cost = |state| cost(now, state, need, median);
                free.then(cost(a).total_cmp(&cost(b)))
            };
            eligible.select_nth_unstable_by(MAX_CANDIDATES, order);
            eligible.truncate(MAX_CANDIDATES);
        }
        let engines = eligible.iter().map(|state| state.record.instance.clone());
        Self {
            engines: engines.collect(),
            paces,
        }
    }

    /// Chooses an engine for an item, if any can accept it now. No engine gets more than
    /// `limit` concurrent requests from this leader.
    pub fn choose(
        &self,
        now: Time,
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
        limit: u32,
        slow: SlowEngines,
    ) -> Option<Instance> {
        let states = self.engines.iter().filter_map(|name| directory.get(name));
        let fast_enough = |state: &&EngineState| {
            slow == SlowEngines::Allowed || !is_slow(now, state, self.median())
        };
        let is_scarce = need.expected.is_some() && self.are_fast_slots_scarce(directory);
        let free = states
            .filter(|state| can_accept(now, state, need) && state.stats.in_flight < limit)
            .filter(fast_enough);
        let best = match need.expected {
            None => free
                .map(|state| (cost(now, state, need, self.median()), state))
                .min_by(|(a, _), (b, _)| a.total_cmp(b))
                .map(|(_, state)| state),
            Some(expected) => free
                .map(|state| (self.rank(now, state, need, &expected, is_scarce), state))
                .min_by(|(a, _), (b, _)| a.total_cmp(b))
                .map(|(_, state)| state),
        };
        best.map(|state| state.record.instance.clone())
    }

    /// Paces of the service's engines, if any is known.
    pub fn paces(&self) -> Option<ServicePaces> {
        self.paces
    }

    fn median(&self) -> Option<f64> {
        self.paces.map(|paces| paces.median)
    }

    /// Whether few slots of fast engines are free.
    fn are_fast_slots_scarce(&self, directory: &EngineDirectory) -> bool {
        let Some(paces) = self.paces else {
            return false;
        };
        let states = self.engines.iter().filter_map(|name| directory.get(name));
        let fast = states.filter(|state| {
            let pace = state.stats.event_interval_us();
            pace.is_some_and(|pace| choice::is_fast(pace, paces.median))
        });
        let slots = fast.map(|state| (state.record.slots, state.stats.in_flight));
        let (total, used) = slots.fold((0, 0), |(total, used), (slots, running)| {
            (total + slots, used + running.min(slots))
        });
        choice::is_scarce(total - used, total)
    }

    fn rank(
        &self,
        now: Time,
        state: &EngineState,
        need: &ItemRequirements<'_>,
        expected: &TextForecast,
        are_fast_slots_scarce: bool,
    ) -> Rank {
        let has_prompt_cached = need.cached_on.contains(&state.record.instance);
        let pace = estimated_pace(now, state, self.median());
        let median = self.median().unwrap_or(DEFAULT_PACE_US);
        let is_scarce = are_fast_slots_scarce && choice::is_fast(pace.us_per_event, median);
        expected.rank(pace, is_scarce, has_prompt_cached)
    }

    /// Number of candidate engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether any candidate can accept an item now.
    pub fn has_capacity(
        &self,
        now: Time,
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
    ) -> bool {
        let mut states = self.engines.iter().filter_map(|name| directory.get(name));
        states.any(|state| can_accept(now, state, need))
    }
}

/// Engines with allowed weights, full or not, that are not avoided.
fn eligible_engines<'a>(
    now: Time,
    directory: &'a EngineDirectory,
    need: &'a ItemRequirements<'a>,
) -> impl Iterator<Item = &'a EngineState> {
    directory
        .batch_engines(need.service, need.model)
        .filter(move |state| has_allowed_version(state, need) && !state.stats.is_backing_off(now))
        .filter(move |state| !state.is_absent(now))
}

/// Whether any engine, full or not, has allowed weights and is not avoided.
pub fn has_eligible_engine(
    now: Time,
    directory: &EngineDirectory,
    need: &ItemRequirements<'_>,
) -> bool {
    eligible_engines(now, directory, need).next().is_some()
}

/// Whether any engine can accept an item now.
pub fn has_accepting_engine(
    now: Time,
    directory: &EngineDirectory,
    need: &ItemRequirements<'_>,
) -> bool {
    eligible_engines(now, directory, need).any(|state| can_accept(now, state, need))
}

/// Estimated pace of an engine; the median if none is known.
pub fn estimated_pace(now: Time, state: &EngineState, median: Option<f64>) -> Pace {
    let median_pace = median.unwrap_or(DEFAULT_PACE_US);
    Pace {
        us_per_event: relative_pace(now, state, median) * median_pace,
        running: state.stats.in_flight,
        slots: state.record.slots.max(1),
    }
}

/// Whether one engine is faster than another by `FASTER_FACTOR`.
pub fn is_faster(one: &EngineState, other: &EngineState) -> bool {
    let paces = one
        .stats
        .event_interval_us()
        .zip(other.stats.event_interval_us());
    paces.is_some_and(|(pace, other_pace)| other_pace >= pace * FASTER_FACTOR)
}

/// Paces of a service's engines, in microseconds per event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePaces {
    pub median: f64,
    pub fastest: f64,
    /// Fastest pace of the engines with a free slot; the median if none has one.
    pub fastest_free: f64,
    /// Whether at least a fifth of the engines are far faster than the median.
    pub has_fast_engines: bool,
}

/// Paces of each service's engines that accept new requests. The median is the slower of
/// the usual and the recent one: if this machine is overloaded, events of all engines arrive
/// late, which must not mark any of them as slow.
pub fn service_paces(now: Time, directory: &EngineDirectory) -> HashMap<String, ServicePaces> {
    let mut services: HashMap<&str, Vec<&EngineState>> = HashMap::new();
    for state in directory.tracked().filter(|state| !state.record.draining) {
        let engines = services.entry(&state.record.service).or_default();
        engines.push(state);
    }
    let paces = services.into_iter().filter_map(|(service, engines)| {
        let paces = ServicePaces::of(now, engines.into_iter())?;
        Some((service.to_string(), paces))
    });
    paces.collect()
}

/// Paces of one service, if any is known.
pub fn service_pace(now: Time, directory: &EngineDirectory, service: &str) -> Option<ServicePaces> {
    ServicePaces::of(now, directory.tracked_serving(service))
}

impl ServicePaces {
    fn of<'a>(now: Time, engines: impl Iterator<Item = &'a EngineState>) -> Option<Self> {
        let engines: Vec<&EngineState> = engines.collect();
        let median = median_pace(now, &engines)?;
        let fastest = |engines: &mut dyn Iterator<Item = &&EngineState>| {
            let paces = engines.filter_map(|state| state.stats.event_interval_us());
            paces.min_by(f64::total_cmp)
        };
        let mut free = engines.iter().filter(|state| {
            state.stats.in_flight < state.record.slots.max(1) && !state.stats.is_backing_off(now)
        });
        let mut usual: Vec<f64> = engines
            .iter()
            .filter_map(|s| s.stats.event_interval_us())
            .collect();
        usual.sort_by(f64::total_cmp);
        let quintile = usual.get(usual.len() / FAST_ENGINE_DIVISOR).copied();
        let usual_median = usual.get(usual.len().saturating_sub(1) / 2).copied();
        let has_fast_engines = quintile
            .zip(usual_median)
            .is_some_and(|(quintile, median)| choice::is_heterogeneous(quintile, median));
        Some(Self {
            median,
            has_fast_engines,
            fastest: fastest(&mut engines.iter()).unwrap_or(median),
            fastest_free: fastest(&mut free).unwrap_or(median),
        })
    }
}

fn median_pace(now: Time, engines: &[&EngineState]) -> Option<f64> {
    let usual = median(engines.iter().map(|state| state.stats.event_interval_us()))?;
    let recent = median(
        engines
            .iter()
            .map(|s| s.stats.recent_event_interval_us(now)),
    );
    Some(recent.map_or(usual, |pace| pace.max(usual)))
}

fn median(paces: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    let mut paces: Vec<f64> = paces.flatten().collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len().saturating_sub(1) / 2).copied()
}

/// Pace of an engine relative to the median; 1 if unknown. The recent pace applies if it or
/// the usual pace is slow, otherwise the usual pace. A slow engine without recent events or
/// runs counts as average, so that it is tried again.
fn relative_pace(now: Time, state: &EngineState, median: Option<f64>) -> f64 {
    let Some((usual, median)) = state.stats.event_interval_us().zip(median) else {
        return 1.0;
    };
    let usual = usual / median;
    let recent = state.stats.adjusted_recent_event_interval_us(now, median);
    let recent = recent.map(|pace| pace / median);
    let is_usually_slow = usual >= SLOW_FACTOR;
    match recent {
        Some(recent) if is_usually_slow || recent >= SLOW_FACTOR => recent,
        None if is_usually_slow && state.stats.in_flight == 0 => 1.0,
        _ => usual,
    }
}

/// Whether an engine is currently far slower than the median.
pub fn is_slow(now: Time, state: &EngineState, median: Option<f64>) -> bool {
    relative_pace(now, state, median) >= SLOW_FACTOR
}

/// Whether an engine's weights version is allowed.
fn has_allowed_version(state: &EngineState, need: &ItemRequirements<'_>) -> bool {
    if need.model.is_empty() {
        return true;
    }
    let version = state.version(need.model);
    version >= need.min_version.max(1) && need.exact_version.is_none_or(|exact| version == exact)
}

/// Whether an engine can accept an item now.
fn can_accept(now: Time, state: &EngineState, need: &ItemRequirements<'_>) -> bool {
    let loading = state.loading_models.iter().any(|model| model == need.model);
    has_allowed_version(state, need)
        && !loading
        && !state.record.draining
        && !state.stats.is_backing_off(now)
        && !state.is_absent(now)
        && need.avoid != Some(&state.record.instance)
        && !need.moved_from.contains(&state.record.instance)
        && state.stats.in_flight < state.record.slots.max(1)
}

/// Cost of an engine for an item chosen by relative pace; the lowest is chosen.
fn cost(now: Time, state: &EngineState, need: &ItemRequirements<'_>, median: Option<f64>) -> f64 {
    let pace = relative_pace(now, state, median);
    let load = f64::from(state.stats.in_flight) / f64::from(state.record.slots.max(1));
    let has_prompt_cached = need.cached_on.contains(&state.record.instance);
    let affinity = if has_prompt_cached && pace < SLOW_FACTOR {
        PROMPT_AFFINITY
    } else {
        0.0
    };
    pace * (1.0 + LOAD_WEIGHT * load) - affinity
}
