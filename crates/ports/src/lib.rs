//! Typed messages at the borders of the core.
//!
//! ```text
//!  callers, trainers --HTTP--> Codec --> CallerMessage  -+
//!  object store -----HTTP----> Codec --> StoreResponse     -+-> cores
//!  engines ----------HTTP----> Codec --> EngineResponseHead,     |
//!                                        GenerationEvent -+
//! ```
//!
//! The cores name no header, path or field of a wire. A [`Codec`] does, and
//! holds no decision, state, retry or timer.

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
    ObjectKind, ObjectPage, ObjectWrite, RetirementStage, StoreEvent, StoreObject, StoreRequest,
    StoreResponse, StoreUpdate,
};
pub use usage::{UsageReport, UsageReportResponse};
