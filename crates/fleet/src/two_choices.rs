//! Choice among engines that many machines know alike.
//!
//! Where all take the engine that looks best, what they were told makes them go there
//! together: 60 gateways that know of one free engine would send 60 requests to its few
//! places. Each draws two engines instead, the faster ones more often, and takes the
//! better of the two: an engine that looks twice as fast gets about four times the
//! requests, and none gets all.

use crate::outlook::Outlook;

/// Least expected time that counts, in microseconds: below it engines are equally fast, and
/// an untried one would be drawn by everybody.
const LEAST_EXPECTED: f64 = 2_000.0;

/// The place in `candidates` of the engine for a request; none if there is no candidate.
///
/// `draws` are two numbers of this machine's own generator in 0..1. Only those of the best
/// rank are drawn from: sound ones, else those that others doubt, else any. Where none is
/// sound, one that was avoided is still tried.
pub fn choose_of_two(candidates: &[Outlook], draws: [f64; 2]) -> Option<usize> {
    let best = candidates.iter().map(rank).min()?;
    let fit: Vec<usize> = (0..candidates.len())
        .filter(|index| rank(&candidates[*index]) == best)
        .collect();
    let expected = |index: usize| {
        let time = candidates[index].expected_answer().0 as f64;
        time.max(LEAST_EXPECTED)
    };
    let first = draw(&fit, expected, draws[0])?;
    let rest: Vec<usize> = fit.into_iter().filter(|index| *index != first).collect();
    let Some(second) = draw(&rest, expected, draws[1]) else {
        return Some(first);
    };
    Some(match expected(second) < expected(first) {
        true => second,
        false => first,
    })
}

/// Engines that others doubt are drawn from only where no other has a free place: waiting
/// for a place is shorter than the time that a silent engine costs.
fn rank(outlook: &Outlook) -> u8 {
    match (outlook.is_sound(), outlook.is_doubted) {
        (true, false) => 0,
        (true, true) => 1,
        (false, _) => 2,
    }
}

/// One of `fit`, each with a chance of one over its expected time.
fn draw(fit: &[usize], expected: impl Fn(usize) -> f64, draw: f64) -> Option<usize> {
    let total: f64 = fit.iter().map(|index| 1.0 / expected(*index)).sum();
    let mut left = draw * total;
    for index in fit {
        left -= 1.0 / expected(*index);
        if left < 0.0 {
            return Some(*index);
        }
    }
    fit.last().copied()
}
