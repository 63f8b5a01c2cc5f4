//! Whether a job that is handed in can be of any use.
//!
//! A job that fitted and was refused costs a trainer its step, and one that was accepted
//! is kept. So only what certainly cannot be made is refused: when not even its first group
//! could be whole before its items may be given up, by the most favourable of what was
//! observed.

use peatgrade_types::Duration;

/// Shortest time after which a refused caller is asked to come back: a place falls free
/// and a step ends no faster.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A job that is handed in, and what it would meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Places of engines that may make its texts.
    pub slots: u32,
    /// Expected work of runs under way, and of waiting items of a more urgent rank.
    pub work_ahead: Duration,
    /// Places that its tenant and rank have in any case.
    pub guaranteed_slots: u32,
    /// Expected work of its group with the least.
    pub smallest_group_work: Duration,
    /// Expected time of that group's longest text.
    pub longest_item: Duration,
    /// When its items may be given up, from now on.
    pub time_limit: Duration,
    /// How far expectations were off, as a share of them.
    pub relative_error: f64,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Accepted,
    /// No group of it could be whole; there may be room after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

impl AdmissionRequest {
    /// Expected time until one group of it is whole: once what goes before it is done, or
    /// in the places of its floor, whichever is sooner.
    fn first_group_time(&self) -> f64 {
        let shared = self.work_ahead.0 as f64 / f64::from(self.slots);
        let alone = self.smallest_group_work.0 as f64 / f64::from(self.guaranteed_slots.max(1));
        let longest = self.longest_item.0 as f64;
        (shared + longest).min(alone.max(longest))
    }
}

/// Decides on a job. With no places it is taken: engines that restart are back before a
/// caller would be, and what waits for them is kept.
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
    // It fits again once what is ahead has shrunk by what it exceeds its time.
    let retry_after = Duration((expected - time_limit) as u64).max(MIN_RETRY_AFTER);
    Admission::Refused { retry_after }
}
