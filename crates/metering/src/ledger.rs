//! What the log says of usage; the same on every replica.
//!
//! There is no snapshot: a replica knows what the kept part of the log says. So the ledger
//! names the entry from which on the log must be kept: counts of open windows, decisions
//! without a report, the newest decision, and the last batch of each gateway that may
//! come again.

use peatgrade_schema::replication::{
    CountUsage, CountedBatch, DecideUsage, TenantCount, WindowCount,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// How long the last batch of a gateway is known: it may come again until it is
/// acknowledged, and messages are held up for seconds at most.
const KEEP_METER: Duration = Duration::from_secs(60);
/// Windows with counts that wait to be decided, the oldest giving way: 20 minutes of 5 s.
const MAX_OPEN: usize = 256;
/// The same for decided windows without a report.
const MAX_DECIDED: usize = 256;

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

/// What is to be reported of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct DecidedWindow {
    /// Requests by tenant.
    pub counts: Vec<TenantCount>,
    index: u64,
}

impl DecidedWindow {
    /// The same by name.
    pub(crate) fn by_tenant(&self) -> BTreeMap<String, u64> {
        let counts = self.counts.iter();
        counts
            .map(|count| (count.tenant.clone(), count.requests))
            .collect()
    }
}

/// A machine that had the duty to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The machine.
    pub name: String,
    /// The term in which it led, which was its fencing token.
    pub term: u64,
}

/// Counts by window, and what was decided of them.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    meters: BTreeMap<u64, LastBatch>,
    open: BTreeMap<u64, OpenWindow>,
    unreported: BTreeMap<u64, DecidedWindow>,
    /// The newest decided window, and the entry that decided it.
    last_decided: Option<(u64, u64)>,
    last_holder: Option<Holder>,
    late: u64,
}

impl UsageLedger {
    /// Takes batches of the entry `index`, each once.
    pub fn apply_batches(&mut self, now: Time, index: u64, counted: CountUsage) {
        for batch in counted.batches {
            if !self.is_counted(batch.meter, batch.sequence) {
                self.take_batch(now, index, batch);
            }
        }
    }

    /// Whether the log has a batch.
    pub fn is_counted(&self, meter: u64, sequence: u64) -> bool {
        let last = self.meters.get(&meter);
        last.is_some_and(|last| sequence <= last.sequence)
    }

    fn take_batch(&mut self, now: Time, index: u64, batch: CountedBatch) {
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
                self.late += count.requests;
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
        drop_oldest(&mut self.open, MAX_OPEN, "open");
    }

    /// Fixes what will be reported of a window, as the leader of `term` proposed. One that
    /// is decided stays as it is; only the holder of the duty may be another.
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
        // Older ones were passed over: nothing was counted there, or too long ago.
        self.open.retain(|open, _| *open > window);
        let decided = DecidedWindow {
            counts: decision.counts,
            index,
        };
        self.unreported.insert(window, decided);
        drop_oldest(&mut self.unreported, MAX_DECIDED, "decided");
    }

    /// A window needs no report any more.
    pub fn mark_reported(&mut self, window: u64) {
        self.unreported.remove(&window);
    }

    /// Requests counted in an open window, by tenant.
    pub fn counts(&self, window: u64) -> Vec<TenantCount> {
        let open = self.open.get(&window);
        let counts = open.into_iter().flat_map(|open| open.counts.iter());
        let counts = counts.map(|(tenant, requests)| TenantCount {
            tenant: tenant.clone(),
            requests: *requests,
        });
        counts.collect()
    }

    /// The oldest window in which something was counted and nothing decided.
    pub fn first_open_window(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    /// The newest decided window.
    pub fn last_decided(&self) -> Option<u64> {
        self.last_decided.map(|(window, _)| window)
    }

    /// The oldest decided window that was not reported.
    pub fn first_unreported(&self) -> Option<(u64, &DecidedWindow)> {
        let first = self.unreported.iter().next();
        first.map(|(window, decided)| (*window, decided))
    }

    /// All of them, the oldest first.
    pub fn unreported_windows(&self) -> impl Iterator<Item = (u64, &DecidedWindow)> {
        let unreported = self.unreported.iter();
        unreported.map(|(window, decided)| (*window, decided))
    }

    /// Whether a window is decided and was not reported.
    pub fn is_unreported(&self, window: u64) -> bool {
        self.unreported.contains_key(&window)
    }

    /// How many such windows there are.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }

    /// The machine that last was about to report.
    pub fn last_holder(&self) -> Option<&Holder> {
        self.last_holder.as_ref()
    }

    /// Requests that came after their window was decided.
    pub fn late_requests(&self) -> u64 {
        self.late
    }

    /// The log entry from which on the log must be kept; none if it needs nothing.
    pub fn first_needed_index(&mut self, now: Time) -> Option<u64> {
        self.meters
            .retain(|_, last| now.since(last.at) < KEEP_METER);
        let meters = self.meters.values().map(|last| last.index);
        let open = self.open.values().map(|open| open.first_index);
        let unreported = self.unreported.values().map(|decided| decided.index);
        let decided = self.last_decided.map(|(_, index)| index);
        meters.chain(open).chain(unreported).chain(decided).min()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn drop_oldest<Window>(windows: &mut BTreeMap<u64, Window>, most: usize, what: &str) {
    while windows.len() > most {
        let Some((window, _)) = windows.pop_first() else {
            return;
        };
        log::error!("decision=drop-usage window={window} reason=too-many-{what} limit={most}");
    }
}
