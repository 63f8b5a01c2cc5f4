//! Requests on their way to an engine and back, for callers and for reward calls.
//!
//! ```text
//!  request, route --> Forwarder --admission, choice--> engine
//!                        ^  retry, hedge (budget)        |
//!                        +--- checked answer ------------+--> whole answer, or a true refusal
//! ```
//!
//! A request under which engines crashed runs alone, or not at all: see
//! `peatgrade-quarantine`.
//!
//! A state machine without socket or clock. Its owner carries out each
//! [`ForwardAction`] and feeds back what comes of it.

mod action;
pub mod admission;
pub mod connect_times;
mod dispatch;
mod forwarder;
mod quarantine;
mod refusals;
mod responses;
mod restarts;
pub mod retry_budget;
mod selection;
mod stream;
mod timers;

pub use action::{answer_parts, CallId, ForwardAction, HttpId, DEFAULT_RETRY_AFTER};
pub use forwarder::{AcceptedCall, ForwardCounts, Forwarder, ForwarderSettings};
pub use quarantine::{record_failure, InterruptedRun};
