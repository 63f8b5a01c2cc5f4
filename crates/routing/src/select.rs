//! Selection of an engine for a request.

use crate::circuit::{CircuitBreakers, CircuitState};
use crate::engines::{EngineDirectory, EngineInfo};
use crate::load::{LoadView, MAX_REPORT_AGE};
use crate::prefix::PrefixIndex;
use peatgrade_types::{rendezvous_order, EngineId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of engines of a pool that one node considers. A small subset improves the locality of
/// cached prefixes.
const SUBSET_SIZE: usize = 16;
/// Number of random engines that are compared for one request.
const RANDOM_CANDIDATES: usize = 3;
/// Cost reduction for a completely cached prompt, as a fraction of the engine's slots.
const CACHE_CREDIT: f64 = 0.6;
/// Cost of a remote zone, as a fraction of the engine's slots.
const ZONE_COST: f64 = 0.15;
/// Cost of an engine without a load report, as a fraction of its slots.
const UNKNOWN_LOAD_COST: f64 = 0.3;

/// How engines are compared. Policies other than `Full` are baselines for experiments.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum SelectorPolicy {
    /// By load, in-flight requests, cached prefix and zone.
    #[default]
    Full,
    /// Round robin.
    RoundRobin,
    /// By expected load only.
    LeastLoaded,
}

/// Requirements of a request on its engine.
#[derive(Clone, Debug, Default)]
pub struct EngineRequirements<'a> {
    /// Pool to select from.
    pub pool: &'a str,
    /// Prefix blocks of the prompt.
    pub blocks: &'a [u64],
    /// Engines that have already failed the request.
    pub exclude: &'a [EngineId],
    /// Engine that holds the request's session, if any.
    pub preferred: Option<EngineId>,
    /// Minimum weight version.
    pub min_weight_version: u64,
    /// Whether the engine must have a recent load report, which includes its weight version.
    pub requires_recent_report: bool,
}

/// State that the selection is based on.
pub struct RoutingState<'a> {
    /// Known engines.
    pub engines: &'a EngineDirectory,
    /// Load of the engines.
    pub load: &'a LoadView,
    /// Cached prefixes of the engines.
    pub prefixes: &'a PrefixIndex,
    /// Circuit breakers of the engines.
    pub circuits: &'a CircuitBreakers,
    /// Load reports from before this time are ignored. Set for a while after the process was
    /// suspended.
    pub reports_valid_since: Option<Time>,
}

/// Selects engines for one node.
#[derive(Debug)]
pub struct Selector {
    node: u64,
    zone: String,
    policy: SelectorPolicy,
    round_robin_counter: usize,
    random: SmallRng,
}

impl Selector {
    /// Creates a selector for a node in `zone`. `node` determines its subset of each pool.
    pub fn new(node: u64, zone: &str, policy: SelectorPolicy, seed: u64) -> Self {
        Self {
            node,
            zone: zone.to_string(),
            policy,
            round_robin_counter: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Selects an engine for a request, or `None` if no engine is eligible.
    pub fn choose(
        &mut self,
        now: Time,
        state: &RoutingState<'_>,
        requirements: &EngineRequirements<'_>,
    ) -> Option<EngineId> {
        let eligible = self.eligible_engines(now, state, requirements);
        if eligible.is_empty() {
            return None;
        }
        match self.policy {
            SelectorPolicy::RoundRobin => {
                self.round_robin_counter += 1;
                Some(eligible[self.round_robin_counter % eligible.len()].id)
            }
            SelectorPolicy::LeastLoaded => eligible
                .into_iter()
                .min_by_key(|info| state.load.expected_requests(now, info.id))
                .map(|info| info.id),
            SelectorPolicy::Full => self.lowest_cost(now, state, requirements, &eligible),
        }
    }

    /// Engines that may serve the request. Engines are excluded if they are draining, have an open
    /// circuit, an outdated load report or outdated weights, or have failed the request. Falls
    /// back to the rest of the pool if no engine of the node's subset is eligible.
    fn eligible_engines<'a>(
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
        // Engines of the local zone come first, as load reports from other zones are sparse in
        // large deployments.
        pool.sort_by_key(|info| info.zone != self.zone);
        let subset: Vec<&EngineInfo> = pool
            .iter()
            .take(SUBSET_SIZE)
            .copied()
            .filter(eligible)
            .collect();
        // Engines without a load report are a last resort.
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
                    && age < MAX_REPORT_AGE
                    && report.weight_version >= requirements.min_weight_version
            }
        }
    }

    /// Selects the engine with the lowest cost among the session's engine, the one with the longest
    /// cached prefix, and some random ones.
    fn lowest_cost(
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

    /// Expected utilization of the engine's slots, plus the cost of a remote zone, minus the credit
    /// for a cached prefix.
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
        let cached_fraction = cached / requirements.blocks.len().max(1) as f64;
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
        let has_report = state.load.latest(now, info.id).is_some();
        let unknown = if has_report { 0.0 } else { UNKNOWN_LOAD_COST };
        load + zone + unknown - (cached_fraction * CACHE_CREDIT).max(session)
    }
}
