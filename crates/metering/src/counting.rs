//! Aggregation of request starts into counts, and formatting of counts for log lines.

use peatgrade_schema::replication::{CountedBatch, TenantCount, UsageBatch, WindowCount};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::cluster_clock::ClusterClock;

/// Maximum number of tenants in one log line.
const MAX_LOGGED_TENANTS: usize = 128;

/// Aggregates the starts of a batch by window and tenant.
pub(crate) fn aggregate_batch(
    clock: &ClusterClock,
    window: Duration,
    batch: &UsageBatch,
) -> CountedBatch {
    let mut counts: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for start in &batch.starts {
        let started = clock.time_of_day_at_remote(batch.meter, Time(start.at));
        let started = started.unwrap_or(batch.time_of_day);
        let key = (started / window.0.max(1), start.tenant.as_str());
        *counts.entry(key).or_default() += 1;
    }
    let counts = counts.into_iter().map(|((window, tenant), requests)| {
        let count = TenantCount {
            tenant: tenant.to_string(),
            requests,
        };
        WindowCount {
            window,
            count: Some(count),
        }
    });
    CountedBatch {
        meter: batch.meter,
        sequence: batch.sequence,
        counts: counts.collect(),
    }
}

/// Formats counts as `tenant:requests`, separated by commas. If there are too many, only
/// the tenants with the most requests are included.
pub(crate) fn format_counts(counts: &[TenantCount]) -> String {
    let mut counts: Vec<&TenantCount> = counts.iter().collect();
    if counts.len() > MAX_LOGGED_TENANTS {
        counts.sort_by_key(|count| std::cmp::Reverse(count.requests));
    }
    let shown = counts.iter().take(MAX_LOGGED_TENANTS);
    let shown = shown.map(|count| format!("{}:{}", count.tenant, count.requests));
    let mut shown: Vec<String> = shown.collect();
    if counts.len() > MAX_LOGGED_TENANTS {
        shown.push(format!("and-{}-more", counts.len() - MAX_LOGGED_TENANTS));
    }
    shown.join(",")
}

#[cfg(test)]
#[path = "../tests/unit/counting.rs"]
mod tests;
