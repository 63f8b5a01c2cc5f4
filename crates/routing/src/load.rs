//! What is known of each engine's load.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// A report older than this says nothing any more.
const STALE: Duration = Duration::from_secs(15);
/// An engine whose owner has not reached it for this long gets no new work: it may
/// have begun to leave just after its last report, and 6 s later nothing may reach it.
/// Half a second is for the request's way there.
pub const OWNER_SILENCE_LIMIT: Duration = Duration::from_millis(5_500);

/// One engine's own account of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Weight version in use, 0 if the engine has none.
    pub weight_version: u64,
    /// Whether the engine takes no new work.
    pub draining: bool,
    /// Share of the prefix cache in use, in thousandths.
    pub cache_used_permille: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    report: LoadReport,
    /// When the engine gave the report, by the local clock.
    measured: Option<Time>,
    /// Own requests now on the engine.
    own_in_flight: u32,
    /// Own requests sent since the report was measured.
    sent_since: u32,
}

/// Load of every engine, as late as it is.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    entries: BTreeMap<EngineId, Entry>,
}

impl LoadView {
    /// Takes in a report of age `age`; one older than the known is ignored.
    /// Returns whether it was news.
    pub fn update(
        &mut self,
        now: Time,
        engine: EngineId,
        report: LoadReport,
        age: Duration,
    ) -> bool {
        let measured = now - age;
        let entry = self.entries.entry(engine).or_default();
        if entry.measured.is_some_and(|known| known >= measured) {
            return false;
        }
        entry.report = report;
        entry.measured = Some(measured);
        entry.sent_since = 0;
        true
    }

    /// Counts a request of this node.
    pub fn record_sent(&mut self, engine: EngineId) {
        let entry = self.entries.entry(engine).or_default();
        entry.own_in_flight += 1;
        entry.sent_since += 1;
    }

    /// Counts the end of a request of this node.
    pub fn record_ended(&mut self, engine: EngineId) {
        if let Some(entry) = self.entries.get_mut(&engine) {
            entry.own_in_flight = entry.own_in_flight.saturating_sub(1);
            entry.sent_since = entry.sent_since.saturating_sub(1);
        }
    }

    /// Own requests now on an engine.
    pub fn own_in_flight(&self, engine: EngineId) -> u32 {
        self.entries
            .get(&engine)
            .map_or(0, |entry| entry.own_in_flight)
    }

    /// The latest report and its age, unless too old to count.
    pub fn latest(&self, now: Time, engine: EngineId) -> Option<(LoadReport, Duration)> {
        let entry = self.entries.get(&engine)?;
        let age = now.since(entry.measured?);
        (age < STALE).then_some((entry.report, age))
    }

    /// Requests expected on the engine now: those reported, plus own ones the
    /// report cannot have seen; at least the own ones in flight.
    pub fn expected_requests(&self, now: Time, engine: EngineId) -> u32 {
        let Some(entry) = self.entries.get(&engine) else {
            return 0;
        };
        let reported = self.latest(now, engine).map_or(0, |(report, _)| {
            report.waiting + report.running + entry.sent_since
        });
        reported.max(entry.own_in_flight)
    }

    /// Forgets engines that no longer exist.
    pub fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        self.entries
            .retain(|&engine, entry| keep(engine) || entry.own_in_flight > 0);
    }
}
