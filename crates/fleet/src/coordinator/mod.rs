//! Which weight version each engine should have, and the orders towards it.
//!
//! A step allows the newest version and the one before. So as many engines take
//! each version as can run half of a step's items, half of all at most, those
//! with the oldest version first: in a small fleet each loads every second
//! version, and while one half loads, the other holds a version that may be
//! used. The model that lacks most goes first, since only a few engines may
//! load at once. As many engines again that are of no use to a model any more
//! take its newest version when nothing else is to be loaded.
//!
//! Orders carry a fencing token and the number of orders that the engine must
//! have taken so far, so that a lost order that is carried out late changes
//! nothing. An answer that does not come is a state of its own: the engine is
//! asked for its report before anything else is ordered.

use peatgrade_ports::{Instance, OrderAnswer, OrderMode, VersionOrder};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

mod answers;
mod candidates;
mod progress;

use crate::directory::EngineDirectory;
use progress::{EngineProgress, Phase, FIRST_LOAD_TIME};

/// Time after which an order or a report without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Least time between two looks over engines, and for each engine that the last one went
/// over: a look at hundreds takes milliseconds, and starts many loads at once.
const POLL_EVERY: Duration = Duration::from_millis(10);
const POLL_PER_ENGINE: Duration = Duration(20);
/// Longest time between two looks at what changes without news: paces, and engines that can't
/// be reached.
const LOOK_AT_LEAST: Duration = Duration::from_millis(250);
/// Further looks at an engine that loads.
const NEXT_LOOK: Duration = Duration::from_millis(80);
/// Wait before an engine that gave no answer is tried again.
const RETRY: Duration = Duration::from_millis(500);
/// Time after which a load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_millis(8_000);

/// One engine in so many may load at once, where the settings name no number:
/// weights come from one source, whose bandwidth grows with the fleet.
const LOAD_SHARE: usize = 5;
/// Engines that may load at once however small the fleet.
const LEAST_AT_ONCE: usize = 2;

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send an order; answer with [`VersionCoordinator::on_order_outcome`].
    Order(VersionOrder),
    /// Ask for a report; answer with [`VersionCoordinator::on_report`].
    Report(Instance),
}

/// How an order went.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The engine has answered.
    Answered(OrderAnswer),
    /// It certainly never got there.
    NotSent,
    /// It may have been taken, now or later.
    Unknown,
}

/// Brings engines to named versions.
#[derive(Debug)]
pub struct VersionCoordinator {
    holder: String,
    fence: u64,
    /// No order to an engine before then: another holder has given it one.
    quiet: BTreeMap<Instance, Time>,
    /// Time that a load takes, as far as seen.
    load_time: Duration,
    named: BTreeMap<String, u64>,
    engines: BTreeMap<Instance, EngineProgress>,
    /// Items of the largest open batch job of each model.
    demand: BTreeMap<String, usize>,
    polled: Time,
    /// Something was learnt since the last look.
    has_news: bool,
    /// When a look is due without news.
    next_look: Time,
    /// Changes of the engine list at the last look.
    list_seen: u64,
    /// A working set may lack engines.
    sets_are_due: bool,
    /// Engines that are marked as loading a model.
    marked: BTreeMap<Instance, String>,
    /// Engines that the last look went over, and all looks so far.
    looked_over: usize,
    visited: u64,
    /// Zone of the holder.
    zone: String,
    /// The model whose working set was filled last.
    filled_last: String,
    at_once: usize,
    /// Told of a higher token: this holder is one of the past.
    fenced: bool,
}

impl VersionCoordinator {
    /// A holder that may order each engine in `quiet` from that time on, and all
    /// others at once. No more than `at_once` engines load together; 0 stands
    /// for a share of all.
    pub fn new(
        holder: String,
        fence: u64,
        quiet: BTreeMap<Instance, Time>,
        at_once: usize,
    ) -> Self {
        Self {
            holder,
            fence,
            quiet,
            load_time: FIRST_LOAD_TIME,
            named: BTreeMap::new(),
            engines: BTreeMap::new(),
            demand: BTreeMap::new(),
            polled: Time(0),
            has_news: true,
            next_look: Time(0),
            list_seen: 0,
            sets_are_due: true,
            marked: BTreeMap::new(),
            looked_over: 0,
            visited: 0,
            zone: String::new(),
            filled_last: String::new(),
            at_once,
            fenced: false,
        }
    }

    /// Prefers engines of the holder's zone where there are many more than needed.
    pub fn in_zone(mut self, zone: &str) -> Self {
        self.zone = zone.to_string();
        self
    }

    /// Engines that looks went over since the start: what the coordination costs.
    pub fn engines_scanned(&self) -> u64 {
        self.visited
    }

    /// Takes note of the newest version of a model.
    pub fn set_newest_version(&mut self, model: &str, version: u64) {
        let known = self.named.entry(model.to_string()).or_insert(0);
        self.has_news |= version > *known;
        self.sets_are_due |= *known == 0;
        *known = (*known).max(version);
    }

    /// Takes note of a batch job's size.
    pub fn set_demand(&mut self, model: &str, items: usize) {
        let before = self.demand.insert(model.to_string(), items);
        self.has_news |= before != Some(items);
        self.sets_are_due |= before != Some(items);
    }

    /// Newest versions.
    pub fn newest_versions(&self) -> &BTreeMap<String, u64> {
        &self.named
    }

    /// Whether a higher fencing token has been seen.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether a look may find something to do.
    fn is_due(&self, now: Time, directory: &EngineDirectory) -> bool {
        let rest = POLL_EVERY.max(Duration(POLL_PER_ENGINE.0 * self.looked_over as u64));
        let has_news = self.has_news || directory.changes() != self.list_seen;
        now.since(self.polled) >= rest && (has_news || now >= self.next_look)
    }

    /// What to do now.
    pub fn poll(&mut self, now: Time, directory: &mut EngineDirectory) -> Vec<CoordinatorAction> {
        let mut actions = Vec::new();
        if self.fenced || !self.is_due(now, directory) {
            return actions;
        }
        let is_timed = now >= self.next_look;
        self.polled = now;
        self.has_news = false;
        if is_timed || self.sets_are_due || directory.changes() != self.list_seen {
            self.list_seen = directory.changes();
            self.engines.retain(|instance, progress| {
                directory.incarnation(instance) == Some(progress.life)
            });
            self.renew_working_sets(now, directory);
        }
        self.expire(now);
        let load_time = self.load_time;
        let loads = self
            .engines
            .values()
            .filter(|e| e.holds_place(now, load_time));
        let loading = loads.count();
        let at_once = self.at_once(directory);
        let mut free = at_once.saturating_sub(loading);
        let ahead = self.loading_count() + 2 * at_once;
        for (instance, target) in self.candidates(now, directory).into_iter().take(ahead) {
            let Some(life) = directory.incarnation(&instance) else {
                continue;
            };
            let progress = self
                .engines
                .entry(instance.clone())
                .or_insert_with(|| EngineProgress::unseen(life));
            match progress.phase {
                // Its turn is kept until its report is there: one further down
                // the list may be of use as it is.
                Phase::Unseen => {
                    free = free.saturating_sub(1);
                    progress.phase = Phase::Asked(now);
                    actions.push(CoordinatorAction::Report(instance));
                }
                Phase::Asked(_) => free = free.saturating_sub(1),
                Phase::Idle if self.quiet.get(&instance).is_some_and(|until| now < *until) => {}
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
        self.looks(now, &mut actions);
        self.mark_loading(directory);
        self.next_look = self.next_timer(now).min(now + LOOK_AT_LEAST);
        actions
    }

    /// When something is due although nothing is heard.
    fn next_timer(&self, now: Time) -> Time {
        let timers = self.engines.values();
        let timers = timers.filter_map(|progress| progress.next_timer(now, self.load_time));
        let quiet = self.quiet.values().copied().filter(|until| *until > now);
        timers.chain(quiet).min().unwrap_or(now + LOOK_AT_LEAST)
    }

    /// Brings working sets up to date and fills one, each in its turn.
    fn renew_working_sets(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut models: Vec<String> = self.models().into_iter().cloned().collect();
        let after = models.partition_point(|model| *model <= self.filled_last);
        models.rotate_left(after);
        let mut may_fill = true;
        for model in models {
            let items = self.demand.get(&model).copied().unwrap_or(0);
            if directory.update_working_sets(now, &model, items, &self.zone, may_fill) {
                may_fill = false;
                self.filled_last = model;
                self.has_news = true;
            }
        }
        // A set that can't be filled is tried again when the list changes or time has passed.
        self.sets_are_due = directory.lacks_working_sets();
        self.has_news |= self.sets_are_due;
    }

    /// Engines that may load at once.
    fn at_once(&self, directory: &EngineDirectory) -> usize {
        if self.at_once > 0 {
            return self.at_once;
        }
        let (engines, _) = directory.model_engines();
        (engines / LOAD_SHARE).max(LEAST_AT_ONCE)
    }

    fn expire(&mut self, now: Time) {
        for progress in self.engines.values_mut() {
            match progress.phase {
                Phase::Asked(since) | Phase::Ordered(since)
                    if now.since(since) >= ANSWER_TIMEOUT =>
                {
                    progress.phase = Phase::Unseen;
                }
                Phase::Loading(load) if now.since(load.since) >= LOAD_TIMEOUT => {
                    progress.phase = Phase::Unseen;
                }
                Phase::Pause(until) if now >= until => progress.phase = Phase::Unseen,
                _ => {}
            }
        }
    }

    fn looks(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        for (instance, progress) in &mut self.engines {
            if let Phase::Loading(load) = &mut progress.phase {
                if now >= load.look {
                    load.look = now + ANSWER_TIMEOUT;
                    actions.push(CoordinatorAction::Report(instance.clone()));
                }
            }
        }
    }

    /// Marks engines that load, for choices of engines, and takes old marks away.
    fn mark_loading(&mut self, directory: &mut EngineDirectory) {
        let engines = self.engines.iter();
        let loading = engines.filter(|(_, progress)| progress.is_loading());
        let loading = loading.filter_map(|(instance, progress)| {
            let (model, _) = progress.target.as_ref()?;
            Some((instance.clone(), model.clone()))
        });
        let loading: BTreeMap<Instance, String> = loading.collect();
        let over = self
            .marked
            .keys()
            .filter(|name| !loading.contains_key(*name));
        for instance in over {
            set_loading(directory, instance, Vec::new());
        }
        for (instance, model) in &loading {
            if self.marked.get(instance) != Some(model) {
                set_loading(directory, instance, vec![model.clone()]);
            }
        }
        self.marked = loading;
    }

    /// How many engines load now.
    pub fn loading_count(&self) -> usize {
        self.engines.values().filter(|e| e.is_loading()).count()
    }
}

fn set_loading(directory: &mut EngineDirectory, instance: &Instance, models: Vec<String>) {
    if let Some(state) = directory.get_mut(instance) {
        state.loading_models = models;
    }
}
