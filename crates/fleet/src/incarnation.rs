//! Incarnations of engines, and whether an engine is at its address.

use peatgrade_ports::StartedAt;
use peatgrade_types::{Duration, Time};

/// One run of an engine from start to exit, numbered locally. The outcome of a request, an
/// order or a report request sent to one incarnation is not applied to a later one of the
/// same name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Incarnation(pub(crate) u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The incarnation before the current one, kept to tell a crash from a planned exit.
#[derive(Clone, Copy, Debug)]
pub struct PreviousIncarnation {
    /// Start of the incarnation, if known.
    pub started: Option<StartedAt>,
    /// Whether it had announced its exit, which is then no crash.
    pub was_draining: bool,
}

/// How a reported start time compares with the known one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartComparison {
    /// Both are the same, or one is unknown.
    Same,
    /// The engine has restarted.
    Later,
    /// The report is about an incarnation that has ended.
    Earlier,
}

impl StartComparison {
    pub fn compare(known: Option<StartedAt>, reported: Option<StartedAt>) -> Self {
        match (known, reported) {
            (Some(known), Some(reported)) if reported > known => StartComparison::Later,
            (Some(known), Some(reported)) if reported < known => StartComparison::Earlier,
            _ => StartComparison::Same,
        }
    }
}

/// Meaning of a response that says the request was misdirected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Misdirection {
    /// The engine does not hold the requested weight version.
    VersionMismatch,
    /// The engine is not at this address.
    WrongEngine,
}

/// Initial pause after an engine was not found at its address, doubled each time. An updated record
/// usually arrives within it. Without the pause, a leader sends dozens of items per second to the
/// engine, each of which is refused.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; bounds the cost of a wrong response for a healthy engine.
const MAX_PAUSE: Duration = Duration::from_millis(8_000);
const MAX_DOUBLINGS: u32 = 4;
/// Time to wait for the response to a probe request before the next one is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Backoff of an engine that was not found at its address.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// No request is sent there before this time.
    until: Time,
    /// Number of times that it was not found.
    misses: u32,
    /// A probe request is in flight.
    is_probing: bool,
}

impl Absence {
    /// Starts the backoff when the engine is not found for the first time.
    pub(crate) fn begin(now: Time) -> Self {
        Self {
            until: now + INITIAL_PAUSE,
            misses: 1,
            is_probing: false,
        }
    }

    /// Extends the backoff when the engine is not found again. Responses to requests that were
    /// sent before the pause are ignored.
    pub(crate) fn record_miss(&mut self, now: Time) {
        if !self.is_probing && now < self.until {
            return;
        }
        let factor = 1_u64 << self.misses.min(MAX_DOUBLINGS);
        self.misses = self.misses.saturating_add(1);
        self.is_probing = false;
        self.until = now + Duration((INITIAL_PAUSE.0 * factor).min(MAX_PAUSE.0));
    }

    /// Records a request as the probe; no other is sent until it is answered or times out.
    pub(crate) fn begin_probe(&mut self, now: Time) {
        self.is_probing = true;
        self.until = now + PROBE_TIMEOUT;
    }

    /// Whether requests must not be sent there now.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        now < self.until
    }
}
