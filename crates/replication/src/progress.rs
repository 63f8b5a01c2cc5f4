//! What a leader knows of another replica.

use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;

/// Bytes of entries that may be on their way to one replica.
pub const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;
/// Bytes of entries that are on their way no longer than a heartbeat.
pub const LOW_IN_FLIGHT_BYTES: usize = 4 * 1024;
/// Bytes of entries in one message.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Without any progress for this long, what was sent counts as lost.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest such time. A slow replica has what was sent still before it:
/// sending it again each time would bury it.
const MAX_RESEND_TIMEOUT: Duration = Duration::from_millis(1_200);

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
    last_rewind: Time,
    /// Times in a row that what was sent counted as lost.
    consecutive_resends: u32,
    /// Leader's time at which the newest answered message was sent.
    pub last_acked_send: Option<Time>,
    /// When it last answered.
    pub last_response: Option<Time>,
    /// When entries were last sent.
    pub last_sent: Time,
    /// When the leader first sent to it.
    pub created_at: Time,
    /// Age of its view of the object store, as it said.
    pub store_staleness: Duration,
}

impl Progress {
    /// A replica of which nothing is known but where the log ends.
    pub fn new(next_index: u64, now: Time) -> Self {
        Self {
            match_index: 0,
            next_index,
            in_flight: VecDeque::new(),
            last_rewind: Time(0),
            consecutive_resends: 0,
            last_acked_send: None,
            last_response: None,
            last_sent: now,
            created_at: now,
            store_staleness: Duration(u64::MAX),
        }
    }

    /// Takes note of a successful answer.
    pub fn record_match(&mut self, index: u64) {
        if index > self.match_index {
            self.match_index = index;
            self.consecutive_resends = 0;
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
    pub fn is_current_rejection(&self, sent: Time) -> bool {
        sent >= self.last_rewind
    }

    /// Begins again behind what is known to match.
    pub fn rewind(&mut self, now: Time, hint: u64) {
        self.last_rewind = now;
        self.next_index = hint.max(self.match_index) + 1;
        self.in_flight.clear();
    }

    /// Takes note that a message with the entries up to `last` is on its way.
    pub fn record_send(&mut self, now: Time, last: u64, bytes: usize) {
        self.next_index = last + 1;
        self.last_sent = now;
        self.in_flight.push_back((last, bytes));
    }

    /// Bytes on their way.
    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Whether more may be sent.
    pub fn has_capacity(&self) -> bool {
        self.in_flight_bytes() < MAX_IN_FLIGHT_BYTES
    }

    /// Whether what was sent must count as lost.
    pub fn is_send_timed_out(&self, now: Time) -> bool {
        let timeout =
            Duration(RESEND_TIMEOUT.0 << self.consecutive_resends.min(8)).min(MAX_RESEND_TIMEOUT);
        !self.in_flight.is_empty() && now.since(self.last_sent) >= timeout
    }

    /// Begins again behind what is known to match, since nothing came back.
    pub fn on_send_timeout(&mut self, now: Time) {
        self.rewind(now, 0);
        self.consecutive_resends += 1;
    }

    /// Whether it has answered within `span`.
    pub fn is_active(&self, now: Time, span: Duration) -> bool {
        self.last_response
            .is_some_and(|heard| now.since(heard) <= span)
    }
}
