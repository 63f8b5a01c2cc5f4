//! Forwarding of requests to engines, for callers and for reward calls.
//!
//! ```text
//!  request, route --> Forwarder --admission, selection--> engine
//!                        ^  retry, hedge (budget)           |
//!                        +--- validated response -----------+--> response or refusal
//! ```
//!
//! A request that is suspected of crashing engines runs on one engine at a time, or not at
//! all: see `peatgrade-quarantine`.
//!
//! The forwarder is a state machine without I/O or clock. Its driver carries out each
//! [`ForwardAction`] and reports the results.

mod action;
pub mod admission;
pub mod connect_times;
mod dispatch;
mod forwarded_request;
mod forwarder;
mod quarantine;
mod refusals;
mod responses;
mod restarts;
pub mod retry_budget;
mod selection;
mod stream;
mod streaming;
mod timers;

pub use action::{answer_parts, CallId, ForwardAction, HttpId, DEFAULT_RETRY_AFTER};
pub use forwarder::{AcceptedCall, ForwardCounts, Forwarder, ForwarderSettings, QuarantinePolicy};
pub use quarantine::{record_failure, InterruptedRun};
