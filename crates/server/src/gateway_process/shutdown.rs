//! How long a gateway that was told to stop serves, and answers what it has read.

use peatgrade_types::Duration;

/// After a stop signal new connections may still come for this long, and are
/// served for at most half of the time to stop.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(3_300);
/// Kept back from the time to stop, for the last answers.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for connections on which nothing is under way: most of the margin.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(450);

/// How long it serves new requests.
pub(super) fn accept_period(grace: Duration) -> Duration {
    MAX_ACCEPT_PERIOD.min(Duration(grace.0 / 2))
}

/// How long it waits for what is under way before it closes its connections.
pub(super) fn drain_period(grace: Duration) -> Duration {
    Duration(grace.0.saturating_sub(RESPONSE_MARGIN.0))
}

/// Whether it waits no longer for connections that are still open, `closing` after it
/// began to close them and `stopping` after the signal.
///
/// What was read last may take as long as there is time: an end that was read as the
/// closing began, while nobody led, was dropped after 0.46 s with 2 s left.
pub(super) fn close_timed_out(
    closing: Duration,
    stopping: Duration,
    grace: Duration,
    in_flight: usize,
) -> bool {
    let last_moment = drain_period(grace) + CLOSE_TIMEOUT;
    closing >= CLOSE_TIMEOUT && (in_flight == 0 || stopping >= last_moment)
}

#[cfg(test)]
#[path = "../../tests/unit/shutdown.rs"]
mod tests;
