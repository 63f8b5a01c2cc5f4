//! What choices of engines for items rest on, and figures of them.

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

/// Share of the expected time of a job's longest text that others may take without care:
/// the guess for that one is as uncertain as the others.
const END_SHARE: f64 = 0.85;

/// Counts of choices since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// Runs moved from engines that left the list, are about to, or have started again.
    pub moves_leaving: u64,
    /// Runs moved from engines of which nothing came.
    pub moves_silent: u64,
    /// Runs moved from engines far slower than others.
    pub moves_slow: u64,
    /// Runs moved since a faster engine had room.
    pub moves_faster: u64,
    /// Runs sent where the prompt of their group was kept.
    pub prompts_kept: u64,
    /// Runs sent elsewhere.
    pub prompts_read: u64,
}

/// What is learnt of texts and prompts, for choices of engines.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    pub way: ItemPlacement,
    lengths: LengthEstimator,
    prompts: PromptCacheIndex,
    /// Greatest guessed length of each job's items.
    longest: HashMap<Rc<str>, u64>,
    stats: PlacementStats,
}

impl PlacementState {
    pub fn open_job(&mut self, job: &Rc<str>, spec: &AcceptJob) {
        let longest = spec.items.iter().map(|item| item.length_hint).max();
        self.longest.insert(job.clone(), longest.unwrap_or(0));
        let guesses = spec.items.iter().map(|item| item.length_hint);
        self.lengths.record_hints(&spec.model, guesses);
    }

    pub fn end_job(&mut self, job: &Rc<str>) {
        self.longest.remove(job);
    }

    /// The way that fits a service whose engines have these paces.
    pub fn way_for(&self, paces: Option<ServicePaces>) -> ItemPlacement {
        let has_fast = paces.is_some_and(|paces| paces.has_fast_engines);
        self.way.for_service(has_fast)
    }

    /// A text is whole.
    pub fn text_whole(&mut self, item: &OpenItem) {
        let (guess, events) = (item.item().length_hint, item.text.events.len());
        self.lengths.record_length(&item.spec.model, guess, events);
    }

    /// An engine has read an item's prompt.
    pub fn prompt_read(&mut self, now: Time, item: &OpenItem, engine: &Instance, version: u64) {
        if let Some(group) = group_of(item) {
            self.prompts.record_use(now, group, engine, version);
        }
    }

    /// Events that are still to come of an item's text.
    pub fn rest(&self, item: &OpenItem) -> RemainingEvents {
        let (guess, made) = (item.item().length_hint, item.text.events.len());
        self.lengths.remaining(&item.spec.model, guess, made)
    }

    /// How long an item will run; none if engines are chosen by relative pace.
    pub fn expected(
        &self,
        now: Time,
        item: &OpenItem,
        paces: Option<ServicePaces>,
    ) -> Option<TextForecast> {
        if !self.way_for(paces).uses_expected_end() {
            return None;
        }
        let rest = self.rest(item);
        Some(TextForecast {
            mean_events: rest.mean_events,
            upper_events: rest.upper_events,
            us_until_job_end: paces.map_or(0.0, |paces| self.until_end(now, item, paces)),
        })
    }

    /// Microseconds until an item's job is expected to end in any case: when its longest
    /// text on the fastest engine is nearly done, from when the job was known.
    fn until_end(&self, now: Time, item: &OpenItem, paces: ServicePaces) -> f64 {
        let longest = self.longest.get(item.spec.job.as_str()).copied();
        let model = &item.spec.model;
        let longest = self.lengths.remaining(model, longest.unwrap_or(0), 0);
        let age = now.since(item.known_since).0 as f64;
        (longest.mean_events * paces.fastest * END_SHARE - age).max(0.0)
    }

    /// Engines that keep the prompt of an item's group: those that run its items now, and,
    /// where engines are chosen by expected end, those that did not long ago.
    pub fn keepers<'a>(
        &self,
        now: Time,
        item: &OpenItem,
        directory: &EngineDirectory,
        running: &'a [Instance],
        paces: Option<ServicePaces>,
    ) -> Cow<'a, [Instance]> {
        let group = group_of(item).filter(|_| self.way_for(paces).uses_expected_end());
        let Some(group) = group else {
            return Cow::Borrowed(running);
        };
        let mut keepers = running.to_vec();
        for (engine, version) in self.prompts.engines(now, group) {
            let state = directory.get(engine);
            let same = state.is_some_and(|state| state.version(&item.spec.model) == version);
            if same && !keepers.contains(engine) {
                keepers.push(engine.clone());
            }
        }
        Cow::Owned(keepers)
    }

    /// Takes note of whether a chosen engine keeps the prompt of the item's group.
    pub fn note_choice(&mut self, has_prompt_cached: bool) {
        match has_prompt_cached {
            true => self.stats.prompts_kept += 1,
            false => self.stats.prompts_read += 1,
        }
    }

    pub fn note_move(&mut self, reason: MoveReason) {
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

fn group_of(item: &OpenItem) -> Option<PromptGroup> {
    let group = &item.item().group;
    let named = !group.is_empty();
    named.then(|| PromptGroup::of(&item.spec.tenant, &item.spec.model, group))
}

impl Dispatcher {
    /// The same, with another way to choose engines.
    pub fn with_placement(mut self, way: ItemPlacement) -> Self {
        self.placement.way = way;
        self
    }

    /// Counts of choices since the start.
    pub fn placement_stats(&self) -> PlacementStats {
        self.placement.stats
    }
}
