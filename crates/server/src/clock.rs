//! Wall clock and monotonic clock.

use peatgrade_runtime::BootInstant;
use peatgrade_types::{Duration, Time};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Offset of the monotonic clock, one hour, so that subtracting the age of an observation from
/// another machine or the disk does not underflow shortly after the start.
const ORIGIN_US: u64 = 3_600_000_000;

/// Unix time in milliseconds. The wall clock may be adjusted at any time, so it is used only
/// for times that must outlive the process.
pub fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Unix time in microseconds; see [`wall_millis`].
pub fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Monotonic time in microseconds since an origin of this process. Includes time for which the
/// machine was suspended.
pub fn steady_now() -> Time {
    static START: OnceLock<BootInstant> = OnceLock::new();
    let start = START.get_or_init(BootInstant::now);
    Time(ORIGIN_US + start.elapsed().as_micros() as u64)
}

/// Total time for which this machine has been suspended since boot.
pub fn suspended_time() -> Duration {
    Duration(peatgrade_runtime::suspended_time().as_micros() as u64)
}
