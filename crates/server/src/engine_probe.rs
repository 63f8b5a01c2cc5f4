//! How an engine is asked whether it is still there.

use peatgrade_runtime::SendOptions;
use std::time::Duration;

/// Longest wait for its answer: it is asked again each 0.3 s.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Over a new connection: a kept one tells of the past.
pub(crate) fn probe_options() -> SendOptions {
    SendOptions {
        fresh: true,
        ..SendOptions::reusing(PROBE_TIMEOUT)
    }
}
