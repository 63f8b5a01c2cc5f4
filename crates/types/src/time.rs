//! Time as a number, real or simulated.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// A span of time in microseconds.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Duration(pub u64);

impl Duration {
    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Seconds with their fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, more: Duration) -> Duration {
        Duration(self.0.saturating_add(more.0))
    }
}

/// Microseconds since an origin that the driver chooses.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The time that passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}
