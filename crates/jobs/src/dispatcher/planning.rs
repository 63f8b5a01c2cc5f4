//! Collection of steps, groups and capacity for the plan, and ordering of items by the plan.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, RouteKind};
use peatgrade_scheduling::{order_items, plan, Capacity, Group, GroupStatus, Step, WaitingItem};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use super::eligibility::{batch_route, target_service};
use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};

/// Minimum time between two log lines about the plan of a job.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State kept between plans.
#[derive(Debug, Default)]
pub(super) struct PlanState {
    /// Services whose batch work has more than one priority, by configuration version.
    mixed_priority: (u64, BTreeSet<String>),
    groups: PlannedGroups,
    /// For each job, whether all wanted groups could complete in time when that was last logged,
    /// and the time of that log line.
    logged: HashMap<Rc<str>, (bool, Time)>,
}

/// Number of wanted groups in the last plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannedGroups {
    /// Groups that can complete in time.
    pub in_time: usize,
    /// Groups that will be late, or whose step expires before they could complete.
    pub late: usize,
}

impl PlanState {
    pub fn groups(&self) -> PlannedGroups {
        self.groups
    }

    pub fn remove_job(&mut self, job: &Rc<str>) {
        self.logged.remove(job);
    }

    /// Whether a change in feasibility of a job's groups should be logged. Limited in rate per
    /// job.
    fn should_log(&mut self, now: Time, job: &Rc<str>, fits: bool) -> bool {
        let logged = self.logged.get(job).copied();
        let (before, at) = logged.unwrap_or((true, Time(0)));
        let should_log = before != fits && (logged.is_none() || now.since(at) >= LOG_INTERVAL);
        if should_log {
            self.logged.insert(job.clone(), (fits, now));
        }
        should_log
    }

    /// Whether the batch work of a service has more than one priority.
    pub fn has_mixed_priorities(&mut self, service: &str, configuration: &Configuration) -> bool {
        if self.mixed_priority.0 != configuration.version {
            self.mixed_priority = (
                configuration.version,
                mixed_priority_services(configuration),
            );
        }
        self.mixed_priority.1.contains(service)
    }
}

/// Services whose batch routes, or the tenants that may use them, have different priorities.
fn mixed_priority_services(configuration: &Configuration) -> BTreeSet<String> {
    let mut priorities: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
    let batch = configuration.routes.iter();
    for route in batch.filter(|route| route.kind == RouteKind::Batch) {
        for target in &route.targets {
            let known = priorities.entry(&target.service).or_default();
            if route.public || configuration.tenants.is_empty() {
                known.insert(route.priority);
                continue;
            }
            let tenants = configuration.tenants.iter();
            known.extend(tenants.map(|tenant| tenant.priority.unwrap_or(route.priority)));
        }
    }
    let mixed_priority = priorities
        .into_iter()
        .filter(|(_, priorities)| priorities.len() > 1);
    mixed_priority
        .map(|(service, _)| service.to_string())
        .collect()
}

/// Input of the plan of one service.
#[derive(Default)]
struct PlanInputs<'a> {
    busy: Duration,
    jobs: HashMap<&'a Rc<str>, usize>,
    steps: Vec<Step>,
    step_jobs: Vec<Rc<str>>,
    flows: HashMap<(&'a str, &'a str, u32), usize>,
    running: Vec<u32>,
    group_names: HashMap<(usize, &'a str), usize>,
    groups: Vec<Group>,
    items: Vec<WaitingItem>,
    keys: Vec<&'a ItemKey>,
}

impl Dispatcher {
    /// Returns the waiting items in planned order, or `None` if a service has a single priority or
    /// if lengths or paces are not known yet.
    pub(super) fn order_by_plan(
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
        plans: &mut PlanState,
    ) -> Option<Vec<ItemKey>> {
        self.count_visits(self.items.len());
        plans.groups = PlannedGroups::default();
        let mut services: BTreeMap<&str, PlanInputs<'_>> = BTreeMap::new();
        for (key, item) in &self.items {
            if item.text.complete || item.proposed {
                continue;
            }
            let Some(route) = batch_route(item, configuration) else {
                continue;
            };
            let service = target_service(route, &item.item().id)?;
            if !plans.has_mixed_priorities(service, configuration) {
                return None;
            }
            let remaining = self.remaining_time(item, service)?;
            let inputs = services.entry(service).or_default();
            let tenants = &configuration.tenants;
            let priority = tenants.priority_of(&item.spec.tenant, route.priority);
            let step = inputs.step_of(key, item, priority, route);
            inputs.add(key, item, step, remaining, self.is_expected_long(key, item));
        }
        let mut order = Vec::new();
        for (service, mut inputs) in services {
            inputs.subtract_complete_groups(&self.group_counts);
            let slots = usable_slots(now, service, directory);
            let capacity = Capacity {
                slots,
                busy: inputs.busy,
            };
            let statuses = plan(now, &capacity, &inputs.steps, &inputs.groups);
            record_plan(now, plans, &capacity, &inputs, &statuses);
            let PlanInputs {
                steps,
                groups,
                running,
                items,
                ..
            } = &inputs;
            self.count_visits(items.len());
            let arranged = order_items(slots, steps, groups, &statuses, running, items);
            order.extend(arranged.into_iter().map(|index| inputs.keys[index].clone()));
        }
        Some(order)
    }

    /// Expected time until an item's text is complete, if length and pace are known.
    pub(super) fn remaining_time(&self, item: &OpenItem, service: &str) -> Option<Duration> {
        let pace = self.paces.get(service)?.median;
        let lengths = self.lengths.get(&item.spec.model)?;
        let generated = item.text.events.len();
        let events = lengths.remaining_events(item.item().length_hint, generated)?;
        Some(Duration((events * pace) as u64))
    }
}

impl<'a> PlanInputs<'a> {
    /// Returns the index of the item's step, adding the step if it is new.
    fn step_of(
        &mut self,
        key: &'a ItemKey,
        item: &'a OpenItem,
        priority: u32,
        route: &peatgrade_ports::Route,
    ) -> usize {
        if let Some(step) = self.jobs.get(&key.0) {
            return *step;
        }
        let next = self.flows.len();
        let spec = &item.spec;
        let flow = self.flows.entry((&spec.tenant, &spec.model, priority));
        let flow = *flow.or_insert(next);
        if flow == next {
            self.running.push(0);
        }
        let step = self.steps.len();
        self.steps.push(Step {
            flow,
            priority,
            time_allowed: route.result_deadline,
            deadline: item.known_since + route.result_deadline,
            expires_at: item.known_since + route.max_queue,
            wanted_groups: (spec.desired > 0).then_some(spec.desired as usize),
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
        remaining: Duration,
        is_long: bool,
    ) {
        let next = self.groups.len();
        let name = item.item().group.as_str();
        // Each item without a group forms its own group.
        let group = match name {
            "" => next,
            name => *self.group_names.entry((step, name)).or_insert(next),
        };
        if group == next {
            self.groups.push(Group {
                step,
                is_required: false,
                unfinished_items: 0,
                waiting_work: Duration(0),
                longest_item: Duration(0),
            });
        }
        let is_waiting = item.waits_for_engine();
        let entry = &mut self.groups[group];
        entry.is_required |= item.is_resubmitted;
        entry.unfinished_items += 1;
        entry.longest_item = entry.longest_item.max(remaining);
        if !is_waiting {
            self.busy = self.busy + remaining;
            self.running[self.steps[step].flow] += 1;
            return;
        }
        entry.waiting_work = entry.waiting_work + remaining;
        self.items.push(WaitingItem {
            group,
            is_started: item.runs > 0 || !item.text.events.is_empty(),
            is_long,
            remaining,
        });
        self.keys.push(key);
    }

    /// Subtracts complete groups from the number of groups that trainers wait for.
    fn subtract_complete_groups(&mut self, group_counts: &HashMap<Rc<str>, usize>) {
        let mut incomplete = vec![0; self.steps.len()];
        for group in &self.groups {
            incomplete[group.step] += 1;
        }
        for (position, step) in self.steps.iter_mut().enumerate() {
            let total = group_counts.get(&self.step_jobs[position]).copied();
            let complete = total.unwrap_or(0).saturating_sub(incomplete[position]);
            step.wanted_groups = step
                .wanted_groups
                .map(|wanted| wanted.saturating_sub(complete));
        }
    }
}

/// Slots of a service's engines that accept work.
pub(super) fn usable_slots(now: Time, service: &str, directory: &EngineDirectory) -> u32 {
    let at_least_one = |slots: u32| slots.max(1);
    let backing_off = directory
        .tracked_serving(service)
        .filter(|state| state.stats.is_backing_off(now))
        .map(|state| at_least_one(state.record.slots));
    let backing_off: u32 = backing_off.sum();
    directory
        .sum_of_slots(service, at_least_one)
        .saturating_sub(backing_off)
}

pub(super) fn group_count(spec: &AcceptJob) -> usize {
    let items = spec.items.iter();
    let named: HashSet<&str> = items
        .map(|item| item.group.as_str())
        .filter(|group| !group.is_empty())
        .collect();
    let ungrouped = spec.items.iter().filter(|item| item.group.is_empty());
    named.len() + ungrouped.count()
}

/// Counts the groups of a plan, and logs when the wanted groups of a job start or stop to fit.
fn record_plan(
    now: Time,
    plans: &mut PlanState,
    capacity: &Capacity,
    inputs: &PlanInputs<'_>,
    statuses: &[GroupStatus],
) {
    for (position, step) in inputs.steps.iter().enumerate() {
        let groups = inputs.groups.iter().zip(statuses);
        let own = groups.filter(|(group, _)| group.step == position);
        let mut counts: BTreeMap<GroupStatus, usize> = BTreeMap::new();
        for (_, status) in own {
            *counts.entry(*status).or_insert(0) += 1;
        }
        let count = |status| counts.get(&status).copied().unwrap_or(0);
        let late = count(GroupStatus::CatchUp) + count(GroupStatus::Late);
        let infeasible = count(GroupStatus::Infeasible);
        plans.groups.in_time += count(GroupStatus::InTime);
        plans.groups.late += late + infeasible;
        let fits = late + infeasible == 0;
        let job = &inputs.step_jobs[position];
        if plans.should_log(now, job, fits) {
            log::info!(
                "decision=order job={job} rank={} due_in_ms={} in_time={} late={late} surplus={} hopeless={infeasible} places={} busy_ms={}",
                step.priority,
                step.deadline.since(now).as_millis(),
                count(GroupStatus::InTime),
                count(GroupStatus::Surplus),
                capacity.slots,
                capacity.busy.as_millis()
            );
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/planning.rs"]
mod tests;
