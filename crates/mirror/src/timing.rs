//! Timeouts and intervals of the mirror, derived from the bound on staleness.

use peatgrade_types::Duration;

/// Timeouts and intervals of publishers and subscribers.
///
/// A subscriber counts as stale after 55 % of the time within which a machine must act on a
/// change, which leaves the rest for listing the store itself. In normal operation staleness
/// reaches 3/8 of the bound: `watch_interval` at the publisher and `max_hold` of the request.
/// The margin between the two keeps a slow store from making every subscriber watch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MirrorTiming {
    /// Staleness at which a subscriber watches the store directly.
    pub max_staleness: Duration,
    /// Staleness at which a subscriber asks another publisher: above that of a healthy
    /// publisher, and low enough to ask all others before `max_staleness`.
    pub failover_staleness: Duration,
    /// Long-poll time of a publisher's watch, and the minimum time between two watch calls.
    pub watch_interval: Duration,
    /// How long a publisher may hold a request.
    pub max_hold: Duration,
    /// Time beyond `max_hold` after which a request times out: covers a round trip between
    /// zones and scheduling delay on a busy machine.
    pub reply_grace: Duration,
    /// Request timeout of a subscriber without data. A publisher that has data replies to it
    /// without holding the request, so after this time another publisher is asked.
    pub initial_reply_timeout: Duration,
    /// Staleness at which a subscriber without data watches the store directly, if it has
    /// publishers. Short, because callers are refused until data has arrived.
    pub initial_max_staleness: Duration,
    /// Like `initial_max_staleness`, once a publisher has replied without data. Longer, since
    /// that publisher is listing the store, and more machines that list it slow it down.
    pub initial_max_staleness_if_answered: Duration,
    /// Backoff after the first timeout of a publisher; doubled with each further one.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
}

const REPLY_GRACE: Duration = Duration::from_millis(250);
/// Leaves a publisher time to answer many gateways that start together.
const INITIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// About as long as an election and the start of the watches after it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);
/// Limits how often updates are delayed by a request to an unreachable machine, which
/// costs `max_hold` and `reply_grace`.
const MAX_BACKOFF: Duration = Duration::from_millis(16_000);
const MIN_WATCH_INTERVAL_MS: u64 = 200;

impl MirrorTiming {
    /// Timing for machines that must act on a change of the store within `bound`.
    pub fn for_staleness_bound(bound: Duration) -> Self {
        let bound_ms = bound.as_millis();
        Self {
            max_staleness: Duration::from_millis(bound_ms * 55 / 100),
            failover_staleness: Duration::from_millis(bound_ms * 43 / 100),
            watch_interval: Duration::from_millis((bound_ms / 4).max(MIN_WATCH_INTERVAL_MS)),
            max_hold: Duration::from_millis(bound_ms / 8),
            reply_grace: REPLY_GRACE,
            initial_reply_timeout: INITIAL_REPLY_TIMEOUT,
            initial_max_staleness: Duration::from_millis(bound_ms * 55 / 200),
            initial_max_staleness_if_answered: Duration::from_millis(bound_ms * 90 / 100),
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF,
        }
    }
}
