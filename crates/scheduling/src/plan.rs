//! Planning of which groups can complete by their deadlines.
//!
//! Uses the Moore-Hodgson algorithm, which minimizes the number of late groups if all
//! estimates hold: groups are scheduled by deadline, and whenever one would be late, the
//! scheduled group with the most work is dropped. Priorities are planned one after another,
//! so a group is only dropped in favor of groups with the same or a more urgent priority.

use peatgrade_types::{Duration, Time};
use std::cmp::Reverse;

use crate::order::GUARANTEED_PERCENT;

/// Deadline delay per priority level, as a percentage of the step's allowed time. Larger than
/// the typical estimation error, so that estimation errors do not delay urgent steps.
const PRIORITY_DELAY_PERCENT: u64 = 30;
/// Time reserved for delivering a complete text to the trainer: the reward call, the
/// replication of the result and the trainer's read.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// Capacity available to a set of steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Slots of the engines that accept work.
    pub slots: u32,
    /// Remaining work of active runs, which are not preempted.
    pub busy: Duration,
}

/// A training step whose results a trainer waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Index of its flow: a combination of tenant, model and priority.
    pub flow: usize,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Time allowed from submission to the deadline.
    pub time_allowed: Duration,
    /// When its results are due.
    pub deadline: Time,
    /// When its unfinished items expire.
    pub expires_at: Time,
    /// Number of groups the trainer still waits for, or `None` if it waits for all.
    pub wanted_groups: Option<usize>,
}

impl Step {
    /// Delay that is added to the deadline for ordering. A step precedes a more urgent one
    /// only if its deadline is earlier by more than the difference of their delays.
    pub fn priority_delay(&self) -> Duration {
        Duration(self.time_allowed.0 * PRIORITY_DELAY_PERCENT / 100 * u64::from(self.priority))
    }
}

/// An incomplete group of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Index of its step.
    pub step: usize,
    /// Whether its trainer needs this group regardless of how many others are complete.
    pub is_required: bool,
    /// Number of waiting and running items.
    pub unfinished_items: usize,
    /// Expected work of its waiting items.
    pub waiting_work: Duration,
    /// Longest expected remaining time of its waiting and running items.
    pub longest_item: Duration,
}

/// Whether a group is wanted and can complete by its deadline. Variants are declared in the
/// order in which they are scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum GroupStatus {
    /// Wanted and late, but can run first without delaying a group that is in time.
    CatchUp,
    /// Wanted, and can complete by its deadline.
    InTime,
    /// Wanted, but will miss its deadline.
    Late,
    /// Not needed, because the trainer waits for enough other groups.
    Surplus,
    /// Wanted, but its step expires before the group could complete.
    Infeasible,
}

/// Computes the status of each group, in the order of `groups`.
pub fn plan(now: Time, capacity: &Capacity, steps: &[Step], groups: &[Group]) -> Vec<GroupStatus> {
    let mut statuses: Vec<GroupStatus> = groups.iter().map(|_| GroupStatus::Late).collect();
    for surplus in surplus_groups(steps, groups) {
        statuses[surplus] = GroupStatus::Surplus;
    }
    let mut wanted: Vec<usize> = (0..groups.len())
        .filter(|index| statuses[*index] != GroupStatus::Surplus)
        .collect();
    wanted.sort_by_key(|index| {
        let step = &steps[groups[*index].step];
        (step.priority, step.deadline, groups[*index].waiting_work)
    });
    let mut schedule = Schedule::new(now, capacity);
    for index in wanted.iter().copied() {
        let group = &groups[index];
        let step = &steps[group.step];
        let end = now + group.longest_item;
        if end > step.expires_at {
            statuses[index] = GroupStatus::Infeasible;
        } else if end + DELIVERY_MARGIN <= step.deadline {
            schedule.add(
                index,
                step.priority,
                step.deadline - DELIVERY_MARGIN,
                group.waiting_work,
            );
        }
    }
    for index in schedule.indices() {
        statuses[index] = GroupStatus::InTime;
    }
    // The most overdue step first, and within a step the groups with the least work.
    wanted.retain(|index| statuses[*index] == GroupStatus::Late);
    wanted.sort_by_key(|index| {
        (
            steps[groups[*index].step].deadline,
            groups[*index].waiting_work,
        )
    });
    for index in wanted {
        if schedule.try_prepend(groups[index].waiting_work) {
            statuses[index] = GroupStatus::CatchUp;
        }
    }
    statuses
}

/// Indices of the groups that trainers do not wait for. Required groups are always kept. Of
/// the others, those with the fewest unfinished items and the shortest remaining time are
/// kept, since they complete first.
fn surplus_groups(steps: &[Step], groups: &[Group]) -> Vec<usize> {
    let mut surplus = Vec::new();
    for (position, step) in steps.iter().enumerate() {
        let Some(wanted) = step.wanted_groups else {
            continue;
        };
        let mut own: Vec<usize> = (0..groups.len())
            .filter(|index| groups[*index].step == position)
            .collect();
        own.sort_by_key(|index| {
            let group = &groups[*index];
            (
                !group.is_required,
                group.unfinished_items,
                group.longest_item,
            )
        });
        let required = own.iter().filter(|index| groups[**index].is_required);
        let kept = wanted.max(required.count()).min(own.len());
        surplus.extend_from_slice(&own[kept..]);
    }
    surplus
}

/// A group that is scheduled to complete in time.
struct PlannedGroup {
    index: usize,
    priority: u32,
    deadline: Time,
    work: Duration,
}

/// Groups that are scheduled to complete in time, sorted by deadline.
struct Schedule {
    now: Time,
    slots: u64,
    busy: u64,
    groups: Vec<PlannedGroup>,
}

impl Schedule {
    fn new(now: Time, capacity: &Capacity) -> Self {
        Self {
            now,
            // Guaranteed slots are not available to the plan.
            slots: (u64::from(capacity.slots) * (100 - GUARANTEED_PERCENT)).div_ceil(100),
            busy: capacity.busy.0,
            groups: Vec::new(),
        }
    }

    /// Schedules a group. While any group would be late, the scheduled group of the same
    /// priority with the most work is dropped.
    fn add(&mut self, index: usize, priority: u32, deadline: Time, work: Duration) {
        let insert_at = self
            .groups
            .partition_point(|group| group.deadline <= deadline);
        let group = PlannedGroup {
            index,
            priority,
            deadline,
            work,
        };
        self.groups.insert(insert_at, group);
        while let Some(late) = self.first_overdue(insert_at) {
            let through_late = self.groups[..=late].iter().enumerate();
            let same_priority = through_late.filter(|(_, group)| group.priority == priority);
            let largest =
                same_priority.max_by_key(|(position, group)| (group.work, Reverse(*position)));
            let Some((position, _)) = largest else {
                return;
            };
            self.groups.remove(position);
        }
    }

    /// Index of the first group at or after `start` that would miss its deadline.
    fn first_overdue(&self, start: usize) -> Option<usize> {
        let before = self.groups.iter().take(start).map(|group| group.work.0);
        let mut work = self.busy + before.sum::<u64>();
        for (position, group) in self.groups.iter().enumerate().skip(start) {
            work += group.work.0;
            let available = group.deadline.since(self.now).0;
            if work > available * self.slots {
                return Some(position);
            }
        }
        None
    }

    /// Schedules work ahead of all groups unless that would make one of them late.
    fn try_prepend(&mut self, work: Duration) -> bool {
        let busy = self.busy;
        self.busy += work.0;
        let fits = self.first_overdue(0).is_none();
        if !fits {
            self.busy = busy;
        }
        fits
    }

    fn indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.groups.iter().map(|group| group.index)
    }
}
