//! The leader's work: open items to engines, texts to the log.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{AnswerHead, Configuration, EngineCall, EventReader, Instance};
use peatgrade_scheduling::{ItemOrder, LengthEstimates};
use peatgrade_schema::replication::{ItemResult, KeepProgress, ListResults};
use peatgrade_types::{Duration, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

mod admission;
mod arrival_order;
mod capacity;
mod eligibility;
mod migration;
mod opening;
mod placement_state;
mod planning;
mod queue;
mod queue_refresh;
mod records;
mod responses;
mod restarts;
mod scoring;
mod starting;
mod suspects;

pub use placement_state::PlacementStats;
pub use planning::PlannedGroups;
pub use scoring::{ScoreCall, ScoreOutcome};
pub use suspects::RunRequest;

use crate::item::{GroupKey, ItemKey, OpenItem};
use crate::listing::{ListingQueue, PendingResult};
use crate::placement::ServicePaces;
use crate::scores::{ScoreId, ScoreQueue};
use crate::streams::Run;
use crate::text_cache::TextCache;
use capacity::CandidateCache;
use placement_state::PlacementState;
use queue::WaitingQueue;

/// Names a run of an item.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId(pub u64);

/// Time between two looks over all runs.
const WATCH_EVERY: Duration = Duration::from_millis(20);
/// Time between two records of unfinished texts.
const PROGRESS_EVERY: Duration = Duration::from_millis(160);

/// What the dispatcher wants done.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a request to an engine.
    Run {
        /// Names the run in [`RunPart`]s.
        run: RunId,
        /// The engine's address.
        address: String,
        /// The request.
        call: Box<EngineCall>,
    },
    /// Break a run off by closing its connection.
    Cancel(RunId),
    /// Make a reward call.
    Score {
        /// Names the call in what comes of it.
        score: ScoreId,
        /// The call.
        call: Box<ScoreCall>,
    },
    /// Break a reward call off.
    CancelScore(ScoreId),
    /// Put results into the log.
    ProposeResults(ListResults),
    /// Put unfinished texts into the log.
    ProposeProgress(KeepProgress),
}

/// What came of a run.
#[derive(Clone, Debug)]
pub enum RunPart {
    /// The head of the answer.
    Head(AnswerHead),
    /// A piece of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The answer will not be whole.
    Failed(String),
}

/// Brings open items to engines.
pub struct Dispatcher {
    items: BTreeMap<ItemKey, OpenItem>,
    runs: HashMap<RunId, Run>,
    /// Items whose text is whole and has no score.
    unscored: ScoreQueue,
    kept: TextCache,
    /// Results that wait to be listed, by job.
    listings: BTreeMap<Rc<str>, ListingQueue>,
    next_run: u64,
    progress_at: Time,
    watched_at: Time,
    /// Until then events may have come late to this machine.
    paces_judged_from: Time,
    /// Engines that had started again at the last look over all runs.
    lives_seen: u64,
    /// Next look for runs that would get on better elsewhere.
    chances_at: Time,
    /// Paces of each service, and when to look again.
    paces: HashMap<String, ServicePaces>,
    paces_at: Time,
    /// Next look at what waits while no engine has a place.
    full_look_at: Time,
    /// The last look ended before all that could start had started.
    has_backlog: bool,
    /// Engines weighed for items since the start.
    weighed: u64,
    /// Items and runs visited by looks since the start.
    visited: Cell<u64>,
    /// Expected length from which on an item of a job counts as long.
    long_from: HashMap<Rc<str>, u64>,
    /// Groups of each open job.
    group_counts: HashMap<Rc<str>, usize>,
    order: ItemOrder,
    queue: WaitingQueue,
    /// Engines that looks for waiting items go on with.
    candidate_cache: CandidateCache,
    /// Items that wait for an engine again since the last look.
    returned: Vec<ItemKey>,
    /// Engines that run items of each group.
    companions: HashMap<GroupKey, Vec<Instance>>,
    /// Lengths of texts by model.
    lengths: LengthEstimates,
    plans: planning::Plans,
    /// What choices of engines rest on.
    placement: PlacementState,
    reader: Box<dyn Fn() -> Box<dyn EventReader>>,
    actions: Vec<DispatchAction>,
}
impl Dispatcher {
    /// A dispatcher that reads events with `reader`.
    pub fn new(reader: Box<dyn Fn() -> Box<dyn EventReader>>) -> Self {
        Self {
            items: BTreeMap::new(),
            runs: HashMap::new(),
            unscored: ScoreQueue::default(),
            kept: TextCache::default(),
            listings: BTreeMap::new(),
            next_run: 1,
            progress_at: Time(0),
            watched_at: Time(0),
            paces_judged_from: Time(0),
            lives_seen: 0,
            chances_at: Time(0),
            paces: HashMap::new(),
            paces_at: Time(0),
            full_look_at: Time(0),
            has_backlog: false,
            weighed: 0,
            visited: Cell::new(0),
            long_from: HashMap::new(),
            group_counts: HashMap::new(),
            order: ItemOrder::default(),
            queue: WaitingQueue::default(),
            candidate_cache: CandidateCache::default(),
            returned: Vec::new(),
            companions: HashMap::new(),
            lengths: LengthEstimates::default(),
            plans: planning::Plans::default(),
            placement: PlacementState::default(),
            reader,
            actions: Vec::new(),
        }
    }

    /// Orders waiting items in this way from now on.
    pub fn set_order(&mut self, order: ItemOrder) {
        if self.order != order {
            self.order = order;
            self.queue.outdate();
        }
    }

    /// Whether groups are planned to be whole in time.
    fn is_planned(&self) -> bool {
        self.order == ItemOrder::GroupsInTime
    }

    /// Items without a result.
    pub fn open_items(&self) -> usize {
        self.items.len()
    }

    /// Bytes of texts that are not whole or not listed, and of those kept for later jobs.
    pub fn text_bytes(&self) -> usize {
        let open = self.items.values().map(|item| item.text.bytes());
        open.sum::<usize>() + self.kept.bytes()
    }

    /// Runs under way.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Whether the last look left work that needs only another look.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Groups of the last plan that can be whole in time, and those that cannot.
    pub fn planned_groups(&self) -> PlannedGroups {
        self.plans.groups()
    }

    /// How far lengths of texts are from what was expected, as a share of it.
    pub fn length_error(&self) -> f64 {
        self.lengths.relative_error()
    }

    /// Items whose text is whole and has no score.
    pub fn unscored_items(&self) -> usize {
        self.unscored.len()
    }

    /// Reward calls under way.
    pub fn reward_calls(&self) -> usize {
        self.unscored.calls()
    }

    /// Engines weighed for items since the start: what choices cost.
    pub fn engines_weighed(&self) -> u64 {
        self.weighed
    }

    /// Items and runs visited by looks since the start: what looks cost beside choices.
    pub fn items_visited(&self) -> u64 {
        self.visited.get()
    }

    pub(super) fn visit(&self, count: usize) {
        self.visited.set(self.visited.get() + count as u64);
    }

    /// Stops all work for a job that is ended.
    pub fn end_job(&mut self, now: Time, id: &str, directory: &mut EngineDirectory) {
        let name: Rc<str> = Rc::from(id);
        let keys: Vec<ItemKey> = self
            .items
            .range((name.clone(), 0)..=(name.clone(), usize::MAX))
            .map(|(key, _)| key.clone())
            .collect();
        self.listings.remove(&name);
        self.long_from.remove(&name);
        self.group_counts.remove(&name);
        self.plans.remove_job(&name);
        self.placement.end_job(&name);
        for key in keys {
            self.break_off(&key, directory);
            self.drop_score(&key);
            if let Some(item) = self.items.remove(&key) {
                if !item.text.events.is_empty() {
                    let (body, text) = (item.item().body.clone(), item.text.clone());
                    self.kept.insert(now, item.cache_key(), body, text);
                }
            }
        }
    }

    /// Stops all work: this machine leads no more.
    pub fn stop(&mut self, directory: &mut EngineDirectory) {
        let keys: Vec<ItemKey> = self.items.keys().cloned().collect();
        for key in keys {
            self.break_off(&key, directory);
            self.drop_score(&key);
        }
        self.items.clear();
        self.listings.clear();
        self.queue.clear();
        self.long_from.clear();
        self.group_counts.clear();
        self.plans = planning::Plans::default();
        self.returned.clear();
        self.has_backlog = false;
    }

    /// What is to be done.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Starts, moves and gives up items.
    pub fn poll(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if now.since(self.watched_at) >= WATCH_EVERY {
            self.note_look(now);
            self.kept.evict_expired(now);
            self.adopt_runs(now, directory);
            self.watch_runs(now, directory);
        }
        self.end_convicted_runs(directory);
        self.has_backlog = false;
        self.start_waiting(now, configuration, directory);
        self.call_scorers(now, configuration, directory);
        self.list_due(now);
        if now.since(self.progress_at) >= PROGRESS_EVERY {
            self.progress_at = now;
            self.keep_progress();
        }
    }

    /// Ends the run of an item, if it has one; its text stays.
    fn break_off(&mut self, key: &ItemKey, directory: &mut EngineDirectory) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        if let Some(id) = item.run.take() {
            self.actions.push(DispatchAction::Cancel(id));
            self.returned.push(key.clone());
            self.forget_run(id, directory);
        }
    }

    fn forget_run(&mut self, id: RunId, directory: &mut EngineDirectory) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.forget_companion(&run);
        directory.end_request(&run.instance, run.incarnation);
        Some(run)
    }

    fn forget_companion(&mut self, run: &Run) {
        let Some(group) = &run.group else {
            return;
        };
        let Some(engines) = self.companions.get_mut(group) else {
            return;
        };
        if let Some(position) = engines.iter().position(|engine| *engine == run.instance) {
            engines.swap_remove(position);
        }
        if engines.is_empty() {
            self.companions.remove(group);
        }
    }

    fn give_up(&mut self, key: &ItemKey, reason: &str) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        log::info!(
            "decision=terminate item={} job={} reason={reason} runs={} failures={} reward_failures={}",
            item.item().id,
            key.0,
            item.runs,
            item.failures.runs,
            item.failures.reward_calls
        );
        item.proposed = true;
        let result = ItemResult {
            item: key.1 as u64,
            completed: false,
            ..ItemResult::default()
        };
        self.finish(&key.0, PendingResult::Ready(result));
        self.drop_score(key);
    }
}
