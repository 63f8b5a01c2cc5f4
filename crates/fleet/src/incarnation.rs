//! Which life of an engine something is known of, and whether it is at its address.

use peatgrade_ports::StartedAt;
use peatgrade_types::{Duration, Time};

/// One life of an engine, as this machine counts them. What was begun in one life (a
/// request, an order, a question) says nothing of a later one, which has the same name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Incarnation(pub(crate) u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What is kept of a life that is over: whose fault its end was.
#[derive(Clone, Copy, Debug)]
pub struct PreviousIncarnation {
    /// When it began, if that was known.
    pub started: Option<StartedAt>,
    /// It had said that it would leave.
    pub left: bool,
}

/// How a start that was told compares with the one that is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartComparison {
    /// Nothing speaks against the life that is known.
    Same,
    /// The engine has started again since.
    Later,
    /// It was told of a life that is over.
    Earlier,
}

impl StartComparison {
    /// Compares what is known with what was told; who does not say is taken at the word
    /// of the other.
    pub fn compare(known: Option<StartedAt>, told: Option<StartedAt>) -> Self {
        match (known, told) {
            (Some(known), Some(told)) if told > known => StartComparison::Later,
            (Some(known), Some(told)) if told < known => StartComparison::Earlier,
            _ => StartComparison::Same,
        }
    }
}

/// What a misdirected answer says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Misdirection {
    /// The engine is there, and its weights are not those that were asked for.
    VersionMismatch,
    /// Nobody of that name is at the address.
    WrongEngine,
}

/// First pause after an engine was not found at its address, doubled each time: as long
/// as a new record takes to come by. A leader without it sent 139 items in 4 s to one
/// engine, each answered by a refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause: a false answer must not cost a good engine more.
const MAX_PAUSE: Duration = Duration::from_millis(8_000);
/// Doublings up to that.
const MAX_DOUBLINGS: u32 = 4;
/// How long the answer to a single try is waited for before the next one.
const TRY_PATIENCE: Duration = Duration::from_millis(1_000);

/// An engine that was not found at its address.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// No request goes there until then.
    until: Time,
    /// Times that it was not found.
    times: u32,
    /// A single try is under way.
    is_tried: bool,
}

impl Absence {
    /// It was not found for the first time.
    pub(crate) fn begin(now: Time) -> Self {
        Self {
            until: now + FIRST_PAUSE,
            times: 1,
            is_tried: false,
        }
    }

    /// It was not found again. Answers to requests that left before the pause count once.
    pub(crate) fn again(&mut self, now: Time) {
        if !self.is_tried && now < self.until {
            return;
        }
        let factor = 1_u64 << self.times.min(MAX_DOUBLINGS);
        self.times = self.times.saturating_add(1);
        self.is_tried = false;
        self.until = now + Duration((FIRST_PAUSE.0 * factor).min(MAX_PAUSE.0));
    }

    /// A request goes there: the only one for a while.
    pub(crate) fn tried(&mut self, now: Time) {
        self.is_tried = true;
        self.until = now + TRY_PATIENCE;
    }

    /// Whether nothing goes there now.
    pub(crate) fn holds(&self, now: Time) -> bool {
        now < self.until
    }
}
