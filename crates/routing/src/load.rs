//! Load of each engine, from reports and from the node's own requests.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// Age at which a load report is discarded.
const REPORT_TTL: Duration = Duration::from_secs(15);
/// Maximum age of the last report for an engine to get new work. An engine must not receive
/// requests later than 6 s after it started draining, which may be just after its last report;
/// the difference covers the transmission of the request.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(5_500);

/// A load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Weight version in use, 0 if the engine has none.
    pub weight_version: u64,
    /// Whether the engine accepts no new work.
    pub draining: bool,
    /// Used fraction of the prefix cache, in thousandths.
    pub cache_used_permille: u32,
}

#[derive(Clone, Debug, Default)]
struct EngineLoad {
    report: LoadReport,
    /// When the engine made the report, by the local clock.
    measured_at: Option<Time>,
    /// In-flight requests of this node on the engine.
    own_in_flight: u32,
    /// Requests of this node sent since the report was made.
    sent_since_report: u32,
}

/// The latest known load of every engine.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    engines: BTreeMap<EngineId, EngineLoad>,
}

impl LoadView {
    /// Stores a report of age `age` and returns whether it is newer than the known one.
    pub fn update(
        &mut self,
        now: Time,
        engine: EngineId,
        report: LoadReport,
        age: Duration,
    ) -> bool {
        let measured_at = now - age;
        let entry = self.engines.entry(engine).or_default();
        if entry.measured_at.is_some_and(|known| known >= measured_at) {
            return false;
        }
        entry.report = report;
        entry.measured_at = Some(measured_at);
        entry.sent_since_report = 0;
        true
    }

    /// Records that this node sent a request to an engine.
    pub fn record_sent(&mut self, engine: EngineId) {
        let entry = self.engines.entry(engine).or_default();
        entry.own_in_flight += 1;
        entry.sent_since_report += 1;
    }

    /// Records the end of a request of this node.
    pub fn record_ended(&mut self, engine: EngineId) {
        if let Some(entry) = self.engines.get_mut(&engine) {
            entry.own_in_flight = entry.own_in_flight.saturating_sub(1);
            entry.sent_since_report = entry.sent_since_report.saturating_sub(1);
        }
    }

    /// Number of in-flight requests of this node on an engine.
    pub fn own_in_flight(&self, engine: EngineId) -> u32 {
        self.engines
            .get(&engine)
            .map_or(0, |entry| entry.own_in_flight)
    }

    /// The latest report and its age, unless it has expired.
    pub fn latest(&self, now: Time, engine: EngineId) -> Option<(LoadReport, Duration)> {
        let entry = self.engines.get(&engine)?;
        let age = now.since(entry.measured_at?);
        (age < REPORT_TTL).then_some((entry.report, age))
    }

    /// Estimated number of requests on an engine: those reported plus this node's requests since
    /// the report, and at least this node's in-flight requests.
    pub fn expected_requests(&self, now: Time, engine: EngineId) -> u32 {
        let Some(entry) = self.engines.get(&engine) else {
            return 0;
        };
        let reported = self.latest(now, engine).map_or(0, |(report, _)| {
            report.waiting + report.running + entry.sent_since_report
        });
        reported.max(entry.own_in_flight)
    }

    /// Removes engines that fail the predicate and have no in-flight requests of this node.
    pub fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        self.engines
            .retain(|&engine, entry| keep(engine) || entry.own_in_flight > 0);
    }
}
