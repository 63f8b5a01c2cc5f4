//! Detects nodes whose failure reports can't be trusted.
//!
//! A node with a bad network link sees many healthy engines fail. If nearly all of them do,
//! it suppresses its own reports; if only some do, other nodes contradict it by reporting
//! responses of the same engines.

use std::collections::{BTreeMap, BTreeSet};

/// Engines that a node must have tried before it may suspect its own link.
const MIN_TRIED_ENGINES: usize = 3;
/// Contradicted reports from which on a source may be unreliable. A single one may be an
/// engine that fails only some callers.
const MIN_CONTRADICTED_REPORTS: usize = 2;

/// A node's report that an engine failed.
#[derive(Clone, Copy, Debug)]
pub struct FailureReport<'a> {
    /// Name of the reporting node.
    pub source: &'a str,
    /// Whether the engine answered another node shortly after.
    pub is_contradicted: bool,
}

/// Whether more than two thirds of the engines tried are failing. The limit is above one
/// half because the loss of a zone can take down half of a service's engines.
pub fn suspects_local_link(failing: usize, tried: usize) -> bool {
    tried >= MIN_TRIED_ENGINES && failing * 3 > tried * 2
}

/// Sources of whose failure reports most are contradicted.
pub fn unreliable_sources<'a>(
    reports: impl Iterator<Item = FailureReport<'a>>,
) -> BTreeSet<String> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for report in reports {
        let (all, contradicted) = counts.entry(report.source).or_default();
        *all += 1;
        *contradicted += usize::from(report.is_contradicted);
    }
    let unreliable = counts.into_iter().filter(|(_, (all, contradicted))| {
        *contradicted >= MIN_CONTRADICTED_REPORTS && contradicted * 2 > *all
    });
    unreliable.map(|(source, _)| source.to_string()).collect()
}
