//! Messages to and from engines.

use bytes::Bytes;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;
use std::collections::BTreeMap;

/// One life of an engine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Instance(pub String);

impl std::fmt::Display for Instance {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// When an engine started, by its own account: a Unix millisecond. An engine may start
/// again under the name that it had; the later start is another life, of which nothing
/// that was believed of the earlier one is true.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StartedAt(pub u64);

impl std::fmt::Display for StartedAt {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// An engine as the discovery list shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRecord {
    /// Its name in the list.
    pub instance: Instance,
    /// When its present life began; none if it does not say.
    pub started: Option<StartedAt>,
    /// Service it belongs to.
    pub service: String,
    /// IP and port.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Version of each model it serves.
    pub models: BTreeMap<String, u64>,
}

/// A request of this system to an engine.
#[derive(Clone, Debug)]
pub enum EngineRequest {
    /// A caller's request, or an item of a batch job, to be run.
    Run {
        /// Id that the engine returns with its answer.
        id: String,
        /// Host of the route.
        host: String,
        /// Engine that must be the one to run it.
        instance: Instance,
        /// Version of the weights that must be the one to make it.
        version: Option<u64>,
        /// Time that is left.
        deadline: Option<Duration>,
        /// Continue after this event.
        last_event: Option<u64>,
        /// Rank, 0 first.
        priority: Option<u32>,
        /// Tenant that asks; empty if no key was needed.
        tenant: String,
        /// Method, path, headers and body as the caller sent them.
        http: HttpRequest,
    },
    /// What is the engine doing?
    Report(Instance),
    /// Take another version of a model.
    Order(VersionOrder),
}

/// How runs are treated when the version changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderMode {
    /// Runs end first.
    Wait,
    /// Runs are broken off.
    Truncate,
    /// Runs go on under the new version.
    Retain,
}

/// An order to take a version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionOrder {
    /// The engine.
    pub instance: Instance,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// What becomes of runs.
    pub mode: OrderMode,
    /// Who orders.
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Orders that the engine must have taken so far.
    pub expected: Option<u64>,
}

/// What an engine says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there just now, in percent of the usual time; none if the
    /// engine does not say. Others may use its machine, so it changes many times a second.
    pub slowdown_percent: Option<u32>,
}

/// What the head of an engine's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineResponseHead {
    /// Status code.
    pub status: u16,
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// The request has not run.
    pub not_run: bool,
    /// Another instance, or another version, than was expected.
    pub misdirected: bool,
    /// The instance that answers, if it says so.
    pub instance: Option<Instance>,
    /// What the engine says of its load.
    pub load: Option<EngineLoad>,
    /// Version of the weights.
    pub version: Option<u64>,
    /// The engine's signature under its answer.
    pub signature: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl EngineResponseHead {
    /// Whether it carries the engine's signature.
    pub fn is_signed(&self) -> bool {
        self.signature.is_some()
    }
}

/// An event of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationEvent {
    /// Number, from 1 on.
    pub id: u64,
    /// Text.
    pub data: Bytes,
    /// Version of the weights from this event on, if it changed.
    pub version: Option<u64>,
}

/// Cuts a stream of bytes into events.
pub trait EventDecoder {
    /// Takes bytes; returns the events that are whole, or what is wrong.
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<GenerationEvent>, String>;
    /// Whether bytes of an unfinished event are left.
    fn has_partial_event(&self) -> bool;
}

/// An engine's own account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// When its present life began; none if it does not say.
    pub started: Option<StartedAt>,
    /// Version of each model.
    pub models: BTreeMap<String, u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders taken.
    pub orders: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// What an engine says to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderResponse {
    /// It is being done.
    Started,
    /// It holds already.
    Done,
    /// Another is under way, or the count of orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Wrong in itself, or for another instance.
    Rejected,
}
