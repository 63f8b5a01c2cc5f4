//! HTTP options of the probes that check whether an engine is alive.

use peatgrade_runtime::SendOptions;
use std::time::Duration;

/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes use a new connection, because a pooled one does not show that the engine still
/// accepts connections.
pub(crate) fn probe_options() -> SendOptions {
    SendOptions {
        new_connection: true,
        ..SendOptions::with_read_timeout(PROBE_TIMEOUT)
    }
}
