//! State and statistics of the choice of engines for items.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Instance;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::Time;
use std::borrow::Cow;
use std::collections::HashMap;
use std::rc::Rc;

use super::migration::MoveReason;
use super::Dispatcher;
use crate::item::OpenItem;
use crate::placement::{
    ItemPlacement, LengthEstimator, PromptCacheIndex, PromptGroup, RemainingEvents, ServicePaces,
    TextForecast,
};

/// Fraction of the expected duration of a job's longest text within which other items may finish
/// without delaying the job.
const JOB_END_FRACTION: f64 = 0.85;

/// Placement counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// Runs moved away from engines that were removed, draining or restarted.
    pub moves_leaving: u64,
    /// Runs moved away from engines that sent no events.
    pub moves_silent: u64,
    /// Runs moved away from engines that were much slower than others.
    pub moves_slow: u64,
    /// Runs moved because a faster engine had a free slot.
    pub moves_faster: u64,
    /// Runs sent to engines that had the prompt of their group cached.
    pub prompts_kept: u64,
    /// Runs sent to other engines.
    pub prompts_read: u64,
}

/// Learned text lengths and cached prompts, as input to the choice of engines.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    pub strategy: ItemPlacement,
    lengths: LengthEstimator,
    prompt_cache: PromptCacheIndex,
    /// Largest length hint of the items of each job.
    longest_hints: HashMap<Rc<str>, u64>,
    stats: PlacementStats,
}

impl PlacementState {
    pub fn open_job(&mut self, job: &Rc<str>, spec: &AcceptJob) {
        let longest = spec.items.iter().map(|item| item.length_hint).max();
        self.longest_hints.insert(job.clone(), longest.unwrap_or(0));
        let hints = spec.items.iter().map(|item| item.length_hint);
        self.lengths.record_hints(&spec.model, hints);
    }

    pub fn end_job(&mut self, job: &Rc<str>) {
        self.longest_hints.remove(job);
    }

    /// Returns the placement strategy for a service with these paces.
    pub fn strategy_for(&self, paces: Option<ServicePaces>) -> ItemPlacement {
        let has_fast_engines = paces.is_some_and(|paces| paces.has_fast_engines);
        self.strategy.for_service(has_fast_engines)
    }

    /// Records the length of a complete text.
    pub fn record_length(&mut self, item: &OpenItem) {
        let (hint, events) = (item.item().length_hint, item.text.events.len());
        self.lengths.record_length(&item.spec.model, hint, events);
    }

    /// Records that an engine has processed the prompt of an item.
    pub fn record_prompt(&mut self, now: Time, item: &OpenItem, engine: &Instance, version: u64) {
        if let Some(group) = prompt_group(item) {
            self.prompt_cache.record_use(now, group, engine, version);
        }
    }

    /// Estimates the remaining events of an item's text.
    pub fn remaining(&self, item: &OpenItem) -> RemainingEvents {
        let (hint, generated) = (item.item().length_hint, item.text.events.len());
        self.lengths.remaining(&item.spec.model, hint, generated)
    }

    /// Estimates how long an item will run, or `None` if engines are chosen by relative pace.
    pub fn forecast(
        &self,
        now: Time,
        item: &OpenItem,
        paces: Option<ServicePaces>,
    ) -> Option<TextForecast> {
        if !self.strategy_for(paces).uses_expected_end() {
            return None;
        }
        let remaining = self.remaining(item);
        Some(TextForecast {
            mean_events: remaining.mean_events,
            upper_events: remaining.upper_events,
            us_until_job_end: paces.map_or(0.0, |paces| self.time_to_job_end(now, item, paces)),
        })
    }

    /// Microseconds until the job of an item is expected to end: the duration of its longest
    /// text on the fastest engine, scaled by [`JOB_END_FRACTION`], minus the age of the job.
    fn time_to_job_end(&self, now: Time, item: &OpenItem, paces: ServicePaces) -> f64 {
        let longest = self.longest_hints.get(item.spec.job.as_str()).copied();
        let model = &item.spec.model;
        let longest = self.lengths.remaining(model, longest.unwrap_or(0), 0);
        let age = now.since(item.known_since).0 as f64;
        (longest.mean_events * paces.fastest * JOB_END_FRACTION - age).max(0.0)
    }

    /// Engines that hold the prompt of the item's group: those that run items of the group, and, if
    /// engines are chosen by expected end, those that did recently.
    pub fn prompt_holders<'a>(
        &self,
        now: Time,
        item: &OpenItem,
        directory: &EngineDirectory,
        running: &'a [Instance],
        paces: Option<ServicePaces>,
    ) -> Cow<'a, [Instance]> {
        let group = prompt_group(item).filter(|_| self.strategy_for(paces).uses_expected_end());
        let Some(group) = group else {
            return Cow::Borrowed(running);
        };
        let mut holders = running.to_vec();
        for (engine, version) in self.prompt_cache.engines(now, group) {
            let state = directory.get(engine);
            let has_same_version =
                state.is_some_and(|state| state.version(&item.spec.model) == version);
            if has_same_version && !holders.contains(engine) {
                holders.push(engine.clone());
            }
        }
        Cow::Owned(holders)
    }

    /// Counts whether the chosen engine holds the prompt of the item's group.
    pub fn count_choice(&mut self, has_prompt_cached: bool) {
        match has_prompt_cached {
            true => self.stats.prompts_kept += 1,
            false => self.stats.prompts_read += 1,
        }
    }

    pub fn count_move(&mut self, reason: MoveReason) {
        let stats = &mut self.stats;
        let count = match reason {
            MoveReason::Gone | MoveReason::Draining | MoveReason::Restarted => {
                &mut stats.moves_leaving
            }
            MoveReason::Silent => &mut stats.moves_silent,
            MoveReason::Slow => &mut stats.moves_slow,
            MoveReason::FasterFree => &mut stats.moves_faster,
        };
        *count += 1;
    }
}

fn prompt_group(item: &OpenItem) -> Option<PromptGroup> {
    let group = &item.item().group;
    let has_group = !group.is_empty();
    has_group.then(|| PromptGroup::of(&item.spec.tenant, &item.spec.model, group))
}

impl Dispatcher {
    /// Sets the placement strategy.
    pub fn with_placement(mut self, strategy: ItemPlacement) -> Self {
        self.placement.strategy = strategy;
        self
    }

    /// Placement counters since the start of the process.
    pub fn placement_stats(&self) -> PlacementStats {
        self.placement.stats
    }
}
