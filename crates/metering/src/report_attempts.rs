//! Retry state of one window's report.

use peatgrade_types::{Duration, Time};

/// Timeout of a report. Reports are idempotent, so a retry is safe.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Initial and maximum delay before a retry; the delay doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// Maximum number of attempts for one window by one reporter.
const MAX_ATTEMPTS: u32 = 24;

/// Attempts to send the report of one window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportAttempts {
    count: u32,
    /// Time at which the pending attempt was sent; `None` if no attempt is pending.
    sent_at: Option<Time>,
    next_at: Time,
    backoff: Duration,
}

impl ReportAttempts {
    pub fn new(now: Time) -> Self {
        Self {
            count: 0,
            sent_at: None,
            next_at: now,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Number of attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn is_pending(&self) -> bool {
        self.sent_at.is_some()
    }

    /// Whether the next attempt is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.sent_at.is_none() && now >= self.next_at
    }

    /// Whether the maximum number of attempts has been reached.
    pub fn is_exhausted(&self) -> bool {
        self.count >= MAX_ATTEMPTS
    }

    /// Records that an attempt is sent.
    pub fn start(&mut self, now: Time) {
        self.count += 1;
        self.sent_at = Some(now);
    }

    /// Records a response. Returns false if no attempt was pending.
    pub fn on_response(&mut self) -> bool {
        self.sent_at.take().is_some()
    }

    /// Delays the next attempt.
    pub fn delay(&mut self, now: Time, delay: Duration) {
        self.next_at = now + delay;
    }

    /// Records a failed attempt and increases the backoff.
    pub fn on_failure(&mut self, now: Time) {
        self.sent_at = None;
        self.next_at = now + self.backoff;
        self.backoff = Duration(self.backoff.0 * 2).min(MAX_BACKOFF);
    }

    /// Fails the pending attempt if it has timed out. Returns whether it has.
    pub fn expire(&mut self, now: Time) -> bool {
        let is_expired = self
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) >= REPORT_TIMEOUT);
        if is_expired {
            self.on_failure(now);
        }
        is_expired
    }
}
