//! Selection of the engines that load next.

use peatgrade_ports::Instance;
use peatgrade_types::Time;
use std::collections::BTreeSet;

use super::VersionCoordinator;
use crate::directory::{EngineDirectory, EngineState};

/// Factor over the median event interval from which an engine is loaded last.
const SLOW_FACTOR: f64 = 1.15;

impl VersionCoordinator {
    /// Number of engines that should have the newest version of a model: enough for half of a
    /// step's items, or for all of them if the service has a surplus of engines, so that no
    /// step waits for engines of the previous one.
    fn engines_needed(&self, model: &str, engines: &[&EngineState], is_abundant: bool) -> usize {
        let half = (engines.len() / 2).max(1);
        let Some(items) = self.demand.get(model).copied() else {
            return half;
        };
        let slots = engines.iter().map(|state| state.record.slots).max();
        let slots = slots.unwrap_or(1).max(1) as usize;
        let divisor = if is_abundant { 1 } else { 2 };
        let items = items + self.backlog.get(model).copied().unwrap_or(0);
        half.min(items.div_ceil(divisor * slots).max(1))
    }

    /// Models with a published version or an open batch job.
    pub(super) fn models(&self) -> BTreeSet<&String> {
        self.newest_versions
            .keys()
            .chain(self.demand.keys())
            .collect()
    }

    /// Engines and the versions to load, most urgent first; each engine occurs once.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        directory: &EngineDirectory,
    ) -> Vec<(Instance, (String, u64))> {
        let mut candidates = Vec::new();
        let mut scanned = 0;
        for (model, &newest) in &self.newest_versions {
            let engines = directory.batch_engines_of_model(now, model);
            scanned += engines.len();
            let is_abundant = directory.has_working_set(model);
            let needed = self.engines_needed(model, &engines, is_abundant);
            let (holding, mut lacking): (Vec<&EngineState>, Vec<&EngineState>) = engines
                .into_iter()
                .partition(|state| state.version(model) >= newest);
            let median = median_event_interval(&lacking);
            lacking.sort_by_cached_key(|state| {
                let is_loading = self.is_loading(&state.record.instance, model);
                let is_usable = state.version(model) + 1 >= newest;
                let interval_us = state.stats.event_interval_us().unwrap_or(0.0);
                let is_slow = interval_us > median * SLOW_FACTOR;
                let in_flight = state.stats.in_flight;
                (
                    !is_loading,
                    is_usable,
                    is_slow,
                    state.version(model),
                    in_flight,
                )
            });
            let target_count = (2 * needed).saturating_sub(holding.len());
            for (index, state) in lacking.into_iter().take(target_count).enumerate() {
                let position = holding.len() + index;
                let is_outdated = state.version(model) + 1 < newest;
                if position >= needed && !is_outdated {
                    continue;
                }
                let is_surplus = position >= needed;
                // Share of the needed engines that hold the version already, in thousandths.
                let share = position * 1_000 / needed.max(1);
                let target = (model.clone(), newest);
                candidates.push((is_surplus, share, state.record.instance.clone(), target));
            }
        }
        self.last_scanned = scanned;
        self.total_scanned += scanned as u64;
        candidates.sort();
        let mut seen = BTreeSet::new();
        let distinct = candidates
            .into_iter()
            .filter(|(_, _, instance, _)| seen.insert(instance.clone()));
        distinct
            .map(|(_, _, instance, target)| (instance, target))
            .collect()
    }

    /// Whether an engine is loading a version of a model.
    fn is_loading(&self, instance: &Instance, model: &str) -> bool {
        let progress = self.engines.get(instance);
        progress.is_some_and(|progress| {
            let target = progress.target.as_ref();
            progress.is_loading() && target.is_some_and(|(loaded, _)| loaded == model)
        })
    }
}

/// Median event interval of the engines; 0 if none is known.
fn median_event_interval(engines: &[&EngineState]) -> f64 {
    let intervals = engines
        .iter()
        .filter_map(|state| state.stats.event_interval_us());
    let mut intervals: Vec<f64> = intervals.collect();
    intervals.sort_by(f64::total_cmp);
    intervals.get(intervals.len() / 2).copied().unwrap_or(0.0)
}
