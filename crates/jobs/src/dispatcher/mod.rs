//! The dispatcher: sends open items to engines and proposes their texts to the replicated log.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineRequest, EngineResponseHead, EventDecoder, Instance};
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
mod outdated_configuration;
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
mod wait_reasons;

pub use placement_state::PlacementStats;
pub use planning::PlannedGroups;
pub use scoring::{ScoreCall, ScoreOutcome};
pub use suspects::RunRequest;
pub use wait_reasons::{WaitReason, WaitingItems};

use crate::item::{GroupKey, ItemKey, OpenItem};
use crate::listing::{ListingQueue, PendingResult};
use crate::placement::ServicePaces;
use crate::scores::{ScoreId, ScoreQueue};
use crate::streams::Run;
use crate::text_cache::TextCache;
use capacity::CandidateCache;
use outdated_configuration::ConfigurationAge;
use placement_state::PlacementState;
use queue::WaitingQueue;

/// Identifies a run of an item on an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId(pub u64);

/// Time between two checks of all runs.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two proposals of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(160);

/// An action requested by the dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a request to an engine.
    Run {
        /// Identifies the run in [`Dispatcher::on_part`].
        run: RunId,
        /// Network address of the engine.
        address: String,
        call: Box<EngineRequest>,
    },
    /// Cancel a run by closing its connection.
    Cancel(RunId),
    /// Make a reward call.
    Score {
        /// Identifies the call in [`Dispatcher::on_score`].
        score: ScoreId,
        call: Box<ScoreCall>,
    },
    /// Cancel a reward call.
    CancelScore(ScoreId),
    /// Propose results to the replicated log.
    ProposeResults(ListResults),
    /// Propose the progress of incomplete texts to the replicated log.
    ProposeProgress(KeepProgress),
}

/// A part of an engine's response to a run.
#[derive(Clone, Debug)]
pub enum RunPart {
    /// The response head.
    Head(EngineResponseHead),
    /// A chunk of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The response failed before it was complete.
    Failed(String),
}

/// Schedules the open items of all jobs on engines.
pub struct Dispatcher {
    items: BTreeMap<ItemKey, OpenItem>,
    runs: HashMap<RunId, Run>,
    /// Items whose text is complete but not scored.
    unscored: ScoreQueue,
    text_cache: TextCache,
    /// Results that are not proposed yet, by job.
    listings: BTreeMap<Rc<str>, ListingQueue>,
    next_run: u64,
    progress_proposed_at: Time,
    runs_checked_at: Time,
    /// Until then, measured paces may be distorted by a pause of this process.
    paces_unreliable_until: Time,
    /// Number of ended engine incarnations at the last check of all runs.
    ended_incarnations_seen: u64,
    /// Next search for runs that would finish sooner elsewhere.
    next_move_search_at: Time,
    /// Paces by service.
    paces: HashMap<String, ServicePaces>,
    next_pace_refresh_at: Time,
    /// Next attempt to start items while no engine has a free slot.
    next_saturated_poll_at: Time,
    /// Whether the last poll stopped before everything that could start was started.
    has_backlog: bool,
    /// Engines evaluated for items since the start of the process.
    engines_weighed: u64,
    /// Items and runs visited by polls since the start of the process.
    items_visited: Cell<u64>,
    /// Smallest length hint of long items, by job.
    long_thresholds: HashMap<Rc<str>, u64>,
    /// Number of groups, by job.
    group_counts: HashMap<Rc<str>, usize>,
    order: ItemOrder,
    queue: WaitingQueue,
    /// Candidate engines found by earlier polls.
    candidate_cache: CandidateCache,
    /// Items that wait for an engine again since the last poll.
    requeued: Vec<ItemKey>,
    /// Engines that run items of each group.
    group_engines: HashMap<GroupKey, Vec<Instance>>,
    lengths: LengthEstimates,
    plans: planning::PlanState,
    placement: PlacementState,
    wait_report: wait_reasons::WaitReport,
    configuration_age: ConfigurationAge,
    reader: Box<dyn Fn() -> Box<dyn EventDecoder>>,
    actions: Vec<DispatchAction>,
}

impl Dispatcher {
    /// Creates a dispatcher that decodes engine responses with `reader`.
    pub fn new(reader: Box<dyn Fn() -> Box<dyn EventDecoder>>) -> Self {
        Self {
            items: BTreeMap::new(),
            runs: HashMap::new(),
            unscored: ScoreQueue::default(),
            text_cache: TextCache::default(),
            listings: BTreeMap::new(),
            next_run: 1,
            progress_proposed_at: Time(0),
            runs_checked_at: Time(0),
            paces_unreliable_until: Time(0),
            ended_incarnations_seen: 0,
            next_move_search_at: Time(0),
            paces: HashMap::new(),
            next_pace_refresh_at: Time(0),
            next_saturated_poll_at: Time(0),
            has_backlog: false,
            engines_weighed: 0,
            items_visited: Cell::new(0),
            long_thresholds: HashMap::new(),
            group_counts: HashMap::new(),
            order: ItemOrder::default(),
            queue: WaitingQueue::default(),
            candidate_cache: CandidateCache::default(),
            requeued: Vec::new(),
            group_engines: HashMap::new(),
            lengths: LengthEstimates::default(),
            plans: planning::PlanState::default(),
            placement: PlacementState::default(),
            wait_report: wait_reasons::WaitReport::default(),
            configuration_age: ConfigurationAge::default(),
            reader,
            actions: Vec::new(),
        }
    }

    /// Sets the ordering policy for waiting items.
    pub fn set_order(&mut self, order: ItemOrder) {
        if self.order != order {
            self.order = order;
            self.queue.invalidate();
        }
    }

    /// Whether items are ordered by a plan.
    fn uses_plan(&self) -> bool {
        self.order == ItemOrder::GroupsInTime
    }

    /// Number of items without a result.
    pub fn open_items(&self) -> usize {
        self.items.len()
    }

    /// Bytes of texts that are not listed yet, and of those kept for later jobs.
    pub fn text_bytes(&self) -> usize {
        let open = self.items.values().map(|item| item.text.bytes());
        open.sum::<usize>() + self.text_cache.bytes()
    }

    /// Number of active runs.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Whether the last poll left work that another poll could do immediately.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Number of wanted groups in the last plan, in time and late.
    pub fn planned_groups(&self) -> PlannedGroups {
        self.plans.groups()
    }

    /// Mean error of text length estimates, relative to the mean length.
    pub fn length_error(&self) -> f64 {
        self.lengths.relative_error()
    }

    /// Number of items whose text is complete but not scored.
    pub fn unscored_items(&self) -> usize {
        self.unscored.len()
    }

    /// Number of active reward calls.
    pub fn reward_calls(&self) -> usize {
        self.unscored.calls()
    }

    /// Engines evaluated for items since the start of the process.
    pub fn engines_weighed(&self) -> u64 {
        self.engines_weighed
    }

    /// Items and runs visited by polls since the start of the process.
    pub fn items_visited(&self) -> u64 {
        self.items_visited.get()
    }

    pub(super) fn count_visits(&self, count: usize) {
        self.items_visited
            .set(self.items_visited.get() + count as u64);
    }

    /// Stops all work of an ended job. Its texts are kept for later jobs.
    pub fn end_job(&mut self, now: Time, id: &str, directory: &mut EngineDirectory) {
        let name: Rc<str> = Rc::from(id);
        let keys: Vec<ItemKey> = self
            .items
            .range((name.clone(), 0)..=(name.clone(), usize::MAX))
            .map(|(key, _)| key.clone())
            .collect();
        self.listings.remove(&name);
        self.long_thresholds.remove(&name);
        self.group_counts.remove(&name);
        self.plans.remove_job(&name);
        self.placement.end_job(&name);
        for key in keys {
            self.cancel_run(now, &key, directory);
            self.cancel_scoring(&key);
            if let Some(item) = self.items.remove(&key) {
                if !item.text.events.is_empty() {
                    let (body, text) = (item.item().body.clone(), item.text.clone());
                    self.text_cache.insert(now, item.cache_key(), body, text);
                }
            }
        }
    }

    /// Stops all work when this replica is no longer the leader.
    pub fn stop(&mut self, now: Time, directory: &mut EngineDirectory) {
        let keys: Vec<ItemKey> = self.items.keys().cloned().collect();
        for key in keys {
            self.cancel_run(now, &key, directory);
            self.cancel_scoring(&key);
        }
        self.items.clear();
        self.listings.clear();
        self.queue.clear();
        self.long_thresholds.clear();
        self.group_counts.clear();
        self.plans = planning::PlanState::default();
        self.requeued.clear();
        self.wait_report = wait_reasons::WaitReport::default();
        self.has_backlog = false;
    }

    /// Takes the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Starts, moves and gives up items, starts reward calls and proposes progress and results.
    pub fn poll(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if now.since(self.runs_checked_at) >= RUN_CHECK_INTERVAL {
            self.record_run_check(now);
            self.text_cache.evict_expired(now);
            self.adopt_runs(now, directory);
            self.check_runs(now, directory);
        }
        self.has_backlog = false;
        self.apply_settings_to_runs(configuration);
        self.start_waiting_items(now, configuration, directory);
        self.report_waiting_items(now, configuration, directory);
        self.start_reward_calls(now, configuration, directory);
        self.propose_due_results(now);
        if now.since(self.progress_proposed_at) >= PROGRESS_INTERVAL {
            self.progress_proposed_at = now;
            self.propose_progress();
        }
    }

    /// Cancels the run of an item, if it has one, and queues the item again. Its text is kept.
    fn cancel_run(&mut self, now: Time, key: &ItemKey, directory: &mut EngineDirectory) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        if let Some(id) = item.run {
            item.end_run(now);
            self.actions.push(DispatchAction::Cancel(id));
            self.requeued.push(key.clone());
            self.remove_run(id, directory);
        }
    }

    fn remove_run(&mut self, id: RunId, directory: &mut EngineDirectory) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.remove_group_engine(&run);
        directory.end_request(&run.instance, run.incarnation);
        Some(run)
    }

    fn remove_group_engine(&mut self, run: &Run) {
        let Some(group) = &run.group else {
            return;
        };
        let Some(engines) = self.group_engines.get_mut(group) else {
            return;
        };
        if let Some(position) = engines.iter().position(|engine| *engine == run.instance) {
            engines.swap_remove(position);
        }
        if engines.is_empty() {
            self.group_engines.remove(group);
        }
    }

    fn give_up(&mut self, now: Time, key: &ItemKey, reason: &str, configuration: &Configuration) {
        let applied = self.describe_configuration(now, configuration);
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        log::info!(
            "decision=terminate item={} job={} reason={reason} runs={} failures={} reward_failures={} accepted_under={} {applied}",
            item.item().id,
            key.0,
            item.runs,
            item.failures.runs,
            item.failures.reward_calls,
            item.spec.configuration
        );
        item.proposed = true;
        let result = ItemResult {
            item: key.1 as u64,
            completed: false,
            ..ItemResult::default()
        };
        self.add_result(&key.0, PendingResult::Ready(result));
        self.cancel_scoring(key);
    }
}
