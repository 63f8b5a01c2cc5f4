//! Time limits of a graceful shutdown.

use peatgrade_types::Duration;

/// Longest time after a stop signal for which new requests are accepted, because load
/// balancers may still send some. Limited to half of the grace period.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(3_300);
/// Part of the grace period that is reserved for the last responses.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Time after which connections without a request in flight are abandoned.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after the stop signal for which new requests are accepted.
pub(super) fn accept_period(grace: Duration) -> Duration {
    MAX_ACCEPT_PERIOD.min(Duration(grace.0 / 2))
}

/// Time after the stop signal after which connections are closed even if requests are in
/// flight.
pub(super) fn drain_period(grace: Duration) -> Duration {
    Duration(grace.0.saturating_sub(RESPONSE_MARGIN.0))
}

/// Whether to abandon open connections, given the time since closing began (`closing`) and
/// since the stop signal (`stopping`).
///
/// A request that was read just before closing began may use the rest of the grace period.
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
#[path = "../../tests/unit/stopping.rs"]
mod tests;
