//! What this machine takes for true of an engine just now. Lookups, reward calls and
//! items all choose an engine by it, so that they agree on which one is free or slow.

use peatgrade_types::{Duration, Time};

use crate::directory::EngineState;

/// Usual time of an answer of an engine that none was seen of: an untried engine counts
/// as fast, so that it is tried.
const UNTRIED_ANSWER: Duration = Duration::from_millis(1);

/// An engine as it stands just now, as far as this machine knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Whether anybody answers there under its name.
    pub is_reachable: bool,
    /// Whether it is left alone for a while after a failure or a refusal.
    pub is_avoided: bool,
    /// Requests that run or wait there.
    pub occupied: u32,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// How much longer work takes there just now than usual; 1 if it does not say.
    pub slowdown: f64,
    /// Usual time of an answer; none before one was seen.
    pub usual_answer: Option<Duration>,
    /// Usual time between two events of a generation, in microseconds; none before a few
    /// were seen.
    pub pace: Option<f64>,
}

impl Outlook {
    /// Whether nothing speaks against it.
    pub fn is_sound(&self) -> bool {
        self.is_reachable && !self.is_avoided
    }

    /// Places that are free now.
    pub fn free_places(&self) -> u32 {
        self.slots.saturating_sub(self.occupied)
    }

    /// Time until one more request would have its answer: what is ahead of it beyond the
    /// free places, and its own work at the pace just now.
    pub fn expected_answer(&self) -> Duration {
        let usual = self.usual_answer.unwrap_or(UNTRIED_ANSWER).0 as f64 * self.slowdown;
        let rounds = f64::from(self.occupied + 1) / f64::from(self.slots);
        Duration((usual * rounds.max(1.0)) as u64)
    }
}

impl EngineState {
    /// The engine as it stands now.
    pub fn outlook(&self, now: Time) -> Outlook {
        let experience = &self.experience;
        let slowdown = experience
            .told_load(now)
            .and_then(|load| load.slowdown_percent)
            .map_or(1.0, |percent| f64::from(percent) / 100.0);
        let answer = Some(experience.latency as u64).filter(|latency| *latency > 0);
        Outlook {
            is_reachable: !experience.is_unreachable && !self.is_absent(now),
            is_avoided: experience.blocked(now),
            occupied: experience.occupied(now),
            slots: self.record.slots.max(1),
            slowdown,
            usual_answer: answer.map(Duration),
            pace: experience.pace(),
        }
    }
}
