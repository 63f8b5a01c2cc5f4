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
const SUBSET: usize = 16;
/// Engines compared for one request.
const CANDIDATES: usize = 3;
/// Worth of a wholly cached prompt, in places of the batch.
const PREFIX_WORTH: f64 = 0.6;
/// Cost of another zone, as a share of the engine's places.
const ZONE_COST: f64 = 0.15;
/// Cost of an engine whose load nobody has reported yet.
const UNKNOWN_COST: f64 = 0.3;

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
    turn: usize,
    random: SmallRng,
}

impl Selector {
    /// A selector for a node in `zone`; `node` fixes its subset of each pool.
    pub fn new(node: u64, zone: &str, policy: SelectorPolicy, seed: u64) -> Self {
        Self {
            node,
            zone: zone.to_string(),
            policy,
            turn: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// An engine for the request, or none if no engine may take it.
    pub fn choose(
        &mut self,
        now: Time,
        view: &RoutingState<'_>,
        want: &EngineRequirements<'_>,
    ) -> Option<EngineId> {
        let eligible = self.eligible(now, view, want);
        if eligible.is_empty() {
            return None;
        }
        match self.policy {
            SelectorPolicy::RoundRobin => {
                self.turn += 1;
                Some(eligible[self.turn % eligible.len()].id)
            }
            SelectorPolicy::LeastLoaded => eligible
                .into_iter()
                .min_by_key(|info| view.load.expected_requests(now, info.id))
                .map(|info| info.id),
            SelectorPolicy::Full => self.best(now, view, want, &eligible),
        }
    }

    /// Engines that may take the request: those that are not draining, silent,
    /// broken or on weights that are too old. The subset is widened to the
    /// whole pool when none of it will do.
    fn eligible<'a>(
        &self,
        now: Time,
        view: &RoutingState<'a>,
        want: &EngineRequirements<'_>,
    ) -> Vec<&'a EngineInfo> {
        let fit = |info: &&EngineInfo| Self::fits(now, view, want, info);
        let mut pool = rendezvous_order(
            self.node,
            view.engines.all().filter(|info| info.pool == want.pool),
            |info| u64::from(info.id.0),
        );
        // The own zone comes first; of engines elsewhere little is known once
        // zones are large.
        pool.sort_by_key(|info| info.zone != self.zone);
        let subset: Vec<&EngineInfo> = pool.iter().take(SUBSET).copied().filter(fit).collect();
        // Engines of which no load was ever reported are a last resort.
        let known = |info: &&EngineInfo| view.load.latest(now, info.id).is_some();
        let subset = match subset.iter().any(known) {
            true => subset.into_iter().filter(known).collect(),
            false => subset,
        };
        let stray = want
            .preferred
            .and_then(|id| view.engines.get(id))
            .filter(|info| !subset.iter().any(|other| other.id == info.id))
            .filter(|info| Self::fits(now, view, want, info));
        if !subset.is_empty() || stray.is_some() {
            return subset.into_iter().chain(stray).collect();
        }
        pool.into_iter().skip(SUBSET).filter(fit).collect()
    }

    fn fits(
        now: Time,
        view: &RoutingState<'_>,
        want: &EngineRequirements<'_>,
        info: &EngineInfo,
    ) -> bool {
        if info.draining || want.exclude.contains(&info.id) {
            return false;
        }
        if view.circuits.state(now, info.id) == CircuitState::Open {
            return false;
        }
        let latest = view.load.latest(now, info.id);
        if let Some(since) = view.reports_valid_since {
            if latest.is_none_or(|(_, age)| now - age < since) {
                return false;
            }
        }
        match latest {
            None => !want.requires_recent_report,
            Some((report, age)) => {
                !report.draining
                    && age < OWNER_SILENCE_LIMIT
                    && report.weight_version >= want.min_weight_version
            }
        }
    }

    /// The best of a few engines: those with the longest cached prefix, the
    /// session's own, and others at random.
    fn best(
        &mut self,
        now: Time,
        view: &RoutingState<'_>,
        want: &EngineRequirements<'_>,
        eligible: &[&EngineInfo],
    ) -> Option<EngineId> {
        let mut candidates: Vec<&EngineInfo> = Vec::with_capacity(CANDIDATES + 2);
        let preferred = eligible.iter().find(|info| Some(info.id) == want.preferred);
        candidates.extend(preferred);
        if !want.blocks.is_empty() {
            let longest = eligible
                .iter()
                .max_by_key(|info| view.prefixes.matching_blocks(info.id, want.blocks));
            candidates.extend(longest);
        }
        for _ in 0..CANDIDATES {
            candidates.push(eligible[self.random.random_range(0..eligible.len())]);
        }
        let cost = |info: &EngineInfo| self.cost(now, view, want, info);
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
        view: &RoutingState<'_>,
        want: &EngineRequirements<'_>,
        info: &EngineInfo,
    ) -> f64 {
        let slots = f64::from(info.slots.max(1));
        let load = f64::from(view.load.expected_requests(now, info.id)) / slots;
        let cached = view.prefixes.matching_blocks(info.id, want.blocks) as f64;
        let share = cached / want.blocks.len().max(1) as f64;
        let session = if want.preferred == Some(info.id) {
            PREFIX_WORTH
        } else {
            0.0
        };
        let zone = if info.zone == self.zone {
            0.0
        } else {
            ZONE_COST
        };
        let known = view.load.latest(now, info.id).is_some();
        let unknown = if known { 0.0 } else { UNKNOWN_COST };
        load + zone + unknown - (share * PREFIX_WORTH).max(session)
    }
}
