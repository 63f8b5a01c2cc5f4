//! How an engine is asked whether it is still there.

use peatgrade_runtime::SendOptions;
use std::time::Duration;

/// Longest wait for its answer: it is asked again each 0.3 s.
const SILENCE: Duration = Duration::from_secs(1);

/// Over a new connection: a kept one tells of the past.
pub(crate) fn check_options() -> SendOptions {
    SendOptions {
        new_connection: true,
        ..SendOptions::with_read_timeout(SILENCE)
    }
}
