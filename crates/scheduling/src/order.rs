//! The order in which waiting items go to engines.

use peatgrade_types::Duration;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::plan::{Group, GroupStatus, Step};
use crate::shares::max_min_shares;

/// Percent of all places that are kept for those that would get none otherwise: each
/// tenant, trainer and rank with waiting items has an equal part of it, one place at least. So a
/// run of low rank begins within the time of one text, and urgent ones lose a tenth.
pub(crate) const GUARANTEED_PERCENT: u64 = 10;

/// How waiting items are ordered.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ItemOrder {
    /// What is expected to be long first, then by the age of jobs.
    Arrival,
    /// Groups that can be whole in time before others, by rank; by arrival where no two
    /// ranks differ.
    #[default]
    GroupsInTime,
}

impl ItemOrder {
    /// Its name in settings.
    pub fn name(self) -> &'static str {
        match self {
            ItemOrder::Arrival => "arrival",
            ItemOrder::GroupsInTime => "groups-in-time",
        }
    }

    /// The order of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [ItemOrder::Arrival, ItemOrder::GroupsInTime];
        all.into_iter().find(|order| order.name() == name)
    }
}

/// An item that waits for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingItem {
    /// Position of its group.
    pub group: usize,
    /// Whether a part of its text is made.
    pub is_started: bool,
    /// Whether it is expected to be much longer than others of its step.
    pub is_long: bool,
    /// Expected time to the end of its text.
    pub remaining: Duration,
}

/// Positions of items in the order in which they go to engines: the first items of sharers
/// that have less than their floor; texts that are begun; long texts of wanted groups; then
/// by the standing of the group, its due date with the delay of its rank, those who have
/// less than their max-min share, groups that need fewest items, and the longest text of a
/// group first. `running` holds for each sharer the places
/// that it has.
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
            // What is late and fits was due before all others.
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

/// Whether each sharer runs more than its max-min share of all places.
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

/// Places that each of `sharers` with waiting items has in any case.
pub fn guaranteed_slots(slots: u32, flows: usize) -> u32 {
    (slots * GUARANTEED_PERCENT as u32 / 100 / flows.max(1) as u32).max(1)
}

/// Puts the first items of each sharer that has less than its floor before all others.
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
