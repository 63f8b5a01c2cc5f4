//! HTTP options of control requests to engines: probes, orders and report requests.

use peatgrade_runtime::SendOptions;
use std::time::Duration;

/// Limit of an engine's report, and of its answer to an order.
const MAX_REPORT_BYTES: u64 = 512 * 1024;
/// Timeout of orders and reports.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes use a new connection, because a pooled one does not show that the engine still
/// accepts connections.
pub(crate) fn probe_options() -> SendOptions {
    SendOptions {
        new_connection: true,
        max_body_bytes: MAX_REPORT_BYTES,
        ..SendOptions::with_read_timeout(PROBE_TIMEOUT)
    }
}

/// Options of orders, report requests and usage reports.
pub(crate) fn control_options() -> SendOptions {
    SendOptions {
        max_body_bytes: MAX_REPORT_BYTES,
        ..SendOptions::with_read_timeout(CONTROL_TIMEOUT)
    }
}
