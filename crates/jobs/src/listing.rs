//! When results of a job are listed.
//!
//! A trainer can go on once it has read whole groups, as many as it desires. A reader
//! that is told something new asks again half a second later, so a result that completes
//! nothing, told just before the last one, keeps the trainer from it for that long. So
//! results that complete nothing are listed together, every two seconds, when they are
//! due and soon after that, and at once what makes the desired groups whole. Without it,
//! trainers learnt of their last result 0.50 s after it was there (mean over 46 steps of
//! a day without trouble, from the leader's log), and each such wait delays the step
//! after the next.
//!
//! Until it is listed a whole text stands in the log as progress, so that another leader
//! lists it.

use peatgrade_schema::replication::{AcceptJob, ItemResult};
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

/// Least time between two listings that complete nothing: four times the half second
/// after which a reader asks again.
const LIST_EVERY: Duration = Duration::from_millis(2_000);
/// All results are listed so long before they are due: a read that waits brings them
/// within a round trip and a busy machine's turn. With 0.3 s many last results came just
/// after it, and a trainer learnt of them 0.33 s later (mean of 52 steps).
const DUE_MARGIN: Duration = Duration::from_millis(100);
/// Once more so long after they were due: the reader that was told at the due time asks
/// again half a second later. Each result as it came, from the due time on, kept a reader
/// from its last one for 0.23 s on average, with this it is 0.12 s (60 times at which the
/// last of 40 texts ends, in a test).
const OVERDUE: Duration = Duration::from_millis(600);
/// Least time between two listings after that: whoever has waited so long may give up
/// soon, and what is whole by then is still worth something.
const LIST_EVERY_OVERDUE: Duration = Duration::from_millis(1_200);

/// A result that is to be listed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PendingResult {
    /// The text of an open item is whole, with its score; none if nothing scores it.
    Complete(usize, String),
    /// A result that stands as it is.
    Ready(ItemResult),
}

impl PendingResult {
    fn item(&self) -> usize {
        match self {
            PendingResult::Complete(item, _) => *item,
            PendingResult::Ready(result) => result.item as usize,
        }
    }
}

/// Results of one job that wait to be listed.
#[derive(Debug)]
pub(crate) struct ListingQueue {
    /// Group of each item.
    groups: Vec<usize>,
    /// Items of each group that are neither listed nor waiting.
    missing: Vec<usize>,
    /// Groups that nobody waits for any more.
    whole_groups: usize,
    desired: usize,
    waiting: Vec<PendingResult>,
    listed_at: Time,
    due_at: Time,
}

impl ListingQueue {
    /// Of a job that became known at `known_since`, whose results are due `deadline`
    /// later. `is_listed` tells which items have a result.
    pub fn new(
        spec: &AcceptJob,
        known_since: Time,
        deadline: Duration,
        is_listed: impl Fn(usize) -> bool,
    ) -> Self {
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        let mut groups = Vec::with_capacity(spec.items.len());
        let mut missing = Vec::new();
        for (index, item) in spec.items.iter().enumerate() {
            let next = numbers.len();
            let group = *numbers.entry(&item.group).or_insert(next);
            if group == missing.len() {
                missing.push(0);
            }
            missing[group] += usize::from(!is_listed(index));
            groups.push(group);
        }
        let whole_groups = missing.iter().filter(|left| **left == 0).count();
        Self {
            groups,
            missing,
            whole_groups,
            desired: spec.desired as usize,
            waiting: Vec::new(),
            listed_at: known_since,
            due_at: known_since + deadline,
        }
    }

    /// Takes a result.
    pub fn push(&mut self, finished: PendingResult) {
        if let Some(group) = self.groups.get(finished.item()) {
            let left = &mut self.missing[*group];
            if *left > 0 {
                *left -= 1;
                self.whole_groups += usize::from(*left == 0);
            }
        }
        self.waiting.push(finished);
    }

    /// Results that are to be listed now.
    pub fn take_due(&mut self, now: Time) -> Vec<PendingResult> {
        // Nobody desires groups of a job that no trainer waits for.
        let completes = self.whole_groups >= self.desired;
        let is_overdue = now >= self.due_at + OVERDUE;
        let pace = if is_overdue {
            LIST_EVERY_OVERDUE
        } else {
            LIST_EVERY
        };
        let is_paced = now.since(self.listed_at) >= pace;
        let is_time = [self.due_at - DUE_MARGIN, self.due_at + OVERDUE]
            .iter()
            .any(|at| now >= *at && self.listed_at < *at);
        if self.waiting.is_empty() || !(completes || is_paced || is_time) {
            return Vec::new();
        }
        self.listed_at = now;
        std::mem::take(&mut self.waiting)
    }

    /// Results that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
#[path = "../tests/unit/listing.rs"]
mod tests;
