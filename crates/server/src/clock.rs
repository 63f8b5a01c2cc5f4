//! The clocks of a process.

use peatgrade_runtime::BootInstant;
use peatgrade_types::{Duration, Time};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Head start of the clock, one hour: ages of up to a quarter of an hour, as they come from
/// other machines or from the disk, are subtracted from early times.
const ORIGIN_US: u64 = 3_600_000_000;

/// Time of day in milliseconds. It may be set by seconds at any moment: for what must
/// outlive the process only.
pub fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The same in microseconds.
pub fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Microseconds on the steady clock, from an origin of this process. Time for which the
/// machine was suspended counts.
pub fn steady_now() -> Time {
    static START: OnceLock<BootInstant> = OnceLock::new();
    let start = START.get_or_init(BootInstant::now);
    Time(ORIGIN_US + start.elapsed().as_micros() as u64)
}

/// How long this machine has been suspended since its start.
pub fn suspended_time() -> Duration {
    Duration(peatgrade_runtime::suspended_time().as_micros() as u64)
}
