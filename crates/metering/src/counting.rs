//! Counts by tenant: from starts at a gateway, and as they stand in the log line of a
//! decision.

use peatgrade_schema::replication::{CountedBatch, TenantCount, UsageBatch, WindowCount};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::cluster_clock::ClusterClock;

/// Tenants named in one log line, so that it stays at a few KB.
const MAX_LISTED: usize = 128;

/// The windows in which the starts of a batch lie.
pub(crate) fn counted(time: &ClusterClock, window: Duration, batch: &UsageBatch) -> CountedBatch {
    let mut counts: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for start in &batch.starts {
        let began = time.time_of_day_at_remote(batch.meter, Time(start.at));
        let began = began.unwrap_or(batch.time_of_day);
        let key = (began / window.0.max(1), start.tenant.as_str());
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

/// Counts for a log line: `tenant:requests`, the busiest first if not all can be named.
pub(crate) fn listed(counts: &[TenantCount]) -> String {
    let mut counts: Vec<&TenantCount> = counts.iter().collect();
    if counts.len() > MAX_LISTED {
        counts.sort_by_key(|count| std::cmp::Reverse(count.requests));
    }
    let named = counts.iter().take(MAX_LISTED);
    let named = named.map(|count| format!("{}:{}", count.tenant, count.requests));
    let mut named: Vec<String> = named.collect();
    if counts.len() > MAX_LISTED {
        named.push(format!("and-{}-more", counts.len() - MAX_LISTED));
    }
    named.join(",")
}

#[cfg(test)]
#[path = "../tests/unit/counting.rs"]
mod tests;
