//! Ranks free engines for an item by the expected end of its text.
//!
//! A training step submits its items at once and completes with its longest texts. On
//! engines of different speeds, texts that end before those on any engine leave the slots
//! of fast engines to them.

use super::expected_end::Pace;

/// Relative discount on the expected duration on an engine that has the prompt cached, for
/// a text that may finish last in its job. Within the error of estimated paces.
const PROMPT_DISCOUNT: f64 = 0.08;
/// The discount for a text that ends in time anyway. Exceeds the slowdown of a full batch,
/// so that a group shares few engines.
const PROMPT_DISCOUNT_IN_TIME: f64 = 0.3;
/// An engine is fast if its pace is below this fraction of the median.
const FAST_PACE_RATIO: f64 = 0.8;

/// A service is heterogeneous if a fifth of its engines have a pace below this fraction of the
/// median. Where only a third of the engines is slow, the median may be a slow one for a while,
/// which gives a ratio of 0.78; heterogeneous services have 0.63.
const HETEROGENEOUS_PACE_RATIO: f64 = 0.7;

/// Slots of fast engines are reserved for long texts once less than this fraction of them is free.
/// While more are free, a short text on one of them delays no long text.
const SCARCE_FREE_RATIO: f64 = 0.5;

/// Policy by which engines are chosen for items and runs are moved.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ItemPlacement {
    /// The fastest free engine, preferring low load; runs move to any faster engine.
    #[default]
    RelativePace,
    /// By expected end, with slots of fast engines reserved for texts that may finish last.
    ExpectedEnd,
    /// As `ExpectedEnd`, and a run moves only if the move is worthwhile.
    PricedMoves,
    /// As `PricedMoves` for services with engines far faster than the median, otherwise as
    /// `RelativePace`.
    ByPaces,
}

impl ItemPlacement {
    /// Names of all policies in the settings.
    pub const NAMES: [&'static str; 4] =
        ["relative-pace", "expected-end", "priced-moves", "by-paces"];

    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "relative-pace" => Some(Self::RelativePace),
            "expected-end" => Some(Self::ExpectedEnd),
            "priced-moves" => Some(Self::PricedMoves),
            "by-paces" => Some(Self::ByPaces),
            _ => None,
        }
    }

    /// The policy for a service, depending on whether it has engines far faster than the
    /// median.
    pub fn for_service(self, has_fast_engines: bool) -> Self {
        match (self, has_fast_engines) {
            (Self::ByPaces, true) => Self::PricedMoves,
            (Self::ByPaces, false) => Self::RelativePace,
            _ => self,
        }
    }

    pub fn uses_expected_end(self) -> bool {
        matches!(self, Self::ExpectedEnd | Self::PricedMoves)
    }

    /// Whether a run moves only if the gain exceeds the cost.
    pub fn weighs_move_cost(self) -> bool {
        self == Self::PricedMoves
    }
}

/// Expected length of a text and end of its job.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TextForecast {
    /// Mean remaining events.
    pub mean_events: f64,
    /// Upper bound on the remaining events for nearly all such texts.
    pub upper_events: f64,
    /// Expected time until the end of its job; 0 if the text itself may determine that end.
    pub us_until_job_end: f64,
}

pub fn is_fast(pace: f64, median: f64) -> bool {
    pace < median * FAST_PACE_RATIO
}

/// Whether a service with this first quintile and median of paces is heterogeneous.
pub fn is_heterogeneous(quintile: f64, median: f64) -> bool {
    quintile < median * HETEROGENEOUS_PACE_RATIO
}

/// Whether so few slots of fast engines are free that they are reserved for long texts.
pub fn is_scarce(free: u32, total: u32) -> bool {
    f64::from(free) < f64::from(total) * SCARCE_FREE_RATIO
}

/// Rank of an engine for an item; the lowest is chosen.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Rank {
    /// Whether the text ends in time on the engine without taking a scarce slot.
    spares_fast_slot: bool,
    cost: f64,
}

impl Rank {
    pub fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        let sparing = other.spares_fast_slot.cmp(&self.spares_fast_slot);
        sparing.then(self.cost.total_cmp(&other.cost))
    }
}

impl TextForecast {
    /// Ranks an engine of this pace for the text. `is_scarce` marks a scarce slot of a fast
    /// engine.
    pub fn rank(&self, pace: Pace, is_scarce: bool, has_prompt_cached: bool) -> Rank {
        let is_in_time =
            pace.time_to_produce(self.upper_events, has_prompt_cached) <= self.us_until_job_end;
        let spares_fast_slot = is_in_time && !is_scarce;
        let discount = match (has_prompt_cached, is_in_time) {
            (false, _) => 0.0,
            (true, false) => PROMPT_DISCOUNT,
            (true, true) => PROMPT_DISCOUNT_IN_TIME,
        };
        Rank {
            spares_fast_slot,
            cost: pace.time_to_produce(self.mean_events, has_prompt_cached) * (1.0 - discount),
        }
    }

    /// Whether the text may end after the others of its job on an engine of this pace.
    pub fn may_finish_last(&self, pace: Pace) -> bool {
        self.upper_events * pace.current() > self.us_until_job_end
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/choice.rs"]
mod tests;
