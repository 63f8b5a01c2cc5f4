//! Batching of a job's results before they are listed in the log.
//!
//! A trainer proceeds once it has read the desired number of complete groups. A reader
//! that receives new results polls again half a second later, so a result that completes
//! no group can delay the trainer if it is listed just before the last one. Results are
//! therefore listed in batches: every two seconds, around the job's deadline, and at once
//! when the desired groups are complete.
//!
//! Until it is listed, a complete text is in the log as progress, so that a new leader can
//! list it.

use peatgrade_schema::replication::{AcceptJob, ItemResult};
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

/// Minimum time between two listings while the desired groups are incomplete.
const LISTING_INTERVAL: Duration = Duration::from_millis(2_000);
/// Pending results are listed this long before the deadline, to reach a waiting reader in time. A
/// read that waits at the leader brings them within a round trip and one turn of a busy machine.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Pending results are listed again this long after the deadline, when the reader that got
/// the results at the deadline polls again.
const OVERDUE_DELAY: Duration = Duration::from_millis(600);
/// Minimum time between two listings of an overdue job, whose reader may give up soon.
const OVERDUE_LISTING_INTERVAL: Duration = Duration::from_millis(1_200);

/// A result that is ready to be listed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PendingResult {
    /// Index and score of an open item whose text is complete; the score is empty without a
    /// reward call.
    Complete(usize, String),
    /// A result that is listed as it is.
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

/// Pending results of one job.
#[derive(Debug)]
pub(crate) struct ListingQueue {
    /// Group number of each item.
    groups: Vec<usize>,
    /// Number of items of each group that are neither listed nor pending.
    missing: Vec<usize>,
    /// Number of groups without missing items.
    complete_groups: usize,
    desired: usize,
    pending: Vec<PendingResult>,
    listed_at: Time,
    due_at: Time,
}

impl ListingQueue {
    /// Creates the queue of a job accepted at `known_since` whose results are due `deadline`
    /// later. `is_listed` tells which items have a listed result.
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
        let complete_groups = missing.iter().filter(|count| **count == 0).count();
        Self {
            groups,
            missing,
            complete_groups,
            desired: spec.desired as usize,
            pending: Vec::new(),
            listed_at: known_since,
            due_at: known_since + deadline,
        }
    }

    pub fn push(&mut self, result: PendingResult) {
        if let Some(group) = self.groups.get(result.item()) {
            let missing = &mut self.missing[*group];
            if *missing > 0 {
                *missing -= 1;
                self.complete_groups += usize::from(*missing == 0);
            }
        }
        self.pending.push(result);
    }

    /// Takes all pending results, if they are to be listed now.
    pub fn take_due(&mut self, now: Time) -> Vec<PendingResult> {
        // Always true for a job that desires no groups.
        let completes = self.complete_groups >= self.desired;
        let is_overdue = now >= self.due_at + OVERDUE_DELAY;
        let interval = if is_overdue {
            OVERDUE_LISTING_INTERVAL
        } else {
            LISTING_INTERVAL
        };
        let is_interval_over = now.since(self.listed_at) >= interval;
        let is_scheduled = [self.due_at - DEADLINE_MARGIN, self.due_at + OVERDUE_DELAY]
            .iter()
            .any(|at| now >= *at && self.listed_at < *at);
        if self.pending.is_empty() || !(completes || is_interval_over || is_scheduled) {
            return Vec::new();
        }
        self.listed_at = now;
        std::mem::take(&mut self.pending)
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

#[cfg(test)]
#[path = "../tests/unit/listing.rs"]
mod tests;
