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
    pub max_age: Duration,
    /// Age from which on another publisher is asked: more than a sound one's proof has,
    /// and early enough to ask all others before the proof is too old.
    pub leave_age: Duration,
    /// How long a publisher's watch waits at the store, and the least time between two.
    pub watch: Duration,
    /// How long a request may be held.
    pub hold: Duration,
    /// Time beyond it after which a publisher counts as silent: a round trip between
    /// zones and a busy machine's turn.
    pub patience: Duration,
    /// The same for a subscriber that knows nothing yet. A publisher tells it all at once,
    /// so one that does not is just starting too, and another may be further.
    pub first_patience: Duration,
    /// Age at which a subscriber that knows nothing yet watches the store, if it knows
    /// publishers: callers are refused until it knows something.
    pub first_age: Duration,
    /// The same once publishers have answered, with nothing to tell yet: they are listing all
    /// engines just then, and hundreds of machines that list beside them make it longer.
    pub answered_age: Duration,
    /// How long a publisher that was silent is left at first; twice as long each time.
    pub rest: Duration,
    /// The same at most.
    pub longest_rest: Duration,
}

/// Time for a reply beyond what it was held.
const PATIENCE: Duration = Duration::from_millis(250);
/// Time in which a publisher answers 50 gateways that start together, at 1 to 4 ms each
/// (reckoned). With the usual patience a gateway that started a moment before its
/// publisher knew nothing for 0.5 s.
const FIRST_PATIENCE: Duration = Duration::from_millis(200);
/// About as long as an election and the start of the watches after it.
const REST: Duration = Duration::from_millis(1_000);
/// Each look at a machine that is gone delays news by `hold` and `PATIENCE`, and most
/// are away for some seconds.
const LONGEST_REST: Duration = Duration::from_millis(16_000);
/// Shortest wait at the store, whatever the bounds are.
const MIN_WATCH_MS: u64 = 200;

impl MirrorTiming {
    /// Spans for news that must be acted on within `bound`.
    pub fn within(bound: Duration) -> Self {
        let bound_ms = bound.as_millis();
        Self {
            max_age: Duration::from_millis(bound_ms * 55 / 100),
            leave_age: Duration::from_millis(bound_ms * 43 / 100),
            watch: Duration::from_millis((bound_ms / 4).max(MIN_WATCH_MS)),
            hold: Duration::from_millis(bound_ms / 8),
            patience: PATIENCE,
            first_patience: FIRST_PATIENCE,
            first_age: Duration::from_millis(bound_ms * 55 / 200),
            answered_age: Duration::from_millis(bound_ms * 90 / 100),
            rest: REST,
            longest_rest: LONGEST_REST,
        }
    }
}
