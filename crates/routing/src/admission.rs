//! Admission of requests by per-tenant concurrency limits and priority queues.

use peatgrade_schema::documents::Priority;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

/// Maximum queue length of a tenant on one node, as a multiple of its in-flight limit. It bounds
/// the memory of the queue; the queue timeout bounds the wait.
const QUEUE_LENGTH_FACTOR: usize = 2;

/// Why a request was not admitted. Such a request has not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The tenant's queue is full.
    QueueFull,
    /// The tenant's queue timeout has passed.
    QueueTimeout,
}

/// Result of [`Admission::try_admit`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionDecision {
    /// The request may be sent now.
    Admitted,
    /// The request is queued; [`Admission::take_next`] will return it.
    Queued,
    /// The request is refused.
    Refused(Refusal),
}

#[derive(Debug)]
struct QueuedRequest<Key> {
    key: Key,
    expires_at: Time,
}

#[derive(Debug)]
struct TenantQueue<Key> {
    limit: u32,
    in_flight: u32,
    queue: VecDeque<QueuedRequest<Key>>,
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

/// Rank of a priority; lower ranks are served first.
pub fn rank(priority: Option<Priority>) -> u8 {
    match priority.unwrap_or(Priority::Standard) {
        Priority::Interactive => 0,
        Priority::Standard => 1,
        Priority::Batch => 2,
    }
}

impl<Key: Copy + PartialEq> Admission<Key> {
    /// Admits a request under the tenant's in-flight limit, or queues it.
    pub fn try_admit(
        &mut self,
        now: Time,
        tenant: &str,
        priority: Option<Priority>,
        limit: u32,
        queue_timeout: Duration,
        key: Key,
    ) -> AdmissionDecision {
        let entry = self
            .tenants
            .entry(tenant.to_string())
            .or_insert_with(|| TenantQueue {
                limit,
                in_flight: 0,
                queue: VecDeque::new(),
                priority: rank(priority),
            });
        entry.limit = limit;
        entry.priority = rank(priority);
        if entry.in_flight < limit && entry.queue.is_empty() {
            entry.in_flight += 1;
            return AdmissionDecision::Admitted;
        }
        if queue_timeout == Duration(0) || entry.queue.len() >= QUEUE_LENGTH_FACTOR * limit as usize
        {
            return AdmissionDecision::Refused(Refusal::QueueFull);
        }
        entry.queue.push_back(QueuedRequest {
            key,
            expires_at: now + queue_timeout,
        });
        AdmissionDecision::Queued
    }

    /// Releases the slot of an admitted request.
    pub fn release(&mut self, tenant: &str) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Removes a queued request whose caller has gone away.
    pub fn cancel(&mut self, tenant: &str, key: Key) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.queue.retain(|queued| queued.key != key);
        }
    }

    /// Takes the next request that may be sent, by the priority of its tenant.
    pub fn take_next(&mut self) -> Option<Key> {
        let ready = self
            .tenants
            .values_mut()
            .filter(|entry| entry.in_flight < entry.limit && !entry.queue.is_empty());
        let entry = ready.min_by_key(|entry| entry.priority)?;
        entry.in_flight += 1;
        entry.queue.pop_front().map(|queued| queued.key)
    }

    /// Takes the requests whose queue timeout has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<Key> {
        let mut expired = Vec::new();
        for entry in self.tenants.values_mut() {
            while entry
                .queue
                .front()
                .is_some_and(|queued| queued.expires_at <= now)
            {
                expired.extend(entry.queue.pop_front().map(|queued| queued.key));
            }
        }
        expired
    }

    /// Number of in-flight requests of all tenants.
    pub fn in_flight(&self) -> u32 {
        self.tenants.values().map(|entry| entry.in_flight).sum()
    }
}
