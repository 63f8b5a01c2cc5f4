//! The steady clock.

use peatgrade_types::Time;
use std::sync::OnceLock;
use std::time::Instant;

/// Head start of the clock, so that spans can be subtracted from early times.
const ORIGIN_MICROS: u64 = 60_000_000;

/// Microseconds on the steady clock, from an origin of this process.
pub fn steady_now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    Time(ORIGIN_MICROS + start.elapsed().as_micros() as u64)
}
