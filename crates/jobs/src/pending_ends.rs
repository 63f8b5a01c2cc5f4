//! Requests to end jobs that are not committed yet.
//!
//! Every replica that receives such a request, leader or not, retains it until the end is
//! committed: the caller may not retry, and the replica that it called may fail. A leader
//! starts no items of such a job and proposes its end once per term; a follower forwards
//! the request to the leader a limited number of times.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::job::Job;
use crate::store::JobStore;

/// Maximum number of retained requests; the oldest are dropped first.
const MAX_PENDING: usize = 4_096;
/// Maximum length of a request's job id and tenant together.
const MAX_ID_BYTES: usize = 256;
/// How long a leader retains the request for an unknown job. An acceptance under way is
/// committed within this time, or its term is over.
const UNKNOWN_JOB_TTL: Duration = Duration::from_secs(10);
/// Delay before a request is first forwarded to the leader, about the duration of an
/// election. It doubles with each attempt.
const FORWARD_DELAY: Duration = Duration::from_millis(300);
const MAX_FORWARDS: u32 = 8;
/// Maximum number of requests forwarded at once, so that a restarted replica with many of
/// them does not flood the leader.
const FORWARD_BATCH: usize = 16;

/// A tenant's request to end a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndRequest {
    pub job: String,
    /// Requesting tenant; empty on routes without authentication. Requests of several
    /// tenants for one job coexist, since the owner of the job may not be known yet.
    pub tenant: String,
}

/// A request without a tenant.
impl From<&str> for EndRequest {
    fn from(job: &str) -> Self {
        Self {
            job: job.to_string(),
            tenant: String::new(),
        }
    }
}

impl EndRequest {
    /// Whether the request is authorized to end `job` and the job is open.
    fn may_end(&self, job: &Job) -> bool {
        !job.ended && job.is_accessible_to(&self.tenant)
    }

    fn bytes(&self) -> usize {
        self.job.len() + self.tenant.len()
    }
}

/// State of one request.
#[derive(Debug)]
struct PendingEnd {
    received_at: Time,
    /// Latest term in which this replica proposed the end.
    proposed_term: u64,
    next_forward_at: Time,
    forwards: u32,
}

/// Requests by job and tenant.
#[derive(Debug, Default)]
pub struct PendingEnds {
    pending: BTreeMap<EndRequest, PendingEnd>,
}

impl PendingEnds {
    /// Adds a request and returns whether it is new.
    pub fn insert(&mut self, now: Time, end: impl Into<EndRequest>) -> bool {
        let end = end.into();
        if self.pending.contains_key(&end) {
            return false;
        }
        if end.bytes() > MAX_ID_BYTES {
            log::warn!("decision=drop-end reason=long-id bytes={}", end.bytes());
            return false;
        }
        if self.pending.len() >= MAX_PENDING {
            self.drop_oldest();
        }
        let pending = PendingEnd {
            received_at: now,
            proposed_term: 0,
            next_forward_at: now + FORWARD_DELAY,
            forwards: 0,
        };
        self.pending.insert(end, pending);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.pending.iter().min_by_key(|(_, end)| end.received_at);
        if let Some(end) = oldest.map(|(end, _)| end.clone()) {
            let job = &end.job;
            log::warn!("decision=drop-end job={job} reason=too-many limit={MAX_PENDING}");
            self.pending.remove(&end);
        }
    }

    pub fn contains(&self, end: impl Into<EndRequest>) -> bool {
        self.pending.contains_key(&end.into())
    }

    /// Whether an authorized request to end `job` is pending.
    pub fn should_end(&self, job: &Job) -> bool {
        let first = EndRequest::from(job.spec.job.as_str());
        let mut requests = self.pending.range(first..).map(|(request, _)| request);
        requests
            .by_ref()
            .take_while(|request| request.job == job.spec.job)
            .any(|request| request.may_end(job))
    }

    /// Open jobs whose end has not been proposed in `term`; marks them as proposed.
    pub fn take_unproposed(&mut self, term: u64, store: &JobStore) -> Vec<String> {
        let mut jobs = Vec::new();
        for (request, end) in &mut self.pending {
            let job = store.get(&request.job);
            let may_end = job.is_some_and(|job| request.may_end(job));
            if may_end && end.proposed_term < term {
                end.proposed_term = term;
                jobs.push(request.job.clone());
            }
        }
        jobs.dedup();
        jobs
    }

    /// Requests to forward to the leader now.
    pub fn take_due_forwards(&mut self, now: Time) -> Vec<EndRequest> {
        let ends = self.pending.iter_mut();
        let due = ends.filter(|(_, end)| now >= end.next_forward_at && end.forwards < MAX_FORWARDS);
        due.take(FORWARD_BATCH)
            .map(|(request, end)| {
                end.forwards += 1;
                end.next_forward_at = now + Duration(FORWARD_DELAY.0 << end.forwards);
                request.clone()
            })
            .collect()
    }

    /// Drops requests whose job is still unknown to the leader after `UNKNOWN_JOB_TTL`, or
    /// belongs to another tenant.
    pub fn expire_unknown(&mut self, now: Time, store: &JobStore) {
        self.pending.retain(|request, end| {
            let is_retained = now.since(end.received_at) < UNKNOWN_JOB_TTL;
            let job = store.get(&request.job);
            is_retained || job.is_some_and(|job| job.is_accessible_to(&request.tenant))
        });
    }

    pub fn requests(&self) -> impl Iterator<Item = &EndRequest> {
        self.pending.keys()
    }

    /// Removes the requests for a job whose end is committed; whether there were any.
    pub fn remove_committed(&mut self, job: &str) -> bool {
        let before = self.pending.len();
        self.pending.retain(|request, _| request.job != job);
        self.pending.len() < before
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops requests that are `keep` old, for which open jobs are retained.
    pub fn expire(&mut self, now: Time, keep: Duration) {
        self.pending.retain(|request, end| {
            let is_retained = now.since(end.received_at) < keep;
            if !is_retained {
                let job = &request.job;
                log::info!("decision=drop-end job={job} reason=too-old");
            }
            is_retained
        });
    }
}
