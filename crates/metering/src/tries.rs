//! Tries of one holder to report one window.

use peatgrade_types::{Duration, Time};

/// Wait for the answer to a report; the platform answers within some milliseconds, and an
/// exact repeat does no harm.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a report that was not taken, and the longest; doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);
/// Tries of one window's report by one holder: about a minute.
const MAX_TRIES: u32 = 24;

/// What became of the tries so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tries {
    count: u32,
    /// When the one under way was sent.
    sent: Option<Time>,
    next: Time,
    pause: Duration,
}

impl Tries {
    pub fn new(now: Time) -> Self {
        Self {
            count: 0,
            sent: None,
            next: now,
            pause: FIRST_PAUSE,
        }
    }

    /// How many there were.
    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn is_under_way(&self) -> bool {
        self.sent.is_some()
    }

    /// Whether the next one is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.sent.is_none() && now >= self.next
    }

    /// Whether there were as many as may be.
    pub fn is_spent(&self) -> bool {
        self.count >= MAX_TRIES
    }

    pub fn begin(&mut self, now: Time) {
        self.count += 1;
        self.sent = Some(now);
    }

    /// The answer has come; false if none was waited for.
    pub fn answered(&mut self) -> bool {
        self.sent.take().is_some()
    }

    /// Nothing is tried before a span is over.
    pub fn rest(&mut self, now: Time, span: Duration) {
        self.next = now + span;
    }

    /// The next one waits for longer than the last.
    pub fn failed(&mut self, now: Time) {
        self.sent = None;
        self.next = now + self.pause;
        self.pause = Duration(self.pause.0 * 2).min(LONGEST_PAUSE);
    }

    /// Counts the one under way as failed if no answer has come in time.
    pub fn give_up_late(&mut self, now: Time) -> bool {
        let is_late = self
            .sent
            .is_some_and(|sent| now.since(sent) >= CALL_TIMEOUT);
        if is_late {
            self.failed(now);
        }
        is_late
    }
}
