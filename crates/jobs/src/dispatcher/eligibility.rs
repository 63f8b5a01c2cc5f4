//! Which items the configuration allows to run, and on which service.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, Route, RouteKind};
use peatgrade_quarantine::Verdict;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{hash_bytes, Time};

use super::suspects::verdict_of;
use crate::item::OpenItem;

/// An item is given up after this multiple of the route's attempts was answered with status 500,
/// so that one randomly failing engine does not exhaust the attempts.
const ATTEMPTS_FACTOR: u32 = 2;
/// An item is long if its length hint is at least 5/2 of the median hint of its job.
const LONG_NUMERATOR: u64 = 5;
const LONG_DENOMINATOR: u64 = 2;

/// Returns the batch route of an item, if the configuration has one.
pub(super) fn batch_route<'a>(
    item: &OpenItem,
    configuration: &'a Configuration,
) -> Option<&'a Route> {
    let route = configuration.route(&item.spec.host, &item.item().path);
    route.filter(|route| route.kind == RouteKind::Batch)
}

/// Returns the reason for which a waiting item must be given up under this configuration, if there
/// is one. The decision is final only if the configuration is not outdated.
pub(super) fn give_up_reason(
    now: Time,
    item: &OpenItem,
    configuration: &Configuration,
    directory: &EngineDirectory,
) -> Option<&'static str> {
    let Some(route) = batch_route(item, configuration) else {
        return Some("route-gone");
    };
    let failures = item.failures.runs;
    if failures > 0 && failures >= route.max_attempts * ATTEMPTS_FACTOR {
        return Some("failed-every-time");
    }
    if now.since(item.known_since) < route.max_queue {
        return None;
    }
    Some(match verdict_of(item, directory) {
        Verdict::Convicted { .. } => "engines-crash-under-it",
        _ => "queue-limit",
    })
}

/// Selects the service of an item by the weights of the route. The choice depends only on the
/// item ID, so it is stable across polls and leaders.
pub(super) fn target_service<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut draw = hash_bytes(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if draw < u64::from(target.weight) {
            return Some(&target.service);
        }
        draw -= u64::from(target.weight);
    }
    route.targets.first().map(|target| target.service.as_str())
}

/// Smallest length hint with which an item of a job is expected to be long.
pub(super) fn long_threshold(spec: &AcceptJob) -> u64 {
    let mut hints: Vec<u64> = spec.items.iter().map(|item| item.length_hint).collect();
    hints.sort_unstable();
    let median = hints.get(hints.len() / 2).copied().unwrap_or(0);
    median * LONG_NUMERATOR / LONG_DENOMINATOR
}
