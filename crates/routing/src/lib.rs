//! Which engine serves a request, and whether it may be sent at all.
//!
//! ```text
//!  request -> Admission -> Selector -----------------> engine
//!                |            ^   ^   ^                  |
//!             queue by     LoadView  PrefixIndex  CircuitBreakers|
//!             priority        ^        ^           ^     |
//!                             +--------+-----------+-----+ outcomes, headers
//!  failed, repeatable -> RetryBudget -> Selector again
//! ```
//!
//! Load reports and cache knowledge are always late, so each value has an age
//! and the node's own dispatches since then are added to it.

pub mod admission;
pub mod circuit;
pub mod engines;
pub mod load;
pub mod prefix;
pub mod retry;
pub mod select;

pub use admission::{Admission, AdmissionDecision, Refusal};
pub use circuit::{CircuitBreakers, CircuitState};
pub use engines::{EngineDirectory, EngineInfo};
pub use load::{LoadReport, LoadView};
pub use prefix::{prefix_blocks, PrefixIndex};
pub use retry::RetryBudget;
pub use select::{EngineRequirements, Selector, SelectorPolicy};
