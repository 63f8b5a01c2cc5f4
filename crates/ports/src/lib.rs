//! Typed messages between the cores and the adapter that speaks a wire protocol.
//!
//! ```text
//!  callers, trainers --HTTP--> Codec --> CallerMessage      -+
//!  object store -----HTTP----> Codec --> StoreResponse      -+-> cores
//!  engines ----------HTTP----> Codec --> EngineResponseHead, |
//!                                        GenerationEvent    -+
//! ```
//!
//! The cores never refer to wire headers, paths or fields. A [`Codec`] translates them
//! and is stateless: decisions, retries and timers belong to the cores.

mod caller;
mod codec;
mod configuration;
mod engine;
mod routes;
mod store;
mod usage;

pub use caller::{
    BadRequest, CallerMessage, CallerRequest, CallerResponse, JobRead, JobResult, Refusal,
    Submission,
};
pub use codec::Codec;
pub use configuration::{Configuration, Limits, Route, RouteKind, Service, Target};
pub use engine::{
    EngineLoad, EngineRecord, EngineReport, EngineRequest, EngineResponseHead, EventDecoder,
    GenerationEvent, Instance, OrderMode, OrderResponse, StartedAt, VersionOrder,
};
pub use routes::RouteTable;
pub use store::{
    ListCursor, ObjectKind, ObjectPage, ObjectWrite, RetirementStage, StoreEvent, StoreObject,
    StoreRequest, StoreResponse, StoreUpdate,
};
pub use usage::{UsageReport, UsageReportResponse};
