//! Assigns weight versions to engines and sends the orders to load them.
//!
//! A training step accepts the newest version and the one before. Each version is therefore
//! loaded by as many engines as can run half of a step's items, but at most by half of all,
//! those with the oldest version first. In a small fleet, each engine loads every second
//! version, so that one half serves while the other loads. Since concurrent loads are limited,
//! the model that lacks the largest share of its engines goes first. If capacity remains, as
//! many engines again whose version is too old take the newest one. Items that wait while engines
//! with older versions are idle count as further items of the step.
//!
//! Orders carry a fencing token and the expected number of orders that the engine has accepted
//! before, so that a delayed order has no effect. If the answer to an order is lost, the
//! engine is asked for a report before the next order.

use peatgrade_ports::{Instance, OrderMode, OrderResponse, VersionOrder};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

mod answers;
mod candidates;
mod progress;

use crate::directory::EngineDirectory;
use progress::{EngineProgress, Phase, MIN_LOAD_TIME};

/// Timeout of orders and report requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum time between two polls, in total and per engine scanned by the last one. Bounds
/// the share of time spent on scans of large fleets.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
const POLL_INTERVAL_PER_ENGINE: Duration = Duration(20);
/// Maximum time between two polls, for state that changes without a notification: event
/// intervals and reachability.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of further report requests to a loading engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// Delay before an engine that did not answer is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Number of engines per concurrent load if the settings don't limit loads. The bandwidth of
/// the weight source is assumed to grow with the fleet.
const ENGINES_PER_LOAD: usize = 5;
/// Minimum limit of concurrent loads.
const MIN_CONCURRENT_LOADS: usize = 2;

/// A request that the caller sends for the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send an order and pass its outcome to [`VersionCoordinator::on_order_outcome`].
    Order(VersionOrder),
    /// Request a report and pass it to [`VersionCoordinator::on_report`].
    Report(Instance),
}

/// Outcome of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The engine answered.
    Answered(OrderResponse),
    /// It certainly did not reach the engine.
    NotSent,
    /// The engine may have accepted it or may do so later.
    Unknown,
}

/// Brings engines to the versions that trainers publish.
#[derive(Debug)]
pub struct VersionCoordinator {
    holder: String,
    fence: u64,
    /// Earliest time of an order, for engines that received one from another holder.
    not_before: BTreeMap<Instance, Time>,
    /// Expected duration of a load.
    load_time: Duration,
    newest_versions: BTreeMap<String, u64>,
    engines: BTreeMap<Instance, EngineProgress>,
    /// Items of the largest open batch job of each model.
    demand: BTreeMap<String, usize>,
    /// Items of each model that wait although engines with older versions are idle.
    backlog: BTreeMap<String, usize>,
    last_poll: Time,
    /// Whether anything has changed since the last poll.
    has_changes: bool,
    /// When a poll is due without changes.
    next_poll: Time,
    /// [`EngineDirectory::changes`] at the last poll.
    directory_changes: u64,
    /// Whether a working set may lack engines.
    working_sets_outdated: bool,
    /// Engines marked as loading in the directory, and the model.
    marked_loading: BTreeMap<Instance, String>,
    /// Engines scanned by the last poll.
    last_scanned: usize,
    /// Engines scanned by all polls.
    total_scanned: u64,
    /// Zone of the holder.
    zone: String,
    /// The model whose working set was filled last.
    last_filled_model: String,
    /// Limit of concurrent loads; 0 for a share of all engines.
    max_concurrent_loads: usize,
    /// An engine has seen a higher token, so this holder's lease is lost.
    fenced: bool,
}

impl VersionCoordinator {
    /// Creates the coordinator of a holder. Engines in `not_before` receive no order before the
    /// given time. At most `max_concurrent_loads` engines load at a time; 0 stands for a share
    /// of all engines.
    pub fn new(
        holder: String,
        fence: u64,
        not_before: BTreeMap<Instance, Time>,
        max_concurrent_loads: usize,
    ) -> Self {
        Self {
            holder,
            fence,
            not_before,
            load_time: MIN_LOAD_TIME,
            newest_versions: BTreeMap::new(),
            engines: BTreeMap::new(),
            demand: BTreeMap::new(),
            backlog: BTreeMap::new(),
            last_poll: Time(0),
            has_changes: true,
            next_poll: Time(0),
            directory_changes: 0,
            working_sets_outdated: true,
            marked_loading: BTreeMap::new(),
            last_scanned: 0,
            total_scanned: 0,
            zone: String::new(),
            last_filled_model: String::new(),
            max_concurrent_loads,
            fenced: false,
        }
    }

    /// Prefers engines of the holder's zone for working sets.
    pub fn in_zone(mut self, zone: &str) -> Self {
        self.zone = zone.to_string();
        self
    }

    /// Engines scanned by all polls, as a measure of the coordinator's cost.
    pub fn engines_scanned(&self) -> u64 {
        self.total_scanned
    }

    /// Sets the newest version of a model; older ones are ignored.
    pub fn set_newest_version(&mut self, model: &str, version: u64) {
        let known = self.newest_versions.entry(model.to_string()).or_insert(0);
        self.has_changes |= version > *known;
        self.working_sets_outdated |= *known == 0;
        *known = (*known).max(version);
    }

    /// Sets the number of items of a model's batch job.
    pub fn set_demand(&mut self, model: &str, items: usize) {
        let before = self.demand.insert(model.to_string(), items);
        self.has_changes |= before != Some(items);
        self.working_sets_outdated |= before != Some(items);
    }

    /// Sets the number of items of each model that wait for an engine with a version that their
    /// jobs allow, while engines with older versions are idle.
    pub fn set_backlog(&mut self, backlog: &BTreeMap<String, usize>) {
        if self.backlog != *backlog {
            self.backlog.clone_from(backlog);
            self.has_changes = true;
        }
    }

    pub fn newest_versions(&self) -> &BTreeMap<String, u64> {
        &self.newest_versions
    }

    /// Whether an engine has seen a higher fencing token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    fn is_due(&self, now: Time, directory: &EngineDirectory) -> bool {
        let interval = MIN_POLL_INTERVAL.max(Duration(
            POLL_INTERVAL_PER_ENGINE.0 * self.last_scanned as u64,
        ));
        let has_changes = self.has_changes || directory.changes() != self.directory_changes;
        now.since(self.last_poll) >= interval && (has_changes || now >= self.next_poll)
    }

    /// Requests to send now.
    pub fn poll(&mut self, now: Time, directory: &mut EngineDirectory) -> Vec<CoordinatorAction> {
        let mut actions = Vec::new();
        if self.fenced || !self.is_due(now, directory) {
            return actions;
        }
        let timer_expired = now >= self.next_poll;
        self.last_poll = now;
        self.has_changes = false;
        if timer_expired
            || self.working_sets_outdated
            || directory.changes() != self.directory_changes
        {
            self.directory_changes = directory.changes();
            self.engines.retain(|instance, progress| {
                directory.incarnation(instance) == Some(progress.incarnation)
            });
            self.update_working_sets(now, directory);
        }
        self.expire(now);
        let load_time = self.load_time;
        let loads = self
            .engines
            .values()
            .filter(|e| e.occupies_slot(now, load_time));
        let loading = loads.count();
        let max_concurrent_loads = self.max_concurrent_loads(directory);
        let mut free = max_concurrent_loads.saturating_sub(loading);
        let limit = self.loading_count() + 2 * max_concurrent_loads;
        for (instance, target) in self.candidates(now, directory).into_iter().take(limit) {
            let Some(incarnation) = directory.incarnation(&instance) else {
                continue;
            };
            let progress = self
                .engines
                .entry(instance.clone())
                .or_insert_with(|| EngineProgress::unknown(incarnation));
            match progress.phase {
                // Reserves a load slot until the report arrives, since the next candidates are
                // less in need of the version.
                Phase::Unknown => {
                    free = free.saturating_sub(1);
                    progress.phase = Phase::ReportRequested(now);
                    actions.push(CoordinatorAction::Report(instance));
                }
                Phase::ReportRequested(_) => free = free.saturating_sub(1),
                Phase::Idle if self.not_before.get(&instance).is_some_and(|at| now < *at) => {}
                Phase::Idle if free > 0 => {
                    free -= 1;
                    progress.phase = Phase::Ordered(now);
                    progress.target = Some(target.clone());
                    actions.push(CoordinatorAction::Order(VersionOrder {
                        instance,
                        model: target.0,
                        version: target.1,
                        mode: OrderMode::Retain,
                        holder: self.holder.clone(),
                        fence: self.fence,
                        expected: Some(progress.orders),
                    }));
                }
                _ => {}
            }
        }
        self.request_due_reports(now, &mut actions);
        self.mark_loading(directory);
        self.next_poll = self.next_timer(now).min(now + MAX_POLL_INTERVAL);
        actions
    }

    /// Time of the next timer.
    fn next_timer(&self, now: Time) -> Time {
        let timers = self.engines.values();
        let timers = timers.filter_map(|progress| progress.next_timer(now, self.load_time));
        let not_before = self
            .not_before
            .values()
            .copied()
            .filter(|until| *until > now);
        timers
            .chain(not_before)
            .min()
            .unwrap_or(now + MAX_POLL_INTERVAL)
    }

    /// Updates the working sets of all models and fills at most one, in round-robin order.
    fn update_working_sets(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut models: Vec<String> = self.models().into_iter().cloned().collect();
        let start = models.partition_point(|model| *model <= self.last_filled_model);
        models.rotate_left(start);
        let mut may_fill = true;
        for model in models {
            let items = self.demand.get(&model).copied().unwrap_or(0);
            if directory.update_working_sets(now, &model, items, &self.zone, may_fill) {
                may_fill = false;
                self.last_filled_model = model;
                self.has_changes = true;
            }
        }
        // Sets without engines are filled by the next polls. A set that lacks engines is filled
        // again when the list changes or the timer expires.
        self.working_sets_outdated = directory.lacks_working_sets();
        self.has_changes |= self.working_sets_outdated;
    }

    /// Limit of concurrent loads.
    fn max_concurrent_loads(&self, directory: &EngineDirectory) -> usize {
        if self.max_concurrent_loads > 0 {
            return self.max_concurrent_loads;
        }
        let (engines, _) = directory.model_engines();
        (engines / ENGINES_PER_LOAD).max(MIN_CONCURRENT_LOADS)
    }

    fn expire(&mut self, now: Time) {
        for progress in self.engines.values_mut() {
            match progress.phase {
                Phase::ReportRequested(since) | Phase::Ordered(since)
                    if now.since(since) >= ANSWER_TIMEOUT =>
                {
                    progress.phase = Phase::Unknown;
                }
                Phase::Loading(load) if now.since(load.since) >= LOAD_TIMEOUT => {
                    progress.phase = Phase::Unknown;
                }
                Phase::BackingOff(until) if now >= until => progress.phase = Phase::Unknown,
                _ => {}
            }
        }
    }

    fn request_due_reports(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        for (instance, progress) in &mut self.engines {
            if let Phase::Loading(load) = &mut progress.phase {
                if now >= load.next_check {
                    load.next_check = now + ANSWER_TIMEOUT;
                    actions.push(CoordinatorAction::Report(instance.clone()));
                }
            }
        }
    }

    /// Records in the directory which engines are loading, for engine selection.
    fn mark_loading(&mut self, directory: &mut EngineDirectory) {
        let engines = self.engines.iter();
        let loading = engines.filter(|(_, progress)| progress.is_loading());
        let loading = loading.filter_map(|(instance, progress)| {
            let (model, _) = progress.target.as_ref()?;
            Some((instance.clone(), model.clone()))
        });
        let loading: BTreeMap<Instance, String> = loading.collect();
        let finished = self
            .marked_loading
            .keys()
            .filter(|name| !loading.contains_key(*name));
        for instance in finished {
            set_loading(directory, instance, Vec::new());
        }
        for (instance, model) in &loading {
            if self.marked_loading.get(instance) != Some(model) {
                set_loading(directory, instance, vec![model.clone()]);
            }
        }
        self.marked_loading = loading;
    }

    /// Number of engines that are loading.
    pub fn loading_count(&self) -> usize {
        self.engines.values().filter(|e| e.is_loading()).count()
    }
}

fn set_loading(directory: &mut EngineDirectory, instance: &Instance, models: Vec<String>) {
    if let Some(state) = directory.get_mut(instance) {
        state.loading_models = models;
    }
}
