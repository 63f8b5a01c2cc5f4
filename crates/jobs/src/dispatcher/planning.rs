//! What the order of waiting items is planned from: steps, groups and room as they stand.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, RouteKind};
use peatgrade_scheduling::{arrange, plan, Group, Room, Standing, Step, WaitingItem};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use super::eligibility::{batch_route, target_of};
use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};

/// Least time between two lines about the plan of one job.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// What is known of plans beyond one order.
#[derive(Debug, Default)]
pub(super) struct Plans {
    /// Services whose batch routes or tenants have different ranks, as of a configuration.
    ranked: (u64, BTreeSet<String>),
    groups: PlannedGroups,
    /// Whether all groups that a job's trainer waits for could be whole in time, as told
    /// last, and when that was.
    told: HashMap<Rc<str>, (bool, Time)>,
}

/// Groups of a plan that trainers wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannedGroups {
    /// Those that can be whole in time.
    pub in_time: usize,
    /// Those that will come late, or may be given up before.
    pub late: usize,
}

impl Plans {
    pub fn groups(&self) -> PlannedGroups {
        self.groups
    }

    pub fn forget(&mut self, job: &Rc<str>) {
        self.told.remove(job);
    }

    /// Whether it is to be told that all groups of a job fit or do not: once a change, and
    /// not more often than a reader follows.
    fn is_news(&mut self, now: Time, job: &Rc<str>, fits: bool) -> bool {
        let told = self.told.get(job).copied();
        let (before, at) = told.unwrap_or((true, Time(0)));
        let is_news = before != fits && (told.is_none() || now.since(at) >= TELL_EVERY);
        if is_news {
            self.told.insert(job.clone(), (fits, now));
        }
        is_news
    }

    /// Whether a service's batch work has different ranks.
    pub fn is_ranked(&mut self, service: &str, configuration: &Configuration) -> bool {
        if self.ranked.0 != configuration.version {
            self.ranked = (configuration.version, ranked_services(configuration));
        }
        self.ranked.1.contains(service)
    }
}

/// Services whose batch routes have different ranks for some tenants.
fn ranked_services(configuration: &Configuration) -> BTreeSet<String> {
    let mut ranks: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
    let batch = configuration.routes.iter();
    for route in batch.filter(|route| route.kind == RouteKind::Batch) {
        for target in &route.targets {
            let known = ranks.entry(&target.service).or_default();
            if route.public || configuration.tenants.is_empty() {
                known.insert(route.priority);
                continue;
            }
            let tenants = configuration.tenants.iter();
            known.extend(tenants.map(|tenant| tenant.priority.unwrap_or(route.priority)));
        }
    }
    let ranked = ranks.into_iter().filter(|(_, ranks)| ranks.len() > 1);
    ranked.map(|(service, _)| service.to_string()).collect()
}

/// What one service's waiting items are planned from.
#[derive(Default)]
struct Inputs<'a> {
    busy: Duration,
    jobs: HashMap<&'a Rc<str>, usize>,
    steps: Vec<Step>,
    step_jobs: Vec<Rc<str>>,
    sharers: HashMap<(&'a str, &'a str, u32), usize>,
    running: Vec<u32>,
    group_names: HashMap<(usize, &'a str), usize>,
    groups: Vec<Group>,
    items: Vec<WaitingItem>,
    keys: Vec<&'a ItemKey>,
}

impl Dispatcher {
    /// Waiting items by rank, and groups that can be whole in time before others. None
    /// where ranks do not differ, or too little is known of lengths and paces yet.
    pub(super) fn by_groups_in_time(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Option<Vec<ItemKey>> {
        let mut plans = std::mem::take(&mut self.plans);
        let order = self.plan_services(now, configuration, directory, &mut plans);
        self.plans = plans;
        order
    }

    fn plan_services(
        &self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
        plans: &mut Plans,
    ) -> Option<Vec<ItemKey>> {
        self.visit(self.items.len());
        plans.groups = PlannedGroups::default();
        let mut services: BTreeMap<&str, Inputs<'_>> = BTreeMap::new();
        for (key, item) in &self.items {
            if item.text.complete || item.proposed {
                continue;
            }
            let Some(route) = batch_route(item, configuration) else {
                continue;
            };
            let service = target_of(route, &item.item().id)?;
            if !plans.is_ranked(service, configuration) {
                return None;
            }
            let left = self.time_left(item, service)?;
            let inputs = services.entry(service).or_default();
            let tenants = &configuration.tenants;
            let rank = tenants.priority_of(&item.spec.tenant, route.priority);
            let step = inputs.step_of(key, item, rank, route);
            inputs.add(key, item, step, left, self.is_expected_long(key, item));
        }
        let mut order = Vec::new();
        for (service, mut inputs) in services {
            inputs.set_wanted(&self.group_counts);
            let places = places_of(now, service, directory);
            let room = Room {
                places,
                busy: inputs.busy,
            };
            let standings = plan(now, &room, &inputs.steps, &inputs.groups);
            note_plan(now, plans, &room, &inputs, &standings);
            let Inputs {
                steps,
                groups,
                running,
                items,
                ..
            } = &inputs;
            self.visit(items.len());
            let arranged = arrange(places, steps, groups, &standings, running, items);
            order.extend(arranged.into_iter().map(|index| inputs.keys[index].clone()));
        }
        Some(order)
    }

    /// Expected time to the end of an item's text.
    pub(super) fn time_left(&self, item: &OpenItem, service: &str) -> Option<Duration> {
        let pace = self.paces.get(service)?.median;
        let lengths = self.lengths.of(&item.spec.model)?;
        let made = item.text.events.len();
        let events = lengths.events_left(item.item().length_hint, made)?;
        Some(Duration((events * pace) as u64))
    }
}

impl<'a> Inputs<'a> {
    /// The step of an item.
    fn step_of(
        &mut self,
        key: &'a ItemKey,
        item: &'a OpenItem,
        rank: u32,
        route: &peatgrade_ports::Route,
    ) -> usize {
        if let Some(step) = self.jobs.get(&key.0) {
            return *step;
        }
        let next = self.sharers.len();
        let spec = &item.spec;
        let sharer = self.sharers.entry((&spec.tenant, &spec.model, rank));
        let sharer = *sharer.or_insert(next);
        if sharer == next {
            self.running.push(0);
        }
        let step = self.steps.len();
        self.steps.push(Step {
            sharer,
            rank,
            allowed: route.result_deadline,
            due: item.known_since + route.result_deadline,
            last: item.known_since + route.max_queue,
            wanted: (spec.desired > 0).then_some(spec.desired as usize),
        });
        self.jobs.insert(&key.0, step);
        self.step_jobs.push(key.0.clone());
        step
    }

    fn add(
        &mut self,
        key: &'a ItemKey,
        item: &'a OpenItem,
        step: usize,
        left: Duration,
        is_long: bool,
    ) {
        let next = self.groups.len();
        let name = item.item().group.as_str();
        // Items without a group stand alone.
        let group = match name {
            "" => next,
            name => *self.group_names.entry((step, name)).or_insert(next),
        };
        if group == next {
            self.groups.push(Group {
                step,
                is_required: false,
                missing: 0,
                waiting_work: Duration(0),
                longest: Duration(0),
            });
        }
        let waits = item.waits_for_engine();
        let known = &mut self.groups[group];
        known.is_required |= item.is_resubmitted;
        known.missing += 1;
        known.longest = known.longest.max(left);
        if !waits {
            self.busy = self.busy + left;
            self.running[self.steps[step].sharer] += 1;
            return;
        }
        known.waiting_work = known.waiting_work + left;
        self.items.push(WaitingItem {
            group,
            is_begun: item.runs > 0 || !item.text.events.is_empty(),
            is_long,
            left,
        });
        self.keys.push(key);
    }

    /// Takes away from what trainers wait for what is whole already.
    fn set_wanted(&mut self, group_counts: &HashMap<Rc<str>, usize>) {
        let mut open = vec![0; self.steps.len()];
        for group in &self.groups {
            open[group.step] += 1;
        }
        for (position, step) in self.steps.iter_mut().enumerate() {
            let all = group_counts.get(&self.step_jobs[position]).copied();
            let whole = all.unwrap_or(0).saturating_sub(open[position]);
            step.wanted = step.wanted.map(|wanted| wanted.saturating_sub(whole));
        }
    }
}

/// Places of a service's engines that take work.
pub(super) fn places_of(now: Time, service: &str, directory: &EngineDirectory) -> u32 {
    let has = |slots: u32| slots.max(1);
    let avoided = directory
        .active_serving(service)
        .filter(|state| state.experience.blocked(now))
        .map(|state| has(state.record.slots));
    let avoided: u32 = avoided.sum();
    directory.sum_of_slots(service, has).saturating_sub(avoided)
}

/// Number of a job's groups.
pub(super) fn group_count(spec: &AcceptJob) -> usize {
    let items = spec.items.iter();
    let named: HashSet<&str> = items
        .map(|item| item.group.as_str())
        .filter(|group| !group.is_empty())
        .collect();
    let alone = spec.items.iter().filter(|item| item.group.is_empty());
    named.len() + alone.count()
}

/// Tells when not all groups of a job can be whole in time any more, or all can again.
fn note_plan(
    now: Time,
    plans: &mut Plans,
    room: &Room,
    inputs: &Inputs<'_>,
    standings: &[Standing],
) {
    for (position, step) in inputs.steps.iter().enumerate() {
        let groups = inputs.groups.iter().zip(standings);
        let own = groups.filter(|(group, _)| group.step == position);
        let mut counts: BTreeMap<Standing, usize> = BTreeMap::new();
        for (_, standing) in own {
            *counts.entry(*standing).or_insert(0) += 1;
        }
        let count = |standing| counts.get(&standing).copied().unwrap_or(0);
        let late = count(Standing::CatchUp) + count(Standing::Late);
        let hopeless = count(Standing::Hopeless);
        plans.groups.in_time += count(Standing::InTime);
        plans.groups.late += late + hopeless;
        let fits = late + hopeless == 0;
        let job = &inputs.step_jobs[position];
        if plans.is_news(now, job, fits) {
            log::info!(
                "decision=order job={job} rank={} due_in_ms={} in_time={} late={late} surplus={} hopeless={hopeless} places={} busy_ms={}",
                step.rank,
                step.due.since(now).as_millis(),
                count(Standing::InTime),
                count(Standing::Surplus),
                room.places,
                room.busy.as_millis()
            );
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/planning.rs"]
mod tests;
