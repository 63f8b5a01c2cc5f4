//! What one node has observed of one engine incarnation.

use peatgrade_ports::{EngineLoad, Instance, StartedAt};
use peatgrade_types::{Duration, Time};

/// What one node has observed of one engine incarnation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    pub engine: Instance,
    /// Start of the incarnation; `None` if the engine does not report it.
    pub started: Option<StartedAt>,
    /// Name of the observing node.
    pub source: String,
    /// Time of the observation on the local clock.
    pub observed_at: Time,
    /// Nothing answers at its address, or another engine does.
    pub is_unreachable: bool,
    /// Consecutive failures, and requests without a response since the last response.
    pub failures: u32,
    /// Mean response latency; `None` before the first response.
    pub mean_latency: Option<Duration>,
    /// Mean time between two events of a generation, in microseconds; `None` before enough
    /// events were received.
    pub event_interval_us: Option<f64>,
    /// Load that the engine reported; its slots are not sent.
    pub load: Option<EngineLoad>,
}

impl Observation {
    /// Whether requests should avoid the engine.
    pub fn indicates_failure(&self) -> bool {
        self.is_unreachable || self.failures > 0
    }
}

/// Sending priority, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// An engine fails or has recovered: requests sent to a failing engine have to be
    /// retried elsewhere.
    Failure,
    /// An engine's latency or load changed: requests sent to it may wait longer.
    Load,
}
