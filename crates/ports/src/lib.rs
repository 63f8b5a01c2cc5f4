//! Typed messages at the borders of the core.
//!
//! ```text
//!  callers, trainers --HTTP--> Codec --> CallerMessage  -+
//!  object store -----HTTP----> Codec --> StoreReply     -+-> cores
//!  engines ----------HTTP----> Codec --> AnswerHead,     |
//!                                        GenerationEvent -+
//! ```
//!
//! The cores name no header, path or field of a wire. A [`Codec`] does, and
//! holds no decision, state, retry or timer.

mod caller;
mod codec;
mod configuration;
mod duties;
mod engine;
mod routes;
mod store;

pub use caller::{
    Answer, BadRequest, CallerMessage, CallerRequest, JobRead, ListedItem, Refusal, Submission,
};
pub use codec::Codec;
pub use configuration::{Configuration, Limits, Route, RouteKind, Service, Target};
pub use duties::{DutyAnswer, UsageReport};
pub use engine::{
    AnswerHead, EngineCall, EngineLoad, EngineRecord, EngineReport, EventReader, GenerationEvent,
    Instance, OrderAnswer, OrderMode, StartedAt, VersionOrder,
};
pub use routes::RouteTable;
pub use store::{
    ObjectKind, ObjectPage, ObjectWrite, RetirementStage, StoreCall, StoreEvent, StoreObject,
    StoreReply, StoreUpdate,
};
