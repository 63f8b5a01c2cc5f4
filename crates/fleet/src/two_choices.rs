//! Choice among engines that many machines know alike.
//!
//! Where all take the engine that looks best, what they were told makes them go there
//! together: 60 gateways that know of one free engine would send 60 requests to its few
//! places. Each draws two engines instead, the faster ones more often, and takes the
//! better of the two: a faster engine gets more requests, and none gets all.

use peatgrade_types::Duration;

use crate::engine_snapshot::EngineSnapshot;

/// Least expected time that counts: below it engines are equally fast, and an untried one
/// would be drawn by everybody.
const LEAST_EXPECTED: Duration = Duration::from_millis(2);

/// An engine that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedCandidate {
    rank: Rank,
    /// Microseconds until the answer, with whatever else counts as time.
    expected: f64,
}

/// How much speaks against an engine. The others are left out while there is a better one,
/// also where it is full: a silent engine costs more than a wait for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Sound,
    Doubted,
    Unproven,
    Avoided,
}

impl WeightedCandidate {
    /// An engine as it stands, and the microseconds that an answer counts as taking.
    pub fn new(outlook: &EngineSnapshot, expected: f64) -> Self {
        let rank = match (outlook.is_healthy(), outlook.is_suspect) {
            (true, false) => Rank::Sound,
            (true, true) => Rank::Doubted,
            (false, _) => Rank::Avoided,
        };
        Self { rank, expected }
    }

    /// The same, after all others that are not avoided if nothing shows that it listens.
    pub fn unverified(self, is_unproven: bool) -> Self {
        let least = if is_unproven {
            Rank::Unproven
        } else {
            Rank::Sound
        };
        Self {
            rank: self.rank.max(least),
            ..self
        }
    }

    /// Chance to be drawn, relative to others: an engine twice as fast is drawn twice as
    /// often, and is the better of most pairs besides. So one free engine among ten gets 27
    /// of 60 requests (counted in a test); with the square of that it got 43.
    fn weight(&self) -> f64 {
        self.expected.max(LEAST_EXPECTED.0 as f64).recip()
    }
}

/// The place in `candidates` of the engine for a request; none if there is no candidate.
///
/// `draws` are two numbers of this machine's own generator in 0..1. Only engines of the
/// best rank are drawn from; where none is sound, one that is avoided is still tried.
pub fn choose_best_of_two(candidates: &[WeightedCandidate], draws: [f64; 2]) -> Option<usize> {
    let best = candidates.iter().map(|engine| engine.rank).min()?;
    let indices = 0..candidates.len();
    let fit: Vec<usize> = indices
        .filter(|index| candidates[*index].rank == best)
        .collect();
    let first = draw(candidates, &fit, draws[0])?;
    let rest: Vec<usize> = fit.into_iter().filter(|index| *index != first).collect();
    let Some(second) = draw(candidates, &rest, draws[1]) else {
        return Some(first);
    };
    let is_better = candidates[second].expected < candidates[first].expected;
    Some(if is_better { second } else { first })
}

fn draw(candidates: &[WeightedCandidate], fit: &[usize], draw: f64) -> Option<usize> {
    let total: f64 = fit.iter().map(|index| candidates[*index].weight()).sum();
    let mut left = draw * total;
    for index in fit {
        left -= candidates[*index].weight();
        if left < 0.0 {
            return Some(*index);
        }
    }
    fit.last().copied()
}
