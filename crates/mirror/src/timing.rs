//! Spans of the mirror, from the bounds on how late news may be.

use peatgrade_types::Duration;

/// Spans that publishers and subscribers keep.
///
/// Of the time in which a machine must act on a change, 55 % may pass until a proof
/// counts as too old; the rest is for an own list. A publisher's proof is as old as its
/// watch waits, a subscriber's older by the time that its request is held: together
/// 3/8, so that a store that answers slowly does not make all of them watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MirrorTiming {
    /// Age from which on a proof does not count.
    pub max_staleness: Duration,
    /// Age from which on another publisher is asked: more than a sound one's proof has,
    /// and early enough to ask all others before the proof is too old.
    pub failover_staleness: Duration,
    /// How long a publisher's watch waits at the store, and the least time between two.
    pub watch_interval: Duration,
    /// How long a request may be held.
    pub max_hold: Duration,
    /// Time beyond it after which a publisher counts as silent: a round trip between
    /// zones and a busy machine's turn.
    pub reply_grace: Duration,
    /// The same for a subscriber that knows nothing yet. A publisher tells it all at once,
    /// so one that does not is just starting too, and another may be further.
    pub initial_reply_timeout: Duration,
    /// Age at which a subscriber that knows nothing yet watches the store, if it knows
    /// publishers: callers are refused until it knows something.
    pub initial_max_staleness: Duration,
    /// The same once publishers have answered, with nothing to tell yet: they are listing all
    /// engines just then, and hundreds of machines that list beside them make it longer.
    pub initial_max_staleness_if_answered: Duration,
    /// How long a publisher that was silent is left at first; twice as long each time.
    pub initial_backoff: Duration,
    /// The same at most.
    pub max_backoff: Duration,
}

/// Time for a reply beyond what it was held.
const REPLY_GRACE: Duration = Duration::from_millis(250);
/// Time in which a publisher answers 50 gateways that start together, at 1 to 4 ms each
/// (reckoned). With the usual patience a gateway that started a moment before its
/// publisher knew nothing for 0.5 s.
const INITIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// About as long as an election and the start of the watches after it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);
/// Each look at a machine that is gone delays news by `hold` and `PATIENCE`, and most
/// are away for some seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(16_000);
/// Shortest wait at the store, whatever the bounds are.
const MIN_WATCH_MS: u64 = 200;

impl MirrorTiming {
    /// Spans for news that must be acted on within `bound`.
    pub fn for_staleness_bound(bound: Duration) -> Self {
        let bound_ms = bound.as_millis();
        Self {
            max_staleness: Duration::from_millis(bound_ms * 55 / 100),
            failover_staleness: Duration::from_millis(bound_ms * 43 / 100),
            watch_interval: Duration::from_millis((bound_ms / 4).max(MIN_WATCH_MS)),
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
