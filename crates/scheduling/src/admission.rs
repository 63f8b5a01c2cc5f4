//! Admission control for submitted jobs.
//!
//! A job is refused only if not even its first group could complete before the job expires,
//! under the most optimistic estimate. Wrongly refusing a job costs its trainer a step.

use peatgrade_types::Duration;

/// Lower bound of the retry delay that is returned with a refusal. No slot becomes free and no step
/// ends sooner.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A submitted job and the load it would compete with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Slots of the engines that may run its items.
    pub slots: u32,
    /// Expected work of active runs and of waiting items with a more urgent priority.
    pub work_ahead: Duration,
    /// Slots that are guaranteed to its flow.
    pub guaranteed_slots: u32,
    /// Expected work of the group with the least work.
    pub smallest_group_work: Duration,
    /// Expected duration of the longest item in that group.
    pub longest_item: Duration,
    /// Time from now until its items expire.
    pub time_limit: Duration,
    /// Mean error of past estimates, relative to the estimated values.
    pub relative_error: f64,
}

/// The admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accepted,
    /// No group of the job could complete before it expires.
    Refused {
        /// Time after which the job may be accepted.
        retry_after: Duration,
    },
}

impl AdmissionRequest {
    /// Expected microseconds until the first group completes: either after all work ahead of
    /// it, or in the guaranteed slots alone, whichever is sooner.
    fn first_group_time(&self) -> f64 {
        let shared = self.work_ahead.0 as f64 / f64::from(self.slots);
        let alone = self.smallest_group_work.0 as f64 / f64::from(self.guaranteed_slots.max(1));
        let longest = self.longest_item.0 as f64;
        (shared + longest).min(alone.max(longest))
    }
}

/// Decides whether a job is accepted. Without any slot it is accepted, because restarting
/// engines usually return before the caller would retry.
pub fn admit(request: &AdmissionRequest) -> Admission {
    if request.slots == 0 {
        return Admission::Accepted;
    }
    let expected = request.first_group_time();
    let earliest = expected * (1.0 - request.relative_error).max(0.0);
    let time_limit = request.time_limit.0 as f64;
    if earliest <= time_limit {
        return Admission::Accepted;
    }
    // The job fits once the work ahead has shrunk by the excess.
    let retry_after = Duration((expected - time_limit) as u64).max(MIN_RETRY_AFTER);
    Admission::Refused { retry_after }
}
