//! Whether a job that is handed in can be of any use.
//!
//! A job that fitted and was refused costs a trainer its step, and one that was accepted
//! is kept. So only what certainly cannot be made is refused: when not even its first group
//! could be whole before its items may be given up, by the most favourable of what was
//! observed.

use peatgrade_types::Duration;

/// Shortest time after which a refused caller is asked to come back: a place falls free
/// and a step ends no faster.
const LEAST_RETRY: Duration = Duration::from_millis(200);

/// A job that is handed in, and what it would meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submission {
    /// Places of engines that may make its texts.
    pub places: u32,
    /// Expected work of runs under way, and of waiting items of a more urgent rank.
    pub work_ahead: Duration,
    /// Places that its tenant and rank have in any case.
    pub floor: u32,
    /// Expected work of its group with the least.
    pub group_work: Duration,
    /// Expected time of that group's longest text.
    pub longest: Duration,
    /// When its items may be given up, from now on.
    pub until_last: Duration,
    /// How far expectations were off, as a share of them.
    pub error: f64,
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

impl Submission {
    /// Expected time until one group of it is whole: once what goes before it is done, or
    /// in the places of its floor, whichever is sooner.
    fn first_group_after(&self) -> f64 {
        let shared = self.work_ahead.0 as f64 / f64::from(self.places);
        let alone = self.group_work.0 as f64 / f64::from(self.floor.max(1));
        let longest = self.longest.0 as f64;
        (shared + longest).min(alone.max(longest))
    }
}

/// Decides on a job. With no places it is taken: engines that restart are back before a
/// caller would be, and what waits for them is kept.
pub fn admit(submission: &Submission) -> Admission {
    if submission.places == 0 {
        return Admission::Accepted;
    }
    let expected = submission.first_group_after();
    let least = expected * (1.0 - submission.error).max(0.0);
    let until_last = submission.until_last.0 as f64;
    if least <= until_last {
        return Admission::Accepted;
    }
    // It fits again once what is ahead has shrunk by what it exceeds its time.
    let retry_after = Duration((expected - until_last) as u64).max(LEAST_RETRY);
    Admission::Refused { retry_after }
}
