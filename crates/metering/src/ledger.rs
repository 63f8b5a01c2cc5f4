//! Replicated state machine of usage counts and window decisions.
//!
//! The ledger is not part of a snapshot: a replica rebuilds it from the retained part of
//! the log. It therefore determines the first entry that must be retained: counts of open
//! windows, decisions without a report, the latest decision, and the last batch of each
//! gateway that may be resent.

use peatgrade_schema::replication::{
    CountUsage, CountedBatch, DecideUsage, TenantCount, WindowCount,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Time for which the last batch of a meter is remembered to deduplicate resent batches.
const METER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of undecided windows with counts; the oldest is dropped first.
const MAX_OPEN_WINDOWS: usize = 256;
/// Maximum number of decided windows without a report; the oldest is dropped first.
const MAX_UNREPORTED_WINDOWS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct LastBatch {
    sequence: u64,
    index: u64,
    at: Time,
}

#[derive(Clone, Debug, Default)]
struct OpenWindow {
    first_index: u64,
    counts: BTreeMap<String, u64>,
}

/// Report contents of a decided window.
#[derive(Clone, Debug, PartialEq)]
pub struct DecidedWindow {
    /// Number of requests of each tenant.
    pub counts: Vec<TenantCount>,
    index: u64,
}

impl DecidedWindow {
    /// The counts keyed by tenant name.
    pub(crate) fn by_tenant(&self) -> BTreeMap<String, u64> {
        let counts = self.counts.iter();
        counts
            .map(|count| (count.tenant.clone(), count.requests))
            .collect()
    }
}

/// A machine that was the reporter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the machine.
    pub name: String,
    /// Term in which it was leader; also its fencing token.
    pub term: u64,
}

/// Counts of open windows, decided windows and the current reporter.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    meters: BTreeMap<u64, LastBatch>,
    open: BTreeMap<u64, OpenWindow>,
    unreported: BTreeMap<u64, DecidedWindow>,
    /// The latest decided window and the index of the entry that decided it.
    last_decided: Option<(u64, u64)>,
    last_holder: Option<Holder>,
    late_requests: u64,
}

impl UsageLedger {
    /// Applies the batches of log entry `index`. A batch that was already applied is ignored.
    pub fn apply_batches(&mut self, now: Time, index: u64, counted: CountUsage) {
        for batch in counted.batches {
            if !self.is_counted(batch.meter, batch.sequence) {
                self.apply_batch(now, index, batch);
            }
        }
    }

    /// Whether a batch has been applied.
    pub fn is_counted(&self, meter: u64, sequence: u64) -> bool {
        let last = self.meters.get(&meter);
        last.is_some_and(|last| sequence <= last.sequence)
    }

    fn apply_batch(&mut self, now: Time, index: u64, batch: CountedBatch) {
        let last = LastBatch {
            sequence: batch.sequence,
            index,
            at: now,
        };
        self.meters.insert(batch.meter, last);
        for WindowCount { window, count } in batch.counts {
            let Some(count) = count else {
                continue;
            };
            if self.last_decided.is_some_and(|(last, _)| window <= last) {
                self.late_requests += count.requests;
                log::warn!(
                    "decision=drop-usage window={window} tenant={} requests={} reason=window-decided",
                    count.tenant,
                    count.requests
                );
                continue;
            }
            let open = self.open.entry(window).or_insert_with(|| OpenWindow {
                first_index: index,
                ..OpenWindow::default()
            });
            *open.counts.entry(count.tenant).or_default() += count.requests;
        }
        drop_oldest(&mut self.open, MAX_OPEN_WINDOWS, "open");
    }

    /// Applies a decision on the report contents of a window, proposed by the leader of
    /// `term`. A decided window never changes; a repeated decision only changes the holder.
    pub fn apply_decision(&mut self, index: u64, term: u64, decision: DecideUsage) {
        self.last_holder = Some(Holder {
            name: decision.holder,
            term,
        });
        let window = decision.window;
        if self.last_decided.is_some_and(|(last, _)| window <= last) {
            return;
        }
        self.last_decided = Some((window, index));
        // Older open windows were skipped because they were empty or too old.
        self.open.retain(|open, _| *open > window);
        let decided = DecidedWindow {
            counts: decision.counts,
            index,
        };
        self.unreported.insert(window, decided);
        drop_oldest(&mut self.unreported, MAX_UNREPORTED_WINDOWS, "decided");
    }

    /// Marks a window as reported or given up.
    pub fn mark_reported(&mut self, window: u64) {
        self.unreported.remove(&window);
    }

    /// Number of requests of each tenant in an open window.
    pub fn counts(&self, window: u64) -> Vec<TenantCount> {
        let open = self.open.get(&window);
        let counts = open.into_iter().flat_map(|open| open.counts.iter());
        let counts = counts.map(|(tenant, requests)| TenantCount {
            tenant: tenant.clone(),
            requests: *requests,
        });
        counts.collect()
    }

    /// The oldest undecided window with counts.
    pub fn first_open_window(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    /// The latest decided window.
    pub fn last_decided(&self) -> Option<u64> {
        self.last_decided.map(|(window, _)| window)
    }

    /// The oldest decided window without a report.
    pub fn first_unreported(&self) -> Option<(u64, &DecidedWindow)> {
        let first = self.unreported.iter().next();
        first.map(|(window, decided)| (*window, decided))
    }

    /// All decided windows without a report, oldest first.
    pub fn unreported_windows(&self) -> impl Iterator<Item = (u64, &DecidedWindow)> {
        let unreported = self.unreported.iter();
        unreported.map(|(window, decided)| (*window, decided))
    }

    /// Whether a window is decided but has no report.
    pub fn is_unreported(&self, window: u64) -> bool {
        self.unreported.contains_key(&window)
    }

    /// Number of decided windows without a report.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }

    /// The most recent reporter according to the log.
    pub fn last_holder(&self) -> Option<&Holder> {
        self.last_holder.as_ref()
    }

    /// Number of requests dropped because their window was already decided.
    pub fn late_requests(&self) -> u64 {
        self.late_requests
    }

    /// Index of the first log entry that must be retained; `None` if none is needed.
    pub fn first_needed_index(&mut self, now: Time) -> Option<u64> {
        self.meters
            .retain(|_, last| now.since(last.at) < METER_RETENTION);
        let meters = self.meters.values().map(|last| last.index);
        let open = self.open.values().map(|open| open.first_index);
        let unreported = self.unreported.values().map(|decided| decided.index);
        let decided = self.last_decided.map(|(_, index)| index);
        meters.chain(open).chain(unreported).chain(decided).min()
    }

    /// Resets the ledger to its initial state.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn drop_oldest<Window>(windows: &mut BTreeMap<u64, Window>, limit: usize, what: &str) {
    while windows.len() > limit {
        let Some((window, _)) = windows.pop_first() else {
            return;
        };
        log::error!("decision=drop-usage window={window} reason=too-many-{what} limit={limit}");
    }
}
