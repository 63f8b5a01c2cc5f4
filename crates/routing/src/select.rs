//! The choice of an engine.

use crate::circuit::{CircuitBreakers, CircuitState};
use crate::engines::{EngineDirectory, EngineInfo};
use crate::load::{LoadView, OWNER_SILENCE_LIMIT};
use crate::prefix::PrefixIndex;
use peatgrade_types::{rendezvous_order, EngineId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Engines of a pool that one node considers; bounds its state and keeps
/// prefixes together.
const SUBSET_SIZE: usize = 16;
/// Engines compared for one request.
const RANDOM_CANDIDATES: usize = 3;
/// Worth of a wholly cached prompt, in places of the batch.
const CACHE_CREDIT: f64 = 0.6;
/// Cost of another zone, as a share of the engine's places.
const ZONE_COST: f64 = 0.15;
/// Cost of an engine whose load nobody has reported yet.
const UNKNOWN_LOAD_COST: f64 = 0.3;

/// How engines are compared; the lesser ones are baselines for experiments.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum SelectorPolicy {
    /// Load, own requests, cache, zone and circuit.
    #[default]
    Full,
    /// Each engine in turn.
    RoundRobin,
    /// Least expected load only.
    LeastLoaded,
}

/// What a request wants of its engine.
#[derive(Clone, Debug, Default)]
pub struct EngineRequirements<'a> {
    /// Pool to choose from.
    pub pool: &'a str,
    /// Prefix blocks of the prompt.
    pub blocks: &'a [u64],
    /// Engines that already failed the request.
    pub exclude: &'a [EngineId],
    /// Engine that holds the session, if any.
    pub preferred: Option<EngineId>,
    /// Lowest weight version that will do.
    pub min_weight_version: u64,
    /// Whether only an engine whose weights were reported of late will do.
    pub requires_recent_report: bool,
}

/// Everything the choice looks at.
pub struct RoutingState<'a> {
    /// Engines that exist.
    pub engines: &'a EngineDirectory,
    /// Their load.
    pub load: &'a LoadView,
    /// Their caches.
    pub prefixes: &'a PrefixIndex,
    /// Their circuits.
    pub circuits: &'a CircuitBreakers,
    /// Reports from before this moment do not count; set for a while after the
    /// node stood still.
    pub reports_valid_since: Option<Time>,
}

/// Chooses engines for one node.
#[derive(Debug)]
pub struct Selector {
    node: u64,
    zone: String,
    policy: SelectorPolicy,
    next_index: usize,
    random: SmallRng,
}

impl Selector {
    /// A selector for a node in `zone`; `node` fixes its subset of each pool.
    pub fn new(node: u64, zone: &str, policy: SelectorPolicy, seed: u64) -> Self {
        Self {
            node,
            zone: zone.to_string(),
            policy,
            next_index: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// An engine for the request, or none if no engine may take it.
    pub fn choose(
        &mut self,
        now: Time,
        state: &RoutingState<'_>,
        requirements: &EngineRequirements<'_>,
    ) -> Option<EngineId> {
        let eligible = self.eligible(now, state, requirements);
        if eligible.is_empty() {
            return None;
        }
        match self.policy {
            SelectorPolicy::RoundRobin => {
                self.next_index += 1;
                Some(eligible[self.next_index % eligible.len()].id)
            }
            SelectorPolicy::LeastLoaded => eligible
                .into_iter()
                .min_by_key(|info| state.load.expected_requests(now, info.id))
                .map(|info| info.id),
            SelectorPolicy::Full => self.best(now, state, requirements, &eligible),
        }
    }

    /// Engines that may take the request: those that are not draining, silent,
    /// broken or on weights that are too old. The subset is widened to the
    /// whole pool when none of it will do.
    fn eligible<'a>(
        &self,
        now: Time,
        state: &RoutingState<'a>,
        requirements: &EngineRequirements<'_>,
    ) -> Vec<&'a EngineInfo> {
        let eligible = |info: &&EngineInfo| Self::is_eligible(now, state, requirements, info);
        let mut pool = rendezvous_order(
            self.node,
            state
                .engines
                .all()
                .filter(|info| info.pool == requirements.pool),
            |info| u64::from(info.id.0),
        );
        // The own zone comes first; of engines elsewhere little is known once
        // zones are large.
        pool.sort_by_key(|info| info.zone != self.zone);
        let subset: Vec<&EngineInfo> = pool
            .iter()
            .take(SUBSET_SIZE)
            .copied()
            .filter(eligible)
            .collect();
        // Engines of which no load was ever reported are a last resort.
        let has_report = |info: &&EngineInfo| state.load.latest(now, info.id).is_some();
        let subset = match subset.iter().any(has_report) {
            true => subset.into_iter().filter(has_report).collect(),
            false => subset,
        };
        let preferred = requirements
            .preferred
            .and_then(|id| state.engines.get(id))
            .filter(|info| !subset.iter().any(|other| other.id == info.id))
            .filter(|info| Self::is_eligible(now, state, requirements, info));
        if !subset.is_empty() || preferred.is_some() {
            return subset.into_iter().chain(preferred).collect();
        }
        pool.into_iter()
            .skip(SUBSET_SIZE)
            .filter(eligible)
            .collect()
    }

    fn is_eligible(
        now: Time,
        state: &RoutingState<'_>,
        requirements: &EngineRequirements<'_>,
        info: &EngineInfo,
    ) -> bool {
        if info.draining || requirements.exclude.contains(&info.id) {
            return false;
        }
        if state.circuits.state(now, info.id) == CircuitState::Open {
            return false;
        }
        let latest = state.load.latest(now, info.id);
        if let Some(since) = state.reports_valid_since {
            if latest.is_none_or(|(_, age)| now - age < since) {
                return false;
            }
        }
        match latest {
            None => !requirements.requires_recent_report,
            Some((report, age)) => {
                !report.draining
                    && age < OWNER_SILENCE_LIMIT
                    && report.weight_version >= requirements.min_weight_version
            }
        }
    }

    /// The best of a few engines: those with the longest cached prefix, the
    /// session's own, and others at random.
    fn best(
        &mut self,
        now: Time,
        state: &RoutingState<'_>,
        requirements: &EngineRequirements<'_>,
        eligible: &[&EngineInfo],
    ) -> Option<EngineId> {
        let mut candidates: Vec<&EngineInfo> = Vec::with_capacity(RANDOM_CANDIDATES + 2);
        let preferred = eligible
            .iter()
            .find(|info| Some(info.id) == requirements.preferred);
        candidates.extend(preferred);
        if !requirements.blocks.is_empty() {
            let longest = eligible
                .iter()
                .max_by_key(|info| state.prefixes.matching_blocks(info.id, requirements.blocks));
            candidates.extend(longest);
        }
        for _ in 0..RANDOM_CANDIDATES {
            candidates.push(eligible[self.random.random_range(0..eligible.len())]);
        }
        let cost = |info: &EngineInfo| self.cost(now, state, requirements, info);
        candidates
            .into_iter()
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .map(|info| info.id)
    }

    /// Expected share of the engine's places in use, less the worth of what
    /// it has cached, plus the cost of distance.
    fn cost(
        &self,
        now: Time,
        state: &RoutingState<'_>,
        requirements: &EngineRequirements<'_>,
        info: &EngineInfo,
    ) -> f64 {
        let slots = f64::from(info.slots.max(1));
        let load = f64::from(state.load.expected_requests(now, info.id)) / slots;
        let cached = state.prefixes.matching_blocks(info.id, requirements.blocks) as f64;
        let share = cached / requirements.blocks.len().max(1) as f64;
        let session = if requirements.preferred == Some(info.id) {
            CACHE_CREDIT
        } else {
            0.0
        };
        let zone = if info.zone == self.zone {
            0.0
        } else {
            ZONE_COST
        };
        let known = state.load.latest(now, info.id).is_some();
        let unknown = if known { 0.0 } else { UNKNOWN_LOAD_COST };
        load + zone + unknown - (share * CACHE_CREDIT).max(session)
    }
}
