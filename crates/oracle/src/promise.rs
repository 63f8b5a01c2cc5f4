//! The promises and what breaks them.

use peatgrade_types::Time;
use serde::Serialize;

/// One of the nine promises of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Promise {
    /// Every sample names the weight versions that truly produced it.
    Provenance,
    /// No sample delivered is older than the tenant's bound.
    Staleness,
    /// Every sample reaches its trainer exactly once.
    ExactlyOnce,
    /// Every caller receives the whole answer to its own request.
    WholeAnswer,
    /// What is refused as not run did not run.
    NotRun,
    /// What must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end receives no new work after a few seconds.
    LeavingEngine,
    /// A planned stop cuts off no request in flight.
    PlannedStop,
    /// An accepted configuration is in force within seconds and never reverts.
    Configuration,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// When it was seen.
    pub at: Time,
    /// Which promise.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = self.at.0 as f64 / 1e6;
        write!(formatter, "{seconds:.3}s {:?}: {}", self.promise, self.what)
    }
}
