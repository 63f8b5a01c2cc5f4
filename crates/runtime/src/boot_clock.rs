//! Monotonic clock that includes time spent in system suspend.
//!
//! `std::time::Instant` uses `CLOCK_MONOTONIC`, which stops during suspend. Leases, deadlines
//! and the staleness of data measured with it would be too short by the suspended time.

use std::ops::Add;
use std::time::Duration;

/// An instant on the clock `CLOCK_BOOTTIME` of this machine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BootInstant(Duration);

impl BootInstant {
    pub fn now() -> Self {
        Self(read_clock(libc::CLOCK_BOOTTIME))
    }

    /// Time since this instant, including suspend; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time from `earlier` to this instant, including suspend; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

/// Total time that this machine has been suspended since boot.
pub fn suspended_time() -> Duration {
    let active = read_clock(libc::CLOCK_MONOTONIC);
    read_clock(libc::CLOCK_BOOTTIME).saturating_sub(active)
}

fn read_clock(clock: libc::clockid_t) -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a live, writable `timespec`.
    let result = unsafe { libc::clock_gettime(clock, &mut time) };
    assert_eq!(
        result, 0,
        "clock_gettime failed; CLOCK_BOOTTIME needs Linux 2.6.39"
    );
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
