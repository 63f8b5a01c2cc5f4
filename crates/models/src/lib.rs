//! The systems around the nodes, as models without input or output.
//!
//! ```text
//!  Platform: EngineModel  AppModel  ScorerModel  ObjectStore  WeightStore
//!            request(now, id, ..) -> advance(now) -> (id, ResponsePart)
//!  Clients:  TrainerModel  Workload
//!            poll(now) -> ClientRequest ... on_response(now, ..)
//! ```
//!
//! The simulation drives them on a virtual clock and the emulator behind
//! sockets, so that both test the nodes against the same behaviour. Every
//! random choice comes from a seed.

pub mod app;
pub mod client;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod machines;
pub mod objects;
pub mod platform;
pub mod scorer;
pub mod text;
pub mod trainer;
pub mod weights;
pub mod workload;

pub use client::{ClientRequest, Target, WholeResponse};
pub use deployment::Deployment;
pub use engine::{EngineModel, EngineSettings};
pub use faults::{Fault, FaultKind};
pub use platform::{Platform, RequestId};
pub use trainer::{DeliveredStep, TrainerFigures, TrainerModel, TrainerSettings, TrainerStats};
pub use workload::{Workload, WorkloadEvent};

use peatgrade_types::{EngineId, Time};
use serde::{Deserialize, Serialize};

/// Something an engine ran, as the engine saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// When it began.
    pub at: Time,
    /// Engine.
    pub engine: EngineId,
    /// Value of the request's `x-request-id`.
    pub request_id: String,
    /// Idempotency key, if the request carried one.
    pub key: Option<String>,
    /// Since when the engine has been leaving, if it is.
    pub leaving_since: Option<Time>,
    /// Whether it was a sample or a caller's request.
    pub sample: bool,
}
