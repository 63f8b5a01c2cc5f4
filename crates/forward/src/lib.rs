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
mod answers;
mod choice;
pub mod connect_times;
mod dispatch;
mod ending;
mod forwarder;
mod restarts;
pub mod retry_budget;
mod stream;
mod suspects;
mod timers;

pub use action::{answer_parts, CallId, ForwardAction, HttpId, DEFAULT_RETRY_AFTER};
pub use forwarder::{AcceptedCall, ForwardCounts, Forwarder, ForwarderSettings};
pub use suspects::{record_failure, InterruptedRun};
