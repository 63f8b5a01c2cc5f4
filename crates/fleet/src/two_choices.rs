//! Weighted power of two choices.
//!
//! If all nodes sent requests to the engine with the best reported load, they would overload
//! it together. Instead, each draws two engines at random, faster ones with a higher
//! probability, and takes the better of the two.

use peatgrade_types::Duration;

use crate::engine_snapshot::EngineSnapshot;

/// Lower bound of the expected latency in weights, so that untried engines are not drawn by
/// all nodes.
const MIN_EXPECTED_LATENCY: Duration = Duration::from_millis(2);

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedCandidate {
    rank: Rank,
    expected_us: f64,
}

/// Preference class, best first. Lower classes are used only if no better one has a candidate,
/// even if those of the better one are full: a hanging engine costs more than queueing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Healthy,
    Suspect,
    Unverified,
    Avoided,
}

impl WeightedCandidate {
    /// `expected_us` is the expected latency in microseconds, including any penalties.
    pub fn new(engine: &EngineSnapshot, expected_us: f64) -> Self {
        let rank = match (engine.is_healthy(), engine.is_suspect) {
            (true, false) => Rank::Healthy,
            (true, true) => Rank::Suspect,
            (false, _) => Rank::Avoided,
        };
        Self { rank, expected_us }
    }

    /// Ranks the candidate below healthy and suspect ones if it is not known to be listening.
    pub fn unverified(self, is_unverified: bool) -> Self {
        let limit = if is_unverified {
            Rank::Unverified
        } else {
            Rank::Healthy
        };
        Self {
            rank: self.rank.max(limit),
            ..self
        }
    }

    /// Relative probability of being drawn: an engine twice as fast is drawn twice as often. A
    /// steeper weight would concentrate requests on few engines, since the faster one of each
    /// pair is chosen besides.
    fn weight(&self) -> f64 {
        self.expected_us.max(MIN_EXPECTED_LATENCY.0 as f64).recip()
    }
}

/// Index of the chosen candidate; `None` if there is none.
///
/// `draws` are two random numbers in `0..1`. Only candidates of the best rank are drawn, so
/// an avoided engine is still tried if there is no other.
pub fn choose_best_of_two(candidates: &[WeightedCandidate], draws: [f64; 2]) -> Option<usize> {
    let best = candidates.iter().map(|engine| engine.rank).min()?;
    let indices = 0..candidates.len();
    let eligible: Vec<usize> = indices
        .filter(|index| candidates[*index].rank == best)
        .collect();
    let first = draw_weighted(candidates, &eligible, draws[0])?;
    let rest: Vec<usize> = eligible
        .into_iter()
        .filter(|index| *index != first)
        .collect();
    let Some(second) = draw_weighted(candidates, &rest, draws[1]) else {
        return Some(first);
    };
    let is_better = candidates[second].expected_us < candidates[first].expected_us;
    Some(if is_better { second } else { first })
}

fn draw_weighted(
    candidates: &[WeightedCandidate],
    eligible: &[usize],
    random: f64,
) -> Option<usize> {
    let total: f64 = eligible
        .iter()
        .map(|index| candidates[*index].weight())
        .sum();
    let mut remaining = random * total;
    for index in eligible {
        remaining -= candidates[*index].weight();
        if remaining < 0.0 {
            return Some(*index);
        }
    }
    eligible.last().copied()
}
