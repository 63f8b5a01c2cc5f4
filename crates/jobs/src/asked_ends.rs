//! Ends of jobs that were asked for and are not committed.
//!
//! Whoever heard of one, leader or not, keeps it until it is committed: the caller may
//! not ask again, and the machine that it asked may be lost. A leader starts nothing of
//! such a job and proposes its end, first of all when it takes over.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Ends kept at most; the oldest give way. A job is open for some seconds, so this is
/// far more than are open at once (target size: 5 trainers).
const MAX_ASKED: usize = 4_096;

/// Ends that were asked for, by job, with the time at which each was heard first.
#[derive(Debug, Default)]
pub struct AskedEnds {
    asked: BTreeMap<String, Time>,
}

impl AskedEnds {
    /// Takes note that the end of a job was asked for; whether that is new.
    pub fn ask(&mut self, now: Time, job: &str) -> bool {
        if self.asked.contains_key(job) {
            return false;
        }
        if self.asked.len() >= MAX_ASKED {
            self.drop_oldest();
        }
        self.asked.insert(job.to_string(), now);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.asked.iter().min_by_key(|(_, at)| **at);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            log::warn!("decision=drop-end job={job} reason=too-many limit={MAX_ASKED}");
            self.asked.remove(&job);
        }
    }

    /// Whether the end of a job was asked for.
    pub fn is_asked(&self, job: &str) -> bool {
        self.asked.contains_key(job)
    }

    /// The end of a job is committed.
    pub fn committed(&mut self, job: &str) {
        self.asked.remove(job);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.asked.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// Drops what is older than jobs are kept.
    pub fn forget(&mut self, now: Time, keep: Duration) {
        self.asked.retain(|_, at| now.since(*at) < keep);
    }
}
