//! Whose reports of failures count.
//!
//! A machine with a bad link sees many engines fail at once, none of which is at fault.
//! It holds its tongue where it can tell; where only some engines are behind the bad link,
//! others see those same engines answer and say so.

use std::collections::{BTreeMap, BTreeSet};

/// Engines that a machine must have tried before it may suspect its own link.
const LEAST_TRIED: usize = 3;
/// Reports of a machine that others must have refuted before it is not believed: one may
/// be an engine that fails some callers only.
const LEAST_REFUTED: usize = 2;

/// A report of a failure.
#[derive(Clone, Copy, Debug)]
pub struct FailureReport<'a> {
    /// The machine that made it.
    pub source: &'a str,
    /// Whether the engine answered another machine right after.
    pub is_contradicted: bool,
}

/// Whether a machine that sees so many of the engines that it tried fail had better
/// suspect its own link: more than two thirds. Half of the engines of a service may truly
/// be lost with a zone.
pub fn suspects_local_link(failing: usize, tried: usize) -> bool {
    tried >= LEAST_TRIED && failing * 3 > tried * 2
}

/// Machines whose reports of failures do not count just now: others refuted most of them.
pub fn unreliable_sources<'a>(
    accusations: impl Iterator<Item = FailureReport<'a>>,
) -> BTreeSet<String> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for accusation in accusations {
        let (all, refuted) = counts.entry(accusation.source).or_default();
        *all += 1;
        *refuted += usize::from(accusation.is_contradicted);
    }
    let bad = counts
        .into_iter()
        .filter(|(_, (all, refuted))| *refuted >= LEAST_REFUTED && refuted * 2 > *all);
    bad.map(|(source, _)| source.to_string()).collect()
}
