//! Limits on what a gateway holds for its callers: memory and connections.

use futures_channel::mpsc::UnboundedSender;
use monoio::net::TcpListener;
use peatgrade_runtime::{
    serve_with_control, ConnectionLimit, Incoming, MemoryBudget, ServerControl,
};
use peatgrade_types::{Duration, Time};
use std::cell::Cell;

use super::{socket_error, GatewayProcess};
use crate::clock::steady_now;
use crate::heap::trim_heap;
use crate::metrics::resident_bytes;
use crate::settings::ServerSettings;
use crate::ServerError;

/// Percentage of the memory limit that a gateway may fill with the copies of a batch job.
const MAX_FILLED_PERCENT: u64 = 90;
/// Minimum time between two trims of the heap: each walks all of it.
const TRIM_INTERVAL: Duration = Duration::from_secs(1);

/// Controls of the listener for callers, with the limits of the settings.
pub(super) fn server_control(settings: &ServerSettings) -> ServerControl {
    ServerControl {
        budget: settings
            .caller_memory_bytes()
            .map_or_else(Default::default, MemoryBudget::new),
        connections: settings
            .max_caller_connections()
            .map_or_else(Default::default, ConnectionLimit::new),
        ..ServerControl::default()
    }
}

/// Starts to serve callers and readiness checks.
pub(super) fn serve_callers(
    settings: &ServerSettings,
    calls: &UnboundedSender<Incoming>,
    server: &ServerControl,
) -> Result<(), ServerError> {
    // Readiness is answered however many callers are connected.
    let readiness = ServerControl {
        connections: ConnectionLimit::default(),
        ..server.clone()
    };
    for (what, address, control) in [
        ("front", &settings.front_address, server.clone()),
        ("ready", &settings.ready_address, readiness),
    ] {
        let listener = TcpListener::bind(address).map_err(socket_error(what, address))?;
        monoio::spawn(serve_with_control(listener, calls.clone(), control));
    }
    Ok(())
}

/// Returns the bytes that the process may still use, given those that are needed. What callers may
/// still take counts as used. The heap is trimmed first if too few are left, as the allocator
/// keeps freed memory.
pub(super) fn spare_memory(
    settings: &ServerSettings,
    server: &ServerControl,
) -> impl Fn(u64) -> Option<u64> {
    let limit = settings.memory_limit_bytes();
    let budget = server.budget.clone();
    let last_trim = Cell::new(None::<Time>);
    move |needed| {
        let filled = limit? / 100 * MAX_FILLED_PERCENT;
        let stats = budget.stats();
        let for_callers = stats.limit.saturating_sub(stats.reserved) as u64;
        let spare = || filled.saturating_sub(resident_bytes() + for_callers);
        let now = steady_now();
        let is_recent = |at: Time| now.since(at) < TRIM_INTERVAL;
        if spare() < needed && !last_trim.get().is_some_and(is_recent) {
            last_trim.set(Some(now));
            trim_heap();
        }
        Some(spare())
    }
}

impl GatewayProcess {
    /// Drops incomplete responses of engines, the largest first, until the others fit.
    pub(super) fn limit_responses(&mut self) {
        let Some(limit) = self.settings.caller_memory_bytes() else {
            return;
        };
        while self.gateway.response_bytes() > limit {
            let actions = self.gateway.drop_largest_response(steady_now());
            if actions.is_empty() {
                return;
            }
            self.metrics.count("response_dropped");
            self.execute(actions);
        }
    }

    pub(super) fn update_caller_memory_metrics(&self) {
        let stats = self.server.budget.stats();
        let connections = self.server.connections.stats();
        for (name, value) in [
            ("caller_bytes_held", stats.reserved as u64),
            ("callers_cut_off", stats.disconnected),
            ("caller_bytes_refused", stats.rejected),
            ("caller_requests_discarded", stats.discarded),
            ("caller_connections", connections.open as u64),
            ("caller_connections_closed", connections.closed),
            ("caller_connections_refused", connections.refused),
            ("submissions_refused", self.gateway.submissions_refused),
        ] {
            self.metrics.set(name, value);
        }
    }
}
