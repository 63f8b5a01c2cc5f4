//! Limits of an HTTP server on the requests that it reads.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::connection_limit::ConnectionLimit;
use crate::memory_budget::MemoryBudget;
use crate::server_shutdown::ServerShutdown;

/// Limits on the requests of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Time to receive a head, from its first byte or from the previous response on.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between a response and the next request.
    pub idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 34 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Controls of a running server.
#[derive(Clone, Debug, Default)]
pub struct ServerControl {
    /// Set before shutdown: connections are then closed after their current response.
    pub draining: Rc<Cell<bool>>,
    /// Limits. A request is judged by those in force when its head has arrived.
    pub limits: Rc<Cell<ServerLimits>>,
    /// Shuts the server down.
    pub shutdown: ServerShutdown,
    /// Limit on the memory held for all callers.
    pub budget: MemoryBudget,
    /// Limit on the open connections.
    pub connections: ConnectionLimit,
}
