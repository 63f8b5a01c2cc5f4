//! Choice of an engine for an item.
//!
//! ```text
//!  length:        events still to come, from the guess and what has come
//!  expected_end:  events x pace there, beside one run more; whether a move pays
//!  prompt_cache:  engines that have read a group's prompt
//!  choice:        which of the free engines, by these
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

/// Worth of sharing a prompt with another item of the group, in units of a
/// run's usual time: reading a prompt takes about one event's time.
const PROMPT_AFFINITY: f64 = 0.05;
/// How much a full engine is slower than an empty one.
const LOAD_WEIGHT: f64 = 0.12;
/// A run moves to an engine that is this much faster, if it has room.
const FASTER_FACTOR: f64 = 1.2;
/// An engine this much slower than the median counts as slow.
const SLOW_FACTOR: f64 = 1.7;

/// Pace of engines before any was seen, in microseconds an event: the usual one of models
/// that write for people.
const DEFAULT_PACE_US: f64 = 50_000.0;

/// One engine in so many must be fast for a service to count as uneven: then their places
/// hold the long texts of a step.
const FAST_ENGINE_DIVISOR: usize = 5;

/// What an item needs.
#[derive(Clone, Copy, Debug)]
pub struct ItemRequirements<'a> {
    /// Service of its route.
    pub service: &'a str,
    /// Its model; empty if the service has none.
    pub model: &'a str,
    /// Oldest version allowed.
    pub min_version: u64,
    /// The only version allowed, where one must make the whole text.
    pub exact_version: Option<u64>,
    /// Engines that keep the prompt of its group.
    pub cached_on: &'a [Instance],
    /// Engine to leave out.
    pub avoid: Option<&'a Instance>,
    /// Engines that it was moved away from.
    pub moved_from: &'a [Instance],
    /// How long it will run; none if the engine is chosen by relative pace.
    pub expected: Option<TextForecast>,
}

/// Whether a choice may fall on an engine that is far slower than others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SlowEngines {
    /// It may.
    Allowed,
    /// Rather none is chosen.
    Excluded,
}

/// Engines weighed for one job at most: more would cost time and give nothing.
const MAX_CANDIDATES: usize = 96;

/// Engines of a service that hold a version that a job allows, as of one look.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    engines: Vec<Instance>,
    /// Paces of the service's engines; none before any was seen.
    paces: Option<ServicePaces>,
}

impl Candidates {
    /// Looks once over the engines that make the work of the item's model. `paces` are those
    /// of its service.
    pub fn find(
        now: Time,
        directory: &EngineDirectory,
        need: &ItemRequirements<'_>,
        paces: Option<ServicePaces>,
    ) -> Self {
        let median = paces.map(|paces| paces.median);
        let mut fit: Vec<&EngineState> = directory
            .batch_engines(need.service, need.model)
            .filter(|state| has_allowed_version(state, need) && !state.stats.is_backing_off(now))
            .filter(|state| !state.is_absent(now))
            .collect();
        if fit.len() > MAX_CANDIDATES {
            let order = |a: &&EngineState, b: &&EngineState| {
                cost(now, a, need, median).total_cmp(&cost(now, b, need, median))
            };
            fit.select_nth_unstable_by(MAX_CANDIDATES, order);
            fit.truncate(MAX_CANDIDATES);
        }
        let engines = fit.iter().map(|state| state.record.instance.clone());
        Self {
            engines: engines.collect(),
            paces,
        }
    }

    /// The engine for an item, if one can take it now. No engine gets more than
    /// `limit` items of this machine.
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
        let scarce = need.expected.is_some() && self.is_fast_scarce(directory);
        let free = states
            .filter(|state| can_accept(now, state, need) && state.stats.in_flight < limit)
            .filter(fast_enough);
        let best = match need.expected {
            None => free
                .map(|state| (cost(now, state, need, self.median()), state))
                .min_by(|(a, _), (b, _)| a.total_cmp(b))
                .map(|(_, state)| state),
            Some(expected) => free
                .map(|state| (self.rank(now, state, need, &expected, scarce), state))
                .min_by(|(a, _), (b, _)| a.total_cmp(b))
                .map(|(_, state)| state),
        };
        best.map(|state| state.record.instance.clone())
    }

    /// Paces of the service's engines; none before any was seen.
    pub fn paces(&self) -> Option<ServicePaces> {
        self.paces
    }

    fn median(&self) -> Option<f64> {
        self.paces.map(|paces| paces.median)
    }

    /// Whether few places of fast engines are left.
    fn is_fast_scarce(&self, directory: &EngineDirectory) -> bool {
        let Some(paces) = self.paces else {
            return false;
        };
        let states = self.engines.iter().filter_map(|name| directory.get(name));
        let fast = states.filter(|state| {
            let pace = state.stats.event_interval_us();
            pace.is_some_and(|pace| choice::is_fast(pace, paces.median))
        });
        let places = fast.map(|state| (state.record.slots, state.stats.in_flight));
        let (all, taken) = places.fold((0, 0), |(all, taken), (slots, running)| {
            (all + slots, taken + running.min(slots))
        });
        choice::is_scarce(all - taken, all)
    }

    fn rank(
        &self,
        now: Time,
        state: &EngineState,
        need: &ItemRequirements<'_>,
        expected: &TextForecast,
        is_fast_scarce: bool,
    ) -> Rank {
        let has_prompt_cached = need.cached_on.contains(&state.record.instance);
        let pace = estimated_pace(now, state, self.median());
        let median = self.median().unwrap_or(DEFAULT_PACE_US);
        let keeps_away = is_fast_scarce && choice::is_fast(pace.us_per_event, median);
        expected.rank(pace, keeps_away, has_prompt_cached)
    }

    /// Number of engines weighed for each item.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether any of them, full or not, has such weights.
    pub fn has_eligible(&self, directory: &EngineDirectory, need: &ItemRequirements<'_>) -> bool {
        let mut states = self.engines.iter().filter_map(|name| directory.get(name));
        states.any(|state| !state.record.draining && has_allowed_version(state, need))
    }

    /// Whether any of them can take an item now.
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

/// The pace of an engine as it is believed now. One that nothing was seen of counts as
/// usual.
pub fn estimated_pace(now: Time, state: &EngineState, median: Option<f64>) -> Pace {
    let usual = median.unwrap_or(DEFAULT_PACE_US);
    Pace {
        us_per_event: relative_pace(now, state, median) * usual,
        running: state.stats.in_flight,
        slots: state.record.slots.max(1),
    }
}

/// Whether one engine runs a request faster than another, by more than a move
/// costs.
pub fn is_faster(one: &EngineState, other: &EngineState) -> bool {
    let paces = one
        .stats
        .event_interval_us()
        .zip(other.stats.event_interval_us());
    paces.is_some_and(|(pace, own)| own >= pace * FASTER_FACTOR)
}

/// Paces of a service's engines, in microseconds an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePaces {
    /// The median.
    pub median: f64,
    /// The fastest.
    pub fastest: f64,
    /// The fastest of those that have a free place; the median if none has.
    pub fastest_free: f64,
    /// Whether a fifth of the engines or more are far faster than the median.
    pub has_fast_engines: bool,
}

/// Median pace of each service's engines that take new requests: their usual pace or
/// their pace just now, whichever is slower. When this machine was busy, events of all
/// engines come late together, and none of them is slow.
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

/// The paces of one service; none before any was seen.
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
        let fifth = usual.get(usual.len() / FAST_ENGINE_DIVISOR).copied();
        let middle = usual.get(usual.len().saturating_sub(1) / 2).copied();
        let has_fast_engines = fifth
            .zip(middle)
            .is_some_and(|(fifth, middle)| choice::is_heterogeneous(fifth, middle));
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

/// Pace of an engine relative to the median; 1 if unknown. What it does just
/// now counts where that is far off, its usual pace elsewhere. One that was slow
/// and has been left alone since is tried with a single item.
fn relative_pace(now: Time, state: &EngineState, median: Option<f64>) -> f64 {
    let Some((usual, median)) = state.stats.event_interval_us().zip(median) else {
        return 1.0;
    };
    let usual = usual / median;
    let recent = state.stats.adjusted_recent_event_interval_us(now, median);
    let recent = recent.map(|pace| pace / median);
    let far_off = usual >= SLOW_FACTOR;
    match recent {
        Some(recent) if far_off || recent >= SLOW_FACTOR => recent,
        None if far_off && state.stats.in_flight == 0 => 1.0,
        _ => usual,
    }
}

/// Whether an engine is far slower than others just now.
pub fn is_slow(now: Time, state: &EngineState, median: Option<f64>) -> bool {
    relative_pace(now, state, median) >= SLOW_FACTOR
}

/// Whether an engine's weights are such as a job allows.
fn has_allowed_version(state: &EngineState, need: &ItemRequirements<'_>) -> bool {
    if need.model.is_empty() {
        return true;
    }
    let version = state.version(need.model);
    version >= need.min_version.max(1) && need.exact_version.is_none_or(|exact| version == exact)
}

/// Whether an engine may take an item now.
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

fn cost(now: Time, state: &EngineState, need: &ItemRequirements<'_>, median: Option<f64>) -> f64 {
    let pace = relative_pace(now, state, median);
    let load = f64::from(state.stats.in_flight) / f64::from(state.record.slots.max(1));
    let together = need.cached_on.contains(&state.record.instance);
    let affinity = if together && pace < SLOW_FACTOR {
        PROMPT_AFFINITY
    } else {
        0.0
    };
    pace * (1.0 + LOAD_WEIGHT * load) - affinity
}
