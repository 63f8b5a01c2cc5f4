//! What one machine has seen of one life of an engine.

use peatgrade_ports::{EngineLoad, Instance, StartedAt};
use peatgrade_types::{Duration, Time};

/// What one machine has seen of one life of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine: Instance,
    /// When that life began; none if the engine does not say.
    pub started: Option<StartedAt>,
    /// Name of the machine that saw it.
    pub source: String,
    /// When it was seen, by the clock of the machine that holds this.
    pub observed_at: Time,
    /// Nobody answers at its address, or another engine does.
    pub is_unreachable: bool,
    /// Failures in a row, and requests left unanswered since the last answer.
    pub failures: u32,
    /// Usual time of an answer; none before one was seen.
    pub mean_latency: Option<Duration>,
    /// Usual time between two events of a generation, in microseconds; none before a few
    /// were seen.
    pub event_interval_us: Option<f64>,
    /// What the engine said of its load; its slots are not told.
    pub load: Option<EngineLoad>,
}

impl Observation {
    /// Whether it speaks against sending a request there.
    pub fn indicates_failure(&self) -> bool {
        self.is_unreachable || self.failures > 0
    }
}

/// What is told first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// An engine fails, or is well again: a request sent there wrongly loses the time
    /// until another engine is tried.
    Failure,
    /// An engine is slower or fuller than it was: a request sent there waits longer.
    Load,
}
