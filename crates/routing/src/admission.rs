//! Which requests may enter, and in what order they get a place.

use peatgrade_schema::documents::Priority;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one tenant that may wait on one node, as a multiple of its
/// limit in flight. Time bounds the queue; this bounds its memory.
const QUEUE_FACTOR: usize = 2;

/// Why a request was not let in. It certainly did not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The queue is full.
    QueueFull,
    /// It waited as long as its tenant allows.
    QueueTimeout,
}

/// The answer to a request to enter.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionDecision {
    /// It may be sent now.
    Admitted,
    /// It waits; [`Admission::take_next`] will name it.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiting<Key> {
    key: Key,
    until: Time,
}

#[derive(Debug)]
struct TenantQueue<Key> {
    limit: u32,
    in_flight: u32,
    waiting: VecDeque<Waiting<Key>>,
    priority: u8,
}

/// In-flight limits and queues of every tenant on one node.
#[derive(Debug)]
pub struct Admission<Key> {
    tenants: BTreeMap<String, TenantQueue<Key>>,
}

impl<Key> Default for Admission<Key> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
        }
    }
}

/// Order of priorities, the most urgent first.
pub fn rank(priority: Option<Priority>) -> u8 {
    match priority.unwrap_or(Priority::Standard) {
        Priority::Interactive => 0,
        Priority::Standard => 1,
        Priority::Batch => 2,
    }
}

impl<Key: Copy + PartialEq> Admission<Key> {
    /// Asks for a place under the tenant's limit.
    pub fn try_admit(
        &mut self,
        now: Time,
        tenant: &str,
        priority: Option<Priority>,
        limit: u32,
        queue: Duration,
        key: Key,
    ) -> AdmissionDecision {
        let entry = self
            .tenants
            .entry(tenant.to_string())
            .or_insert_with(|| TenantQueue {
                limit,
                in_flight: 0,
                waiting: VecDeque::new(),
                priority: rank(priority),
            });
        entry.limit = limit;
        entry.priority = rank(priority);
        if entry.in_flight < limit && entry.waiting.is_empty() {
            entry.in_flight += 1;
            return AdmissionDecision::Admitted;
        }
        if queue == Duration(0) || entry.waiting.len() >= QUEUE_FACTOR * limit as usize {
            return AdmissionDecision::Refused(Refusal::QueueFull);
        }
        entry.waiting.push_back(Waiting {
            key,
            until: now + queue,
        });
        AdmissionDecision::Queued
    }

    /// Gives a place back.
    pub fn release(&mut self, tenant: &str) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Removes a request that waits, because its caller is gone.
    pub fn cancel(&mut self, tenant: &str, key: Key) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.waiting.retain(|waiting| waiting.key != key);
        }
    }

    /// The next request that may be sent, urgent tenants first.
    pub fn take_next(&mut self) -> Option<Key> {
        let free = self
            .tenants
            .values_mut()
            .filter(|entry| entry.in_flight < entry.limit && !entry.waiting.is_empty());
        let entry = free.min_by_key(|entry| entry.priority)?;
        entry.in_flight += 1;
        entry.waiting.pop_front().map(|waiting| waiting.key)
    }

    /// Requests that waited too long, taken out of their queues.
    pub fn take_expired(&mut self, now: Time) -> Vec<Key> {
        let mut expired = Vec::new();
        for entry in self.tenants.values_mut() {
            while entry.waiting.front().is_some_and(|w| w.until <= now) {
                expired.extend(entry.waiting.pop_front().map(|waiting| waiting.key));
            }
        }
        expired
    }

    /// Requests of all tenants in flight.
    pub fn in_flight(&self) -> u32 {
        self.tenants.values().map(|entry| entry.in_flight).sum()
    }
}
