//! Ends of jobs that were asked for and are not committed.
//!
//! Whoever heard of one, leader or not, keeps it until it is committed: the caller may
//! not ask again, and the machine that it asked may be lost. A leader starts nothing of
//! such a job and proposes its end once in its term; a follower passes it on to the
//! leader a few times, since that may not have heard of it.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::job::Job;
use crate::store::JobStore;

/// Ends kept at most; the oldest give way. A job is open for some seconds, so this is
/// far more than are open at once (target size: 5 trainers).
const MAX_ASKED: usize = 4_096;
/// Longest id of a job whose end is kept: 16 digits are usual.
const MAX_ID_BYTES: usize = 256;
/// How long the end of an unknown job is kept by a leader: an acceptance that is on its
/// way into the log is committed by then, or its term is over.
const KEEP_UNKNOWN: Duration = Duration::from_secs(10);
/// Wait before an end is passed on to the leader for the first time: about an election.
/// It doubles each time.
const FIRST_PASS_ON: Duration = Duration::from_millis(300);
/// How often an end is passed on: for 77 s in all.
const MAX_PASS_ONS: u32 = 8;
/// Ends that are passed on at once, so that a machine that comes back with many does not
/// flood the leader.
const PASS_ONS_AT_ONCE: usize = 16;

/// Who asked for the end of which job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndRequest {
    /// The job.
    pub job: String,
    /// Tenant that asked; empty if no key was needed. Whether the job is its own may not
    /// be known where it is heard, so requests of several tenants stand side by side.
    pub tenant: String,
}

/// A request that needed no key.
impl From<&str> for EndRequest {
    fn from(job: &str) -> Self {
        Self {
            job: job.to_string(),
            tenant: String::new(),
        }
    }
}

impl EndRequest {
    /// Whether it may end a job.
    fn may_end(&self, job: &Job) -> bool {
        !job.ended && job.is_accessible_to(&self.tenant)
    }

    fn bytes(&self) -> usize {
        self.job.len() + self.tenant.len()
    }
}

/// What is known of one end.
#[derive(Debug)]
struct PendingEnd {
    heard: Time,
    /// Newest term in which this machine proposed it.
    proposed_term: u64,
    /// When it is passed on next, and how often it was.
    pass_on_at: Time,
    passed_on: u32,
}

/// Ends that were asked for, by job and tenant.
#[derive(Debug, Default)]
pub struct PendingEnds {
    asked: BTreeMap<EndRequest, PendingEnd>,
}

impl PendingEnds {
    /// Takes note that the end of a job was asked for; whether that is new.
    pub fn insert(&mut self, now: Time, end: impl Into<EndRequest>) -> bool {
        let end = end.into();
        if self.asked.contains_key(&end) {
            return false;
        }
        if end.bytes() > MAX_ID_BYTES {
            log::warn!("decision=drop-end reason=long-id bytes={}", end.bytes());
            return false;
        }
        if self.asked.len() >= MAX_ASKED {
            self.drop_oldest();
        }
        let asked = PendingEnd {
            heard: now,
            proposed_term: 0,
            pass_on_at: now + FIRST_PASS_ON,
            passed_on: 0,
        };
        self.asked.insert(end, asked);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.asked.iter().min_by_key(|(_, end)| end.heard);
        if let Some(end) = oldest.map(|(end, _)| end.clone()) {
            let job = &end.job;
            log::warn!("decision=drop-end job={job} reason=too-many limit={MAX_ASKED}");
            self.asked.remove(&end);
        }
    }

    /// Whether an end was asked for.
    pub fn contains(&self, end: impl Into<EndRequest>) -> bool {
        self.asked.contains_key(&end.into())
    }

    /// Whether someone who may end a job has asked for that.
    pub fn should_end(&self, job: &Job) -> bool {
        let first = EndRequest::from(job.spec.job.as_str());
        let mut requests = self.asked.range(first..).map(|(request, _)| request);
        requests
            .by_ref()
            .take_while(|request| request.job == job.spec.job)
            .any(|request| request.may_end(job))
    }

    /// Open jobs whose end the leader of `term` has not proposed yet; it does now.
    pub fn take_unproposed(&mut self, term: u64, store: &JobStore) -> Vec<String> {
        let mut jobs = Vec::new();
        for (request, end) in &mut self.asked {
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

    /// Ends that are to be passed on to the leader now.
    pub fn take_due_forwards(&mut self, now: Time) -> Vec<EndRequest> {
        let ends = self.asked.iter_mut();
        let due = ends.filter(|(_, end)| now >= end.pass_on_at && end.passed_on < MAX_PASS_ONS);
        due.take(PASS_ONS_AT_ONCE)
            .map(|(request, end)| {
                end.passed_on += 1;
                end.pass_on_at = now + Duration(FIRST_PASS_ON.0 << end.passed_on);
                request.clone()
            })
            .collect()
    }

    /// Drops ends of jobs that a leader has not got to know in time: there are none, or
    /// they are another tenant's.
    pub fn expire_unknown(&mut self, now: Time, store: &JobStore) {
        self.asked.retain(|request, end| {
            let is_young = now.since(end.heard) < KEEP_UNKNOWN;
            let job = store.get(&request.job);
            is_young || job.is_some_and(|job| job.is_accessible_to(&request.tenant))
        });
    }

    /// All of them.
    pub fn requests(&self) -> impl Iterator<Item = &EndRequest> {
        self.asked.keys()
    }

    /// The end of a job is committed; whether it was asked for here.
    pub fn remove_committed(&mut self, job: &str) -> bool {
        let before = self.asked.len();
        self.asked.retain(|request, _| request.job != job);
        self.asked.len() < before
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.asked.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// Drops what is older than open jobs are kept.
    pub fn expire(&mut self, now: Time, keep: Duration) {
        self.asked.retain(|request, end| {
            let is_young = now.since(end.heard) < keep;
            if !is_young {
                let job = &request.job;
                log::info!("decision=drop-end job={job} reason=too-old");
            }
            is_young
        });
    }
}
