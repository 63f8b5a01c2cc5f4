//! Ends of jobs that were asked for and are not committed.
//!
//! Whoever heard of one, leader or not, keeps it until it is committed: the caller may
//! not ask again, and the machine that it asked may be lost. A leader starts nothing of
//! such a job and proposes its end once in its term; a follower passes it on to the
//! leader a few times, since that may not have heard of it.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

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

/// What is known of one end.
#[derive(Debug)]
struct AskedEnd {
    heard: Time,
    /// Newest term in which this machine proposed it.
    proposed_term: u64,
    /// When it is passed on next, and how often it was.
    pass_on_at: Time,
    passed_on: u32,
}

/// Ends that were asked for, by job.
#[derive(Debug, Default)]
pub struct AskedEnds {
    asked: BTreeMap<String, AskedEnd>,
}

impl AskedEnds {
    /// Takes note that the end of a job was asked for; whether that is new.
    pub fn ask(&mut self, now: Time, job: &str) -> bool {
        if self.asked.contains_key(job) {
            return false;
        }
        if job.len() > MAX_ID_BYTES {
            log::warn!("decision=drop-end reason=long-id bytes={}", job.len());
            return false;
        }
        if self.asked.len() >= MAX_ASKED {
            self.drop_oldest();
        }
        let asked = AskedEnd {
            heard: now,
            proposed_term: 0,
            pass_on_at: now + FIRST_PASS_ON,
            passed_on: 0,
        };
        self.asked.insert(job.to_string(), asked);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.asked.iter().min_by_key(|(_, end)| end.heard);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            log::warn!("decision=drop-end job={job} reason=too-many limit={MAX_ASKED}");
            self.asked.remove(&job);
        }
    }

    /// Whether the end of a job was asked for.
    pub fn is_asked(&self, job: &str) -> bool {
        self.asked.contains_key(job)
    }

    /// Open jobs whose end the leader of `term` has not proposed yet; it does now.
    pub fn take_unproposed(&mut self, term: u64, store: &JobStore) -> Vec<String> {
        let mut jobs = Vec::new();
        for (job, end) in &mut self.asked {
            let is_open = store.get(job).is_some_and(|job| !job.ended);
            if is_open && end.proposed_term < term {
                end.proposed_term = term;
                jobs.push(job.clone());
            }
        }
        jobs
    }

    /// Jobs whose end is to be passed on to the leader now.
    pub fn take_to_pass_on(&mut self, now: Time) -> Vec<String> {
        let ends = self.asked.iter_mut();
        let due = ends.filter(|(_, end)| now >= end.pass_on_at && end.passed_on < MAX_PASS_ONS);
        due.take(PASS_ONS_AT_ONCE)
            .map(|(job, end)| {
                end.passed_on += 1;
                end.pass_on_at = now + Duration(FIRST_PASS_ON.0 << end.passed_on);
                job.clone()
            })
            .collect()
    }

    /// Drops ends of jobs that a leader has not got to know in time: there are none.
    pub fn forget_unknown(&mut self, now: Time, store: &JobStore) {
        self.asked.retain(|job, end| {
            let is_young = now.since(end.heard) < KEEP_UNKNOWN;
            is_young || store.get(job).is_some()
        });
    }

    /// The jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        self.asked.keys().map(String::as_str)
    }

    /// The end of a job is committed; whether it was asked for here.
    pub fn committed(&mut self, job: &str) -> bool {
        self.asked.remove(job).is_some()
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
    pub fn forget(&mut self, now: Time, keep: Duration) {
        self.asked.retain(|job, end| {
            let is_young = now.since(end.heard) < keep;
            if !is_young {
                log::info!("decision=drop-end job={job} reason=too-old");
            }
            is_young
        });
    }
}
