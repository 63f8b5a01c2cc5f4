//! Which weight version each engine should have, and the orders towards it.
//!
//! A step allows the newest version and the one before. So half of a model's
//! engines take each version, those with the oldest one first: each loads every
//! second version, and while one half loads, the other holds a version that may
//! be used. The model that lacks most goes first, since only a few engines may
//! load at once. An engine that is of no use to a model any more takes its
//! newest version when nothing else is to be loaded.
//!
//! Orders carry a fencing token and the number of orders that the engine must
//! have taken so far, so that a lost order that is carried out late changes
//! nothing. An answer that does not come is a state of its own: the engine is
//! asked for its report before anything else is ordered.

use peatgrade_ports::{EngineReport, Instance, OrderAnswer, OrderMode, VersionOrder};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::directory::{EngineDirectory, EngineState};

/// Time after which an order or a report without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// First look at an engine that loads.
const FIRST_LOOK: Duration = Duration::from_millis(850);
/// Further looks.
const NEXT_LOOK: Duration = Duration::from_millis(150);
/// Wait before an engine that gave no answer is tried again.
const RETRY: Duration = Duration::from_millis(500);
/// Time after which a load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_millis(8_000);

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send an order; answer with [`VersionCoordinator::on_order`].
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

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Nothing is known of its orders yet.
    Unseen,
    /// A report was asked for.
    Asked(Time),
    /// Its count of orders is known.
    Idle,
    /// An order is on its way.
    Ordered(Time),
    /// It loads, as far as known; next look, and since when.
    Loading { look: Time, since: Time },
    /// Nothing is tried before then.
    Pause(Time),
}

#[derive(Clone, Debug)]
struct EngineProgress {
    phase: Phase,
    orders: u64,
    target: Option<(String, u64)>,
}

/// Brings engines to named versions.
#[derive(Debug)]
pub struct VersionCoordinator {
    holder: String,
    fence: u64,
    /// No order before then: another holder may have given one lately.
    quiet_until: Time,
    named: BTreeMap<String, u64>,
    engines: BTreeMap<Instance, EngineProgress>,
    at_once: usize,
    /// Told of a higher token: this holder is one of the past.
    fenced: bool,
}

impl VersionCoordinator {
    /// A holder that may give orders from `quiet_until` on.
    pub fn new(holder: String, fence: u64, quiet_until: Time, at_once: usize) -> Self {
        Self {
            holder,
            fence,
            quiet_until,
            named: BTreeMap::new(),
            engines: BTreeMap::new(),
            at_once,
            fenced: false,
        }
    }

    /// Takes note of the newest version of a model.
    pub fn named(&mut self, model: &str, version: u64) {
        let known = self.named.entry(model.to_string()).or_insert(0);
        *known = (*known).max(version);
    }

    /// Newest versions.
    pub fn newest(&self) -> &BTreeMap<String, u64> {
        &self.named
    }

    /// Whether a higher fencing token has been seen.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What to do now.
    pub fn poll(&mut self, now: Time, directory: &mut EngineDirectory) -> Vec<CoordinatorAction> {
        let mut actions = Vec::new();
        if self.fenced {
            return actions;
        }
        self.engines
            .retain(|instance, _| directory.get(instance).is_some());
        self.expire(now);
        let mut loading = self.engines.values().filter(|e| e.is_loading()).count();
        let candidates = self.candidates(directory);
        for (instance, target) in candidates {
            let progress = self
                .engines
                .entry(instance.clone())
                .or_insert(EngineProgress {
                    phase: Phase::Unseen,
                    orders: 0,
                    target: None,
                });
            match progress.phase {
                Phase::Unseen => {
                    progress.phase = Phase::Asked(now);
                    actions.push(CoordinatorAction::Report(instance));
                }
                Phase::Idle if now >= self.quiet_until && loading < self.at_once => {
                    loading += 1;
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
        actions
    }

    /// Engines to bring to a version, the most wanted first; an engine stands
    /// there once.
    fn candidates(&self, directory: &EngineDirectory) -> Vec<(Instance, (String, u64))> {
        let mut ranked = Vec::new();
        for (model, &newest) in &self.named {
            let engines: Vec<&EngineState> = directory
                .iter()
                .filter(|state| !state.record.draining)
                .filter(|state| state.record.models.contains_key(model))
                .collect();
            let needed = engines.len().div_ceil(2);
            let (has, mut lack): (Vec<&EngineState>, Vec<&EngineState>) = engines
                .into_iter()
                .partition(|state| state.version(model) >= newest);
            lack.sort_by_key(|state| {
                let loads = state.loading.contains(model);
                (!loads, state.version(model), state.experience.running)
            });
            for (position, state) in lack.into_iter().enumerate() {
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
        ranked.sort();
        let mut seen = BTreeSet::new();
        let once = ranked
            .into_iter()
            .filter(|(_, _, instance, _)| seen.insert(instance.clone()));
        once.map(|(_, _, instance, target)| (instance, target))
            .collect()
    }

    fn expire(&mut self, now: Time) {
        for progress in self.engines.values_mut() {
            match progress.phase {
                Phase::Asked(since) | Phase::Ordered(since)
                    if now.since(since) >= ANSWER_TIMEOUT =>
                {
                    progress.phase = Phase::Unseen;
                }
                Phase::Loading { since, .. } if now.since(since) >= LOAD_TIMEOUT => {
                    progress.phase = Phase::Unseen;
                }
                Phase::Pause(until) if now >= until => progress.phase = Phase::Unseen,
                _ => {}
            }
        }
    }

    fn looks(&mut self, now: Time, actions: &mut Vec<CoordinatorAction>) {
        for (instance, progress) in &mut self.engines {
            if let Phase::Loading { look, since } = progress.phase {
                if now >= look {
                    let look = now + ANSWER_TIMEOUT;
                    progress.phase = Phase::Loading { look, since };
                    actions.push(CoordinatorAction::Report(instance.clone()));
                }
            }
        }
    }

    fn mark_loading(&self, directory: &mut EngineDirectory) {
        for (instance, progress) in &self.engines {
            if let Some(state) = directory.get_mut(instance) {
                let target = progress.target.iter().filter(|_| progress.is_loading());
                state.loading = target.map(|(model, _)| model.clone()).collect();
            }
        }
    }

    /// Takes the outcome of an order.
    pub fn on_order(&mut self, now: Time, instance: &Instance, outcome: OrderOutcome) {
        let Some(progress) = self.engines.get_mut(instance) else {
            return;
        };
        if !matches!(progress.phase, Phase::Ordered(_)) {
            return;
        }
        progress.phase = match outcome {
            OrderOutcome::Answered(OrderAnswer::Started) => {
                progress.orders += 1;
                Phase::Loading {
                    look: now + FIRST_LOOK,
                    since: now,
                }
            }
            OrderOutcome::Answered(OrderAnswer::Fenced) => {
                self.fenced = true;
                Phase::Pause(now + RETRY)
            }
            // The count may have risen, or the version is there already.
            OrderOutcome::Answered(_) => Phase::Unseen,
            OrderOutcome::NotSent => Phase::Pause(now + RETRY),
            OrderOutcome::Unknown => Phase::Pause(now + RETRY),
        };
    }

    /// Takes a report, or the lack of one.
    pub fn on_report(
        &mut self,
        now: Time,
        instance: &Instance,
        report: Option<&EngineReport>,
        directory: &mut EngineDirectory,
    ) {
        let Some(progress) = self.engines.get_mut(instance) else {
            return;
        };
        let Some(report) = report else {
            progress.phase = Phase::Pause(now + RETRY);
            return;
        };
        for (model, version) in &report.models {
            directory.saw_version(instance, model, *version);
        }
        if report.orders < progress.orders && !report.busy {
            // The report is older than the last order, or the engine is new.
            if let Phase::Loading { since, .. } = progress.phase {
                if now.since(since) < Duration(LOAD_TIMEOUT.0 / 4) {
                    progress.phase = Phase::Loading {
                        look: now + NEXT_LOOK,
                        since,
                    };
                    return;
                }
            }
        }
        progress.orders = report.orders;
        progress.phase = match progress.phase {
            Phase::Loading { since, .. } if report.busy => Phase::Loading {
                look: now + NEXT_LOOK,
                since,
            },
            Phase::Asked(_) if report.busy => Phase::Pause(now + RETRY),
            _ => Phase::Idle,
        };
    }

    /// How many engines load now.
    pub fn loading(&self) -> usize {
        self.engines.values().filter(|e| e.is_loading()).count()
    }
}

impl EngineProgress {
    fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Ordered(_) | Phase::Loading { .. })
    }
}
