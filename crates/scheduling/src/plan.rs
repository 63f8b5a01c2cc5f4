//! Which groups can be whole in time.
//!
//! Due dates with too little room for all of them: Moore and Hodgson's rule, which makes
//! as many groups whole in time as any order could, were all expectations true. Groups are
//! taken in the order of their due dates; whenever one would be late, the one with most
//! work left is put behind. Ranks are planned one after another, so that a group gives way
//! only to one of its own rank or of a more urgent one.

use peatgrade_types::{Duration, Time};
use std::cmp::Reverse;

use crate::order::GUARANTEED_PERCENT;

/// A rank counts as a delay by this percentage of the time allowed: more than expectations
/// of texts are off, so that urgent steps do not pay for their error.
const PRIORITY_DELAY_PERCENT: u64 = 30;
/// Time that a whole text needs until its trainer has it: its reward call, its record in
/// the log, and a read that waits for it.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// Places that work of these steps can have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Places of engines that take work.
    pub slots: u32,
    /// Work left of runs under way, which nothing takes their places from.
    pub busy: Duration,
}

/// A step that a trainer waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its tenant, trainer and rank, by a number.
    pub flow: usize,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// Time that its trainer allowed for its results.
    pub time_allowed: Duration,
    /// When they are due.
    pub deadline: Time,
    /// When its items may be given up.
    pub expires_at: Time,
    /// Groups that the trainer still waits for; none if it waits for all.
    pub wanted_groups: Option<usize>,
}

impl Step {
    /// How much later it counts as due than a step of the most urgent rank. A step goes
    /// before a more urgent one only if it is due sooner by that, and as far as the plan
    /// found it to be at nobody's cost. In a played load (64 places, 131 % asked for) 96 of
    /// 96 urgent groups and 165 of 240 others are in time; without any delay 86 and 188.
    pub fn priority_delay(&self) -> Duration {
        Duration(self.time_allowed.0 * PRIORITY_DELAY_PERCENT / 100 * u64::from(self.priority))
    }
}

/// A group of a step that is not whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Position of its step.
    pub step: usize,
    /// Whether its trainer waits for it whichever others are whole.
    pub is_required: bool,
    /// Items that wait or run.
    pub unfinished_items: usize,
    /// Expected work of its waiting items.
    pub waiting_work: Duration,
    /// Longest expected time to the end of one of its texts, waiting or running.
    pub longest_item: Duration,
}

/// What a group can still be of use for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum GroupStatus {
    /// It is wanted and will come late, and can be made first at nobody's cost: until its
    /// step is whole its trainer stands still.
    CatchUp,
    /// It is wanted and can be whole in time.
    InTime,
    /// It is wanted and will come late.
    Late,
    /// Its trainer has enough without it.
    Surplus,
    /// It is wanted, and may be given up before it could be whole.
    Infeasible,
}

/// The standing of each group, in the order of `groups`.
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
    // The step that stands still the longest first, and of it what takes the least.
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

/// Groups beyond those that their trainers wait for. Wanted are those that are required,
/// and of the others those with the fewest missing items and the shortest texts, since
/// they are whole first.
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

/// A group that is planned to be whole in time.
struct PlannedGroup {
    index: usize,
    priority: u32,
    deadline: Time,
    work: Duration,
}

/// Groups that are planned to be whole in time, by their due dates.
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
            // What the floor gives away is not planned with.
            slots: (u64::from(capacity.slots) * (100 - GUARANTEED_PERCENT)).div_ceil(100),
            busy: capacity.busy.0,
            groups: Vec::new(),
        }
    }

    /// Adds a group; if that makes one late, a group of the same rank is left out.
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

    /// The first group from `place` on that would come late.
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

    /// Puts work before all groups, if that makes none of them late.
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
