//! Which of the engines that are free an item goes to, by when it would end there.
//!
//! The load that this answers: a step's texts come at once, on engines of which the
//! fastest makes nearly three times as many events a second as the slowest. The step is
//! whole with its longest texts. So a text that is sure to end before them, wherever it
//! runs, leaves the fast places to those that set the end.

use super::expected_end::Pace;

/// Engines whose expected ends differ by less than this share are alike for a text that
/// sets the end of its job: paces are not known any better, and the prompt that one of
/// them keeps decides.
const PROMPT_DISCOUNT: f64 = 0.08;
/// The same for a text that ends in time anyway: less than from one speed of engines to
/// the next, more than a full batch costs, so that its group shares few engines.
const PROMPT_DISCOUNT_IN_TIME: f64 = 0.3;
/// An engine is fast if its pace is less than this share of the median.
const FAST_PACE_RATIO: f64 = 0.8;

/// A service is uneven if a fifth of its engines have less than this share of the median
/// pace. Where engines are alike but for a slow third, the median may be a slow one for a
/// while: 39 of 50 ms an event, 0.78. Where they are uneven it was 0.63.
const HETEROGENEOUS_PACE_RATIO: f64 = 0.7;

/// Fast places are kept for long texts once less than this share of them is free. While
/// more are, none of them would stand empty for a long text that comes.
const SCARCE_FREE_RATIO: f64 = 0.5;

/// How engines are chosen for items, and when runs are moved.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ItemPlacement {
    /// The fastest free engine, a fuller one later; runs move wherever it is faster.
    #[default]
    RelativePace,
    /// By expected end, with fast places kept for texts that set the end of their job.
    ExpectedEnd,
    /// The same, and a run moves only where that pays.
    PricedMoves,
    /// As `PricedMoves` while some engines of the service are far faster than the median,
    /// as `RelativePace` while none are.
    ByPaces,
}

impl ItemPlacement {
    /// Names of all ways, as settings give them.
    pub const NAMES: [&'static str; 4] =
        ["relative-pace", "expected-end", "priced-moves", "by-paces"];

    /// The way of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "relative-pace" => Some(Self::RelativePace),
            "expected-end" => Some(Self::ExpectedEnd),
            "priced-moves" => Some(Self::PricedMoves),
            "by-paces" => Some(Self::ByPaces),
            _ => None,
        }
    }

    /// The way that fits a service of which some engines are far faster than the median,
    /// or none.
    pub fn for_service(self, has_fast_engines: bool) -> Self {
        match (self, has_fast_engines) {
            (Self::ByPaces, true) => Self::PricedMoves,
            (Self::ByPaces, false) => Self::RelativePace,
            _ => self,
        }
    }

    /// Whether engines are chosen by the expected end of a text.
    pub fn uses_expected_end(self) -> bool {
        matches!(self, Self::ExpectedEnd | Self::PricedMoves)
    }

    /// Whether a move must pay.
    pub fn weighs_move_cost(self) -> bool {
        self == Self::PricedMoves
    }
}

/// How long a text will run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TextForecast {
    /// Events still to come on average.
    pub mean_events: f64,
    /// Events still to come at most, for nearly all such texts.
    pub upper_events: f64,
    /// Time until its job is expected to end in any case, in microseconds; 0 if it is among
    /// the texts that set that end.
    pub us_until_job_end: f64,
}

/// Whether an engine counts as fast among engines of that median pace.
pub fn is_fast(pace: f64, median: f64) -> bool {
    pace < median * FAST_PACE_RATIO
}

/// Whether a service of which a fifth of the engines have at most one pace, and the median
/// the other, counts as uneven.
pub fn is_heterogeneous(fifth: f64, median: f64) -> bool {
    fifth < median * HETEROGENEOUS_PACE_RATIO
}

/// Whether so few places of fast engines are left that they are kept for long texts.
pub fn is_scarce(free: u32, all: u32) -> bool {
    f64::from(free) < f64::from(all) * SCARCE_FREE_RATIO
}

/// How well an engine suits an item: the least is the best.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Rank {
    /// The text is in time there without taking a fast place.
    spares_fast_slot: bool,
    cost: f64,
}

impl Rank {
    /// Order of two ranks.
    pub fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        let sparing = other.spares_fast_slot.cmp(&self.spares_fast_slot);
        sparing.then(self.cost.total_cmp(&other.cost))
    }
}

impl TextForecast {
    /// How well an engine of this pace suits a text of this length.
    pub fn rank(&self, pace: Pace, is_scarce: bool, has_prompt_cached: bool) -> Rank {
        let is_in_time =
            pace.time_to_produce(self.upper_events, has_prompt_cached) <= self.us_until_job_end;
        let spares_fast_slot = is_in_time && !is_scarce;
        let alike = match (has_prompt_cached, is_in_time) {
            (false, _) => 0.0,
            (true, false) => PROMPT_DISCOUNT,
            (true, true) => PROMPT_DISCOUNT_IN_TIME,
        };
        Rank {
            spares_fast_slot,
            cost: pace.time_to_produce(self.mean_events, has_prompt_cached) * (1.0 - alike),
        }
    }

    /// Whether a text may end after the others of its job where it runs now.
    pub fn may_finish_last(&self, pace: Pace) -> bool {
        self.upper_events * pace.current() > self.us_until_job_end
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/choice.rs"]
mod tests;
