//! How long new connections take to come up, and how long one is waited for.
//!
//! The load that this answers: engines whose machine is dark. A connection to one never
//! comes up, and the request has been offered to nobody while it waits for it.

use peatgrade_types::Duration;
use std::collections::BTreeMap;

/// Weights of a new sample in the mean and in the deviation, and deviations that are
/// waited for beyond the mean: as TCP does for its retransmissions (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// Shortest wait: a process that gets a tenth of a core may be held up so long between
/// two turns, and would give up connections that are up.
const LEAST_WAIT: Duration = Duration::from_millis(30);
/// Longest wait: a lost packet is sent again after a second, and another engine has
/// answered by then.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Share of the target latency that is waited for while no time is known: three engines
/// that are not there leave a quarter of it for the one that is.
const UNKNOWN_SHARE: u64 = 4;
/// Longest such wait: a round trip within a continent. If the engine is farther away, the
/// next wait for it is longer.
const LONGEST_UNKNOWN: Duration = Duration::from_millis(60);
/// Doublings of the wait for an engine to which no connection came up, at most. Without
/// them, engines whose path has become slow would count as dark for good: none of their
/// connections would be waited for long enough to be measured.
const MOST_DOUBLINGS: u32 = 4;
/// Zones that are told apart, so that the table is bounded; a deployment has a few.
const MOST_ZONES: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// In microseconds, as all here.
    mean: f64,
    deviation: f64,
}

/// Times of connections by the zone of the engine.
#[derive(Clone, Debug, Default)]
pub struct ConnectTimes {
    by_zone: BTreeMap<String, Estimate>,
}

impl ConnectTimes {
    /// Takes note of a connection that came up.
    pub fn record(&mut self, zone: &str, took: Duration) {
        let sample = took.0 as f64;
        if let Some(known) = self.by_zone.get_mut(zone) {
            let off = (sample - known.mean).abs();
            known.deviation += DEVIATION_WEIGHT * (off - known.deviation);
            known.mean += MEAN_WEIGHT * (sample - known.mean);
        } else if self.by_zone.len() < MOST_ZONES {
            let first = Estimate {
                mean: sample,
                deviation: sample / 2.0,
            };
            self.by_zone.insert(zone.to_string(), first);
        }
    }

    /// Usual time of a connection to a zone, which is about one round trip; none before
    /// one came up.
    pub fn mean(&self, zone: &str) -> Option<Duration> {
        let known = self.by_zone.get(zone);
        known.map(|estimate| Duration(estimate.mean as u64))
    }

    /// How long a connection to an engine in a zone is waited for, for a request with this
    /// target, if the last so many to it did not come up.
    pub fn timeout(&self, zone: &str, unconnected: u32, target_latency: Duration) -> Duration {
        let expected = match self.by_zone.get(zone) {
            Some(known) => Duration((known.mean + DEVIATIONS * known.deviation) as u64),
            None => Duration(target_latency.0 / UNKNOWN_SHARE).min(LONGEST_UNKNOWN),
        };
        let first = expected.max(LEAST_WAIT);
        let doubled = first.0 << unconnected.min(MOST_DOUBLINGS);
        Duration(doubled).min(LONGEST_WAIT)
    }
}
