//! Which engines are to load next.

use peatgrade_ports::Instance;
use peatgrade_types::Time;
use std::collections::BTreeSet;

use super::VersionCoordinator;
use crate::directory::{EngineDirectory, EngineState};

/// An engine this much slower than the median takes a version last.
const SLOW_FACTOR: f64 = 1.15;

impl VersionCoordinator {
    /// Engines that should have the newest version of a model: half of a step's places, or
    /// all of them where the service has engines to spare. Then no step waits for those of
    /// the step before.
    fn needed(&self, model: &str, engines: &[&EngineState], is_abundant: bool) -> usize {
        let half = (engines.len() / 2).max(1);
        let Some(items) = self.demand.get(model) else {
            return half;
        };
        let slots = engines.iter().map(|state| state.record.slots).max();
        let slots = slots.unwrap_or(1).max(1) as usize;
        let parts = if is_abundant { 1 } else { 2 };
        half.min(items.div_ceil(parts * slots).max(1))
    }

    /// Models that trainers have named or work with.
    pub(super) fn models(&self) -> BTreeSet<&String> {
        self.named.keys().chain(self.demand.keys()).collect()
    }

    /// Engines to bring to a version, the most wanted first; an engine stands
    /// there once.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        directory: &EngineDirectory,
    ) -> Vec<(Instance, (String, u64))> {
        let mut ranked = Vec::new();
        let mut visited = 0;
        for (model, &newest) in &self.named {
            let engines = directory.batch_engines_of_model(now, model);
            visited += engines.len();
            let is_abundant = directory.has_working_set(model);
            let needed = self.needed(model, &engines, is_abundant);
            let (has, mut lack): (Vec<&EngineState>, Vec<&EngineState>) = engines
                .into_iter()
                .partition(|state| state.version(model) >= newest);
            let median = median_pace(&lack);
            lack.sort_by_cached_key(|state| {
                let loads = self.loads(&state.record.instance, model);
                let useful = state.version(model) + 1 >= newest;
                let pace = state.stats.event_interval_us().unwrap_or(0.0);
                let slow = pace > median * SLOW_FACTOR;
                let running = state.stats.in_flight;
                (!loads, useful, slow, state.version(model), running)
            });
            let wanted = (2 * needed).saturating_sub(has.len());
            for (position, state) in lack.into_iter().take(wanted).enumerate() {
                let rank = has.len() + position;
                let useless = state.version(model) + 1 < newest;
                if rank >= needed && !useless {
                    continue;
                }
                let surplus = rank >= needed;
                // Thousandths of what the model needs that it would have before.
                let share = rank * 1_000 / needed.max(1);
                let target = (model.clone(), newest);
                ranked.push((surplus, share, state.record.instance.clone(), target));
            }
        }
        self.looked_over = visited;
        self.visited += visited as u64;
        ranked.sort();
        let mut seen = BTreeSet::new();
        let once = ranked
            .into_iter()
            .filter(|(_, _, instance, _)| seen.insert(instance.clone()));
        once.map(|(_, _, instance, target)| (instance, target))
            .collect()
    }

    /// Whether an engine is on its way to a version of a model.
    fn loads(&self, instance: &Instance, model: &str) -> bool {
        let progress = self.engines.get(instance);
        progress.is_some_and(|progress| {
            let target = progress.target.as_ref();
            progress.is_loading() && target.is_some_and(|(loaded, _)| loaded == model)
        })
    }
}

/// Median pace of engines that have one; 0 if none has.
fn median_pace(engines: &[&EngineState]) -> f64 {
    let paces = engines
        .iter()
        .filter_map(|state| state.stats.event_interval_us());
    let mut known: Vec<f64> = paces.collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or(0.0)
}
