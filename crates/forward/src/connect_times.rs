//! Connect time estimates per zone, and the connect timeouts derived from them.
//!
//! A connection attempt to an unreachable machine may never complete. An adaptive timeout
//! lets the request move on to another engine early.

use peatgrade_types::Duration;
use std::collections::BTreeMap;

/// Smoothing factors and deviation multiplier of TCP's retransmission timeout (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 4.0;
/// Minimum connect timeout. It tolerates scheduling delays of a CPU-limited process, which
/// would otherwise abort connections that are established but not yet polled.
const MIN_TIMEOUT: Duration = Duration::from_millis(30);
/// Maximum connect timeout. TCP retransmits a lost SYN after one second; trying another
/// engine is faster.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Without measurements the timeout is a quarter of the target latency, so that a request
/// can pass three unreachable engines within its target.
const TARGET_LATENCY_DIVISOR: u64 = 4;
/// Maximum timeout without measurements, about one round trip within a continent. Timeouts
/// for more distant engines grow with each failed connection.
const MAX_UNMEASURED_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of times that the timeout doubles after failed connections. Without
/// backoff, an engine whose path became slow would never be measured again.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum number of zones that are tracked.
const MAX_ZONES: usize = 32;

/// Connect time statistics in microseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// Connect time estimates by engine zone.
#[derive(Clone, Debug, Default)]
pub struct ConnectTimes {
    by_zone: BTreeMap<String, Estimate>,
}

impl ConnectTimes {
    /// Records the connect time of an established connection.
    pub fn record(&mut self, zone: &str, took: Duration) {
        let sample = took.0 as f64;
        if let Some(estimate) = self.by_zone.get_mut(zone) {
            let error = (sample - estimate.mean).abs();
            estimate.deviation += DEVIATION_WEIGHT * (error - estimate.deviation);
            estimate.mean += MEAN_WEIGHT * (sample - estimate.mean);
        } else if self.by_zone.len() < MAX_ZONES {
            let first = Estimate {
                mean: sample,
                deviation: sample / 2.0,
            };
            self.by_zone.insert(zone.to_string(), first);
        }
    }

    /// Mean connect time to a zone, which is about one round trip; `None` before the first
    /// sample.
    pub fn mean(&self, zone: &str) -> Option<Duration> {
        let estimate = self.by_zone.get(zone);
        estimate.map(|estimate| Duration(estimate.mean as u64))
    }

    /// Connect timeout for an engine in `zone` whose last `failures` connection attempts
    /// failed, for a request with the given target latency.
    pub fn timeout(&self, zone: &str, failures: u32, target_latency: Duration) -> Duration {
        let expected = match self.by_zone.get(zone) {
            Some(estimate) => {
                Duration((estimate.mean + DEVIATION_FACTOR * estimate.deviation) as u64)
            }
            None => Duration(target_latency.0 / TARGET_LATENCY_DIVISOR).min(MAX_UNMEASURED_TIMEOUT),
        };
        let first = expected.max(MIN_TIMEOUT);
        let doubled = first.0 << failures.min(MAX_DOUBLINGS);
        Duration(doubled).min(MAX_TIMEOUT)
    }
}
