//! From starts at a gateway to counts by window.

use peatgrade_schema::replication::{CountedBatch, TenantCount, UsageBatch, WindowCount};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::true_time::TrueTime;

/// The windows in which the starts of a batch lie.
pub(crate) fn counted(time: &TrueTime, window: Duration, batch: &UsageBatch) -> CountedBatch {
    let mut counts: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for start in &batch.starts {
        let began = time.at_machine(batch.meter, Time(start.at));
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
