//! The order in which waiting items go to engines.

use peatgrade_types::Duration;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::plan::{Group, Standing, Step};
use crate::shares::max_min_shares;

/// Percent of all places that are kept for those that would get none otherwise: each
/// tenant, trainer and rank with waiting items has an equal part of it, one place at least. So a
/// run of low rank begins within the time of one text, and urgent ones lose a tenth.
pub(crate) const FLOOR_PERCENT: u64 = 10;

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
    pub is_begun: bool,
    /// Whether it is expected to be much longer than others of its step.
    pub is_long: bool,
    /// Expected time to the end of its text.
    pub left: Duration,
}

/// Positions of items in the order in which they go to engines: the first items of sharers
/// that have less than their floor; texts that are begun; long texts of wanted groups; then
/// by the standing of the group, its due date with the delay of its rank, those who have
/// less than their max-min share, groups that need fewest items, and the longest text of a
/// group first. `running` holds for each sharer the places
/// that it has.
pub fn arrange(
    places: u32,
    steps: &[Step],
    groups: &[Group],
    standings: &[Standing],
    running: &[u32],
    items: &[WaitingItem],
) -> Vec<usize> {
    let over_share = over_share(places, steps, groups, running, items);
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_cached_key(|index| {
        let item = &items[*index];
        let group = &groups[item.group];
        let step = &steps[group.step];
        let standing = standings[item.group];
        let sets_the_pace = item.is_long && standing <= Standing::Late;
        (
            !item.is_begun,
            !sets_the_pace,
            // What is late and fits was due before all others.
            standing.max(Standing::InTime),
            step.due + step.rank_delay(),
            step.rank,
            over_share[step.sharer],
            group.missing,
            Reverse(group.longest),
            item.group,
            Reverse(item.left),
        )
    });
    lift_floors(places, steps, groups, running, items, order)
}

/// Whether each sharer runs more than its max-min share of all places.
fn over_share(
    places: u32,
    steps: &[Step],
    groups: &[Group],
    running: &[u32],
    items: &[WaitingItem],
) -> Vec<bool> {
    let mut demands: Vec<(f64, f64)> = running.iter().map(|runs| (f64::from(*runs), 1.0)).collect();
    for item in items {
        demands[steps[groups[item.group].step].sharer].0 += 1.0;
    }
    let shares = max_min_shares(f64::from(places), &demands);
    let pairs = running.iter().zip(shares);
    pairs
        .map(|(runs, share)| f64::from(*runs) > share)
        .collect()
}

/// Places that each of `sharers` with waiting items has in any case.
pub fn floor_of(places: u32, sharers: usize) -> u32 {
    (places * FLOOR_PERCENT as u32 / 100 / sharers.max(1) as u32).max(1)
}

/// Puts the first items of each sharer that has less than its floor before all others.
fn lift_floors(
    places: u32,
    steps: &[Step],
    groups: &[Group],
    running: &[u32],
    items: &[WaitingItem],
    order: Vec<usize>,
) -> Vec<usize> {
    let sharer_of = |index: &usize| steps[groups[items[*index].group].step].sharer;
    let mut lacking: BTreeMap<usize, u32> = BTreeMap::new();
    for index in &order {
        lacking.entry(sharer_of(index)).or_insert(0);
    }
    let floor = floor_of(places, lacking.len());
    for (sharer, lacks) in &mut lacking {
        *lacks = floor.saturating_sub(running[*sharer]);
    }
    let (mut lifted, mut others) = (Vec::new(), Vec::new());
    for index in order {
        let lacks = lacking.entry(sharer_of(&index)).or_insert(0);
        if *lacks > 0 {
            *lacks -= 1;
            lifted.push(index);
        } else {
            others.push(index);
        }
    }
    lifted.extend(others);
    lifted
}
