//! What a leader knows of another replica.

use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;

/// Bytes of entries that may be on their way to one replica.
pub const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;
/// Bytes of entries that are on their way no longer than a heartbeat.
pub const LITTLE_IN_FLIGHT: usize = 4 * 1024;
/// Bytes of entries in one message.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Without any progress for this long, what was sent counts as lost.
const RESEND_AFTER: Duration = Duration::from_millis(300);
/// The longest such time. A slow replica has what was sent still before it:
/// sending it again each time would bury it.
const MAX_RESEND_AFTER: Duration = Duration::from_millis(1_200);

/// Progress of one replica, as its leader sees it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest entry known to be on its disk.
    pub match_index: u64,
    /// Next entry to send.
    pub next_index: u64,
    /// What was sent after `match_index` and not yet answered: last index of
    /// each message, and its bytes.
    in_flight: VecDeque<(u64, usize)>,
    /// When the leader last began again behind what is known to match.
    rewound: Time,
    /// Times in a row that what was sent counted as lost.
    resent: u32,
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
            in_flight: VecDeque::new(),
            rewound: Time(0),
            resent: 0,
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
            self.resent = 0;
            while self
                .in_flight
                .front()
                .is_some_and(|(last, _)| *last <= index)
            {
                self.in_flight.pop_front();
            }
        }
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Whether a refusal of a message sent at `sent` tells anything: what was
    /// sent before the last rewind was refused for the same reason.
    pub fn is_news(&self, sent: Time) -> bool {
        sent >= self.rewound
    }

    /// Begins again behind what is known to match.
    pub fn rewind(&mut self, now: Time, hint: u64) {
        self.rewound = now;
        self.next_index = hint.max(self.match_index) + 1;
        self.in_flight.clear();
    }

    /// Takes note that a message with the entries up to `last` is on its way.
    pub fn sending(&mut self, now: Time, last: u64, bytes: usize) {
        self.next_index = last + 1;
        self.sent = now;
        self.in_flight.push_back((last, bytes));
    }

    /// Bytes on their way.
    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Whether more may be sent.
    pub fn has_room(&self) -> bool {
        self.in_flight_bytes() < MAX_IN_FLIGHT_BYTES
    }

    /// Whether what was sent must count as lost.
    pub fn stalled(&self, now: Time) -> bool {
        let patience = Duration(RESEND_AFTER.0 << self.resent.min(8)).min(MAX_RESEND_AFTER);
        !self.in_flight.is_empty() && now.since(self.sent) >= patience
    }

    /// Begins again behind what is known to match, since nothing came back.
    pub fn give_up_sent(&mut self, now: Time) {
        self.rewind(now, 0);
        self.resent += 1;
    }

    /// Whether it has answered within `span`.
    pub fn alive(&self, now: Time, span: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= span)
    }
}
