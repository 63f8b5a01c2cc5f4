//! Messages to and from engines.

use bytes::Bytes;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;
use std::collections::BTreeMap;

/// Name of an engine instance in the discovery list.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Instance(pub String);

impl std::fmt::Display for Instance {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Start time of an engine process as reported by the engine, in Unix milliseconds.
///
/// A restarted engine may keep its instance name. A later start time then identifies a new
/// incarnation, to which state observed of the earlier one does not apply.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StartedAt(pub u64);

impl std::fmt::Display for StartedAt {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// An engine as listed by service discovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRecord {
    /// Instance name.
    pub instance: Instance,
    /// Start of the current incarnation; `None` if the engine does not report it.
    pub started: Option<StartedAt>,
    /// Service that the engine belongs to.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the engine is about to leave the service.
    pub draining: bool,
    /// Served models and the weight version of each.
    pub models: BTreeMap<String, u64>,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub enum EngineRequest {
    /// Runs a caller's request or an item of a batch job.
    Run {
        /// Request id, echoed by the engine in its response.
        id: String,
        /// Host name of the route.
        host: String,
        /// Instance that the request is addressed to; any other one rejects it.
        instance: Instance,
        /// Weight version that must serve the request.
        version: Option<u64>,
        /// Time remaining until the caller's deadline.
        deadline: Option<Duration>,
        /// Id of the last event received, from which a stream is resumed.
        last_event: Option<u64>,
        /// Priority; 0 is the highest.
        priority: Option<u32>,
        /// Tenant of the request; empty if the route requires no key.
        tenant: String,
        /// Method, path, headers and body as sent by the caller.
        http: HttpRequest,
    },
    /// Asks the engine for an [`EngineReport`].
    Report(Instance),
    /// Tells the engine to load another version of a model.
    Order(VersionOrder),
}

/// Treatment of running requests when the weight version changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderMode {
    /// Running requests finish before the change.
    Wait,
    /// Running requests are aborted.
    Truncate,
    /// Running requests continue under the new version.
    Retain,
}

/// An order to load a version of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionOrder {
    /// Engine that the order is addressed to.
    pub instance: Instance,
    /// Model name.
    pub model: String,
    /// Weight version to load.
    pub version: u64,
    /// Treatment of running requests.
    pub mode: OrderMode,
    /// Machine that issues the order.
    pub holder: String,
    /// Fencing token of the issuer.
    pub fence: u64,
    /// Number of orders that the engine must have accepted so far; a compare-and-set guard.
    pub expected: Option<u64>,
}

/// Load reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Current execution time in percent of the usual one; `None` if not reported. Varies
    /// many times a second when the engine shares its machine with other workloads.
    pub slowdown_percent: Option<u32>,
}

/// Lowest HTTP status of an error.
const FIRST_ERROR_STATUS: u16 = 400;

/// Parsed head of an engine's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Id of the request, as echoed by the engine.
    pub id: Option<String>,
    /// Whether the engine asserts that the request was not executed.
    pub not_run: bool,
    /// Whether callers take the status for a promise that the request was not executed.
    pub reads_as_not_run: bool,
    /// Whether the status says that the request reached another instance or version than the
    /// one addressed.
    pub reads_as_misdirected: bool,
    /// Instance that responded, if reported.
    pub instance: Option<Instance>,
    /// Load of the engine, if reported.
    pub load: Option<EngineLoad>,
    /// Weight version that serves the request.
    pub version: Option<u64>,
    /// Signature of the engine over its response.
    pub signature: Option<String>,
    /// Time to wait before a retry.
    pub retry_after: Option<Duration>,
}

impl EngineResponseHead {
    pub fn is_signed(&self) -> bool {
        self.signature.is_some()
    }

    /// Whether the engine has certainly not executed the request. A success contradicts the
    /// assertion that it has not.
    pub fn is_refusal(&self) -> bool {
        self.not_run && self.status >= FIRST_ERROR_STATUS
    }

    /// Whether the request was refused because it reached another instance or version. The
    /// status alone does not show that, as an engine may have executed the request.
    pub fn is_misdirected(&self) -> bool {
        self.reads_as_misdirected && self.is_refusal()
    }

    /// Whether the status promises callers what the engine does not assert: the request may
    /// have been executed.
    pub fn is_unproven_refusal(&self) -> bool {
        self.reads_as_not_run && !self.is_refusal()
    }
}

/// An event of a token stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationEvent {
    /// Sequence number, starting at 1.
    pub id: u64,
    /// Payload.
    pub data: Bytes,
    /// Weight version from this event on, if it changed.
    pub version: Option<u64>,
}

/// Incremental decoder of a response body into events.
pub trait EventDecoder {
    /// Consumes bytes and returns the events completed by them, or a description of the
    /// syntax error.
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<GenerationEvent>, String>;
    /// Whether the buffer holds an incomplete event.
    fn has_partial_event(&self) -> bool;
}

/// State that an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Start of the current incarnation; `None` if the engine does not report it.
    pub started: Option<StartedAt>,
    /// Served models and the weight version of each.
    pub models: BTreeMap<String, u64>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders accepted so far.
    pub orders: u64,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}

/// Response of an engine to a [`VersionOrder`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderResponse {
    /// The order was accepted and is in progress.
    Started,
    /// The engine already serves this version.
    Done,
    /// Another order is in progress, or the count of accepted orders differs from the
    /// expected one.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The order is invalid or addressed to another instance.
    Rejected,
}
