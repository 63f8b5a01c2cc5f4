//! Replication progress of a replica, as tracked by the leader.

use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;

/// Bound on the bytes of entries sent to one replica and not yet acknowledged.
pub const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;
/// Bytes in flight up to which entries arrive about as fast as a heartbeat.
pub const LOW_IN_FLIGHT_BYTES: usize = 4 * 1024;
/// Bound on the bytes of entries in one message.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Time without progress after which entries in flight are considered lost.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the timeout, which doubles with each resend: a slow replica may still
/// be receiving the entries, and resending them too often would overload it.
const MAX_RESEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Replication progress of one replica.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest index known to be persisted by the replica.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Last index and size in bytes of each message that is not yet acknowledged.
    in_flight: VecDeque<(u64, usize)>,
    /// When `next_index` was last moved back.
    last_rewind: Time,
    /// Send timeouts since the last progress.
    consecutive_resends: u32,
    /// When the leader sent the latest message that the replica has answered.
    pub last_acked_send: Option<Time>,
    /// When the leader last received a response.
    pub last_response: Option<Time>,
    /// When entries were last sent.
    pub last_sent: Time,
    pub created_at: Time,
    /// Staleness of the replica's view of the object store, as last reported.
    pub store_staleness: Duration,
    /// Bytes of memory that the replica may still use, as last reported; `None` if it has no
    /// limit or does not report it.
    pub spare_memory: Option<u64>,
}

impl Progress {
    /// Starts with no known match and sends from `next_index`.
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
            spare_memory: None,
        }
    }

    /// Records that the replica holds all entries up to `index`.
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

    /// Whether a rejection of a message sent at `sent` is to be handled. Messages sent
    /// before the last rewind were rejected for the reason that caused it.
    pub fn is_current_rejection(&self, sent: Time) -> bool {
        sent >= self.last_rewind
    }

    /// Restarts sending after `hint`, but not before the known match.
    pub fn rewind(&mut self, now: Time, hint: u64) {
        self.last_rewind = now;
        self.next_index = hint.max(self.match_index) + 1;
        self.in_flight.clear();
    }

    /// Records a message in flight whose last entry has the index `last`.
    pub fn record_send(&mut self, now: Time, last: u64, bytes: usize) {
        self.next_index = last + 1;
        self.last_sent = now;
        self.in_flight.push_back((last, bytes));
    }

    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Whether more entries may be sent before the replica acknowledges some.
    pub fn has_capacity(&self) -> bool {
        self.in_flight_bytes() < MAX_IN_FLIGHT_BYTES
    }

    /// Whether the entries in flight are considered lost.
    pub fn is_send_timed_out(&self, now: Time) -> bool {
        let timeout =
            Duration(RESEND_TIMEOUT.0 << self.consecutive_resends.min(8)).min(MAX_RESEND_TIMEOUT);
        !self.in_flight.is_empty() && now.since(self.last_sent) >= timeout
    }

    /// Restarts sending after the known match and increases the timeout.
    pub fn on_send_timeout(&mut self, now: Time) {
        self.rewind(now, 0);
        self.consecutive_resends += 1;
    }

    /// Whether the replica has responded within `window`.
    pub fn is_active(&self, now: Time, window: Duration) -> bool {
        self.last_response
            .is_some_and(|responded| now.since(responded) <= window)
    }
}
