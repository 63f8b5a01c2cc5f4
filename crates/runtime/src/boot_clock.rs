//! The clock that goes on while a machine is suspended.
//!
//! `std::time::Instant` stands still meanwhile (`CLOCK_MONOTONIC`). A lease, a deadline or
//! the age of news that is measured by it is too young by the suspension: a machine would
//! go on with what it believed before, as if nothing could have changed: after 3 s of it
//! (a test on real processes) a list of engines counted as new.

use std::ops::Add;
use std::time::Duration;

/// A moment on the boot clock of this machine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Now.
    pub fn now() -> Self {
        Self(read_clock(libc::CLOCK_BOOTTIME))
    }

    /// Time since then, with all suspensions; none if it lies ahead.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time from an earlier moment to this one; none if that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

/// How long this machine has been suspended since its start.
pub fn suspended_time() -> Duration {
    let without = read_clock(libc::CLOCK_MONOTONIC);
    read_clock(libc::CLOCK_BOOTTIME).saturating_sub(without)
}

fn read_clock(clock: libc::clockid_t) -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a live value of the type that the call fills.
    let result = unsafe { libc::clock_gettime(clock, &mut time) };
    assert_eq!(result, 0, "both clocks exist since Linux 2.6.39");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
