//! What a leader knows of another replica.

use peatgrade_types::{Duration, Time};

/// Bytes of entries that may be on their way to one replica.
pub const MAX_IN_FLIGHT_BYTES: usize = 1024 * 1024;
/// Bytes of entries in one message.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Without any answer for this long, what was sent counts as lost.
const RESEND_AFTER: Duration = Duration::from_millis(300);

/// Progress of one replica, as its leader sees it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest entry known to be on its disk.
    pub match_index: u64,
    /// Next entry to send.
    pub next_index: u64,
    /// Bytes sent after `match_index` and not yet answered.
    pub in_flight: usize,
    /// Leader's time at which the newest answered message was sent.
    pub acknowledged_send: Option<Time>,
    /// When it last answered.
    pub heard: Option<Time>,
    /// When entries were last sent.
    pub sent: Time,
    /// When the leader first sent to it.
    pub since: Time,
    /// Age of its view of the object store, as it said.
    pub store_age: Duration,
}

impl Progress {
    /// A replica of which nothing is known but where the log ends.
    pub fn new(next_index: u64, now: Time) -> Self {
        Self {
            match_index: 0,
            next_index,
            in_flight: 0,
            acknowledged_send: None,
            heard: None,
            sent: now,
            since: now,
            store_age: Duration(u64::MAX),
        }
    }

    /// Takes note of a successful answer.
    pub fn matched(&mut self, index: u64) {
        if index > self.match_index {
            self.match_index = index;
            self.in_flight = 0;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Begins again behind what is known to match.
    pub fn rewind(&mut self, hint: u64) {
        self.next_index = hint.max(self.match_index) + 1;
        self.in_flight = 0;
    }

    /// Whether what was sent must count as lost.
    pub fn stalled(&self, now: Time) -> bool {
        self.in_flight > 0 && now.since(self.sent) >= RESEND_AFTER
    }

    /// Whether it has answered within `span`.
    pub fn alive(&self, now: Time, span: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= span)
    }
}
