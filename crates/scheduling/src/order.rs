//! The order in which waiting items are sent to engines.

use peatgrade_types::Duration;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::plan::{Group, GroupStatus, Step};
use crate::shares::max_min_shares;

/// Percentage of all slots that is reserved to prevent starvation. It is split equally among the
/// flows with waiting items, at least one slot each. Work of low priority thus begins within the
/// duration of one text, and urgent work loses a tenth of the slots.
pub(crate) const GUARANTEED_PERCENT: u64 = 10;

/// Ordering policy for waiting items.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ItemOrder {
    /// Items expected to be long first, then by the age of their job.
    Arrival,
    /// Groups that can complete in time first, by priority. Falls back to
    /// [`ItemOrder::Arrival`] if a service has a single priority or estimates are missing.
    #[default]
    GroupsInTime,
}

impl ItemOrder {
    /// The name of the policy in settings.
    pub fn name(self) -> &'static str {
        match self {
            ItemOrder::Arrival => "arrival",
            ItemOrder::GroupsInTime => "groups-in-time",
        }
    }

    /// Looks up a policy by its name in settings.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [ItemOrder::Arrival, ItemOrder::GroupsInTime];
        all.into_iter().find(|order| order.name() == name)
    }
}

/// An item that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingItem {
    /// Index of its group.
    pub group: usize,
    /// Whether an engine has run it before or part of its text exists.
    pub is_started: bool,
    /// Whether it is expected to be much longer than the other items of its step.
    pub is_long: bool,
    /// Expected time until its text is complete.
    pub remaining: Duration,
}

/// Returns the indices of `items` in the order in which they are sent to engines.
///
/// Items of flows below their guaranteed slots come first, then started items, then long
/// items of wanted groups. The rest is sorted by group status, deadline plus priority delay,
/// priority, whether the flow exceeds its max-min fair share, unfinished items of the group,
/// and the longest remaining time first. `running` holds the occupied slots of each flow.
pub fn order_items(
    slots: u32,
    steps: &[Step],
    groups: &[Group],
    statuses: &[GroupStatus],
    running: &[u32],
    items: &[WaitingItem],
) -> Vec<usize> {
    let over_share = over_share(slots, steps, groups, running, items);
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_cached_key(|index| {
        let item = &items[*index];
        let group = &groups[item.group];
        let step = &steps[group.step];
        let status = statuses[item.group];
        let is_critical = item.is_long && status <= GroupStatus::Late;
        (
            !item.is_started,
            !is_critical,
            // CatchUp compares equal to InTime: the earlier deadline puts it first.
            status.max(GroupStatus::InTime),
            step.deadline + step.priority_delay(),
            step.priority,
            over_share[step.flow],
            group.unfinished_items,
            Reverse(group.longest_item),
            item.group,
            Reverse(item.remaining),
        )
    });
    prioritize_guaranteed(slots, steps, groups, running, items, order)
}

/// Returns for each flow whether it occupies more than its max-min fair share of the slots.
fn over_share(
    slots: u32,
    steps: &[Step],
    groups: &[Group],
    running: &[u32],
    items: &[WaitingItem],
) -> Vec<bool> {
    let mut demands: Vec<(f64, f64)> = running.iter().map(|runs| (f64::from(*runs), 1.0)).collect();
    for item in items {
        demands[steps[groups[item.group].step].flow].0 += 1.0;
    }
    let shares = max_min_shares(f64::from(slots), &demands);
    let pairs = running.iter().zip(shares);
    pairs
        .map(|(runs, share)| f64::from(*runs) > share)
        .collect()
}

/// Number of slots guaranteed to each of `flows` flows with waiting items.
pub fn guaranteed_slots(slots: u32, flows: usize) -> u32 {
    (slots * GUARANTEED_PERCENT as u32 / 100 / flows.max(1) as u32).max(1)
}

/// Moves the first items of each flow below its guaranteed slots to the front.
fn prioritize_guaranteed(
    slots: u32,
    steps: &[Step],
    groups: &[Group],
    running: &[u32],
    items: &[WaitingItem],
    order: Vec<usize>,
) -> Vec<usize> {
    let flow_of = |index: &usize| steps[groups[items[*index].group].step].flow;
    let mut shortfalls: BTreeMap<usize, u32> = BTreeMap::new();
    for index in &order {
        shortfalls.entry(flow_of(index)).or_insert(0);
    }
    let guaranteed = guaranteed_slots(slots, shortfalls.len());
    for (flow, shortfall) in &mut shortfalls {
        *shortfall = guaranteed.saturating_sub(running[*flow]);
    }
    let (mut guaranteed_items, mut others) = (Vec::new(), Vec::new());
    for index in order {
        let shortfall = shortfalls.entry(flow_of(&index)).or_insert(0);
        if *shortfall > 0 {
            *shortfall -= 1;
            guaranteed_items.push(index);
        } else {
            others.push(index);
        }
    }
    guaranteed_items.extend(others);
    guaranteed_items
}
